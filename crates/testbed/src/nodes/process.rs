//! Process of a node: start, signals, and configuration reload.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use super::config::render_config;
use super::error::{NodeError, NodeFailure};
use super::http_client::check_readiness;
use super::log_tail::LogTail;
use super::spec::{ProcessSpec, Program};
use crate::event_log::Readiness;
use crate::scenario::Scenario;

/// Maximum time from the start of a process until it announces its address.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time from the announcement of the address until the node is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between readiness checks of a starting node.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Shell script that lowers the limit of file descriptors and then replaces the shell by the program, so that
/// signals reach the program itself.
const LAUNCH_SCRIPT: &str = r#"ulimit -n "$0" && exec "$@""#;
/// Environment variables that override a node's configuration. They are removed, so that a node does not
/// inherit them from the testbed's environment.
const OVERRIDE_VARIABLES: [&str; 5] =
    ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONSOLE", OPERATOR_FILE_VARIABLE];
/// Environment variable with the path of the operator's configuration file.
const OPERATOR_FILE_VARIABLE: &str = "CURLEWUSHER_OPERATOR";

/// Process of a node. Dropping this handle kills the process.
pub struct Node {
    /// Parameters of the process.
    pub spec: ProcessSpec,
    /// Address at which the process serves. Until the process has announced it, the configured listen
    /// address.
    pub address: SocketAddr,
    /// Child process of the testbed.
    pub child: Child,
    config_path: PathBuf,
    log: LogTail,
}

impl Node {
    /// Starts a process and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started, exits, or is not ready in time.
    pub async fn start(program: &Program, scenario: &Scenario, spec: ProcessSpec) -> Result<Node, NodeError> {
        let (mut node, announced_address) = Node::launch(program, scenario, spec)?;
        node.address = match timeout(ANNOUNCEMENT_TIMEOUT, announced_address).await {
            Ok(Ok(address)) => address,
            Ok(Err(_)) => return Err(node.failure_error(NodeFailure::ExitedBeforeServing)),
            Err(_) => return Err(node.failure_error(NodeFailure::NoAddress)),
        };
        let deadline = Instant::now() + READY_TIMEOUT;
        while check_readiness(node.address).await != Readiness::Yes {
            if Instant::now() > deadline {
                return Err(node.failure_error(NodeFailure::NotReady));
            }
            sleep(READINESS_POLL_INTERVAL).await;
        }
        Ok(node)
    }

    /// Starts a process without waiting for its readiness.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn spawn(program: &Program, scenario: &Scenario, spec: ProcessSpec) -> Result<Node, NodeError> {
        Node::launch(program, scenario, spec).map(|(node, _)| node)
    }

    /// Starts a process. The returned channel receives the address at which the process serves. It closes if
    /// the process exits before it announces the address.
    fn launch(
        program: &Program,
        scenario: &Scenario,
        spec: ProcessSpec,
    ) -> Result<(Node, oneshot::Receiver<SocketAddr>), NodeError> {
        let name = spec.file_stem();
        let config_path = program.folder.join(format!("{name}.json"));
        write_file(&config_path, &render_config(scenario, &spec))?;
        std::fs::create_dir_all(&spec.temporary_folder)
            .map_err(|problem| NodeError::Write { file: spec.temporary_folder.clone(), problem })?;
        let mut child = build_command(program, scenario, &spec, &config_path).spawn().map_err(|problem| {
            NodeError::Start { node: spec.number, program: program.path.clone(), problem }
        })?;
        let log = LogTail::default();
        let (address_channel, announced_address) = oneshot::channel();
        if let Some(stderr) = child.stderr.take() {
            let log_file = program.folder.join(format!("{name}.log"));
            tokio::spawn(log.clone().follow(stderr, log_file, address_channel));
        }
        Ok((Node { address: spec.listen, spec, child, config_path, log }, announced_address))
    }

    /// Creates the error for a failure of this process, with the last lines of its log.
    pub fn failure_error(&self, failure: NodeFailure) -> NodeError {
        let lines = self.last_lines().join("\n    ");
        let lines = if lines.is_empty() { "(none)".into() } else { lines };
        NodeError::Failed { node: self.spec.number, failure, lines }
    }

    /// Returns the last lines of the process's log, oldest first.
    pub fn last_lines(&self) -> Vec<String> {
        self.log.lines()
    }

    /// Sends a signal to the process, unless its exit has already been awaited.
    pub fn signal(&self, signal: Signal) {
        let process_id = self.child.id().and_then(|raw_id| Pid::from_raw(raw_id as i32));
        if let Some(process_id) = process_id {
            // Fails if the process has just exited, and then no signal is needed.
            let _ = kill_process(process_id, signal);
        }
    }

    /// Writes the configuration with the address of another discovery server, and makes the process reload it
    /// by SIGHUP.
    ///
    /// # Errors
    ///
    /// Fails if the configuration file cannot be written.
    pub fn reload_with_discovery(
        &mut self,
        scenario: &Scenario,
        discovery: SocketAddr,
    ) -> Result<(), NodeError> {
        self.spec = ProcessSpec { discovery, listen: self.address, ..self.spec.clone() };
        write_file(&self.config_path, &render_config(scenario, &self.spec))?;
        self.signal(Signal::HUP);
        Ok(())
    }
}

/// Builds the command that starts a process.
fn build_command(program: &Program, scenario: &Scenario, spec: &ProcessSpec, config_path: &Path) -> Command {
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", LAUNCH_SCRIPT, &scenario.nodes.descriptors.to_string()])
        .arg(&program.path)
        .args(&program.arguments)
        .env("RELAY_CONFIG", config_path)
        .env("TMPDIR", &spec.temporary_folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        // An interrupt from the terminal is sent to the whole process group. In a group of its own, the node
        // does not get it, and the testbed stops the node itself.
        .process_group(0)
        .kill_on_drop(true);
    for variable in OVERRIDE_VARIABLES {
        command.env_remove(variable);
    }
    if let Some(file) = &scenario.nodes.operator {
        command.env(OPERATOR_FILE_VARIABLE, file);
    }
    command
}

fn write_file(path: &Path, text: &str) -> Result<(), NodeError> {
    std::fs::write(path, text).map_err(|problem| NodeError::Write { file: path.to_owned(), problem })
}
