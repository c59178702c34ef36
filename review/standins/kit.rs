//! Stand-ins for clients, core workers and discovery, and the control of node processes. Uses the standard
//! library only. Every address is a loopback address. Each connection is served by a thread of its own.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit status: the rule held, it was broken, or the case could not run.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption is to be made (`TROUBLE=0` leaves it out).
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ids of the node processes that are to be ended with this program.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Temporary folders that are to be removed with this program.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Sends a signal by the shell's `kill`.
fn send_signal(name: &str, id: u32) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {id}")).stderr(Stdio::null()).status();
}

/// Ends all processes that were started, removes the temporary folders and ends this program.
pub fn finish(status: i32) -> ! {
    for id in PROCESSES.lock().unwrap().drain(..) {
        // A process that has ended was waited for, and its id may belong to another program.
        let command = std::fs::read_to_string(format!("/proc/{id}/cmdline")).unwrap_or_default();
        if !command.contains("curlewusher") {
            continue;
        }
        send_signal("KILL", id);
    }
    thread::sleep(millis(50));
    for folder in FOLDERS.lock().unwrap().drain(..) {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(status)
}

/// Ends the program as a case that could not run.
pub fn cannot_run(why: impl std::fmt::Display) -> ! {
    eprintln!("cannot run: {why}");
    finish(NOT_RUN)
}

/// Ends the program as a case that could not run, if it still runs after this time.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        cannot_run("the time is up")
    });
}

// ---------------------------------------------------------------------------------------------- record

/// `record.txt`: one line for each event, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(format!("{path:?}: {error}")));
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: impl std::fmt::Display) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl std::fmt::Display) {
        println!("{text}");
        self.line(text);
    }
}

// ---------------------------------------------------------------------------------------------- HTTP

/// A request or a response that was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message. `None` at the end of the stream before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    while message.start.is_empty() {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        message.start = line.trim_end().to_owned();
    }
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
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

pub fn response(status: u16, extra: &str, body: &str) -> String {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        404 => "Not Found",
        503 => "Service Unavailable",
        _ => "Status",
    };
    format!("HTTP/1.1 {status} {reason}\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len())
}

// ---------------------------------------------------------------------------------------------- discovery

/// Entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Endpoint {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"couva-shed","type":"plain-five","group":{},"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.name, self.address, self.group, self.status, self.since_ms
        )
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

struct Listing {
    index: u64,
    endpoints: Vec<Endpoint>,
    /// Every change: its version and the entry after it.
    changes: Vec<(u64, Endpoint)>,
}

/// Discovery: the whole list, and watches with a heartbeat every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    listing: Arc<Mutex<Listing>>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, endpoints: Vec<Endpoint>) -> Discovery {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let listing = Arc::new(Mutex::new(Listing { index: 41, endpoints, changes: Vec::new() }));
        let discovery = Discovery { address, listing, record: record.clone() };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        discovery
    }

    /// Changes an entry, or adds it. The change is told to all watches within some milliseconds.
    pub fn set(&self, endpoint: Endpoint) {
        let mut listing = self.listing.lock().unwrap();
        listing.index += 1;
        let index = listing.index;
        listing.endpoints.retain(|other| other.name != endpoint.name);
        if endpoint.status != "terminated" {
            listing.endpoints.push(endpoint.clone());
        }
        self.record.line(format!("discovery: version {index}: {} is {}", endpoint.name, endpoint.status));
        listing.changes.push((index, endpoint));
    }

    /// The list as JSON, for `known` of a configuration.
    pub fn list(&self) -> String {
        let listing = self.listing.lock().unwrap();
        list_json(listing.index, true, listing.endpoints.iter())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Ok(Some(request)) = read_message(&mut reader) {
            let path = request.path().to_owned();
            if !path.contains("follow=1") {
                if stream.write_all(response(200, "", &self.list()).as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let since = path.split("since=").nth(1).and_then(|text| text.split('&').next()?.parse().ok());
            let _ = self.watch(&mut stream, since.unwrap_or(0));
            return;
        }
    }

    fn watch(&self, stream: &mut TcpStream, since: u64) -> io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told;
        {
            let (first, index) = {
                let listing = self.listing.lock().unwrap();
                let oldest = listing.changes.first().map_or(listing.index, |(index, _)| index - 1);
                let line = if since >= oldest && since <= listing.index && since != 0 {
                    let changed = listing.changes.iter().filter(|(index, _)| *index > since);
                    list_json(listing.index, false, changed.map(|(_, endpoint)| endpoint))
                } else {
                    list_json(listing.index, true, listing.endpoints.iter())
                };
                (line, listing.index)
            };
            chunk(stream, &first)?;
            told = index;
        }
        let mut last = Instant::now();
        loop {
            thread::sleep(millis(5));
            let line = {
                let listing = self.listing.lock().unwrap();
                (listing.index > told).then(|| {
                    let changed = listing.changes.iter().filter(|(index, _)| *index > told);
                    let line = list_json(listing.index, false, changed.map(|(_, endpoint)| endpoint));
                    told = listing.index;
                    line
                })
            };
            if let Some(line) = line {
                chunk(stream, &line)?;
                last = Instant::now();
            } else if last.elapsed() >= millis(2000) {
                chunk(stream, "")?;
                last = Instant::now();
            }
        }
    }
}

fn list_json<'a>(index: u64, snapshot: bool, endpoints: impl Iterator<Item = &'a Endpoint>) -> String {
    let entries: Vec<String> = endpoints.map(Endpoint::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

fn chunk(stream: &mut TcpStream, line: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(error))
}

/// An address on which nothing listens now.
pub fn free_address() -> SocketAddr {
    listen().local_addr().unwrap()
}

// ---------------------------------------------------------------------------------------------- worker

/// What a core worker does with a job.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub run: Duration,
}

/// State of a job at a core worker.
struct Running {
    cancelled: Arc<AtomicBool>,
}

/// A core worker: it takes each job, answers 202, tells of its start, runs it for a fixed time and tells that
/// it is done, over a new connection for each call. A call is repeated until it is answered, ten times at most.
#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    pub taken: Arc<AtomicU64>,
    pub run: Arc<AtomicU64>,
    pub result_bytes: Arc<AtomicU64>,
    arrivals: Arc<Mutex<Vec<(String, Instant)>>>,
    node: Arc<Mutex<SocketAddr>>,
    running: Arc<Mutex<HashMap<String, Running>>>,
    record: Record,
}

impl Worker {
    pub fn start(record: &Record, name: &str, node: SocketAddr, run: Duration) -> Worker {
        let listener = listen();
        let worker = Worker {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            taken: Arc::default(),
            run: Arc::new(AtomicU64::new(run.as_millis() as u64)),
            result_bytes: Arc::new(AtomicU64::new(0)),
            arrivals: Arc::default(),
            node: Arc::new(Mutex::new(node)),
            running: Arc::default(),
            record: record.clone(),
        };
        let served = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        worker
    }

    /// Each job that was read, with the time at which it was read.
    pub fn arrivals(&self) -> Vec<(String, Instant)> {
        self.arrivals.lock().unwrap().clone()
    }

    pub fn endpoint(&self, group: u32) -> Endpoint {
        Endpoint { name: self.name.clone(), address: self.address, group, status: "in_service", since_ms: 0 }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(request)) = read_message(&mut reader) {
            let answer = match request.method() {
                "DELETE" => {
                    let id = request.path().trim_start_matches("/jobs/").to_owned();
                    let job = self.running.lock().unwrap().remove(&id);
                    self.record.line(format!("{}: given up {id}, known {}", self.name, job.is_some()));
                    match job {
                        Some(job) => {
                            job.cancelled.store(true, Ordering::SeqCst);
                            response(200, "", "")
                        }
                        None => response(404, "", ""),
                    }
                }
                "POST" => match request.header("x-request-id") {
                    Some(id) => {
                        self.take(id.to_owned(), &request);
                        response(202, "", "")
                    }
                    None => response(404, "", ""),
                },
                _ => response(404, "", ""),
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn take(&self, id: String, request: &Message) {
        self.taken.fetch_add(1, Ordering::SeqCst);
        self.arrivals.lock().unwrap().push((id.clone(), Instant::now()));
        let deadline = request.header("x-deadline").unwrap_or("-");
        self.record.line(format!("{}: took {id}, told deadline {deadline}", self.name));
        let cancelled = Arc::new(AtomicBool::new(false));
        self.running.lock().unwrap().insert(id.clone(), Running { cancelled: cancelled.clone() });
        let worker = self.clone();
        thread::spawn(move || {
            worker.call(&id, r#""state":"started""#, &cancelled);
            thread::sleep(millis(worker.run.load(Ordering::SeqCst)));
            if cancelled.load(Ordering::SeqCst) {
                return;
            }
            worker.record.line(format!("{}: ran {id}", worker.name));
            worker.running.lock().unwrap().remove(&id);
            let padding = "r".repeat(worker.result_bytes.load(Ordering::SeqCst) as usize);
            worker.call(&id, &format!(r#""state":"done","result":"{id} at {}{padding}""#, worker.name), &cancelled);
        });
    }

    /// Sends a call until it is answered, ten times at most. Returns whether it was answered with 200 or 204.
    fn call(&self, id: &str, fields: &str, cancelled: &AtomicBool) -> bool {
        let body = format!(r#"{{"id":"{id}","from":"{}",{fields}}}"#, self.name);
        let request = format!(
            "POST /callback HTTP/1.1\r\nHost: node\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        for attempt in 0..10 {
            if cancelled.load(Ordering::SeqCst) {
                return false;
            }
            let node = *self.node.lock().unwrap();
            let answered = TcpStream::connect(node).and_then(|mut stream| {
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(millis(3000)))?;
                stream.write_all(request.as_bytes())?;
                read_message(&mut BufReader::new(stream))
            });
            if let Ok(Some(answer)) = &answered {
                if matches!(answer.status(), 200 | 204) {
                    return true;
                }
            }
            self.record.line(format!("{}: call {attempt} for {id} not answered", self.name));
            thread::sleep(millis(200));
        }
        false
    }
}

// ---------------------------------------------------------------------------------------------- client

/// A client's request.
pub fn job_request(id: &str, class: &str, deadline: &str, extra: &str, body: &str) -> String {
    format!(
        "POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n\
         X-Deadline: {deadline}\r\nX-Cost-Hint: 100000\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads an answer, and waits for it until `until`.
pub fn read_answer(stream: &TcpStream, until: Instant) -> io::Result<Option<Message>> {
    let left = until.saturating_duration_since(Instant::now()).max(millis(1));
    stream.set_read_timeout(Some(left))?;
    read_message(&mut BufReader::new(stream))
}

pub fn get(address: SocketAddr, path: &str) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, millis(500))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n").as_bytes())?;
    read_answer(&stream, Instant::now() + millis(2000))?.ok_or(io::ErrorKind::UnexpectedEof.into())
}

// ---------------------------------------------------------------------------------------------- node

/// A node process, started by `run` of the deploy file.
pub struct Node {
    pub child: Child,
    pub listen: SocketAddr,
    pub console: SocketAddr,
    pub folder: PathBuf,
    log: PathBuf,
}

/// What a configuration of a node says.
#[derive(Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub console: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub memory_mb: u64,
    pub sockets: u64,
    pub settings: String,
}

impl Config {
    pub fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","listen":"{}","console":"{}","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{}}}"#,
            self.name, self.listen, self.console, self.discovery, self.memory_mb, self.sockets, self.known, self.settings
        )
    }
}

/// Settings like those of `caroni-core`, for one node.
pub const SETTINGS: &str = r#"{"balancers":1,"rank":0,"zone":0,"tier":0,"discovery":"subscribe","family":"jobs",
"countedBy":"work","customers":[],"localities":["couva-shed","arima-shed","penal-shed"],"kinds":["fast-five","plain-five","old-four"],
"services":[
{"name":"scan-view","idempotency":"safe","keyScope":"all","dedupWindowUs":5000000,"objectiveUs":750000,"giveUpUs":6000000,"lateWorth":0.0,"stream":false,"worth":1.0},
{"name":"log-compute","idempotency":"safe","keyScope":"all","dedupWindowUs":5000000,"objectiveUs":1000000,"giveUpUs":25000000,"lateWorth":0.0,"stream":false,"worth":3.0},
{"name":"sample-register","idempotency":"keyed","keyScope":"cell","dedupWindowUs":40000000,"objectiveUs":2000000,"giveUpUs":25000000,"lateWorth":0.0,"stream":false,"worth":2.0},
{"name":"release-order","idempotency":"unsafe","keyScope":"all","dedupWindowUs":5000000,"objectiveUs":1000000,"giveUpUs":25000000,"lateWorth":0.0,"stream":false,"worth":3.0}],
"familyInfo":{"classKind":[-1,-1,-1,-1],"classPriority":[0,1,0,1],"classStretch":[2.5,2.0,2.0,2.0],"progressUs":2000000,"queueOrder":"fifo","tellsStart":true},
"limits":{"cancel":true,"connectTimeoutUs":150000,"cpuUsPerRequest":0.0,"cpuUsPerS":800000,"keepaliveUs":30000000,"maxRetryAfterUs":2000000,"mayDuplicate":false,"mayTell":false,"multiplex":1,"openCap":20000,"probes":true,"retryAfter":false,"sendCap":3},
"overShareWorth":0.1,"periodUs":2000,"prices":{"crossZone":0.03,"lateFail":0.03,"probe":0.002,"waste":0.05},
"report":{"fields":[],"via":"none"},"weights":"none",
"rules":{"answerSlackUs":8000,"askWithinUs":10000000,"coldShare":0.13,"fallUs":2000000,"overloadFactor":3.0,"stopSendingWithinUs":750000,"warmUpUs":24000000}}"#;

pub fn repository() -> PathBuf {
    let root = std::env::var("ROOT").unwrap_or_else(|_| cannot_run("ROOT is not set"));
    PathBuf::from(root)
}

/// `run` of the deploy file.
fn run_command() -> String {
    let path = repository().join("deploy/balancer.toml");
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| cannot_run(error));
    let line = text.lines().find(|line| line.starts_with("run = ")).unwrap_or_else(|| cannot_run("no run"));
    line.split('"').nth(1).unwrap_or_else(|| cannot_run("no run")).to_owned()
}

impl Node {
    /// Starts a process of a node. `folder` holds its configuration and log, and `tmpdir` is its `$TMPDIR`.
    pub fn start(record: &Record, config: &Config, folder: &Path, tmpdir: &Path, label: &str) -> Node {
        std::fs::create_dir_all(folder).unwrap_or_else(|error| cannot_run(error));
        std::fs::create_dir_all(tmpdir).unwrap_or_else(|error| cannot_run(error));
        let file = folder.join(format!("{label}.json"));
        std::fs::write(&file, config.json()).unwrap_or_else(|error| cannot_run(error));
        let log = folder.join(format!("{label}.log"));
        let output = File::create(&log).unwrap_or_else(|error| cannot_run(error));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()).current_dir(repository());
        command.env("RELAY_CONFIG", &file).env("TMPDIR", tmpdir).stdin(Stdio::null());
        for name in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONSOLE", "CURLEWUSHER_OPERATOR"] {
            command.env_remove(name);
        }
        command.stdout(output.try_clone().unwrap()).stderr(output);
        let child = command.spawn().unwrap_or_else(|error| cannot_run(error));
        PROCESSES.lock().unwrap().push(child.id());
        // `run.sh` ends the processes in this file if this program cannot.
        if let Ok(path) = std::env::var("PIDS") {
            let file = File::options().append(true).create(true).open(path);
            let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
        }
        record.line(format!("process {label} started"));
        Node { child, listen: config.listen, console: config.console, folder: folder.to_owned(), log }
    }

    pub fn wait_ready(&mut self, limit: Duration) {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if get(self.listen, "/ready").is_ok_and(|answer| answer.status() == 200) {
                return;
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                cannot_run(format!("the node ended: {status}; {}", self.log()));
            }
            thread::sleep(millis(50));
        }
        cannot_run("the node is not ready")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn signal(&self, name: &str) {
        send_signal(name, self.child.id());
    }

    /// Figure of `/proc/PID/status` in kB.
    pub fn status_kb(&self, field: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(field));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    }

    /// Sends one operators' call.
    pub fn call(console: SocketAddr, line: &str) -> String {
        let answer = TcpStream::connect(console).and_then(|mut stream| {
            stream.set_read_timeout(Some(millis(2000)))?;
            stream.write_all(format!("{line}\n").as_bytes())?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        });
        answer.map_or_else(|error| format!("({error})"), |text| text.trim().to_owned())
    }
}

/// Creates a folder of its own for a run, which is removed at the end.
pub fn temporary_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap_or_else(|error| cannot_run(error));
    FOLDERS.lock().unwrap().push(path.clone());
    path
}
