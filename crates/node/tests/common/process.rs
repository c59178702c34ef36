//! The program under test as a process: its start, signals, log lines and exit.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Instant;

use super::TEST_TIMEOUT;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_curlewusher");

/// A running process of the program. Dropping the value kills the process.
pub struct Node {
    /// Address at which the process serves clients, read from its log.
    pub address: SocketAddr,
    /// Log lines before the one that states the address.
    pub startup_lines: Vec<String>,
    /// Path of the configuration file.
    file: String,
    log_lines: Receiver<String>,
    child: Option<Child>,
}

impl Node {
    /// Starts the program with this configuration. Returns the process and the path of the configuration
    /// file.
    pub fn spawn(config: &str, descriptor_limit: u32) -> (Child, String) {
        Node::spawn_with_operator_file(config, descriptor_limit, None)
    }

    /// Does the same as [`Self::spawn`] with an operator file of this text, if there is one.
    fn spawn_with_operator_file(
        config: &str,
        descriptor_limit: u32,
        operator: Option<&str>,
    ) -> (Child, String) {
        let file = Node::write_config_file(config);
        (Node::spawn_in(&format!("{file}.d"), &file, descriptor_limit, operator), file)
    }

    /// Writes the configuration of one node to a new file, and creates a directory for the node's own files
    /// beside it. Returns the path of the file.
    pub fn write_config_file(config: &str) -> String {
        use std::sync::atomic::{AtomicU32, Ordering};
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let file = format!("{}/node-{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        std::fs::write(&file, config).expect("writing the configuration failed");
        // An earlier test run may have left a directory with this number.
        let _ = std::fs::remove_dir_all(format!("{file}.d"));
        std::fs::create_dir(format!("{file}.d")).expect("creating the directory of the node failed");
        file
    }

    /// Starts the program with a configuration file, a directory for its own files, and optionally an
    /// operator file.
    pub fn spawn_in(directory: &str, file: &str, descriptor_limit: u32, operator: Option<&str>) -> Child {
        Node::spawn_program(PROGRAM, directory, file, descriptor_limit, operator)
    }

    /// Starts the older version of the program, whose path `CURLEWUSHER_OLDER_PROGRAM` states. Without this
    /// variable, starts the program under test.
    pub fn spawn_older_version_in(directory: &str, file: &str) -> Child {
        let program = std::env::var("CURLEWUSHER_OLDER_PROGRAM").unwrap_or_else(|_| PROGRAM.to_owned());
        Node::spawn_program(&program, directory, file, 1024, None)
    }

    /// Starts a node of the older version and waits until it serves.
    pub fn start_older_version(config: &str) -> Node {
        let file = Node::write_config_file(config);
        Node::wait_until_serving((Node::spawn_older_version_in(&format!("{file}.d"), &file), file))
    }

    fn spawn_program(
        program: &str,
        directory: &str,
        file: &str,
        descriptor_limit: u32,
        operator: Option<&str>,
    ) -> Child {
        // The shell lowers its own descriptor limit and then executes the program in its place.
        let mut command = Command::new("sh");
        if let Some(operator) = operator {
            std::fs::write(format!("{file}.toml"), operator).expect("writing the operator file failed");
            command.env("CURLEWUSHER_OPERATOR", format!("{file}.toml"));
        }
        command
            .args(["-c", r#"ulimit -n "$0" && exec "$1""#, &descriptor_limit.to_string()])
            .arg(program)
            .env("RELAY_CONFIG", file)
            // Nodes of other tests have the same configured address and must not find the rendezvous socket
            // of this node.
            .env("TMPDIR", directory)
            .stderr(Stdio::piped())
            .spawn()
            .expect("starting the program failed")
    }

    /// Starts the peer process of the same node. It shares the directory and the configuration except for the
    /// discovery address, so that the test can distinguish the requests of the two processes.
    pub fn spawn_peer(&self, discovery: SocketAddr) -> (Child, String) {
        let text = std::fs::read_to_string(&self.file).expect("reading the configuration failed");
        let old_entry = text.split(r#""discovery":""#).nth(1).and_then(|rest| rest.split_once('"'));
        let old_entry =
            format!(r#""discovery":"{}""#, old_entry.expect("the configuration has no discovery address").0);
        let text = text.replacen(&old_entry, &format!(r#""discovery":"{discovery}""#), 1);
        let file = format!("{}-{}", self.file, discovery.port());
        std::fs::write(&file, text).expect("writing the configuration failed");
        (Node::spawn_in(&self.temp_directory(), &file, 1024, None), file)
    }

    /// Returns the `TMPDIR` of this process and of the other processes of the same node.
    pub fn temp_directory(&self) -> String {
        let (stem, _) = self.file.split_once(".json").expect("the configuration file is not named .json");
        format!("{stem}.json.d")
    }

    /// Starts a node with this `TMPDIR` and waits until it serves.
    pub fn start_in(directory: &str, config: &str) -> Node {
        let file = Node::write_config_file(config);
        Node::wait_until_serving((Node::spawn_in(directory, &file, 1024, None), file))
    }

    /// Starts a node and waits until it serves.
    pub fn start(config: &str) -> Node {
        Node::start_with_descriptor_limit(config, 1024)
    }

    /// Starts a node with this limit on file descriptors and waits until it serves.
    pub fn start_with_descriptor_limit(config: &str, descriptor_limit: u32) -> Node {
        Node::wait_until_serving(Node::spawn(config, descriptor_limit))
    }

    /// Starts a node with an operator file of this text and waits until it serves.
    pub fn start_with_operator_file(config: &str, operator: &str) -> Node {
        Node::wait_until_serving(Node::spawn_with_operator_file(config, 1024, Some(operator)))
    }

    /// Does the same as [`Self::start_with_operator_file`], but nothing reads standard error after the first
    /// line. Dropping the second returned value closes the pipe.
    pub fn start_with_blocked_stderr(config: &str, operator: &str) -> (Node, impl Sized) {
        let (mut child, file) = Node::spawn_with_operator_file(config, 1024, Some(operator));
        let mut stderr = BufReader::new(child.stderr.take().expect("standard error is not piped"));
        let mut line = String::new();
        stderr.read_line(&mut line).expect("reading the first log line failed");
        let (_, log_lines) = channel();
        let address = Node::serving_address(line.trim_end()).unwrap_or_else(|| panic!("{line}"));
        (Node { address, startup_lines: vec![], file, log_lines, child: Some(child) }, stderr)
    }

    /// Returns the address in the log line that states where the process serves, or will serve after a
    /// takeover.
    fn serving_address(line: &str) -> Option<SocketAddr> {
        let rest = line.split_once("is to serve on ").or(line.split_once("serves on "))?.1;
        rest.split('"').next()?.parse().ok()
    }

    /// Collects the log lines of a spawned process and waits until a line states the address at which it
    /// serves.
    pub fn wait_until_serving((mut child, file): (Child, String)) -> Node {
        let lines = BufReader::new(child.stderr.take().expect("standard error is not piped")).lines();
        let (line_queue, log_lines) = channel();
        // Reads all lines, because the pipe must not fill up in tests that read no log lines.
        thread::spawn(move || lines.map_while(Result::ok).for_each(|line| _ = line_queue.send(line)));
        // The node is created before the first line is read, so that its drop kills a process that fails to
        // start.
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut node = Node { address, startup_lines: vec![], file, log_lines, child: Some(child) };
        loop {
            let line = node.next_log_line();
            if let Some(address) = Node::serving_address(&line) {
                node.address = address;
                return node;
            }
            node.startup_lines.push(line);
        }
    }

    /// Skips log lines up to one that contains `part`, and returns that line. Fails after [`TEST_TIMEOUT`],
    /// regardless of how many lines have been read.
    pub fn wait_for_log_line(&self, part: &str) -> String {
        let started = Instant::now();
        loop {
            let left = TEST_TIMEOUT.saturating_sub(started.elapsed());
            let line = self.log_lines.recv_timeout(left);
            let line = line.unwrap_or_else(|error| panic!("no log line with {part:?}: {error}"));
            if line.contains(part) {
                return line;
            }
        }
    }

    /// Returns whether the process started as the successor of another process of its node.
    pub fn is_successor(&self) -> bool {
        self.startup_lines.iter().any(|line| line.ends_with("predecessor linked node=n0"))
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(mut self) {
        let mut child = self.child.take().expect("the process is not running");
        child.kill().and_then(|()| child.wait()).expect("killing the process failed");
    }

    /// Returns the log lines that have arrived and that the test has not read.
    pub fn drain_log_lines(&self) -> Vec<String> {
        self.log_lines.try_iter().collect()
    }

    /// Waits for the next log line.
    pub fn next_log_line(&self) -> String {
        self.log_lines.recv_timeout(TEST_TIMEOUT).expect("no log line arrived")
    }

    /// Replaces the operator file and makes the node reload it.
    pub fn reload_operator_file(&self, operator: &str) {
        std::fs::write(format!("{}.toml", self.file), operator).expect("writing the operator file failed");
        self.signal("-HUP");
    }

    /// Replaces the configuration and makes the node reload it.
    pub fn reload_config(&self, config: &str) {
        std::fs::write(&self.file, config).expect("writing the configuration failed");
        self.signal("-HUP");
    }

    /// Pauses the node until the guard is dropped: the configuration file becomes a pipe, and reading it
    /// blocks. After the pause the node finds all data that has arrived and all expired timers at once.
    pub fn pause(&self) -> PausedNode {
        self.pause_with_events(|| {})
    }

    /// Does the same as [`Self::pause`], but the node receives the data that `events` sends together with the
    /// signal that pauses it. The node handles that data right after the pause, before anything that arrives
    /// during the pause.
    pub fn pause_with_events(&self, events: impl FnOnce()) -> PausedNode {
        let text = std::fs::read_to_string(&self.file).expect("reading the configuration failed");
        std::fs::remove_file(&self.file).expect("removing the configuration failed");
        assert!(Command::new("mkfifo").arg(&self.file).status().expect("running mkfifo failed").success());
        self.signal("-STOP");
        events();
        self.signal("-HUP");
        self.signal("-CONT");
        // Opening the pipe returns once the node opens the other end.
        let pipe = std::fs::OpenOptions::new().write(true).open(&self.file).expect("opening the pipe failed");
        std::fs::remove_file(&self.file).expect("removing the pipe failed");
        std::fs::write(&self.file, &text).expect("writing the configuration failed");
        PausedNode { pipe, text }
    }

    /// Returns the admin address, read from the next log line.
    pub fn admin_address(&self) -> SocketAddr {
        let line = self.next_log_line();
        let address = line
            .split("admin listener started node=n0 address=")
            .nth(1)
            .and_then(|address| address.parse().ok());
        address.unwrap_or_else(|| panic!("not the line with the admin address: {line}"))
    }

    /// Sends the process a signal, given as an option of `kill` such as `-TERM`.
    pub fn signal(&self, option: &str) {
        let id = self.child.as_ref().expect("the process is not running").id().to_string();
        assert!(Command::new("kill").args([option, &id]).status().expect("running kill failed").success());
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("the process is not running").id()
    }

    /// Returns the peak memory of the process, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()))
            .expect("the process is not running");
        let peak_kb = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.strip_suffix("kB"));
        peak_kb.and_then(|kb| kb.trim().parse().ok()).expect("the status has no valid peak memory")
    }

    /// Returns the exit status if the process has exited. Does not wait.
    pub fn try_exit_status(&mut self) -> Option<ExitStatus> {
        self.child
            .as_mut()
            .expect("the process is not running")
            .try_wait()
            .expect("reading the exit status failed")
    }

    /// Waits for the exit and returns the output of the process.
    pub fn wait_for_exit(mut self) -> Output {
        self.child
            .take()
            .expect("the process is not running")
            .wait_with_output()
            .expect("waiting for the exit failed")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Guard that keeps a node paused until it is dropped, see [`Node::pause`].
pub struct PausedNode {
    pipe: std::fs::File,
    text: String,
}

impl Drop for PausedNode {
    fn drop(&mut self) {
        // Writing fails if the node was killed and no longer reads the pipe.
        let _ = self.pipe.write_all(self.text.as_bytes());
    }
}
