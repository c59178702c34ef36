//! Common parts of the stand-ins: the record of a run, HTTP messages, the node as a process, its settings.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Record of a run: every line has the seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.now());
    }

    /// Writes a line to the record and to the terminal.
    pub fn tell(&self, text: &str) {
        println!("{:8.3} {text}", self.now());
        self.line(text);
    }
}

/// Ends the case with 2: it could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(2)
}

/// A request or a response, with header names in lower case.
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Second word of the first line: the path of a request, or the status of a response.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Reads a message with a Content-Length. Returns `None` at the end of the connection. Also returns the time of
/// the first byte of the message.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(Message, Instant)>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let first_byte = Instant::now();
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let first_line = line.trim_end().to_owned();
    let mut headers = HashMap::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((Message { first_line, headers, body }, first_byte)))
}

/// A free port on the loopback address.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
    listener.local_addr().map(|address| address.port()).unwrap_or_else(|error| cannot_run(&error.to_string()))
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A fresh id in the form of the protocol page.
pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos() as u64;
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (nanos << 32 ^ count.wrapping_mul(0x9e37_79b9_7f4a_7c15)) | 1)
}

/// The classes of the brief, in its order: name and give-up time in seconds.
pub const CLASSES: [(&str, f64); 4] =
    [("scan-view", 6.0), ("log-compute", 25.0), ("sample-register", 25.0), ("release-order", 25.0)];

/// The settings of the wire page, for this number of nodes.
pub fn settings(nodes: u32, rank: u32) -> String {
    format!(
        r#"{{"balancers":{nodes},"rank":{rank},"zone":0,"tier":0,"discovery":"subscribe","family":"jobs",
"clients":{{"marksRetry":true}},"countedBy":"work","customers":[],"weights":"none","overShareWorth":0.1,"periodUs":2000,
"familyInfo":{{"classKind":[-1,-1,-1,-1],"classPriority":[0,1,0,1],"classStretch":[2.5,2.0,2.0,2.0],"progressUs":2000000,"queueOrder":"fifo","tellsStart":true}},
"kinds":["fast-five","plain-five","old-four"],"layers":["core-workers"],"localities":["couva-shed","arima-shed","penal-shed"],
"limits":{{"cancel":true,"connectTimeoutUs":150000,"cpuUsPerRequest":0.0,"cpuUsPerS":800000,"keepaliveUs":30000000,"maxRetryAfterUs":2000000,"mayDuplicate":false,"mayTell":false,"multiplex":1,"openCap":20000,"probes":true,"retryAfter":false,"sendCap":3}},
"prices":{{"connection":0.0,"crossZone":0.03,"discovery":0.0,"handshake":0.0,"lateFail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.002,"waste":0.05}},
"report":{{"fields":[],"via":"none"}},"resultMix":{{"whole":0.65,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.15}},
"rules":{{"answerSlackUs":8000,"askWithinUs":10000000,"coldShare":0.13,"fallUs":2000000,"overloadFactor":3.0,"stopSendingWithinUs":750000,"warmUpUs":24000000}},
"services":[{{"dedupWindowUs":5000000,"giveUpUs":6000000,"idempotency":"safe","keyScope":"all","lateWorth":0.0,"name":"scan-view","objectiveUs":750000,"stream":false,"worth":1.0}},
{{"dedupWindowUs":5000000,"giveUpUs":25000000,"idempotency":"safe","keyScope":"all","lateWorth":0.0,"name":"log-compute","objectiveUs":1000000,"stream":false,"worth":3.0}},
{{"dedupWindowUs":40000000,"giveUpUs":25000000,"idempotency":"keyed","keyScope":"cell","lateWorth":0.0,"name":"sample-register","objectiveUs":2000000,"stream":false,"worth":2.0}},
{{"dedupWindowUs":5000000,"giveUpUs":25000000,"idempotency":"unsafe","keyScope":"all","lateWorth":0.0,"name":"release-order","objectiveUs":1000000,"stream":false,"worth":3.0}}]}}"#
    )
}

/// What a node is told at its start.
pub struct NodeConfig {
    pub listen: u16,
    pub console: Option<u16>,
    pub discovery: u16,
    pub sockets: u32,
    pub memory_mb: u32,
    /// The list of discovery, as the node last had it.
    pub known: String,
    pub settings: String,
    /// The folder of `$TMPDIR`, which both processes of an upgrade share.
    pub tmp: PathBuf,
}

/// A node: the program of the deploy file as a process. Dropping it ends the process.
pub struct Node {
    pub child: Child,
    pub config: NodeConfig,
}

impl Node {
    /// Starts the `run` command of the deploy file from the root of the project.
    pub fn start(config: NodeConfig, label: &str) -> Node {
        let run = run_command();
        fs::create_dir_all(&config.tmp).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let folder = work_folder();
        let file = folder.join(format!("{label}.json"));
        let console = config.console.map_or(String::new(), |port| format!("\"console\":\"127.0.0.1:{port}\","));
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:{}\",\"discovery\":\"127.0.0.1:{}\",{console}\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            config.listen, config.discovery, config.memory_mb, config.sockets, config.known, config.settings
        );
        fs::write(&file, text).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let log = File::create(folder.join(format!("{label}.log"))).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).env("RELAY_CONFIG", &file).env("TMPDIR", &config.tmp);
        command.env("RELAY_NAME", "n0").env("RELAY_LISTEN", format!("127.0.0.1:{}", config.listen));
        command.env("RELAY_DISCOVERY", format!("127.0.0.1:{}", config.discovery));
        if let Some(port) = config.console {
            command.env("RELAY_CONSOLE", format!("127.0.0.1:{port}"));
        }
        command.stdin(Stdio::null()).stdout(Stdio::from(log.try_clone().unwrap())).stderr(Stdio::from(log));
        let child = command.spawn().unwrap_or_else(|error| cannot_run(&error.to_string()));
        remember(&child);
        Node { child, config }
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until `GET /ready` answers 200.
    pub fn wait_until_ready(&self) {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(10) {
            if let Ok((status, _)) = get(self.config.listen, "/ready") {
                if status == 200 {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run("the node was not ready within 10 s");
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Notes a process, so that run.sh ends it whatever happens.
pub fn remember(child: &Child) {
    let path = work_folder().join("processes");
    let file = File::options().create(true).append(true).open(path);
    let mut file = file.unwrap_or_else(|error| cannot_run(&error.to_string()));
    let _ = writeln!(file, "{}", child.id());
}

/// The `run` command of `deploy/balancer.toml`.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|error| cannot_run(&error.to_string()));
    let line = text.lines().find(|line| line.starts_with("run ")).unwrap_or_else(|| cannot_run("no run command"));
    line.split('"').nth(1).unwrap_or_else(|| cannot_run("no run command")).to_owned()
}

/// The temporary folder of this run, from run.sh.
pub fn work_folder() -> PathBuf {
    Path::new(&std::env::var("WORK").unwrap_or_else(|_| cannot_run("WORK is not set; start run.sh"))).to_owned()
}

/// Whether the run has its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn get(port: u16, path: &str) -> io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect(address(port))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n").as_bytes())?;
    match read_message(&mut BufReader::new(stream))? {
        Some((message, _)) => Ok((message.status(), message.body)),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Sends one line to a second address and returns the line of the answer.
pub fn console(port: u16, line: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address(port))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer)?;
    Ok(answer.trim_end().to_owned())
}

/// A job as a client sends it.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub class: usize,
    /// Seconds that the client waits.
    pub deadline: f64,
    /// Seconds of running at a core worker.
    pub work: f64,
}

impl Job {
    pub fn request(&self) -> Vec<u8> {
        let (class, ..) = CLASSES[self.class];
        let key = if class == "sample-register" {
            format!("Idempotency-Key: {}{}\r\n", self.id, self.id)
        } else {
            String::new()
        };
        let body = format!("{{\"core\":\"{}\"}}", self.id);
        format!(
            "POST /api/{} HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {}\r\nX-Class: {class}\r\nX-Deadline: {:.3}\r\nX-Cost-Hint: {}\r\nX-Extras: slots=1\r\n{key}Content-Length: {}\r\n\r\n{body}",
            &self.id[..6],
            self.id,
            self.deadline,
            (self.work * 1e6) as u64,
            body.len()
        )
        .into_bytes()
    }
}

/// Starts a thread with a small stack.
pub fn spawn<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> thread::JoinHandle<T> {
    thread::Builder::new().stack_size(256 << 10).spawn(work).unwrap_or_else(|error| cannot_run(&error.to_string()))
}

extern "C" {
    fn ioctl(fd: i32, request: u64, ...) -> i32;
}

/// Number of sent bytes that the other machine's system has not acknowledged (SIOCOUTQ), or -1.
pub fn unacknowledged_bytes(stream: &TcpStream) -> i32 {
    use std::os::fd::AsRawFd;
    const SIOCOUTQ: u64 = 0x5411;
    let mut count: i32 = -1;
    // SAFETY: the call writes one int.
    let result = unsafe { ioctl(stream.as_raw_fd(), SIOCOUTQ, &mut count as *mut i32) };
    if result == 0 { count } else { -1 }
}
