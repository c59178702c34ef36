//! Owns the nodes under test as processes: their configuration, their start, signals and end, and what they cost. It must
//! never look into one.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use curlewusher_model::TimeSpan;
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;
use serde_json::json;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use crate::event_log::Readiness;
use crate::scenario::{
    DEDUPLICATION_WINDOW, Idempotence, MEMORY_MB, OVERLOAD_FACTOR, OVERLOAD_WINDOW, Scenario,
};

/// A node says where it serves within this, and is ready within the second.
const SERVES_WITHIN: Duration = Duration::from_secs(10);
const READY_WITHIN: Duration = Duration::from_secs(15);
/// Lines of its log that are kept to show when it fails.
const LINES: usize = 12;

/// What a node cost up to a moment.
#[derive(Clone, Debug, Serialize)]
pub struct Sample {
    pub at_s: f64,
    pub node: usize,
    /// Processor time of its process so far, s.
    pub cpu_s: f64,
    pub memory_mb: f64,
    pub descriptors: usize,
}

/// What a process is started with beyond its program.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    pub number: usize,
    /// Counts the processes of a node that were started beside an older one.
    pub version: usize,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Its second address, where the scenario needs one.
    pub admin_address: Option<SocketAddr>,
    /// The endpoint list that the process starts with.
    pub saved_list: Option<serde_json::Value>,
    /// The node's own folder for what lasts a short time; both processes of a node share it.
    pub temporary: PathBuf,
}

/// Why a node does not run.
#[derive(Debug, Error)]
pub enum NodeError {
    #[error("{}: {problem}; give the lab a folder that it can write to", file.display())]
    Write { file: PathBuf, problem: std::io::Error },
    #[error("node {node}: {}: {problem}; name a program that can be run with --node", program.display())]
    Start { node: usize, program: PathBuf, problem: std::io::Error },
    #[error("node {node} {why}; its last lines:\n    {lines}")]
    Failed { node: usize, why: &'static str, lines: String },
}

/// What every node is started by.
#[derive(Clone)]
pub struct Program {
    pub path: PathBuf,
    pub arguments: Vec<String>,
    /// Where configurations and logs go.
    pub folder: PathBuf,
}

/// A node's process.
pub struct Node {
    pub spec: ProcessSpec,
    /// Where it serves; before it has said so, where it was told to listen.
    pub address: SocketAddr,
    pub child: Child,
    /// Says the address once it serves.
    serves: Option<oneshot::Receiver<SocketAddr>>,
    config: PathBuf,
    lines: Arc<Mutex<VecDeque<String>>>,
}

/// The platform's file for a node.
pub fn config(scenario: &Scenario, spec: &ProcessSpec) -> String {
    let ProcessSpec { number, listen, discovery, admin_address, saved_list, .. } = spec;
    let services: Vec<_> = scenario
        .classes
        .iter()
        .map(|class| {
            let (idempotency, scope, window) = match class.idempotence {
                Idempotence::Idempotent => ("safe", "", TimeSpan::ZERO),
                Idempotence::IdempotentWithKey => ("keyed", "cell", DEDUPLICATION_WINDOW),
                Idempotence::NonIdempotent => ("unsafe", "", TimeSpan::ZERO),
            };
            json!({"name": class.name, "idempotency": idempotency, "keyScope": scope, "dedupWindowUs": window,
                "objectiveUs": TimeSpan::from_secs_f64(class.objective_s), "aimStretch": class.stretch, "giveUpUs": TimeSpan::from_secs_f64(class.timeout_s),
                "worth": class.priority_weight})
        })
        .collect();
    let kinds: Vec<_> = scenario.fleet.kinds.iter().map(|kind| kind.name.as_str()).collect();
    let mut file = json!({
        "name": format!("n{number}"), "listen": listen, "discovery": discovery,
        "seed": format!("{:016x}", scenario.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ *number as u64),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB as u64, "sockets": scenario.nodes.descriptors},
        "known": saved_list.clone().unwrap_or_else(|| json!({"index": 0, "snapshot": true, "endpoints": []})),
        "settings": {
            "balancers": scenario.nodes.count, "rank": number, "zone": 0, "discovery": "subscribe",
            "localities": ["lab"], "kinds": kinds, "services": services,
            "familyInfo": {"classKind": vec![-1; services.len()], "tellsStart": true},
            "limits": {"cancel": true, "mayDuplicate": false, "mayTell": false, "sendCap": 3, "retryAfter": false,
                "maxRetryAfterUs": 2_000_000, "connectTimeoutUs": 150_000, "keepaliveUs": 30_000_000},
            "rules": {"askWithinUs": 10_000_000, "coldShare": scenario.fleet.initial_capacity_fraction,
                "warmUpUs": TimeSpan::from_secs_f64(scenario.fleet.warm_up_s), "overloadFactor": OVERLOAD_FACTOR, "fallUs": OVERLOAD_WINDOW},
        },
    });
    if let Some(admin_address) = admin_address {
        file["console"] = json!(admin_address);
    }
    file.to_string()
}

impl Node {
    /// Starts a node, and returns once it is ready to serve.
    pub async fn start(program: &Program, scenario: &Scenario, spec: ProcessSpec) -> Result<Node, NodeError> {
        let mut node = Node::spawn(program, scenario, spec)?;
        let serves = node.serves.take().map(|serves| timeout(SERVES_WITHIN, serves));
        node.address = match serves.expect("just spawned").await {
            Ok(Ok(address)) => address,
            Ok(Err(_)) => return Err(node.failed("ended before it served")),
            Err(_) => return Err(node.failed("did not say where it serves")),
        };
        let until = Instant::now() + READY_WITHIN;
        while check_readiness(node.address).await != Readiness::Yes {
            if Instant::now() > until {
                return Err(node.failed("did not become ready"));
            }
            sleep(Duration::from_millis(50)).await;
        }
        Ok(node)
    }

    /// Starts a process, and returns at once.
    pub fn spawn(program: &Program, scenario: &Scenario, spec: ProcessSpec) -> Result<Node, NodeError> {
        let number = spec.number;
        // The first keeps the plain name; those beside it have files of their own.
        let name = match spec.version {
            0 => format!("n{number}"),
            version => format!("n{number}-v{version}"),
        };
        let config = program.folder.join(format!("{name}.json"));
        write(&config, &self::config(scenario, &spec))?;
        std::fs::create_dir_all(&spec.temporary)
            .map_err(|problem| NodeError::Write { file: spec.temporary.clone(), problem })?;
        // The shell lowers its own limit and then becomes the program, so that signals reach that.
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", r#"ulimit -n "$0" && exec "$@""#, &scenario.nodes.descriptors.to_string()])
            .arg(&program.path)
            .args(&program.arguments)
            .env("RELAY_CONFIG", &config)
            .env("TMPDIR", &spec.temporary)
            .env_remove("RELAY_NAME")
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY")
            .env_remove("RELAY_CONSOLE")
            .env_remove("CURLEWUSHER_OPERATOR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            // Ctrl-C on a terminal goes to a whole group; the lab ends its children itself.
            .process_group(0)
            .kill_on_drop(true);
        if let Some(file) = &scenario.nodes.operator {
            command.env("CURLEWUSHER_OPERATOR", file);
        }
        let failed = |problem| NodeError::Start { node: number, program: program.path.clone(), problem };
        let mut child = command.spawn().map_err(failed)?;
        let lines: Arc<Mutex<VecDeque<String>>> = Arc::default();
        let (said, serves) = oneshot::channel();
        if let Some(stderr) = child.stderr.take() {
            let log = program.folder.join(format!("{name}.log"));
            tokio::spawn(keep_lines(stderr, log, lines.clone(), said));
        }
        Ok(Node { address: spec.listen, spec, child, serves: Some(serves), config, lines })
    }

    /// That it does not run, with its last lines.
    pub fn failed(&self, why: &'static str) -> NodeError {
        let lines = self.last_lines().join("\n    ");
        let lines = if lines.is_empty() { "(none)".into() } else { lines };
        NodeError::Failed { node: self.spec.number, why, lines }
    }

    /// The last lines that it wrote.
    pub fn last_lines(&self) -> Vec<String> {
        self.lines.lock().iter().cloned().collect()
    }

    pub fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        if let Some(id) = id {
            // One that has just ended needs no signal.
            let _ = kill_process(id, signal);
        }
    }

    /// Writes its configuration anew with another discovery, and has it read.
    pub fn move_discovery(&mut self, scenario: &Scenario, discovery: SocketAddr) -> Result<(), NodeError> {
        self.spec = ProcessSpec { discovery, listen: self.address, ..self.spec.clone() };
        write(&self.config, &config(scenario, &self.spec))?;
        self.signal(Signal::HUP);
        Ok(())
    }
}

fn write(path: &Path, text: &str) -> Result<(), NodeError> {
    std::fs::write(path, text).map_err(|problem| NodeError::Write { file: path.to_owned(), problem })
}

/// Keeps all lines in a file and the last ones at hand, and says the address that the first of them names.
async fn keep_lines(
    stderr: tokio::process::ChildStderr,
    file: PathBuf,
    lines: Arc<Mutex<VecDeque<String>>>,
    said: oneshot::Sender<SocketAddr>,
) {
    use std::io::Write;
    let mut file = std::fs::OpenOptions::new().create(true).append(true).open(file).ok();
    let mut said = Some(said);
    let mut read = BufReader::new(stderr).lines();
    while let Ok(Some(line)) = read.next_line().await {
        let address =
            line.split("serves on ").nth(1).and_then(|rest| rest.split(['"', ' ']).next()?.parse().ok());
        if let (Some(address), Some(say)) = (address, said.take_if(|_| address.is_some())) {
            let _ = say.send(address);
        }
        if let Some(file) = &mut file {
            let _ = writeln!(file, "{line}");
        }
        let mut lines = lines.lock();
        lines.push_back(line);
        if lines.len() > LINES {
            lines.pop_front();
        }
    }
}

/// Result of a readiness check of a node.
pub async fn check_readiness(address: SocketAddr) -> Readiness {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let ask = async {
        let mut stream = tokio::net::TcpStream::connect(address).await.ok()?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n").await.ok()?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await.ok()?;
        Some(if head == *b"HTTP/1.1 200" { Readiness::Yes } else { Readiness::No })
    };
    timeout(Duration::from_secs(1), ask).await.ok().flatten().unwrap_or(Readiness::Nothing)
}

/// The series of violations that a node has counted itself, where one is not zero.
pub async fn nonzero_violation_counters(address: SocketAddr) -> Vec<String> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let ask = async {
        let mut stream = tokio::net::TcpStream::connect(address).await.ok()?;
        stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n").await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        Some(text)
    };
    let text = timeout(Duration::from_secs(2), ask).await.ok().flatten().unwrap_or_default();
    let is_violation =
        |line: &&str| line.starts_with("curlewusher_violations_total{") && !line.ends_with(" 0");
    text.lines().filter(is_violation).map(str::to_owned).collect()
}

/// What a process has cost, as the system tells it; none once it is gone.
pub fn sample_cost(process: u32, node: usize, at_s: f64) -> Option<Sample> {
    let read = |what: &str| std::fs::read_to_string(format!("/proc/{process}/{what}")).ok();
    let stat = read("stat")?;
    // The name in brackets may hold anything; figures come behind it.
    let figures: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks: f64 = figures.get(11)?.parse::<f64>().ok()? + figures.get(12)?.parse::<f64>().ok()?;
    let status = read("status")?;
    let kilobytes: f64 = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok())?;
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).ok()?.count();
    let per_s = rustix::param::clock_ticks_per_second() as f64;
    Some(Sample { at_s, node, cpu_s: ticks / per_s, memory_mb: kilobytes / 1024.0, descriptors })
}
