//! One node as a process, with a discovery and next hops of the test's own. Everything waits on events: a
//! next hop's requests come through a channel, a client's answer is read to its end.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

/// Nothing that these tests wait for takes nearly as long.
pub const LONG: Duration = Duration::from_secs(20);

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_curlewusher");

/// A request or an answer as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }

    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut line = || {
            let mut line = String::new();
            (from.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
        };
        let mut message = Message { start: line()?, ..Message::default() };
        while let Some((name, value)) = line()?.split_once(": ") {
            message.headers.push((name.to_owned(), value.to_owned()));
        }
        let length = message.header("content-length").map_or(0, |v| v.parse().expect("a length"));
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        message.body = String::from_utf8(body).expect("text");
        Some(message)
    }
}

/// Writes a request on a new connection.
pub fn write(to: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("it listens");
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    stream.write_all(request.as_bytes()).expect("it reads");
    stream
}

pub fn answer(stream: TcpStream) -> Message {
    Message::read(&mut BufReader::new(stream)).expect("an answer")
}

pub fn ask(to: SocketAddr, request: &str) -> Message {
    answer(write(to, request))
}

/// A client's job with these headers besides the usual ones.
pub fn job(id: &str, class: &str, wait: f64, more: &str) -> String {
    format!(
        "POST /api/k1?q=2 HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n\
         X-Deadline: {wait}\r\nX-Cost-Hint: 100000\r\n{more}Content-Length: 4\r\n\r\nbody"
    )
}

/// An operator's call, and the line that answers it.
pub fn call(at: SocketAddr, line: &str) -> String {
    let mut said = String::new();
    BufReader::new(write(at, line)).read_line(&mut said).expect("an answer");
    said.trim_end().to_owned()
}

/// Returns once one of its counters has come to that.
pub fn until_count(node: &Node, series: &str, count: u64) {
    let begun = Instant::now();
    while node.count(series) < count {
        assert!(begun.elapsed() < LONG, "{series} stays under {count}");
    }
}

/// Compares a text with what was recorded in `tests/golden`. With `CURLEWUSHER_RECORD=1` the file is written instead.
pub fn matches_golden(name: &str, text: &str) {
    let file = format!("tests/golden/{name}");
    if std::env::var_os("CURLEWUSHER_RECORD").is_some_and(|record| record == "1") {
        std::fs::write(&file, text).expect("a place for the golden file");
    }
    let golden = std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{file}: {error}"));
    assert!(golden == text, "{file} says\n{golden}\nand the program\n{text}");
}

/// What a next hop got, and the connection to answer it on.
pub struct Got {
    pub message: Message,
    /// Number of the connection, in the order in which they were accepted.
    pub connection: usize,
    stream: TcpStream,
}

impl Got {
    pub fn answer(&self, status: &str) {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        (&self.stream).write_all(text.as_bytes()).expect("the node reads");
    }

    /// Writes these bytes, whatever they are.
    pub fn say(&self, bytes: &str) {
        (&self.stream).write_all(bytes.as_bytes()).expect("the node reads");
    }

    /// The same for a node that may have ended the connection: whether it could be written.
    pub fn try_say(&self, bytes: &str) -> bool {
        (&self.stream).write_all(bytes.as_bytes()).is_ok()
    }

    /// The next hop's own end of the connection.
    pub fn local(&self) -> SocketAddr {
        self.stream.local_addr().expect("an address")
    }

    /// Ends the connection without an answer.
    pub fn reset(&self) {
        self.stream.shutdown(std::net::Shutdown::Both).expect("it was open");
    }
}

/// A server whose requests are handed to the test. An end of a connection comes as an empty message.
pub struct Server {
    pub address: SocketAddr,
    got: Receiver<Got>,
}

impl Server {
    pub fn start() -> Server {
        Server::on(TcpListener::bind("127.0.0.1:0").expect("a free port"))
    }

    /// One that listens there already.
    pub fn on(listener: TcpListener) -> Server {
        let address = listener.local_addr().expect("an address");
        let (sender, got) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let sender: Sender<Got> = sender.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                    let got =
                        |message| Got { message, connection, stream: stream.try_clone().expect("a handle") };
                    while let Some(message) = Message::read(&mut reader) {
                        if sender.send(got(message)).is_err() {
                            return;
                        }
                    }
                    let _ = sender.send(got(Message::default()));
                });
            }
        });
        Server { address, got }
    }

    pub fn next(&self) -> Got {
        self.got.recv_timeout(LONG).expect("a request")
    }

    /// The next request, ends of connections passed over.
    pub fn request(&self) -> Got {
        std::iter::repeat_with(|| self.next()).find(|got| !got.message.start.is_empty()).expect("endless")
    }

    /// The next request if one has come.
    pub fn waiting(&self) -> Option<Got> {
        self.got.try_iter().find(|got| !got.message.start.is_empty())
    }

    /// Whether anything but ends of connections has come that was not looked at.
    pub fn has_more(&self) -> bool {
        self.got.try_iter().any(|got| !got.message.start.is_empty())
    }
}

/// A next hop whose queue of connections is full: one more does not come up until the crowd is let in.
pub struct Crowded {
    listener: TcpListener,
    crowd: Vec<TcpStream>,
}

impl Crowded {
    pub fn start() -> Crowded {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().expect("an address");
        let fill = || TcpStream::connect_timeout(&at, Duration::from_millis(300));
        let crowd = std::iter::from_fn(|| fill().ok()).collect();
        Crowded { listener, crowd }
    }

    pub fn line(&self, status: &str) -> String {
        endpoint("s-1", self.listener.local_addr().expect("an address"), status)
    }

    pub fn let_in(&self) {
        self.crowd.iter().for_each(|_| _ = self.listener.accept().expect("one of the crowd"));
    }

    /// The connection that has come up, if one has.
    pub fn reached(&self) -> Option<TcpStream> {
        self.listener.set_nonblocking(true).expect("a listener");
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).expect("a stream");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Some(stream)
    }

    /// The connection that comes up now.
    pub fn next(&self) -> TcpStream {
        let begun = Instant::now();
        loop {
            if let Some(stream) = self.reached() {
                return stream;
            }
            assert!(begun.elapsed() < LONG, "nothing came");
            thread::yield_now();
        }
    }
}

/// Discovery: hands out the watch that the node opens.
pub struct Watch(Got);

impl Watch {
    pub fn open(discovery: &Server) -> Watch {
        let got = discovery.request();
        assert!(got.message.start.starts_with("GET /v1/endpoints?follow=1"), "{}", got.message.start);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        (&got.stream).write_all(head.as_bytes()).expect("the node reads");
        Watch(got)
    }

    pub fn since(&self) -> &str {
        self.0.message.start.split("since=").nth(1).and_then(|s| s.split(' ').next()).expect("a version")
    }

    pub fn line(&self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        (&self.0.stream).write_all(chunk.as_bytes()).expect("the node reads");
    }

    /// Writes these bytes, which may be no line.
    pub fn say(&self, bytes: &str) {
        self.0.say(bytes);
    }

    pub fn try_say(&self, bytes: &str) -> bool {
        self.0.try_say(bytes)
    }

    pub fn end(&self) {
        self.0.reset();
    }
}

pub fn endpoint(name: &str, at: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{at}","zone":"a","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

pub fn list(index: u64, snapshot: bool, endpoints: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, endpoints.join(","))
}

const SETTINGS: &str = r#"{"balancers":1,"rank":0,"zone":0,"discovery":"subscribe","localities":["a"],"kinds":["m"],
"services":[
{"name":"view","idempotency":"safe","objectiveUs":9000000,"giveUpUs":9000000,"worth":1.0},
{"name":"order","idempotency":"unsafe","objectiveUs":9000000,"giveUpUs":9000000,"worth":1.0},
{"name":"register","idempotency":"keyed","keyScope":"cell","dedupWindowUs":40000000,"objectiveUs":9000000,
"giveUpUs":9000000,"worth":1.0}],
"limits":{"cancel":true,"mayDuplicate":false,"mayTell":false,"sendCap":3,"retryAfter":false,
"maxRetryAfterUs":2000000,"connectTimeoutUs":500000,"keepaliveUs":120000000},
"familyInfo":{"tellsStart":true},
"rules":{"askWithinUs":10000000,"coldShare":0.2,"warmUpUs":1000000,"overloadFactor":3.0,"fallUs":1000000}}"#;

/// The node's configuration. The system chooses its port.
pub fn config(discovery: SocketAddr, known: &[String]) -> String {
    let known = list(41, true, known);
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

/// The same, with a second address for operators.
pub fn operated(discovery: SocketAddr, known: &[String]) -> String {
    config(discovery, known).replacen('{', r#"{"console":"127.0.0.1:0","#, 1)
}

/// A client's connection that is kept.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(to: SocketAddr) -> Client {
        Client(BufReader::new(write(to, "")))
    }

    pub fn send(&mut self, request: &str) {
        self.0.get_mut().write_all(request.as_bytes()).expect("it reads");
    }

    /// The next answer; none where the connection has ended instead.
    pub fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }
}

/// The program under test.
pub struct Node {
    pub address: SocketAddr,
    /// What it wrote to standard error before it said where it serves.
    pub before: Vec<String>,
    file: String,
    said: Receiver<String>,
    child: Option<Child>,
}

impl Node {
    /// Starts the program on that configuration, which it reads as soon as it is there.
    pub fn spawn(config: &str, descriptors: u32) -> (Child, String) {
        Node::spawn_with(config, descriptors, None)
    }

    /// The same with an operator's file of this text.
    fn spawn_with(config: &str, descriptors: u32, operator: Option<&str>) -> (Child, String) {
        let file = Node::file(config);
        (Node::spawn_in(&format!("{file}.d"), &file, descriptors, operator), file)
    }

    /// A file of that configuration, and a folder beside it, for one node.
    pub fn file(config: &str) -> String {
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

    /// The program with that folder for its files, and that file of configuration.
    pub fn spawn_in(folder: &str, file: &str, descriptors: u32, operator: Option<&str>) -> Child {
        Node::spawn_program(PROGRAM, folder, file, descriptors, operator)
    }

    /// The same with the program of the older version, which `CURLEWUSHER_OLDER_PROGRAM` names; else it is the same one.
    pub fn spawn_older_in(folder: &str, file: &str) -> Child {
        let program = std::env::var("CURLEWUSHER_OLDER_PROGRAM").unwrap_or_else(|_| PROGRAM.to_owned());
        Node::spawn_program(&program, folder, file, 1024, None)
    }

    /// A node of the older version.
    pub fn start_older(config: &str) -> Node {
        let file = Node::file(config);
        Node::heard((Node::spawn_older_in(&format!("{file}.d"), &file), file))
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
            // Nodes of other tests, which have the same address to the letter, must not meet this one there.
            .env("TMPDIR", folder)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts")
    }

    /// A process of the same node: with this one's folder, and its configuration but for discovery, of which each has
    /// one that the test can tell from the other's.
    pub fn spawn_beside(&self, discovery: SocketAddr) -> (Child, String) {
        let text = std::fs::read_to_string(&self.file).expect("its configuration");
        let was = text.split(r#""discovery":""#).nth(1).and_then(|rest| rest.split_once('"'));
        let was = format!(r#""discovery":"{}""#, was.expect("an address").0);
        let text = text.replacen(&was, &format!(r#""discovery":"{discovery}""#), 1);
        let file = format!("{}-{}", self.file, discovery.port());
        std::fs::write(&file, text).expect("a place for the configuration");
        (Node::spawn_in(&self.folder(), &file, 1024, None), file)
    }

    /// What the process and those beside it have for $TMPDIR.
    pub fn folder(&self) -> String {
        let (first, _) = self.file.split_once(".json").expect("such a name");
        format!("{first}.json.d")
    }

    /// A node with that for $TMPDIR.
    pub fn start_in(folder: &str, config: &str) -> Node {
        let file = Node::file(config);
        Node::heard((Node::spawn_in(folder, &file, 1024, None), file))
    }

    pub fn start(config: &str) -> Node {
        Node::start_within(config, 1024)
    }

    /// A node that serves with so many descriptors; it says so on standard error.
    pub fn start_within(config: &str, descriptors: u32) -> Node {
        Node::heard(Node::spawn(config, descriptors))
    }

    /// A node with an operator's file of this text.
    pub fn start_with(config: &str, operator: &str) -> Node {
        Node::heard(Node::spawn_with(config, 1024, Some(operator)))
    }

    /// The same, whose standard error takes nothing after its first line until what comes back is dropped.
    pub fn start_stalled(config: &str, operator: &str) -> (Node, impl Sized) {
        let (mut child, file) = Node::spawn_with(config, 1024, Some(operator));
        let mut stderr = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        stderr.read_line(&mut line).expect("a line");
        let (_, said) = channel();
        let address = Node::place(line.trim_end()).unwrap_or_else(|| panic!("{line}"));
        (Node { address, before: vec![], file, said, child: Some(child) }, stderr)
    }

    /// The address in the line that says where it serves, or is to serve where it has come beside another.
    fn place(line: &str) -> Option<SocketAddr> {
        let rest = line.split_once("is to serve on ").or(line.split_once("serves on "))?.1;
        rest.split('"').next()?.parse().ok()
    }

    pub fn heard((mut child, file): (Child, String)) -> Node {
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (sender, said) = channel();
        // What it says must not fill the pipe, whether the test looks at it or not.
        thread::spawn(move || lines.map_while(Result::ok).for_each(|line| _ = sender.send(line)));
        // It is a node before its line is looked at: one that says something else is ended all the same.
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut node = Node { address, before: vec![], file, said, child: Some(child) };
        loop {
            let line = node.says();
            if let Some(address) = Node::place(&line) {
                node.address = address;
                return node;
            }
            node.before.push(line);
        }
    }

    /// Passes its lines over up to one that has this in it.
    pub fn says_of(&self, part: &str) -> String {
        std::iter::repeat_with(|| self.says()).find(|line| line.contains(part)).expect("endless")
    }

    /// Whether it began beside another process of its node.
    pub fn follows(&self) -> bool {
        self.before.iter().any(|line| line.ends_with("goes on for the process that serves"))
    }

    /// SIGKILL; returns once it is no more.
    pub fn kill(mut self) {
        let mut child = self.child.take().expect("it runs");
        child.kill().and_then(|()| child.wait()).expect("it ends");
    }

    /// All that it has written to standard error and that was not looked at.
    pub fn said_so_far(&self) -> Vec<String> {
        self.said.try_iter().collect()
    }

    /// The next line that it writes to standard error.
    pub fn says(&self) -> String {
        self.said.recv_timeout(LONG).expect("a line")
    }

    /// Writes another operator's file and has it read.
    pub fn operate(&self, operator: &str) {
        std::fs::write(format!("{}.toml", self.file), operator).expect("a place for the operator's file");
        self.signal("-HUP");
    }

    /// Writes another configuration and has it read.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).expect("a place for the configuration");
        self.signal("-HUP");
    }

    /// Holds the node still until what comes back is dropped: it reads its configuration, which is a pipe that says
    /// nothing until then. What comes meanwhile comes to it all at once, with the times that are up.
    pub fn hold(&self) -> Held {
        let text = std::fs::read_to_string(&self.file).expect("its configuration");
        std::fs::remove_file(&self.file).expect("it is a file");
        assert!(Command::new("mkfifo").arg(&self.file).status().expect("mkfifo is there").success());
        self.signal("-HUP");
        // Returns once the node opens the other end.
        let pipe = std::fs::OpenOptions::new().write(true).open(&self.file).expect("it is read");
        std::fs::remove_file(&self.file).expect("it is a pipe");
        std::fs::write(&self.file, &text).expect("a place for the configuration");
        Held { pipe, text }
    }

    /// A node that knows these next hops, its open watch, and discovery.
    pub fn with(hops: &[(&str, &Server)]) -> (Node, Watch, Server) {
        Node::configured(hops, config)
    }

    /// The same, with a configuration of that making.
    pub fn configured(
        hops: &[(&str, &Server)],
        config: impl Fn(SocketAddr, &[String]) -> String,
    ) -> (Node, Watch, Server) {
        let discovery = Server::start();
        let known: Vec<_> =
            hops.iter().map(|(name, hop)| endpoint(name, hop.address, "in_service")).collect();
        let node = Node::start(&config(discovery.address, &known));
        let watch = Watch::open(&discovery);
        watch.line(&list(42, true, &known));
        (node, watch, discovery)
    }

    pub fn callback(&self, text: &str) -> u16 {
        let length = text.len();
        let head = format!("POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
        ask(self.address, &(head + text)).status()
    }

    pub fn tell(&self, id: &str, from: &str, rest: &str) {
        let text = format!(r#"{{"id":"{id}","from":"{from}",{rest}}}"#);
        assert_eq!(self.callback(&text), 204, "{text}");
    }

    pub fn get(&self, path: &str) -> Message {
        ask(self.address, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
    }

    /// One of its counters.
    pub fn count(&self, series: &str) -> u64 {
        let text = self.get("/metrics").body;
        let value = text.lines().find_map(|line| line.strip_prefix(series)?.trim().parse().ok());
        value.unwrap_or_else(|| panic!("no {series} in {text}"))
    }

    /// The second address, as the node's second line says it.
    pub fn operators(&self) -> SocketAddr {
        let line = self.says();
        let at = line.split("operators are answered at ").nth(1).and_then(|at| at.parse().ok());
        at.unwrap_or_else(|| panic!("{line}"))
    }

    pub fn signal(&self, which: &str) {
        let id = self.child.as_ref().expect("it runs").id().to_string();
        assert!(Command::new("kill").args([which, &id]).status().expect("kill is there").success());
    }

    /// The number that the system knows its process by.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("it runs").id()
    }

    /// How it ended, if it has; nothing is waited for.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().expect("it ran").try_wait().expect("it is a child")
    }

    pub fn end(mut self) -> Output {
        self.child.take().expect("it runs").wait_with_output().expect("it ends")
    }
}

/// A node that is held still.
pub struct Held {
    pipe: std::fs::File,
    text: String,
}

impl Drop for Held {
    fn drop(&mut self) {
        // A node that has been killed meanwhile reads it no more.
        let _ = self.pipe.write_all(self.text.as_bytes());
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
