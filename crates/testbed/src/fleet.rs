//! Owns the sockets of the fleet: workers and discovery on loopback, driven by the models of `curlewusher-model`. It must
//! never decide what a worker does, only carry it, and it writes down all that it sees.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use curlewusher_model::endpoint_registry::{EndpointEntry, EndpointRegistry, EndpointStatus, Publication};
use curlewusher_model::worker_pool::{
    Arrival, AttemptNumber, JobDemand, PoolEffect, PoolInput, WorkerIndex, WorkerPool,
};
use curlewusher_model::workload::PlannedJob;
use curlewusher_model::{TimeSpan, Timestamp};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout};

use crate::event_log::{Event, EventLog};
use crate::proxy::{LinkState, Proxy};
use crate::scenario::Scenario;

/// Discovery gives up a call that has waited for this.
const CALL_WAIT: Duration = Duration::from_secs(2);
/// A watch that has nothing to tell says so this often.
const WATCH_BEAT: Duration = Duration::from_secs(2);
const BACKLOG: u32 = 1024;
/// A worker repeats a call-back that was not heard, so often and after so long.
const CALLS: usize = 10;
const CALL_AGAIN: Duration = Duration::from_millis(200);
const CALL_TIME: Duration = Duration::from_secs(1);
/// After a move the old discovery's watches live on for this.
const OLD_WATCH: Duration = Duration::from_millis(1500);

/// The node that a client sent a request to, and the job that it is for.
#[derive(Clone, Copy, Debug)]
pub struct RequestOrigin {
    /// Number of the node.
    pub node: usize,
    /// Index of the job in the workload.
    pub job: usize,
}

/// The requests that clients have sent, by their ids.
#[derive(Clone, Default)]
pub struct SentRequests(Arc<Mutex<HashMap<String, RequestOrigin>>>);

impl SentRequests {
    pub fn record(&self, id: &str, origin: RequestOrigin) {
        self.0.lock().insert(id.to_owned(), origin);
    }

    fn origin_of(&self, id: &str) -> Option<RequestOrigin> {
        self.0.lock().get(id).copied()
    }
}

/// Where the nodes listen, by their number; known once each has started.
pub type NodeAddresses = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// What a worker's result is for a request.
pub fn expected_result(id: &str) -> String {
    format!("result of {id}")
}

/// The state of a worker's process, as its sockets show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sockets {
    Open,
    /// Takes and reads all, and answers nothing.
    Silent,
    /// Refuses connections; those that were open are reset.
    Closed,
}

/// What is done to the fleet.
#[derive(Clone, Debug)]
pub enum FleetCommand {
    Kill(WorkerIndex),
    Start(WorkerIndex),
    SetSlowdown(WorkerIndex, f64),
    Drain(WorkerIndex),
    /// Lists a worker as draining, or as in service again, and does nothing to it.
    SetListedStatus(WorkerIndex, EndpointStatus),
    Silence(WorkerIndex),
    Unsilence(WorkerIndex),
    StopDiscovery,
    StartDiscovery,
}

/// The endpoint list that each node was sent last, as discovery writes it.
type SavedLists = Arc<Mutex<Vec<Option<serde_json::Value>>>>;

/// The links of the nodes through proxies, where the scenario has such faults.
pub struct FleetLinks {
    /// By node.
    pub discovery: Vec<watch::Sender<LinkState>>,
    /// By worker.
    pub workers: Vec<watch::Sender<LinkState>>,
}

impl FleetLinks {
    fn new(nodes: usize, workers: usize) -> Self {
        let links = |count| (0..count).map(|_| watch::Sender::default()).collect();
        FleetLinks { discovery: links(nodes), workers: links(workers) }
    }
}

enum Notice {
    Arrived {
        worker: WorkerIndex,
        id: String,
        node: usize,
        job: usize,
        head: Timestamp,
        reply: oneshot::Sender<bool>,
    },
    /// By name.
    Withdraw {
        worker: WorkerIndex,
        id: String,
    },
    /// Its connection ended before the 202.
    Dropped {
        worker: WorkerIndex,
        id: String,
    },
    Watch {
        node: usize,
        since: u64,
        port: u64,
        lines: UnboundedSender<Bytes>,
    },
    OldPort {
        port: u64,
    },
    FleetCommand(FleetCommand),
}

/// A body that is written as it comes.
struct Lines(UnboundedReceiver<Bytes>);

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;
    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
    }
}

type Reply = Response<Either<Full<Bytes>, Lines>>;

fn reply(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(text.into())));
    *reply.status_mut() = status;
    reply
}

/// The fleet as it stands; dropped, it is gone.
pub struct Fleet {
    queue: UnboundedSender<Notice>,
    ports: Mutex<Vec<(u64, JoinHandle<()>)>>,
    next_port: Mutex<u64>,
    calls: Arc<tokio::sync::Mutex<()>>,
    call_time: watch::Sender<Duration>,
    pub links: Arc<FleetLinks>,
    saved_lists: SavedLists,
    /// Whether nodes connect through proxies.
    has_proxies: bool,
    proxies: Mutex<Vec<Proxy>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        self.ports.lock().iter().for_each(|(_, task)| task.abort());
    }
}

/// A worker's lines in discovery's own words.
struct Names {
    addresses: Vec<SocketAddr>,
    kinds: Vec<String>,
    bays: Vec<u32>,
    /// What the beginning of the records is on the system's clock, ms.
    unix_ms: u64,
}

impl Names {
    fn line(&self, entry: &EndpointEntry) -> serde_json::Value {
        let status = match entry.status {
            EndpointStatus::InService => "in_service",
            EndpointStatus::Terminating => "terminating",
            EndpointStatus::Terminated => "terminated",
        };
        let worker = entry.worker;
        serde_json::json!({
            "name": worker_name(worker), "address": self.addresses[worker], "zone": "lab", "type": self.kinds[worker],
            "group": self.bays[worker], "status": status, "weight": 1.0,
            "since_ms": entry.started_at.map_or(0, |since| self.unix_ms + since.as_micros() / 1000),
        })
    }

    fn message(&self, index: u64, whole: bool, entries: &[EndpointEntry]) -> Bytes {
        let endpoints: Vec<_> = entries.iter().map(|entry| self.line(entry)).collect();
        let message = serde_json::json!({"index": index, "snapshot": whole, "endpoints": endpoints});
        format!("{message}\n").into()
    }
}

/// A worker's name on discovery's list.
pub fn worker_name(worker: WorkerIndex) -> String {
    format!("w-{worker:05}")
}

impl Fleet {
    /// Opens all workers' ports and starts the worker pool.
    pub async fn start(
        scenario: &Scenario,
        jobs: Arc<Vec<PlannedJob>>,
        tries: SentRequests,
        nodes: NodeAddresses,
        log: EventLog,
    ) -> Result<Fleet, String> {
        let machines = scenario.machines();
        let grown = scenario.grown_workers();
        let (queue, notices) = unbounded_channel();
        let (mut tasks, mut sockets, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
        let links = Arc::new(FleetLinks::new(scenario.nodes.count, machines.len()));
        let mut proxies = Vec::new();
        for worker in 0..machines.len() {
            let port = Port::reserve().map_err(|e| format!("a worker's port: {e}"))?;
            if scenario.needs_proxies() {
                let proxy = Proxy::start(port.address, links.workers[worker].subscribe()).await;
                proxies.push(proxy.map_err(|e| format!("a worker's proxy: {e}"))?);
            }
            addresses.push(proxies.last().map_or(port.address, |proxy| proxy.address));
            let first = if grown.contains(&worker) { Sockets::Closed } else { Sockets::Open };
            let (state, seen) = watch::channel(first);
            sockets.push(state);
            let hall =
                Hall { worker, queue: queue.clone(), tries: tries.clone(), log: log.clone(), state: seen };
            tasks.push(tokio::spawn(hall.listen(port)));
        }
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let names = Names {
            addresses,
            kinds: (0..machines.len()).map(|worker| scenario.kind_of(worker).name.clone()).collect(),
            bays: machines.iter().map(|machine| machine.bay).collect(),
            unix_ms: (unix.as_micros() as u64 - log.now().as_micros()) / 1000,
        };
        let present = (0..machines.len()).filter(|worker| !grown.contains(worker));
        let registry =
            EndpointRegistry::new(present, TimeSpan::from_secs_f64(scenario.fleet.publication_delay_s));
        let mut pool = WorkerPool::new(machines, scenario.pool_parameters());
        for worker in grown {
            pool.handle(Timestamp::ZERO, PoolInput::Kill(worker), &mut Vec::new());
        }
        let saved_lists: SavedLists = Arc::new(Mutex::new(vec![None; scenario.nodes.count]));
        let owner = Owner {
            links: links.clone(),
            saved_lists: saved_lists.clone(),
            pool,
            registry,
            names,
            jobs,
            nodes,
            log,
            silent: vec![false; sockets.len()],
            sockets: Arc::new(sockets),
            attempts: HashMap::new(),
            current: HashMap::new(),
            next_attempt: 1,
            watches: Vec::new(),
            discovery_down: false,
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
        };
        tasks.push(tokio::spawn(owner.run(notices)));
        Ok(Fleet {
            queue,
            ports: Mutex::default(),
            next_port: Mutex::new(1),
            calls: Arc::default(),
            call_time: watch::Sender::new(Duration::from_secs_f64(scenario.fleet.discovery_call_s)),
            links,
            saved_lists,
            has_proxies: scenario.needs_proxies(),
            proxies: Mutex::new(proxies),
            tasks,
        })
    }

    /// The endpoint list that a node was sent last.
    pub fn saved_list(&self, node: usize) -> Option<serde_json::Value> {
        self.saved_lists.lock()[node].clone()
    }

    /// Makes each call of discovery take so long.
    pub fn set_call_time(&self, call_time: Duration) {
        self.call_time.send_replace(call_time);
    }

    pub fn apply(&self, order: FleetCommand) {
        let _ = self.queue.send(Notice::FleetCommand(order));
    }

    /// Opens a discovery for a node; an older one of it takes no new calls, and its watches end a little later.
    pub async fn discovery_for(&self, node: usize) -> Result<SocketAddr, String> {
        let listener =
            TcpListener::bind("127.0.0.1:0").await.map_err(|e| format!("discovery's port: {e}"))?;
        let address = listener.local_addr().map_err(|e| format!("discovery's port: {e}"))?;
        let port = {
            let mut next = self.next_port.lock();
            *next += 1;
            *next * 1000 + node as u64
        };
        let discovery = DiscoveryService {
            node,
            port,
            queue: self.queue.clone(),
            calls: self.calls.clone(),
            call_time: self.call_time.subscribe(),
        };
        let task = tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let discovery = discovery.clone();
                let service = service_fn(move |request: Request<Incoming>| {
                    let discovery = discovery.clone();
                    async move { Ok::<_, Infallible>(answer_poll(discovery, request).await) }
                });
                tokio::spawn(
                    hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service),
                );
            }
        });
        self.replace_port(node, port, task);
        if !self.has_proxies {
            return Ok(address);
        }
        let proxy = Proxy::start(address, self.links.discovery[node].subscribe()).await;
        let proxy = proxy.map_err(|e| format!("discovery's proxy: {e}"))?;
        let address = proxy.address;
        self.proxies.lock().push(proxy);
        Ok(address)
    }

    /// Puts a node's new discovery in place of an older one, which takes no new calls.
    fn replace_port(&self, node: usize, port: u64, task: JoinHandle<()>) {
        let mut ports = self.ports.lock();
        for (old, task) in ports.iter().filter(|(port, _)| port % 1000 == node as u64) {
            task.abort();
            let (old, queue) = (*old, self.queue.clone());
            tokio::spawn(async move {
                sleep(OLD_WATCH).await;
                let _ = queue.send(Notice::OldPort { port: old });
            });
        }
        ports.retain(|(port, _)| port % 1000 != node as u64);
        ports.push((port, task));
    }
}

/// The discovery service of one node.
#[derive(Clone)]
struct DiscoveryService {
    node: usize,
    port: u64,
    queue: UnboundedSender<Notice>,
    /// Serialises the calls of all nodes.
    calls: Arc<tokio::sync::Mutex<()>>,
    call_time: watch::Receiver<Duration>,
}

/// Answers a call of discovery.
async fn answer_poll(service: DiscoveryService, request: Request<Incoming>) -> Reply {
    let DiscoveryService { node, port, queue, calls, call_time } = service;
    let failed = || reply(StatusCode::SERVICE_UNAVAILABLE, "not now\n");
    let figure = |name: &str| {
        let query = request.uri().query().unwrap_or_default();
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
    };
    if request.uri().path() != "/v1/endpoints" {
        return reply(StatusCode::NOT_FOUND, "nothing is here\n");
    }
    // One after another, for all nodes together.
    let served = async {
        let _turn = calls.lock().await;
        let call_time = *call_time.borrow();
        sleep(call_time).await;
    };
    if timeout(CALL_WAIT, served).await.is_err() {
        return failed();
    }
    let (lines, mut out) = unbounded_channel();
    let since = figure("since").unwrap_or(0);
    let _ = queue.send(Notice::Watch { node, since, port, lines });
    // Discovery that is down drops the sending half.
    let Some(first) = out.recv().await else { return failed() };
    if figure("follow") != Some(1) {
        return reply(StatusCode::OK, first);
    }
    let (again, rest) = unbounded_channel();
    let _ = again.send(first);
    tokio::spawn(async move {
        while let Some(line) = out.recv().await {
            if again.send(line).is_err() {
                return;
            }
        }
    });
    Response::new(Either::Right(Lines(rest)))
}

/// A port that nobody else is given, also while nothing listens there: a worker that is down must refuse, and must find
/// its own port when it starts again.
struct Port {
    address: SocketAddr,
    _held: socket2::Socket,
}

impl Port {
    fn reserve() -> std::io::Result<Port> {
        let held = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        // Shared with the listener only: a socket that may be bound anew by anybody would not keep the port.
        held.set_reuse_port(true)?;
        held.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = held.local_addr()?.as_socket();
        let address = address.ok_or_else(|| std::io::Error::other("the system gave no address"))?;
        Ok(Port { address, _held: held })
    }

    fn listen(&self) -> std::io::Result<TcpListener> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseport(true)?;
        socket.bind(self.address)?;
        socket.listen(BACKLOG)
    }
}

/// What one worker listens by.
#[derive(Clone)]
struct Hall {
    worker: WorkerIndex,
    queue: UnboundedSender<Notice>,
    tries: SentRequests,
    log: EventLog,
    state: watch::Receiver<Sockets>,
}

impl Hall {
    async fn listen(mut self, port: Port) {
        let mut listener = None;
        loop {
            if *self.state.borrow_and_update() == Sockets::Closed {
                listener = None;
                if self.state.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let Some(open) = &listener else {
                match port.listen() {
                    Ok(open) => listener = Some(open),
                    // Out of descriptors, it may be: there is nothing better than to try again.
                    Err(_) => sleep(Duration::from_millis(20)).await,
                }
                continue;
            };
            tokio::select! {
                changed = self.state.changed() => if changed.is_err() { return },
                accepted = open.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    tokio::spawn(self.clone().serve(stream));
                }
            }
        }
    }

    async fn serve(self, stream: tokio::net::TcpStream) {
        let _ = stream.set_nodelay(true);
        // A process that dies resets its connections.
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        let mut state = self.state.clone();
        let service = service_fn(move |request| {
            let hall = self.clone();
            async move { Ok::<_, Infallible>(hall.respond(request).await) }
        });
        let connection =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let dies = async {
            // An error says that the fleet is gone, which is the same.
            let _ = state.wait_for(|state| *state == Sockets::Closed).await;
        };
        tokio::select! {
            _ = connection => {}
            () = dies => {}
        }
    }

    async fn respond(self, request: Request<Incoming>) -> Reply {
        let head = self.log.now();
        if request.method() == Method::DELETE {
            let Some(id) = request.uri().path().strip_prefix("/jobs/").map(str::to_owned) else {
                return reply(StatusCode::NOT_FOUND, "nothing is here\n");
            };
            let _ = self.queue.send(Notice::Withdraw { worker: self.worker, id });
            return self.unless_silent(reply(StatusCode::NO_CONTENT, "")).await;
        }
        let id = request.headers().get("x-request-id").and_then(|v| v.to_str().ok()).map(str::to_owned);
        if request.method() != Method::POST {
            return reply(StatusCode::NOT_FOUND, "nothing is here\n");
        }
        let Some(id) = id else { return reply(StatusCode::NOT_FOUND, "no id\n") };
        let Some(RequestOrigin { node, job }) = self.tries.origin_of(&id) else {
            return reply(StatusCode::BAD_REQUEST, "no client sent this\n");
        };
        if request.into_body().collect().await.is_err() {
            return reply(StatusCode::BAD_REQUEST, "half a body\n");
        }
        let (answer, answered) = oneshot::channel();
        let mut watch = DropWatch { worker: self.worker, id: Some(id.clone()), queue: self.queue.clone() };
        let arrived = Notice::Arrived { worker: self.worker, id, node, job, head, reply: answer };
        let _ = self.queue.send(arrived);
        let taken = answered.await.unwrap_or(false);
        let answer = if taken {
            reply(StatusCode::ACCEPTED, "")
        } else {
            let mut answer = reply(StatusCode::SERVICE_UNAVAILABLE, "full\n");
            answer.headers_mut().insert("x-not-run", hyper::header::HeaderValue::from_static("1"));
            answer
        };
        let answer = self.unless_silent(answer).await;
        watch.id = None;
        answer
    }

    /// A silent worker answers nothing until it is silent no more.
    async fn unless_silent(mut self, answer: Reply) -> Reply {
        let _ = self.state.wait_for(|state| *state != Sockets::Silent).await;
        answer
    }
}

/// Says that a connection ended before its answer.
struct DropWatch {
    worker: WorkerIndex,
    id: Option<String>,
    queue: UnboundedSender<Notice>,
}

impl Drop for DropWatch {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let _ = self.queue.send(Notice::Dropped { worker: self.worker, id });
        }
    }
}

struct Out {
    id: String,
    worker: WorkerIndex,
    reply: Option<oneshot::Sender<bool>>,
    calls: UnboundedSender<String>,
}

/// The task that owns the models.
struct Owner {
    links: Arc<FleetLinks>,
    saved_lists: SavedLists,
    pool: WorkerPool,
    registry: EndpointRegistry,
    names: Names,
    jobs: Arc<Vec<PlannedJob>>,
    nodes: NodeAddresses,
    log: EventLog,
    sockets: Arc<Vec<watch::Sender<Sockets>>>,
    attempts: HashMap<AttemptNumber, Out>,
    /// The attempt of a request that a worker has.
    current: HashMap<(WorkerIndex, String), AttemptNumber>,
    next_attempt: AttemptNumber,
    silent: Vec<bool>,
    watches: Vec<(usize, u64, UnboundedSender<Bytes>)>,
    discovery_down: bool,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Owner {
    async fn run(mut self, mut notices: UnboundedReceiver<Notice>) {
        let mut beat = tokio::time::interval(WATCH_BEAT);
        loop {
            let due = [self.pool.next_event(), self.registry.next_publication()].into_iter().flatten().min();
            let wait = async {
                match due {
                    Some(at) => sleep_until(self.log.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                notice = notices.recv() => match notice {
                    Some(notice) => self.hear(notice),
                    None => return,
                },
                () = wait => {}
                _ = beat.tick() => {
                    self.watches.retain(|(_, _, lines)| lines.send(Bytes::from_static(b"\n")).is_ok());
                }
            }
            let mut effects = Vec::new();
            self.pool.advance_to(self.log.now(), &mut effects);
            self.carry_out(effects);
            self.reveal();
        }
    }

    fn drive(&mut self, input: PoolInput) {
        let mut effects = Vec::new();
        self.pool.handle(self.log.now(), input, &mut effects);
        self.carry_out(effects);
    }

    fn hear(&mut self, notice: Notice) {
        match notice {
            Notice::Arrived { worker, id, node, job, head, reply } => {
                let planned = &self.jobs[job];
                let demand = JobDemand {
                    work_seconds: planned.work_seconds,
                    slots: planned.slots,
                    memory: f64::from(planned.slots),
                    set: planned.set,
                    // A client's retry bears the key of its first try.
                    key: Some(job as u64),
                };
                let attempt = self.next_attempt;
                self.next_attempt += 1;
                self.log.record(Event::AttemptArrived {
                    attempt,
                    id: id.clone(),
                    node,
                    worker,
                    bay: self.names.bays[worker],
                    work_seconds: planned.work_seconds,
                    head_at: head,
                });
                let calls = self.caller(node);
                self.current.insert((worker, id.clone()), attempt);
                self.attempts.insert(attempt, Out { id, worker, reply: Some(reply), calls });
                // A silent process has it and does nothing with it; `reply` waits with it.
                if !self.silent[worker] {
                    self.drive(PoolInput::Arrive(Arrival { worker, attempt, demand }));
                }
            }
            Notice::Withdraw { worker, id } | Notice::Dropped { worker, id } => {
                let Some(attempt) = self.current.get(&(worker, id)).copied() else { return };
                self.drive(PoolInput::Cancel { worker, attempt });
                if self.attempts.contains_key(&attempt) {
                    // It came to a silent process, and the pool never had it.
                    self.log.record(Event::AttemptCancelled { attempt });
                    self.over(attempt);
                }
            }
            Notice::Watch { node, since, port, lines } => {
                if self.discovery_down {
                    return;
                }
                let (whole, entries) = match self.registry.changes_since(since) {
                    Some(entries) => (false, entries),
                    None => (true, self.registry.snapshot()),
                };
                if lines.send(self.names.message(self.registry.index(), whole, &entries)).is_ok() {
                    self.told(node, &entries);
                    self.watches.push((node, port, lines));
                }
            }
            Notice::OldPort { port } => self.watches.retain(|(_, of, _)| *of != port),
            Notice::FleetCommand(order) => self.obey(order),
        }
    }

    fn obey(&mut self, order: FleetCommand) {
        let now = self.log.now();
        let change = |registry: &mut EndpointRegistry, worker, status, started_at| {
            registry.record_change(now, EndpointEntry { worker, status, started_at })
        };
        match order {
            FleetCommand::Kill(worker) => {
                self.drive(PoolInput::Kill(worker));
                self.sockets[worker].send_replace(Sockets::Closed);
                change(&mut self.registry, worker, EndpointStatus::Terminated, None);
            }
            FleetCommand::Start(worker) => {
                self.drive(PoolInput::Start(worker));
                self.silent[worker] = false;
                self.log.record_at(now, Event::WorkerStarted { worker });
                self.sockets[worker].send_replace(Sockets::Open);
                change(&mut self.registry, worker, EndpointStatus::InService, Some(now));
            }
            FleetCommand::SetSlowdown(worker, times) => {
                self.drive(PoolInput::SetSlowdown { worker, factor: times })
            }
            FleetCommand::Drain(worker) => {
                self.drive(PoolInput::Drain(worker));
                change(&mut self.registry, worker, EndpointStatus::Terminating, None);
            }
            FleetCommand::SetListedStatus(worker, status) => change(&mut self.registry, worker, status, None),
            FleetCommand::Silence(worker) => self.set_silent(worker, true),
            FleetCommand::Unsilence(worker) => self.set_silent(worker, false),
            FleetCommand::StopDiscovery => {
                self.set_discovery_down(true);
                self.watches.clear();
            }
            FleetCommand::StartDiscovery => self.set_discovery_down(false),
        }
    }

    fn set_silent(&mut self, worker: WorkerIndex, silent: bool) {
        self.silent[worker] = silent;
        self.sockets[worker].send_replace(if silent { Sockets::Silent } else { Sockets::Open });
    }

    fn set_discovery_down(&mut self, down: bool) {
        self.discovery_down = down;
        self.log.record(Event::DiscoveryChanged { is_down: down });
    }

    fn told(&self, node: usize, entries: &[EndpointEntry]) {
        let link = *self.links.discovery[node].borrow();
        if link.is_cut || link.is_refusing {
            // What is written now is lost on its way.
            return;
        }
        let endpoints: Vec<_> = self.registry.snapshot().iter().map(|entry| self.names.line(entry)).collect();
        let list = serde_json::json!({
            "index": self.registry.index(), "snapshot": true, "endpoints": endpoints,
        });
        self.saved_lists.lock()[node] = Some(list);
        for entry in entries {
            let in_service = entry.status == EndpointStatus::InService;
            let started_at = entry.started_at.unwrap_or_default();
            self.log.record(Event::EndpointSent { node, worker: entry.worker, in_service, started_at });
        }
    }

    fn reveal(&mut self) {
        let Publication { index, entries } = self.registry.publish(self.log.now());
        if entries.is_empty() {
            return;
        }
        for entry in &entries {
            let in_service = entry.status == EndpointStatus::InService;
            self.log.record(Event::EndpointPublished { worker: entry.worker, in_service });
        }
        let message = self.names.message(index, false, &entries);
        let mut watches = std::mem::take(&mut self.watches);
        watches.retain(|(node, _, lines)| {
            let heard = lines.send(message.clone()).is_ok();
            if heard {
                self.told(*node, &entries);
            }
            heard
        });
        self.watches = watches;
    }

    fn carry_out(&mut self, effects: Vec<PoolEffect>) {
        for effect in effects {
            match effect {
                PoolEffect::Accepted(attempt) => {
                    self.log.record(Event::AttemptAccepted { attempt });
                    self.answer(attempt, true);
                }
                PoolEffect::Rejected(attempt) => {
                    self.log.record(Event::AttemptRejected { attempt });
                    self.answer(attempt, false);
                    self.over(attempt);
                }
                PoolEffect::Started(attempt) => {
                    self.log.record(Event::AttemptStarted { attempt });
                    self.call(attempt, r#""state":"started""#);
                }
                PoolEffect::Progressed { attempt, fraction } => {
                    self.call(attempt, &format!(r#""state":"running","share":{fraction:.3}"#))
                }
                PoolEffect::Completed(attempt) => {
                    self.log.record(Event::AttemptCompleted { attempt });
                    let result = self.attempts.get(&attempt).map(|out| expected_result(&out.id));
                    self.call(
                        attempt,
                        &format!(r#""state":"done","result":"{}""#, result.unwrap_or_default()),
                    );
                    self.over(attempt);
                }
                PoolEffect::Returned(attempt) => {
                    self.log.record(Event::AttemptReturned { attempt });
                    self.call(attempt, r#""state":"returned""#);
                    self.over(attempt);
                }
                PoolEffect::Lost(attempt) => {
                    self.log.record(Event::AttemptLost { attempt });
                    // The machine's agent saw the process die.
                    self.call(attempt, r#""state":"lost""#);
                    self.over(attempt);
                }
                PoolEffect::Cancelled { attempt, .. } => {
                    self.log.record(Event::AttemptCancelled { attempt });
                    self.over(attempt);
                }
                PoolEffect::Overloaded(worker) => {
                    self.log.record(Event::WorkerOverloaded { worker });
                    self.sockets[worker].send_replace(Sockets::Closed);
                    let entry =
                        EndpointEntry { worker, status: EndpointStatus::Terminated, started_at: None };
                    self.registry.record_change(self.log.now(), entry);
                }
            }
        }
    }

    fn answer(&mut self, attempt: AttemptNumber, taken: bool) {
        let reply = self.attempts.get_mut(&attempt).and_then(|out| out.reply.take());
        if let Some(reply) = reply {
            // A node that has closed its connection hears nothing, and has said so.
            let _ = reply.send(taken);
        }
    }

    fn over(&mut self, attempt: AttemptNumber) {
        if let Some(out) = self.attempts.remove(&attempt) {
            let key = (out.worker, out.id);
            if self.current.get(&key) == Some(&attempt) {
                self.current.remove(&key);
            }
        }
    }

    fn call(&self, attempt: AttemptNumber, rest: &str) {
        let Some(out) = self.attempts.get(&attempt) else { return };
        let from = worker_name(out.worker);
        let _ = out.calls.send(format!(r#"{{"id":"{}","from":"{from}",{rest}}}"#, out.id));
    }

    /// What an attempt has to tell goes out in order, each call until it is heard.
    fn caller(&self, node: usize) -> UnboundedSender<String> {
        let (calls, mut waiting) = unbounded_channel::<String>();
        let (client, nodes) = (self.client.clone(), self.nodes.clone());
        tokio::spawn(async move {
            while let Some(text) = waiting.recv().await {
                for _ in 0..CALLS {
                    let at = nodes.lock()[node];
                    let heard = async {
                        let request = Request::post(format!("http://{}/callback", at?))
                            .body(Full::new(Bytes::from(text.clone())))
                            .ok()?;
                        let reply = client.request(request).await.ok()?;
                        let heard = matches!(reply.status(), StatusCode::OK | StatusCode::NO_CONTENT);
                        // Read to its end, so that the connection can be used again.
                        let _ = reply.into_body().collect().await;
                        heard.then_some(())
                    };
                    if timeout(CALL_TIME, heard).await.ok().flatten().is_some() {
                        break;
                    }
                    sleep(CALL_AGAIN).await;
                }
            }
        });
        calls
    }
}

#[cfg(test)]
#[path = "../tests/unit/fleet.rs"]
mod tests;
