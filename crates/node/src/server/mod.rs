//! Owns the listener on RELAY_LISTEN and all that speaks HTTP there: clients' jobs, next hops' call-backs,
//! the front's question whether this node is ready, and the counters. It must never decide what becomes of a
//! job, and never answer one before the dispatch task has, but for what is malformed, finds no room here, or
//! comes when the node has answered all and ends: none of these is taken.

pub mod callback;
pub mod connection;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use curlewusher_control::takeover::{CallbackRoute, route_callback};
use curlewusher_core::{ClassId, Idempotency, TenantId, stable_hash};
use curlewusher_settings::Site;
use curlewusher_settings::operator::ServerOptions as Tuning;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::OwnedPermit;
use tokio::sync::oneshot::error::TryRecvError;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use crate::connection_budget::ConnectionBudget;
use crate::dispatch::{
    Clock, DispatchMessage, DispatchQueue, IncomingMigration, JobHandle, JobMigration, JobOwner, JobResponse,
    OutgoingMigration, SubmittedJob,
};
use crate::handover::{ForwardResult, Peer};
use crate::lifecycle::Lifecycle;
use crate::server::callback::Callback;
use crate::server::connection::{
    Connection, ConnectionState, FilteredStream, MAX_HEAD_BYTES, READ_TIMEOUT, ReadFilter, WRITE_TIMEOUT,
    discard_and_close, lingering_close,
};
use crate::telemetry::logging::SERVER;
use crate::telemetry::metrics::{Counter, Metrics};
use crate::upstream::{IDEMPOTENCY_KEY, RequestPayload, X_DEADLINE, X_REQUEST_ID};

const X_CLASS: HeaderName = HeaderName::from_static("x-class");
const X_TENANT: HeaderName = HeaderName::from_static("x-tenant");
const X_RETRY: HeaderName = HeaderName::from_static("x-retry");
const X_COST_HINT: HeaderName = HeaderName::from_static("x-cost-hint");
const X_EXTRAS: HeaderName = HeaderName::from_static("x-extras");

const LONGEST_BODY: usize = 64 << 10;
/// Where jobs are handed in.
const JOBS: &str = "/api";
const LONGEST_ID: usize = 128;
const LONGEST_PATH: usize = 2048;
/// No client waits for longer, s.
const LONGEST_WAIT: f64 = 86_400.0;
/// A body comes so long before the end of that time, which leaves time to say so.
const SAYING_SO: Duration = Duration::from_millis(150);
/// How often connections are looked through for those that have used up their time.
const LOOK: Duration = Duration::from_millis(100);
/// The most slots that a job can ask for.
const MOST_SLOTS: f64 = 64.0;
const BACKLOG: u32 = 1024;
/// Out of descriptors, accepting is tried again after this.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// So many places are kept free for the next ones.
const SPARE: usize = 4;
/// A job that could not move to the other process is tried again after this.
const MOVE_AGAIN: Duration = Duration::from_millis(20);
/// Answers must be written and connections closed within this at the end.
const CLOSE_TIME: Duration = Duration::from_millis(1000);
/// For so long it reads what far ends have under way.
const LAST_LINGER: Duration = Duration::from_millis(100);

type Reply = Response<Full<Bytes>>;

struct Shared {
    queue: DispatchQueue<RequestPayload>,
    clock: Clock,
    /// Names of the classes, and whether their jobs carry a key.
    classes: Vec<(String, bool)>,
    /// Names of the tenants.
    tenants: Vec<String>,
    lifecycle: Lifecycle,
    counters: Metrics,
    tuning: Rc<Cell<Tuning>>,
    connections: RefCell<Vec<Weak<Connection>>>,
    room: ConnectionBudget,
    /// Jobs taken and not yet answered, from the last byte of each on.
    open: Cell<usize>,
    /// Nothing was left unanswered when this node ended: from then on no job is taken.
    over: Rc<Cell<bool>>,
    answered: Notify,
    /// Whether new connections are this process's to take.
    accepts: watch::Sender<bool>,
    /// The other process of this node, while there is one, and whether what is in hand is to move there.
    peer: Peer,
    moves: watch::Sender<bool>,
}

/// What the sender side keeps within.
pub struct ServerLimits {
    /// Places for connections.
    pub room: ConnectionBudget,
    /// The operator's fields, which may change.
    pub tuning: Rc<Cell<Tuning>>,
}

/// The sender side of the node; one more for each connection, which is then its connection.
#[derive(Clone)]
pub struct Server {
    shared: Rc<Shared>,
    connection: Option<Rc<Connection>>,
}

/// Stands for a job that was taken. Dropped without an answer it says that the client has gone; it holds a
/// place in the queue for that, since a drop cannot wait for one. Until it has that place nobody knows the
/// job.
struct OpenJob {
    gone: Option<(OwnedPermit<DispatchMessage<RequestPayload>>, JobHandle)>,
    shared: Rc<Shared>,
}

impl OpenJob {
    fn new(shared: &Rc<Shared>) -> OpenJob {
        shared.open.set(shared.open.get() + 1);
        OpenJob { gone: None, shared: shared.clone() }
    }
}

impl Drop for OpenJob {
    fn drop(&mut self) {
        self.shared.open.set(self.shared.open.get() - 1);
        self.shared.answered.notify_waiters();
        if let Some((place, job_handle)) = self.gone.take() {
            // At once, for what is about to begin: the notice may stand behind a crowd.
            job_handle.mark_client_gone();
            place.send(DispatchMessage::ClientDisconnected(job_handle));
        }
    }
}

fn reply(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(text.into()));
    *reply.status_mut() = status;
    reply
}

/// A request that is no job or call-back in good form: the status, and why.
type Malformed = (StatusCode, String);

fn deferred(after: Duration) -> Reply {
    let mut reply = reply(StatusCode::SERVICE_UNAVAILABLE, "deferred: come again later\n");
    // 0 is no advice, and not 'at once'.
    if !after.is_zero()
        && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
    {
        reply.headers_mut().insert(RETRY_AFTER, seconds);
    }
    reply
}

fn bad(why: impl Into<String>) -> Malformed {
    (StatusCode::BAD_REQUEST, why.into())
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Malformed> {
    let read = |v: &'a HeaderValue| v.to_str().map_err(|_| bad(format!("header {name} is malformed")));
    let mut values = headers.get_all(name).into_iter();
    match (values.next(), values.next()) {
        // Another server might go by the other one.
        (_, Some(_)) => Err(bad(format!("header {name} is repeated"))),
        (value, None) => value.map(read).transpose(),
    }
}

/// Whose share a job counts against: by name, or by its place in the settings. Where there are tenants a job
/// of nobody's would count against nobody's share.
fn tenant(names: &[String], named: Option<&str>) -> Result<TenantId, Malformed> {
    let place = |name: &str| {
        let place = || name.parse().ok().filter(|place| *place < names.len());
        names.iter().position(|n| n == name).or_else(place)
    };
    match named {
        _ if names.is_empty() => Ok(TenantId(0)),
        None => Err(bad("header x-tenant is missing")),
        Some(name) => {
            place(name).map(TenantId).ok_or_else(|| bad(format!("header x-tenant names no tenant: {name}")))
        }
    }
}

/// Whether a path is one at which jobs are handed in: `/api/KEY`, or `/api` where jobs have no key.
fn is_job(path: &str) -> bool {
    path.strip_prefix(JOBS).is_some_and(|rest| rest.is_empty() || rest.len() > 1 && rest.starts_with('/'))
}

/// A figure from nought to `most`.
fn number(headers: &HeaderMap, name: &HeaderName, most: f64) -> Result<Option<f64>, Malformed> {
    let malformed = || bad(format!("header {name} is malformed"));
    let read = |v: &str| v.parse::<f64>().ok().filter(|v| (0.0..=most).contains(v)).ok_or_else(malformed);
    text(headers, name)?.map(read).transpose()
}

/// One of the figures that X-Extras carries.
fn extra(headers: &HeaderMap, figure: &str) -> Result<Option<f64>, Malformed> {
    let Some(extras) = text(headers, &X_EXTRAS)? else { return Ok(None) };
    let mut found = None;
    for pair in extras.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let figure_of = |v: &str| v.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        let parsed = pair.split_once('=').and_then(|(name, v)| Some((name, figure_of(v)?)));
        let (name, value) = parsed.ok_or_else(|| bad("header x-extras is malformed"))?;
        if name == figure {
            found = Some(value);
        }
    }
    Ok(found)
}

/// Whether an id can stand in a path as it is: it is put into one to withdraw the job.
fn plain(id: &str) -> bool {
    let good = |b: u8| b.is_ascii_alphanumeric() || b"-._~:@!$&'()*+,;=".contains(&b);
    !id.is_empty() && id.len() <= LONGEST_ID && id.bytes().all(good) && id != "." && id != ".."
}

impl Server {
    pub fn new(
        queue: DispatchQueue<RequestPayload>,
        clock: Clock,
        site: &Site,
        lifecycle: Lifecycle,
        counters: Metrics,
        peer: Peer,
        ServerLimits { room, tuning }: ServerLimits,
    ) -> Self {
        let keyed =
            site.decisions.classes.iter().map(|c| matches!(c.idempotency, Idempotency::WithKey { .. }));
        let shared = Rc::new(Shared {
            queue,
            clock,
            classes: site.classes.iter().cloned().zip(keyed).collect(),
            tenants: site.tenants.clone(),
            lifecycle,
            counters,
            tuning,
            connections: RefCell::default(),
            room,
            open: Cell::new(0),
            over: Rc::default(),
            answered: Notify::new(),
            accepts: watch::Sender::new(false),
            peer,
            moves: watch::Sender::new(false),
        });
        Server { shared, connection: None }
    }

    /// `shared`: another process of this node may listen there as well.
    pub fn listen(&self, at: SocketAddr, shared: bool) -> std::io::Result<std::net::TcpListener> {
        let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // A restart must not wait for the old connections to be forgotten.
        socket.set_reuseaddr(true)?;
        if shared {
            socket.set_reuseport(true)?;
        }
        socket.bind(at)?;
        socket.listen(BACKLOG)?.into_std()
    }

    /// Takes connections, as many as there are descriptors for, and closes those whose time is up.
    pub async fn accept(self, listener: TcpListener) {
        let look = async {
            loop {
                sleep(LOOK).await;
                let idle = self.shared.tuning.get().idle_ms.millis();
                // A node that ends keeps them open a little longer: clients use what they have until then.
                let phase = self.shared.lifecycle.phase();
                let sends_on = phase.redirects_clients() && !phase.is_shutting_down();
                for connection in self.connections() {
                    if connection.is_write_blocked_for(WRITE_TIMEOUT) {
                        connection.abort();
                    } else if connection.is_timed_out(idle) || sends_on && connection.is_redirectable() {
                        connection.close_gracefully();
                    }
                }
            }
        };
        tokio::join!(self.take_connections(listener), look);
    }

    /// Takes new connections from now on, or leaves them in the queue for the other process of this node.
    pub fn set_accepting(&self, accepts: bool) {
        self.shared.accepts.send_replace(accepts);
    }

    /// Whether jobs in hand are to move to the other process of this node.
    pub fn set_migrating(&self, moves: bool) {
        self.shared.moves.send_replace(moves);
    }

    /// Uses half of its places or all.
    pub fn set_descriptors_halved(&self, half: bool) {
        self.shared.room.set_halved(half, || self.make_way());
    }

    /// Most jobs that may be open: others must find room for what they have to say.
    fn most_open(&self) -> usize {
        self.shared.room.target() * 3 / 4
    }

    async fn take_connections(&self, listener: TcpListener) {
        let mut accepts = self.shared.accepts.subscribe();
        loop {
            // The sender is this object's own.
            let _ = accepts.wait_for(|accepts| *accepts).await;
            // All may be busy now and idle later: one such look is not enough, or nothing is accepted again.
            let room = loop {
                if self.shared.room.free() <= SPARE {
                    self.make_way();
                }
                if let Ok(room) = timeout(ACCEPT_PAUSE, self.shared.room.acquire()).await {
                    break room;
                }
            };
            let accepted = tokio::select! {
                biased;
                _ = accepts.changed() => continue,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    // It is known as a connection from here on, not from when its task first runs: a burst is
                    // accepted before that, and would fill all places with connections that none can close.
                    let connection = Rc::new(Connection::new());
                    self.shared.connections.borrow_mut().push(Rc::downgrade(&connection));
                    let serve =
                        Server { shared: self.shared.clone(), connection: Some(connection) }.serve(stream);
                    spawn_local(async {
                        serve.await;
                        drop(room);
                    });
                }
                Err(e) => {
                    warn!(target: SERVER, "a connection could not be accepted: {e}");
                    // Out of descriptors, or a client that left at once: neither may end the listening.
                    self.shared.counters.add(Counter::AcceptFailures);
                    self.make_way();
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn connections(&self) -> Vec<Rc<Connection>> {
        let mut connections = self.shared.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        connections.iter().filter_map(Weak::upgrade).collect()
    }

    /// Closes the connection that is missed least: one that has brought nothing, before one that is slow to
    /// bring it, before a client's that is idle, before a next hop's. Of those the one that has stood
    /// longest. It lingers first; one that lingers gives its place up now.
    fn make_way(&self) {
        let connections = self.connections();
        let new = connections.iter().filter(|connection| connection.state() == ConnectionState::New).count();
        // Among many that have brought nothing, one is about to be old enough.
        let waits = |connection: &Connection| {
            connection.state() == ConnectionState::Idle && new > connections.len() / 4
        };
        let (lingering, others): (Vec<_>, Vec<_>) = connections
            .iter()
            .filter(|connection| connection.is_evictable() && !waits(connection))
            .partition(|connection| connection.state() == ConnectionState::Lingering);
        // One always lingers for the next call, or every other call would free nothing.
        let least = (lingering.len() < 2).then(|| {
            others.into_iter().min_by_key(|connection| {
                (connection.is_worker(), connection.state(), connection.state_since())
            })
        });
        let longest = lingering.into_iter().min_by_key(|connection| connection.state_since());
        longest.into_iter().chain(least.flatten()).for_each(|connection| connection.evict());
    }

    async fn serve(self, stream: TcpStream) {
        // Without it an answer could wait for the far end's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let Some(connection) = self.connection.clone() else { return };
        let filter =
            ReadFilter::new(stream, &connection, self.shared.counters.clone(), self.shared.over.clone());
        let closes = self.carry(&connection, &filter).await;
        if closes && let Ok(filter) = Rc::try_unwrap(filter) {
            lingering_close(filter.into_inner().into_stream(), &connection).await;
        }
    }

    /// Has hyper carry the connection's requests and answers. Whether its end is this process's to make.
    async fn carry(self, connection: &Rc<Connection>, filter: &Rc<RefCell<ReadFilter>>) -> bool {
        let http = http1::Builder::new()
            // Times are kept by `Connection`: a head's begins with its first byte.
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(
                TokioIo::new(FilteredStream::new(filter.clone())),
                TowerToHyperService::new(self),
            );
        let mut http = pin!(http);
        loop {
            tokio::select! {
                biased;
                // How it ended makes no difference here: a job that it carried says so by its drop.
                _ = http.as_mut() => return true,
                // One that is cut ends by what the filter then says, when it is next polled.
                () = connection.close_requested() => if connection.is_aborted() {
                    return false;
                } else if connection.state() == ConnectionState::Reading || filter.borrow().has_unread_input() {
                    // hyper, which knows nothing of half a head, would close over a request that has begun in
                    // this very moment. It is read to its end, and is the last.
                    connection.mark_last_request();
                } else if !connection.is_read_expired() {
                    http.as_mut().graceful_shutdown();
                },
                // Last: one that is flooded uses its turn up.
                () = poll_fn(|cx| filter.borrow_mut().poll_disconnected(cx)) => return false,
            }
        }
    }

    /// Ends clients' connections that carry no request. One on which a request has begun may bring it to its
    /// end.
    fn send_on(&self) {
        for connection in self.connections() {
            let free = match connection.state() {
                ConnectionState::New => connection.is_evictable(),
                ConnectionState::Idle => true,
                ConnectionState::Reading | ConnectionState::Busy | ConnectionState::Lingering => false,
            };
            if free && !connection.is_worker() {
                connection.close_gracefully();
            }
        }
    }

    /// Ends idle clients' connections, and returns once nothing that was taken is unanswered. What is read
    /// from then on was never sent on: it is told to come again.
    pub async fn drain(&self) {
        loop {
            let answered = self.shared.answered.notified();
            self.send_on();
            if self.shared.open.get() == 0 {
                self.shared.over.set(true);
                return;
            }
            answered.await;
        }
    }

    /// Closes all connections, those that still come among them, once what is being written on them is
    /// written.
    pub async fn close(&self) {
        let lingers = |c: &Connection| c.state() == ConnectionState::Lingering;
        // A request that is under way here, on a connection that was just accepted or behind its first half,
        // is told to come again once it is whole: closed without an answer it would be lost.
        let begins = |c: &Connection| {
            matches!(c.state(), ConnectionState::New | ConnectionState::Reading) && !c.is_evictable()
        };
        let closed = async {
            loop {
                self.connections()
                    .iter()
                    .filter(|c| !lingers(c) && !begins(c))
                    .for_each(|c| c.close_gracefully());
                // What waits at the listener is accepted meanwhile.
                sleep(Duration::from_millis(5)).await;
                let done = |c: &Rc<Connection>| lingers(c) && c.state_since().elapsed() >= LAST_LINGER;
                if self.connections().iter().all(done) {
                    return;
                }
            }
        };
        // A far end that reads nothing must not keep this node from ending.
        let _ = timeout(CLOSE_TIME, closed).await;
    }

    async fn respond(self, request: Request<Incoming>) -> Reply {
        let shared = self.shared.clone();
        let mut reply = match (request.method(), request.uri().path()) {
            (&Method::POST, "/callback") => self.callback(request).await,
            (&Method::GET, "/ready") => Ok(match shared.lifecycle.phase() {
                phase if phase.accepts_new_clients() => reply(StatusCode::OK, "ready\n"),
                phase => reply(StatusCode::SERVICE_UNAVAILABLE, format!("{phase}\n")),
            }),
            (&Method::GET, "/metrics") => {
                let mut reply = reply(StatusCode::OK, shared.counters.text());
                let form =
                    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");
                reply.headers_mut().insert(CONTENT_TYPE, form);
                Ok(reply)
            }
            (&Method::POST, path) if is_job(path) => self.job(request).await,
            (_, path) => {
                let allow = match path {
                    "/callback" => Some("POST"),
                    "/ready" | "/metrics" => Some("GET"),
                    _ if is_job(path) => Some("POST"),
                    _ => None,
                };
                match allow {
                    Some(method) => {
                        let mut reply = reply(StatusCode::METHOD_NOT_ALLOWED, "not by this method\n");
                        reply.headers_mut().insert(ALLOW, HeaderValue::from_static(method));
                        Ok(reply)
                    }
                    None => Err((StatusCode::NOT_FOUND, "nothing is here".into())),
                }
            }
        }
        .unwrap_or_else(|(status, why)| {
            shared.counters.add(Counter::Rejected);
            debug!(target: SERVER, status = status.as_u16(), why, "turned away");
            let mut reply = reply(status, why + "\n");
            // Who sends what cannot be used holds no place here.
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            reply
        });
        if let Some(connection) = &self.connection {
            connection.enter(ConnectionState::Idle);
            let sends_on = shared.lifecycle.phase().redirects_clients() && !connection.is_worker();
            if sends_on || connection.is_last_request() || shared.over.get() {
                // The client is to go on elsewhere.
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
        }
        reply
    }

    /// Reads a body to its end: then the request counts as taken.
    async fn body(&self, request: Incoming) -> Result<Bytes, Malformed> {
        if request.size_hint().lower() > LONGEST_BODY as u64 {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB".into()));
        }
        let spent = self.connection.as_ref().map_or(Duration::ZERO, |connection| connection.request_age());
        let left = (READ_TIMEOUT - SAYING_SO).saturating_sub(spent);
        match timeout(left, Limited::new(request, LONGEST_BODY).collect()).await {
            Ok(Ok(body)) => {
                if let Some(connection) = &self.connection {
                    connection.enter(ConnectionState::Busy);
                }
                Ok(body.to_bytes())
            }
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB".into()))
            }
            Ok(Err(e)) => Err(bad(format!("the body cannot be read: {e}"))),
            Err(_) => Err((StatusCode::REQUEST_TIMEOUT, "the body did not come in time".into())),
        }
    }

    async fn callback(&self, request: Request<Incoming>) -> Result<Reply, Malformed> {
        if let Some(connection) = &self.connection {
            connection.mark_as_worker();
        }
        let body = self.body(request.into_body()).await?;
        let (id, from, word) = Callback::read(&body).map_err(|e| bad(e.to_string()))?;
        let (link, estranged) = (self.shared.peer.link(), self.shared.peer.may_have_unknown_peer());
        let (holder, holds) = oneshot::channel();
        let holder = (link.is_some() || estranged).then_some(holder);
        let asks = holder.is_some();
        if self
            .shared
            .queue
            .send(DispatchMessage::Callback { request_id: id, worker_name: from, state: word, owner: holder })
            .await
            .is_err()
        {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "this node has ended".into()));
        }
        let holder = if asks { holds.await.unwrap_or(JobOwner::Local) } else { JobOwner::Local };
        let linked = link.as_ref().is_some_and(|link| link.is_connected());
        let heard = match (holder, route_callback(holder == JobOwner::Local, linked), link) {
            (JobOwner::Migrating, ..) => false,
            (_, CallbackRoute::Forward, Some(link)) => match link.forward_callback(body.clone()).await {
                ForwardResult::Handled => true,
                // Its job may have come from there since it was looked for here.
                ForwardResult::NotHeld => self.handle_callback(body).await.is_some(),
                ForwardResult::NoAnswer => false,
            },
            // Another process may be there that this one cannot reach: a repeat may find it.
            (JobOwner::Unknown, ..) => !estranged,
            _ => true,
        };
        if heard {
            return Ok(reply(StatusCode::NO_CONTENT, ""));
        }
        // The other process may hold its job and has not heard it: the next hop is to say it again.
        Ok(reply(StatusCode::SERVICE_UNAVAILABLE, "not heard; say it again\n"))
    }

    /// A call-back that came to the other process of this node. Whether a job here is meant; nothing is said
    /// where that is about to change, and the call-back is to be repeated.
    pub async fn handle_callback(&self, body: Bytes) -> Option<bool> {
        let Ok((id, from, word)) = Callback::read(&body) else { return Some(false) };
        let (holder, holds) = oneshot::channel();
        let told =
            DispatchMessage::Callback { request_id: id, worker_name: from, state: word, owner: Some(holder) };
        self.shared.queue.send(told).await.ok()?;
        match holds.await.ok()? {
            JobOwner::Local => Some(true),
            JobOwner::Unknown => Some(false),
            JobOwner::Migrating => None,
        }
    }

    /// Returns once jobs in hand are to move, after a pause.
    async fn time_to_move(&self, pause: Duration) {
        sleep(pause).await;
        // The sender is this object's own.
        let _ = self.shared.moves.subscribe().wait_for(|moves| *moves).await;
    }

    /// Moves a job to the other process of this node, with a copy of its client's socket. Whether it is held
    /// there.
    async fn move_on(&self, job_handle: &JobHandle, client: Option<OwnedFd>) -> bool {
        let (Some(link), Some(client)) = (self.shared.peer.link(), client) else { return false };
        let (queue, job_handle) = (self.shared.queue.clone(), job_handle.clone());
        // Dropped with this future when the client leaves meanwhile.
        let (_client_here, mut client_gone) = oneshot::channel::<Infallible>();
        // A task of its own: a client that leaves now must not leave the job between both.
        let moving = spawn_local(async move {
            let (to, let_go) = oneshot::channel();
            queue
                .send(DispatchMessage::MigrateJob { job_handle: job_handle.clone(), migration_channel: to })
                .await
                .ok()?;
            let OutgoingMigration { migration: moved, payload } = let_go.await.ok()?;
            let held = match record(&moved, &payload) {
                Some(record) => link.migrate_job(record, client).await,
                None => false,
            };
            queue
                .send(DispatchMessage::MigrationFinished { job_handle: job_handle.clone(), accepted: held })
                .await
                .ok()?;
            if !held && client_gone.try_recv() == Err(TryRecvError::Closed) {
                // While it was on its way nobody heard that; the other process would have seen it by itself.
                queue.send(DispatchMessage::ClientDisconnected(job_handle)).await.ok()?;
            }
            Some(held)
        });
        moving.await.ok().flatten().unwrap_or(false)
    }

    /// Takes a job on that the other process of this node has moved here, and answers its client. `said`: the
    /// other process will have read that it is held here.
    pub async fn adopt_job(
        self,
        job: Bytes,
        client: OwnedFd,
        held: oneshot::Sender<bool>,
        said: oneshot::Receiver<()>,
    ) {
        let stream = std::net::TcpStream::from(client);
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        // Unanswered, it stays where it was.
        let (Some((moved, payload)), Ok(mut stream), Some(_place), false) =
            (read_record(&job), stream, self.shared.room.try_acquire(), self.shared.over.get())
        else {
            let _ = held.send(false);
            return;
        };
        let mut open = OpenJob::new(&self.shared);
        let job_handle = JobHandle::default();
        let Ok(place_for_gone) = self.shared.queue.clone().reserve_owned().await else { return };
        let (answer, mut answered) = oneshot::channel();
        let adopted = IncomingMigration {
            migration: moved,
            payload,
            job_handle: job_handle.clone(),
            response_channel: answer,
            accepted: held,
        };
        if self.shared.queue.send(DispatchMessage::ReceiveMigration(adopted)).await.is_err() {
            return;
        }
        open.gone = Some((place_for_gone, job_handle.clone()));
        let ours = said.await.is_ok();
        if self
            .shared
            .queue
            .send(DispatchMessage::MigrationConfirmed { job_handle: job_handle.clone(), confirmed: ours })
            .await
            .is_err()
            || !ours
        {
            open.gone = None;
            return;
        }
        let mut pause = Duration::ZERO;
        let answer = loop {
            tokio::select! {
                biased;
                answer = &mut answered => break answer,
                () = left(&mut stream) => return,
                () = self.time_to_move(pause) => {
                    pause = MOVE_AGAIN;
                    if self.move_on(&job_handle, stream.as_fd().try_clone_to_owned().ok()).await {
                        open.gone = None;
                        return;
                    }
                }
            }
        };
        open.gone = None;
        if let Ok(answer) = answer {
            let reply = answer_to(answer).unwrap_or_else(|(status, why)| reply(status, why + "\n"));
            let written = timeout(CLOSE_TIME, write_reply(&mut stream, reply)).await;
            // The node's end waits for the answer alone.
            drop(open);
            if matches!(written, Ok(Ok(()))) {
                discard_and_close(stream).await;
            }
        }
    }

    /// Whether a job of that id is in hand.
    pub async fn holds_job(&self, id: String) -> bool {
        let (held, holds) = oneshot::channel();
        self.shared.queue.send(DispatchMessage::QueryJob { request_id: id, held }).await.is_ok()
            && holds.await.unwrap_or(false)
    }

    async fn job(&self, request: Request<Incoming>) -> Result<Reply, Malformed> {
        let shared = &self.shared;
        let came = shared.clock.now();
        let headers = request.headers();
        let id = text(headers, &X_REQUEST_ID)?.ok_or_else(|| bad("header x-request-id is missing"))?;
        if !plain(id) {
            return Err(bad("header x-request-id is malformed"));
        }
        let id: Rc<str> = id.into();
        let class = text(headers, &X_CLASS)?.ok_or_else(|| bad("header x-class is missing"))?;
        let place = shared.classes.iter().position(|(name, _)| name == class);
        let place = place.ok_or_else(|| bad(format!("header x-class names no class: {class}")))?;
        let tenant = tenant(&shared.tenants, text(headers, &X_TENANT)?)?;
        text(headers, &IDEMPOTENCY_KEY)?;
        let key = headers.get(IDEMPOTENCY_KEY).cloned();
        if shared.classes[place].1 && key.is_none() {
            return Err(bad("header idempotency-key is missing"));
        }
        let wait =
            number(headers, &X_DEADLINE, LONGEST_WAIT)?.ok_or_else(|| bad("header x-deadline is missing"))?;
        let hint = number(headers, &X_COST_HINT, LONGEST_WAIT * 1e6)?.map(|us| us / 1e6);
        let slots = extra(headers, "slots")?.unwrap_or(1.0);
        if !(1.0..=MOST_SLOTS).contains(&slots) {
            return Err(bad("header x-extras asks for an impossible number of slots"));
        }
        let repeat = text(headers, &X_RETRY)? == Some("1");
        text(headers, &CONTENT_TYPE)?;
        let path = request.uri().path_and_query().filter(|path| path.as_str().is_ascii()).cloned();
        let path = path.ok_or_else(|| bad("the path is malformed"))?;
        if path.as_str().len() > LONGEST_PATH {
            return Err((StatusCode::URI_TOO_LONG, "the path is too long".into()));
        }
        // Where jobs concern nothing in particular the path ends with their name for all of them.
        let subject =
            path.path().strip_prefix(JOBS).and_then(|rest| rest.rsplit('/').next()).filter(|s| !s.is_empty());
        let subject = subject.map(stable_hash);
        let (parts, incoming) = request.into_parts();
        let body = self.body(incoming).await;
        // No await from here to where it counts as open: the node ends once it has seen that nothing is.
        if shared.over.get() || body.is_ok() && shared.open.get() >= self.most_open() {
            if !shared.over.get() {
                shared.counters.add(Counter::Crowded);
            }
            return Ok(deferred(shared.tuning.get().crowded_retry_ms.millis()));
        }
        let body = body?;
        let mut open = OpenJob::new(shared);
        let payload = RequestPayload {
            method: parts.method,
            // In the form that a server of its own is asked in, without a scheme and a host.
            path: path.into(),
            request_id: parts.headers[X_REQUEST_ID].clone(),
            idempotency_key: key,
            content_type: parts.headers.get(CONTENT_TYPE).cloned(),
            body,
        };

        let ended = || (StatusCode::BAD_GATEWAY, "this node has ended".to_owned());
        // While another process of this node runs, a job of one id must not be in hand at both.
        let claim = match shared.peer.link() {
            Some(link) => Some(link.claim_job(&id).await.ok_or_else(duplicate)?),
            None => None,
        };
        let job_handle = JobHandle::default();
        let place_for_gone = shared.queue.clone().reserve_owned().await.map_err(|_| ended())?;
        open.gone = Some((place_for_gone, job_handle.clone()));
        let (answer, mut answered) = oneshot::channel();
        let taken = SubmittedJob {
            request_id: id,
            class: ClassId(place),
            tenant,
            deadline: came + (wait * 1e6) as u64,
            cost_hint: hint,
            slots,
            affinity_key: subject,
            is_retry: repeat,
            payload,
            job_handle: job_handle.clone(),
            response_channel: answer,
        };
        shared.queue.send(DispatchMessage::Submit(taken)).await.map_err(|_| ended())?;
        // From here on the dispatch task knows the id.
        drop(claim);
        let mut pause = Duration::ZERO;
        let answer = loop {
            tokio::select! {
                biased;
                answer = &mut answered => break answer.map_err(|_| ended())?,
                () = self.time_to_move(pause) => {
                    pause = MOVE_AGAIN;
                    let client = self.connection.as_ref().and_then(|connection| connection.duplicate_socket());
                    if let Some(connection) = self.connection.as_ref()
                        && self.move_on(&job_handle, client).await
                    {
                        open.gone = None;
                        connection.abort();
                        // Its connection is dropped now, and this with it.
                        std::future::pending::<()>().await;
                    }
                }
            }
        };
        open.gone = None;
        answer_to(answer)
    }
}

fn answer_to(answer: JobResponse) -> Result<Reply, Malformed> {
    Ok(match answer {
        JobResponse::Served(result) => reply(StatusCode::OK, result),
        JobResponse::Rejected { retry_after: after } => deferred(after),
        JobResponse::Failed => reply(StatusCode::BAD_GATEWAY, "failed: it may have run\n"),
        JobResponse::Duplicate => return Err(duplicate()),
    })
}

fn duplicate() -> Malformed {
    (StatusCode::CONFLICT, "a job of this x-request-id is in hand".into())
}

/// What goes to the other process with a job, but for the request's body.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Record {
    moved: JobMigration,
    method: String,
    path: String,
    key: Option<String>,
    content_type: Option<String>,
}

/// A job and its request as bytes: a length, the record, and the body as it came. None where a header is no
/// text.
fn record(moved: &JobMigration, payload: &RequestPayload) -> Option<Bytes> {
    let text = |value: &Option<HeaderValue>| match value {
        Some(value) => value.to_str().ok().map(|text| Some(text.to_owned())),
        None => Some(None),
    };
    let record = Record {
        moved: moved.clone(),
        method: payload.method.to_string(),
        path: payload.path.to_string(),
        key: text(&payload.idempotency_key)?,
        content_type: text(&payload.content_type)?,
    };
    let record = serde_json::to_vec(&record).ok()?;
    let mut bytes = BytesMut::with_capacity(4 + record.len() + payload.body.len());
    bytes.put_u32(u32::try_from(record.len()).ok()?);
    bytes.put_slice(&record);
    bytes.put_slice(&payload.body);
    Some(bytes.freeze())
}

fn read_record(bytes: &Bytes) -> Option<(JobMigration, RequestPayload)> {
    let mut body = bytes.clone();
    let length = body.try_get_u32().ok()? as usize;
    let record = (length <= body.len()).then(|| body.split_to(length))?;
    let Record { moved, method, path, key, content_type } = serde_json::from_slice(&record).ok()?;
    let header = |text: Option<String>| match text {
        Some(text) => HeaderValue::from_str(&text).ok().map(Some),
        None => Some(None),
    };
    let payload = RequestPayload {
        method: method.parse().ok()?,
        path: path.parse().ok()?,
        request_id: HeaderValue::from_str(moved.request_id()).ok()?,
        idempotency_key: header(key)?,
        content_type: header(content_type)?,
        body,
    };
    Some((moved, payload))
}

/// Returns once the far end has closed. That lies behind all that it sends meanwhile, which nobody needs.
async fn left(stream: &mut TcpStream) {
    while stream.read(&mut [0; 4096]).await.is_ok_and(|came| came > 0) {}
}

/// The answer to a job that came with its client's socket, after which that is closed.
async fn write_reply(stream: &mut TcpStream, reply: Reply) -> io::Result<()> {
    let (parts, body) = reply.into_parts();
    let Ok(body) = body.collect().await;
    let body = body.to_bytes();
    let mut head = format!("HTTP/1.1 {}\r\n", parts.status);
    for (name, value) in &parts.headers {
        head += &format!("{name}: {}\r\n", value.to_str().unwrap_or_default());
    }
    head += &format!("content-length: {}\r\nconnection: close\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), &body].concat()).await
}

impl tower::Service<Request<Incoming>> for Server {
    type Response = Reply;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Reply, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let respond = self.clone().respond(request);
        Box::pin(async { Ok(respond.await) })
    }
}
