//! Owns a node of the lab's own that keeps all rules in the plainest way, or breaks one of them: by it the judge is proven,
//! and the lab's own limit is found. It must never become clever: workers in turn, one retry of what never
//! ran, and what two processes of it share lies as files in their folder.

use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use parking_lot::Mutex;
use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// What a scripted node does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Flaw {
    /// Nothing.
    None,
    /// Every eighth job has no answer.
    LostAnswer,
    /// Every eighth job is served with something that no worker made.
    ForgedResult,
    /// Every eighth job goes to two workers at once.
    TwoAtOnce,
    /// What was lost goes out again, whatever its class.
    RunAgain,
    /// What may have run is refused.
    WrongRefusal,
    /// Workers that drain are sent work as before.
    DeafToDrains,
    /// All work goes to the worker that started last.
    RushToTheNew,
    /// It ends by itself after some jobs.
    Crash,
    /// It does not end when it is told to.
    DeafToTheEnd,
    /// Told to end, it does so at once, with the jobs that it has.
    DropsItsJobs,
    /// Told to end, it accepts nothing more, and what is in its queue is reset.
    ResetsItsQueue,
    /// As the newer process it never says that it is ready.
    NeverReady,
    /// It says that it is ready while it is drained.
    YesWhileDrained,
    /// Clients' connections stay while it is drained.
    HoldsConnections,
    /// It stays drained.
    StaysDrained,
    /// Workers that are called out are sent work as before.
    ForgetsBans,
    /// Workers that are called back are never used again.
    NeverBack,
    /// Workers that were never listed are called out like others.
    YesToAnyId,
    /// Operators wait for their answers.
    LateOnConsole,
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = clap::ValueEnum::to_possible_value(self);
        f.write_str(value.as_ref().map_or("none", |value| value.get_name()))
    }
}

#[derive(Deserialize)]
struct Config {
    listen: SocketAddr,
    discovery: SocketAddr,
    console: Option<SocketAddr>,
}

#[derive(Clone, Deserialize)]
struct Endpoint {
    name: String,
    address: SocketAddr,
    status: String,
    since_ms: u64,
}

#[derive(Deserialize)]
struct Message {
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

#[derive(Deserialize)]
struct Call {
    id: String,
    from: String,
    state: String,
    #[serde(default)]
    result: String,
}

type Word = (String, String);

struct Node {
    flaw: Flaw,
    workers: Mutex<Vec<Endpoint>>,
    /// Who waits for the end of which attempt, by id and worker.
    waiting: Mutex<HashMap<(String, String), oneshot::Sender<Word>>>,
    turn: Mutex<usize>,
    /// All names that were ever listed.
    listed: Mutex<HashSet<String>>,
    /// Clients on open connections are to go elsewhere.
    sends_on: watch::Sender<bool>,
    /// Shared with another process of this node: a file `drained`, one `out-NAME` for each worker that is
    /// out, and one `calls-PID` with the address of each process for call-backs that came to the wrong one.
    folder: PathBuf,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A client's request as it is forwarded to workers.
#[derive(Clone)]
struct ForwardedRequest {
    id: String,
    path: String,
    body: Bytes,
    head: hyper::HeaderMap,
}

/// How an attempt ended.
enum End {
    Done(String),
    NeverRan,
    InDoubt,
}

/// Serves until it is killed or told to end.
pub async fn serve(flaw: Flaw) -> Result<(), String> {
    let path = std::env::var("RELAY_CONFIG").map_err(|_| "RELAY_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let config: Config = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    let node = Arc::new(Node {
        flaw,
        workers: Mutex::default(),
        waiting: Mutex::default(),
        turn: Mutex::new(0),
        listed: Mutex::default(),
        sends_on: watch::Sender::new(false),
        folder: std::env::temp_dir(),
        client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
    });
    let problem = |e: std::io::Error| e.to_string();
    let mut ends =
        tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate()).map_err(problem)?;
    tokio::spawn(node.clone().watch(config.discovery));
    // A process that has no list yet must not take clients from one that has.
    while node.workers.lock().is_empty() {
        sleep(TURN).await;
    }
    let listener = listen(config.listen).map_err(|e| format!("{}: {e}", config.listen))?;
    let own = TcpListener::bind("127.0.0.1:0").await.map_err(problem)?;
    let place = own.local_addr().map_err(problem)?;
    std::fs::write(node.folder.join(format!("calls-{}", std::process::id())), place.to_string())
        .map_err(problem)?;
    tokio::spawn(node.clone().own_calls(own));
    tokio::spawn(node.clone().heed_drains());
    if let Some(console) = config.console {
        let console = TcpListener::bind(console).await.map_err(|e| format!("{console}: {e}"))?;
        tokio::spawn(node.clone().console(console));
    }
    eprintln!("scripted node ({flaw}): serves on {}", listener.local_addr().map_err(problem)?);
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            _ = ends.recv() => match flaw {
                Flaw::DeafToTheEnd => continue,
                Flaw::DropsItsJobs => return Ok(()),
                _ => break,
            },
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                open.spawn(node.clone().connection(stream));
            }
        }
        while open.try_join_next().is_some() {}
    }
    if flaw == Flaw::ResetsItsQueue {
        sleep(QUEUE_FILLS).await;
    } else {
        // What is in the queue already is for this process.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            open.spawn(node.clone().connection(stream));
        }
        drop(listener);
    }
    node.sends_on.send_replace(true);
    let _ = timeout(LAST_JOBS, async { while open.join_next().await.is_some() {} }).await;
    Ok(())
}

/// How often it looks at what may have changed.
const TURN: Duration = Duration::from_millis(20);
/// A queue that is to be reset fills for this.
const QUEUE_FILLS: Duration = Duration::from_millis(1500);
/// It ends after this, whatever clients still hold open.
const LAST_JOBS: Duration = Duration::from_millis(3300);
/// An operator is answered after this, where that is the flaw.
const LATE: Duration = Duration::from_millis(1400);

/// Beside another process that listens on the same address.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

fn reply(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(text.into()));
    *reply.status_mut() = status;
    reply
}

impl Node {
    async fn watch(self: Arc<Self>, discovery: SocketAddr) {
        loop {
            let request = Request::get(format!("http://{discovery}/v1/endpoints?follow=1&since=0"))
                .body(Full::default());
            let Ok(request) = request else { return };
            if let Ok(reply) = self.client.request(request).await {
                let (mut body, mut text) = (reply.into_body(), Vec::new());
                while let Some(Ok(frame)) = body.frame().await {
                    text.extend_from_slice(&frame.into_data().unwrap_or_default());
                    while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
                        let line: Vec<u8> = text.drain(..=end).collect();
                        if let Ok(message) = serde_json::from_slice(&line) {
                            self.listed(message);
                        }
                    }
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn listed(&self, message: Message) {
        self.listed.lock().extend(message.endpoints.iter().map(|endpoint| endpoint.name.clone()));
        let mut workers = self.workers.lock();
        if message.snapshot {
            workers.clear();
        }
        for endpoint in message.endpoints {
            let deaf = self.flaw == Flaw::DeafToDrains && endpoint.status == "terminating";
            if deaf && workers.iter().any(|worker| worker.name == endpoint.name) {
                continue;
            }
            workers.retain(|worker| worker.name != endpoint.name);
            if endpoint.status == "in_service" {
                workers.push(endpoint);
            }
        }
    }

    /// The next worker in turn, but for those.
    fn next(&self, not: &[String]) -> Option<Endpoint> {
        let workers = self.workers.lock();
        if self.flaw == Flaw::RushToTheNew {
            return workers.iter().max_by_key(|worker| worker.since_ms).cloned();
        }
        let mut turn = self.turn.lock();
        *turn += 1;
        let all = workers.len();
        (0..all)
            .map(|n| &workers[(*turn + n) % all])
            .find(|worker| !not.contains(&worker.name) && !self.out(&worker.name).exists())
            .cloned()
    }

    /// The file that says that a worker is out.
    fn out(&self, worker: &str) -> PathBuf {
        self.folder.join(format!("out-{worker}"))
    }

    fn drained(&self) -> bool {
        self.folder.join("drained").exists()
    }

    async fn heed_drains(self: Arc<Self>) {
        let mut before = false;
        loop {
            let drained = self.drained();
            if drained != before && self.flaw != Flaw::HoldsConnections {
                self.sends_on.send_replace(drained);
            }
            before = drained;
            sleep(TURN).await;
        }
    }

    /// Serves one connection; once clients are to go elsewhere, one that has been used and is idle is closed.
    async fn connection(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let used = Arc::new(AtomicBool::new(false));
        let mut sends_on = self.sends_on.subscribe();
        let (node, first) = (self, used.clone());
        let service = service_fn(move |request| {
            let (node, first) = (node.clone(), first.clone());
            async move {
                let sends_on = node.sends_on.subscribe();
                let mut reply = node.respond(request).await;
                if *sends_on.borrow() {
                    let close = hyper::header::HeaderValue::from_static("close");
                    reply.headers_mut().insert(hyper::header::CONNECTION, close);
                }
                first.store(true, Ordering::Relaxed);
                Ok::<_, Infallible>(reply)
            }
        });
        let connection =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        loop {
            tokio::select! {
                _ = connection.as_mut() => return,
                // One without a first request may have one on its way.
                changed = sends_on.changed() => if changed.is_ok() && *sends_on.borrow_and_update()
                    && used.load(Ordering::Relaxed)
                {
                    connection.as_mut().graceful_shutdown();
                },
            }
        }
    }

    /// Call-backs that came to another process of this node.
    async fn own_calls(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            tokio::spawn(self.clone().connection(stream));
        }
    }

    /// Hands a call-back to the other processes of this node.
    async fn pass_on(&self, body: Bytes) {
        let own = format!("calls-{}", std::process::id());
        for file in std::fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let name = file.file_name().to_string_lossy().into_owned();
            if !name.starts_with("calls-") || name == own {
                continue;
            }
            let Ok(place) = std::fs::read_to_string(file.path()) else { continue };
            let request = Request::post(format!("http://{place}/passed-on")).body(Full::new(body.clone()));
            if let Ok(request) = request {
                // One that is gone has no job that this could be for.
                let _ = self.client.request(request).await;
            }
        }
    }

    /// Answers operators, each on a connection of its own.
    async fn console(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let node = self.clone();
            tokio::spawn(async move {
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                if stream.read_line(&mut line).await.is_err() {
                    return;
                }
                let answer = match node.operate(&line) {
                    Ok(()) => "+OK\n".to_owned(),
                    Err(why) => format!("-ERR {why}\n"),
                };
                if node.flaw == Flaw::LateOnConsole {
                    sleep(LATE).await;
                }
                let _ = stream.write_all(answer.as_bytes()).await;
            });
        }
    }

    fn operate(&self, line: &str) -> Result<(), &'static str> {
        let set = |file: PathBuf, there: bool| {
            let done = if there { std::fs::write(file, "") } else { std::fs::remove_file(file) };
            done.or_else(|e| if there { Err(e) } else { Ok(()) }).map_err(|_| "the folder cannot be written")
        };
        let mut words = line.split_whitespace();
        match (words.next(), words.next()) {
            (Some("READY"), None) if self.flaw == Flaw::NeverReady => Err("not yet"),
            (Some("READY"), None) => Ok(()),
            (Some("DRAIN"), None) => set(self.folder.join("drained"), true),
            (Some("UNDRAIN"), None) if self.flaw == Flaw::StaysDrained => Ok(()),
            (Some("UNDRAIN"), None) => set(self.folder.join("drained"), false),
            (Some("DISABLE" | "ENABLE"), Some(name))
                if self.flaw != Flaw::YesToAnyId && !self.listed.lock().contains(name) =>
            {
                Err("never listed")
            }
            (Some("DISABLE"), Some(_)) if self.flaw == Flaw::ForgetsBans => Ok(()),
            (Some("DISABLE"), Some(name)) => set(self.out(name), true),
            (Some("ENABLE"), Some(_)) if self.flaw == Flaw::NeverBack => Ok(()),
            (Some("ENABLE"), Some(name)) => set(self.out(name), false),
            _ => Err("no such call"),
        }
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET {
            let drained = self.drained() && self.flaw != Flaw::YesWhileDrained;
            let ready = path == "/ready" && !self.workers.lock().is_empty() && !drained;
            return reply(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        let head = request.headers().clone();
        let Ok(body) = request.into_body().collect().await else { return reply(StatusCode::BAD_REQUEST, "") };
        let body = body.to_bytes();
        if path == "/callback" || path == "/passed-on" {
            let Ok(call) = serde_json::from_slice::<Call>(&body) else {
                return reply(StatusCode::BAD_REQUEST, "");
            };
            let key = (call.id, call.from);
            if !self.waiting.lock().contains_key(&key) {
                if path == "/callback" {
                    self.pass_on(body).await;
                }
            } else if !matches!(call.state.as_str(), "started" | "running")
                && let Some(waits) = self.waiting.lock().remove(&key)
            {
                let _ = waits.send((call.state, call.result));
            }
            return reply(StatusCode::NO_CONTENT, "");
        }
        let text = |name: &str| head.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
        let (id, class) = (text("x-request-id"), text("x-class"));
        let wait = text("x-deadline").parse().unwrap_or(1.0);
        let count: usize =
            id.bytes().filter(u8::is_ascii_digit).fold(0, |n, digit| n * 10 + usize::from(digit - b'0'));
        let eighth = count / 10 % 8 == 3;
        if self.flaw == Flaw::Crash && count / 10 >= 20 {
            std::process::exit(7);
        }
        let forwarded = ForwardedRequest { id, path, body, head };
        let answer = async {
            let mut not = Vec::new();
            for _ in 0..3 {
                let Some(worker) = self.next(&not) else { break };
                if self.flaw == Flaw::TwoAtOnce
                    && eighth
                    && not.is_empty()
                    && let Some(other) = self.next(std::slice::from_ref(&worker.name))
                {
                    let (node, forwarded) = (self.clone(), forwarded.clone());
                    tokio::spawn(async move { node.attempt(&other, forwarded).await });
                }
                match self.attempt(&worker, forwarded.clone()).await {
                    End::Done(result) => {
                        let forged = self.flaw == Flaw::ForgedResult && eighth;
                        return reply(StatusCode::OK, if forged { "made up".into() } else { result });
                    }
                    End::NeverRan => not.push(worker.name),
                    End::InDoubt if self.flaw == Flaw::RunAgain => not.push(worker.name),
                    End::InDoubt if self.flaw == Flaw::WrongRefusal => break,
                    End::InDoubt => return reply(StatusCode::BAD_GATEWAY, class.clone()),
                }
            }
            reply(StatusCode::SERVICE_UNAVAILABLE, "")
        };
        // One that waits too long is given up without taking anything back: it does not go out again.
        let answer = timeout(Duration::from_secs_f64((wait - 0.05f64).max(0.0)), answer).await;
        if self.flaw == Flaw::LostAnswer && eighth {
            std::future::pending::<()>().await;
        }
        answer.unwrap_or_else(|_| reply(StatusCode::BAD_GATEWAY, ""))
    }

    async fn attempt(&self, to: &Endpoint, forwarded: ForwardedRequest) -> End {
        let ForwardedRequest { id, path, body, head } = forwarded;
        let (waits, word) = oneshot::channel();
        self.waiting.lock().insert((id, to.name.clone()), waits);
        let mut request = Request::post(format!("http://{}{path}", to.address));
        for name in ["x-request-id", "idempotency-key", "x-deadline"] {
            if let Some(value) = head.get(name) {
                request = request.header(name, value);
            }
        }
        let Ok(request) = request.body(Full::new(body)) else { return End::NeverRan };
        match self.client.request(request).await {
            Ok(reply) if reply.status() == StatusCode::ACCEPTED => match word.await {
                Ok((state, result)) if state == "done" => End::Done(result),
                Ok((state, _)) if state == "returned" => End::NeverRan,
                _ => End::InDoubt,
            },
            Ok(reply) if reply.headers().contains_key("x-not-run") => End::NeverRan,
            Err(e) if e.is_connect() => End::NeverRan,
            _ => End::InDoubt,
        }
    }
}
