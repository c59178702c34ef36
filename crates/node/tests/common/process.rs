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

/// A running process of the program. It is killed when this is dropped.
pub struct Node {
    /// Where it serves clients, as its log says.
    pub address: SocketAddr,
    /// Its log lines before the one that says where it serves.
    pub startup_lines: Vec<String>,
    /// Path of its configuration.
    file: String,
    log_lines: Receiver<String>,
    child: Option<Child>,
}

impl Node {
    /// Starts the program on this configuration; returns the process and the path of the configuration.
    pub fn spawn(config: &str, descriptors: u32) -> (Child, String) {
        Node::spawn_with_operator_file(config, descriptors, None)
    }

    /// Like [`Self::spawn`], with an operators' file of this text.
    fn spawn_with_operator_file(config: &str, descriptors: u32, operator: Option<&str>) -> (Child, String) {
        let file = Node::write_config_file(config);
        (Node::spawn_in(&format!("{file}.d"), &file, descriptors, operator), file)
    }

    /// Writes the configuration of one node to a new file, and creates the directory for its own files beside it.
    pub fn write_config_file(config: &str) -> String {
        use std::sync::atomic::{AtomicU32, Ordering};
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let file = format!("{}/node-{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        std::fs::write(&file, config).expect("a place for the configuration");
        // Left by an earlier run of that number.
        let _ = std::fs::remove_dir_all(format!("{file}.d"));
        std::fs::create_dir(format!("{file}.d")).expect("a place for its files");
        file
    }

    /// Starts the program on a configuration file, with a directory for its own files and perhaps an operators' file.
    pub fn spawn_in(folder: &str, file: &str, descriptors: u32, operator: Option<&str>) -> Child {
        Node::spawn_program(PROGRAM, folder, file, descriptors, operator)
    }

    /// Starts the older version of the program, which `CURLEWUSHER_OLDER_PROGRAM` names; without it the one under test.
    pub fn spawn_older_in(folder: &str, file: &str) -> Child {
        let program = std::env::var("CURLEWUSHER_OLDER_PROGRAM").unwrap_or_else(|_| PROGRAM.to_owned());
        Node::spawn_program(&program, folder, file, 1024, None)
    }

    /// Starts a node of the older version.
    pub fn start_older(config: &str) -> Node {
        let file = Node::write_config_file(config);
        Node::wait_until_serving((Node::spawn_older_in(&format!("{file}.d"), &file), file))
    }

    fn spawn_program(
        program: &str,
        folder: &str,
        file: &str,
        descriptors: u32,
        operator: Option<&str>,
    ) -> Child {
        // The shell lowers its own limit and then becomes the program.
        let mut command = Command::new("sh");
        if let Some(operator) = operator {
            std::fs::write(format!("{file}.toml"), operator).expect("a place for the operator's file");
            command.env("CURLEWUSHER_OPERATOR", format!("{file}.toml"));
        }
        command
            .args(["-c", r#"ulimit -n "$0" && exec "$1""#, &descriptors.to_string()])
            .arg(program)
            .env("RELAY_CONFIG", file)
            // Nodes of other tests have the same configured address, and must not find the handover socket of this one.
            .env("TMPDIR", folder)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts")
    }

    /// Starts another process of the same node. It shares the directory and the configuration but for discovery, so
    /// that the test can tell the requests of both apart.
    pub fn spawn_beside(&self, discovery: SocketAddr) -> (Child, String) {
        let text = std::fs::read_to_string(&self.file).expect("its configuration");
        let was = text.split(r#""discovery":""#).nth(1).and_then(|rest| rest.split_once('"'));
        let was = format!(r#""discovery":"{}""#, was.expect("an address").0);
        let text = text.replacen(&was, &format!(r#""discovery":"{discovery}""#), 1);
        let file = format!("{}-{}", self.file, discovery.port());
        std::fs::write(&file, text).expect("a place for the configuration");
        (Node::spawn_in(&self.temp_directory(), &file, 1024, None), file)
    }

    /// The `TMPDIR` of this process and of others of the same node.
    pub fn temp_directory(&self) -> String {
        let (first, _) = self.file.split_once(".json").expect("such a name");
        format!("{first}.json.d")
    }

    /// Starts a node with this `TMPDIR`.
    pub fn start_in(folder: &str, config: &str) -> Node {
        let file = Node::write_config_file(config);
        Node::wait_until_serving((Node::spawn_in(folder, &file, 1024, None), file))
    }

    /// Starts a node and waits until it serves.
    pub fn start(config: &str) -> Node {
        Node::start_with_descriptors(config, 1024)
    }

    /// Starts a node with that limit of file descriptors.
    pub fn start_with_descriptors(config: &str, descriptors: u32) -> Node {
        Node::wait_until_serving(Node::spawn(config, descriptors))
    }

    /// Starts a node with an operators' file of this text.
    pub fn start_with_operator_file(config: &str, operator: &str) -> Node {
        Node::wait_until_serving(Node::spawn_with_operator_file(config, 1024, Some(operator)))
    }

    /// Like [`Self::start_with_operator_file`], but nothing reads standard error after the first line. Dropping the
    /// second value closes the pipe.
    pub fn start_with_blocked_stderr(config: &str, operator: &str) -> (Node, impl Sized) {
        let (mut child, file) = Node::spawn_with_operator_file(config, 1024, Some(operator));
        let mut stderr = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        stderr.read_line(&mut line).expect("a line");
        let (_, log_lines) = channel();
        let address = Node::serving_address(line.trim_end()).unwrap_or_else(|| panic!("{line}"));
        (Node { address, startup_lines: vec![], file, log_lines, child: Some(child) }, stderr)
    }

    /// The address in the log line that says where the process serves, or will serve after a takeover.
    fn serving_address(line: &str) -> Option<SocketAddr> {
        let rest = line.split_once("is to serve on ").or(line.split_once("serves on "))?.1;
        rest.split('"').next()?.parse().ok()
    }

    /// Collects the log lines of a spawned process and waits until it says where it serves.
    pub fn wait_until_serving((mut child, file): (Child, String)) -> Node {
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (line_queue, log_lines) = channel();
        // The pipe must not fill up where the test reads no log lines.
        thread::spawn(move || lines.map_while(Result::ok).for_each(|line| _ = line_queue.send(line)));
        // The guard exists before the first line is read, so that a process that fails to start is killed as well.
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

    /// Skips log lines up to one that contains `part`, and returns that. Fails after [`TEST_TIMEOUT`], however many lines
    /// have come.
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

    /// Whether it started beside another process of its node.
    pub fn is_successor(&self) -> bool {
        self.startup_lines.iter().any(|line| line.ends_with("predecessor linked node=n0"))
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(mut self) {
        let mut child = self.child.take().expect("it runs");
        child.kill().and_then(|()| child.wait()).expect("it ends");
    }

    /// The log lines that have come and that the test has not read.
    pub fn drain_log_lines(&self) -> Vec<String> {
        self.log_lines.try_iter().collect()
    }

    /// Waits for the next log line.
    pub fn next_log_line(&self) -> String {
        self.log_lines.recv_timeout(TEST_TIMEOUT).expect("a line")
    }

    /// Replaces the operators' file and has it reloaded.
    pub fn reload_operator_file(&self, operator: &str) {
        std::fs::write(format!("{}.toml", self.file), operator).expect("a place for the operator's file");
        self.signal("-HUP");
    }

    /// Replaces the configuration and has it reloaded.
    pub fn reload_config(&self, config: &str) {
        std::fs::write(&self.file, config).expect("a place for the configuration");
        self.signal("-HUP");
    }

    /// Pauses the node until the guard is dropped: its configuration becomes a pipe, and reading it blocks. Afterwards it
    /// finds at once all that has arrived and all timers that have expired.
    pub fn pause(&self) -> PausedNode {
        self.pause_together_with(|| {})
    }

    /// Like [`Self::pause`], but the node finds what `events` sends together with the signal that pauses it: it handles that
    /// right after the pause, before it looks at anything that arrives during the pause.
    pub fn pause_together_with(&self, events: impl FnOnce()) -> PausedNode {
        let text = std::fs::read_to_string(&self.file).expect("its configuration");
        std::fs::remove_file(&self.file).expect("it is a file");
        assert!(Command::new("mkfifo").arg(&self.file).status().expect("mkfifo is there").success());
        self.signal("-STOP");
        events();
        self.signal("-HUP");
        self.signal("-CONT");
        // Returns once the node opens the other end.
        let pipe = std::fs::OpenOptions::new().write(true).open(&self.file).expect("it is read");
        std::fs::remove_file(&self.file).expect("it is a pipe");
        std::fs::write(&self.file, &text).expect("a place for the configuration");
        PausedNode { pipe, text }
    }

    /// The operator address, from the next log line.
    pub fn operator_address(&self) -> SocketAddr {
        let line = self.next_log_line();
        let at = line.split("admin listener started node=n0 address=").nth(1).and_then(|at| at.parse().ok());
        at.unwrap_or_else(|| panic!("{line}"))
    }

    /// Sends the process a signal, given as an option of `kill`.
    pub fn signal(&self, which: &str) {
        let id = self.child.as_ref().expect("it runs").id().to_string();
        assert!(Command::new("kill").args([which, &id]).status().expect("kill is there").success());
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("it runs").id()
    }

    /// The exit status if it has exited; does not wait.
    pub fn try_exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().expect("it ran").try_wait().expect("it is a child")
    }

    /// Waits for the exit.
    pub fn wait_for_exit(mut self) -> Output {
        self.child.take().expect("it runs").wait_with_output().expect("it ends")
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

/// Keeps a node paused until dropped, see [`Node::pause`].
pub struct PausedNode {
    pipe: std::fs::File,
    text: String,
}

impl Drop for PausedNode {
    fn drop(&mut self) {
        // A node that was killed does not read it.
        let _ = self.pipe.write_all(self.text.as_bytes());
    }
}
