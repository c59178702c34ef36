//! A node's process: its start, its signals, and the reload of its configuration.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use super::config::config_file;
use super::error::{NodeError, NodeFailure};
use super::http_client::check_readiness;
use super::log_tail::LogTail;
use super::spec::{ProcessSpec, Program};
use crate::event_log::Readiness;
use crate::scenario::Scenario;

/// A node announces its address this long after its start at the latest.
const SERVES_WITHIN: Duration = Duration::from_secs(10);
/// A node is ready this long after it has announced its address at the latest.
const READY_WITHIN: Duration = Duration::from_secs(15);
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Lowers the limit of descriptors and then becomes the program, so that signals reach the program itself.
const LAUNCH_SCRIPT: &str = r#"ulimit -n "$0" && exec "$@""#;
/// Variables that override the configuration, which must not reach a node from the testbed's own environment.
const OVERRIDES: [&str; 5] =
    ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONSOLE", OPERATOR_FILE_VARIABLE];
const OPERATOR_FILE_VARIABLE: &str = "CURLEWUSHER_OPERATOR";

/// A node's process. It is killed when this is dropped.
pub struct Node {
    /// What it was started with.
    pub spec: ProcessSpec,
    /// Where it serves; until it has announced that, where it was configured to listen.
    pub address: SocketAddr,
    /// The operating system's process.
    pub child: Child,
    config_path: PathBuf,
    log: LogTail,
}

impl Node {
    /// Starts a node, and returns once it is ready to serve.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started, exits, or is not ready in time.
    pub async fn start(program: &Program, scenario: &Scenario, spec: ProcessSpec) -> Result<Node, NodeError> {
        let (mut node, announced) = Node::launch(program, scenario, spec)?;
        node.address = match timeout(SERVES_WITHIN, announced).await {
            Ok(Ok(address)) => address,
            Ok(Err(_)) => return Err(node.failed(NodeFailure::ExitedBeforeServing)),
            Err(_) => return Err(node.failed(NodeFailure::NoAddress)),
        };
        let deadline = Instant::now() + READY_WITHIN;
        while check_readiness(node.address).await != Readiness::Yes {
            if Instant::now() > deadline {
                return Err(node.failed(NodeFailure::NotReady));
            }
            sleep(READINESS_POLL_INTERVAL).await;
        }
        Ok(node)
    }

    /// Starts a process, and returns at once.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn spawn(program: &Program, scenario: &Scenario, spec: ProcessSpec) -> Result<Node, NodeError> {
        Node::launch(program, scenario, spec).map(|(node, _)| node)
    }

    /// Starts a process. The address at which it serves follows on the channel, which is closed if the process exits
    /// before that.
    fn launch(
        program: &Program,
        scenario: &Scenario,
        spec: ProcessSpec,
    ) -> Result<(Node, oneshot::Receiver<SocketAddr>), NodeError> {
        let name = spec.file_stem();
        let config_path = program.folder.join(format!("{name}.json"));
        write(&config_path, &config_file(scenario, &spec))?;
        std::fs::create_dir_all(&spec.temporary)
            .map_err(|problem| NodeError::Write { file: spec.temporary.clone(), problem })?;
        let mut child =
            launch_command(program, scenario, &spec, &config_path).spawn().map_err(|problem| {
                NodeError::Start { node: spec.number, program: program.path.clone(), problem }
            })?;
        let log = LogTail::default();
        let (announce, announced) = oneshot::channel();
        if let Some(stderr) = child.stderr.take() {
            let log_file = program.folder.join(format!("{name}.log"));
            tokio::spawn(log.clone().follow(stderr, log_file, announce));
        }
        Ok((Node { address: spec.listen, spec, child, config_path, log }, announced))
    }

    /// The error of a process that did not do what it has to, with its last lines.
    pub fn failed(&self, failure: NodeFailure) -> NodeError {
        let lines = self.last_lines().join("\n    ");
        let lines = if lines.is_empty() { "(none)".into() } else { lines };
        NodeError::Failed { node: self.spec.number, failure, lines }
    }

    /// The last lines of its log, oldest first.
    pub fn last_lines(&self) -> Vec<String> {
        self.log.lines()
    }

    /// Sends a signal, unless the process has been waited for.
    pub fn signal(&self, signal: Signal) {
        let process_id = self.child.id().and_then(|raw_id| Pid::from_raw(raw_id as i32));
        if let Some(process_id) = process_id {
            // A process that has just exited needs no signal.
            let _ = kill_process(process_id, signal);
        }
    }

    /// Writes the configuration with another discovery server, and makes the process reload it.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn reload_with_discovery(
        &mut self,
        scenario: &Scenario,
        discovery: SocketAddr,
    ) -> Result<(), NodeError> {
        self.spec = ProcessSpec { discovery, listen: self.address, ..self.spec.clone() };
        write(&self.config_path, &config_file(scenario, &self.spec))?;
        self.signal(Signal::HUP);
        Ok(())
    }
}

fn launch_command(program: &Program, scenario: &Scenario, spec: &ProcessSpec, config_path: &Path) -> Command {
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", LAUNCH_SCRIPT, &scenario.nodes.descriptors.to_string()])
        .arg(&program.path)
        .args(&program.arguments)
        .env("RELAY_CONFIG", config_path)
        .env("TMPDIR", &spec.temporary)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        // An interrupt on a terminal reaches the whole process group; the testbed ends its children itself.
        .process_group(0)
        .kill_on_drop(true);
    for variable in OVERRIDES {
        command.env_remove(variable);
    }
    if let Some(file) = &scenario.nodes.operator {
        command.env(OPERATOR_FILE_VARIABLE, file);
    }
    command
}

fn write(path: &Path, text: &str) -> Result<(), NodeError> {
    std::fs::write(path, text).map_err(|problem| NodeError::Write { file: path.to_owned(), problem })
}
