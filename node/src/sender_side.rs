//! Owns the listener on RELAY_LISTEN and all that speaks HTTP there: clients' jobs, next hops' call-backs, the
//! front's question whether this node is ready, and the counters. It must never decide what becomes of a job,
//! and never answer one before the dispatch task has, but for what is malformed and so is no job.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use curlewusher::{ClassId, Effect};
use curlewusher_settings::Site;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::OwnedPermit;
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::counters::{Counter, Counters};
use crate::dispatch::{Answer, Clock, Notice, Queue, Taken, Ticket, Word};
use crate::lifecycle::{Lifecycle, Phase};
use crate::next_hop::{IDEMPOTENCY_KEY, Parcel, X_DEADLINE, X_REQUEST_ID};

const X_CLASS: HeaderName = HeaderName::from_static("x-class");
const X_RETRY: HeaderName = HeaderName::from_static("x-retry");
const X_COST_HINT: HeaderName = HeaderName::from_static("x-cost-hint");
const X_EXTRAS: HeaderName = HeaderName::from_static("x-extras");

const LONGEST_BODY: usize = 64 << 10;
const LONGEST_ID: usize = 128;
/// No client waits for longer, s.
const LONGEST_WAIT: f64 = 86_400.0;
/// A body that takes longer than this to come is given up.
const BODY_TIME: Duration = Duration::from_secs(10);
/// A connection on which no request comes for so long is closed.
const IDLE_TIME: Duration = Duration::from_secs(60);
const BACKLOG: u32 = 1024;
/// Out of descriptors, accepting is tried again after this.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// A connection is not taken to be idle before this.
const SETTLED: Duration = Duration::from_millis(200);
/// Answers must be written and connections closed within this at the end.
const CLOSE_TIME: Duration = Duration::from_millis(1000);

type Reply = Response<Full<Bytes>>;

/// A connection that was accepted.
struct Caller {
    busy: Cell<bool>,
    /// Next hops' connections stay open while this node drains: it waits for what they have to say.
    next_hop: Cell<bool>,
    since: Cell<Instant>,
    close: Notify,
}

struct Shared {
    queue: Queue<Parcel>,
    clock: Clock,
    /// Names of the classes, and whether their jobs carry a key.
    classes: Vec<(String, bool)>,
    lifecycle: Rc<Lifecycle>,
    counters: Counters,
    callers: RefCell<Vec<Weak<Caller>>>,
    room: std::sync::Arc<Semaphore>,
    /// Jobs taken and not yet answered.
    open: Cell<usize>,
    answered: Notify,
}

/// The sender side of the node; one more for each connection, which is then its caller.
#[derive(Clone)]
pub struct SenderSide {
    shared: Rc<Shared>,
    caller: Option<Rc<Caller>>,
}

/// Stands for a job that was taken. Dropped without an answer it says that the client has gone; it holds a
/// place in the queue for that, since a drop cannot wait for one.
struct OpenJob {
    gone: Option<(OwnedPermit<Notice<Parcel>>, Ticket)>,
    shared: Rc<Shared>,
}

impl Drop for OpenJob {
    fn drop(&mut self) {
        self.shared.open.set(self.shared.open.get() - 1);
        self.shared.answered.notify_waiters();
        if let Some((place, ticket)) = self.gone.take() {
            place.send(Notice::ClientGone(ticket));
        }
    }
}

/// What a next hop tells of a job.
#[derive(Deserialize)]
struct Callback<'a> {
    id: String,
    from: String,
    state: State,
    share: Option<f64>,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Started,
    Running,
    Done,
    Failed,
    Returned,
    Lost,
}

impl Callback<'_> {
    fn read(body: &Bytes) -> Result<(String, String, Word), String> {
        let call: Callback =
            serde_json::from_slice(body).map_err(|e| format!("the call cannot be read: {e}"))?;
        let word = match call.state {
            State::Started => Word::Started,
            State::Running => match call.share.filter(|share| (0.0..=1.0).contains(share)) {
                Some(share) => Word::Running(share),
                None => return Err("field share is missing or no share".into()),
            },
            State::Done => Word::Done(unquoted(body, call.result.ok_or("field result is missing")?)?),
            State::Failed => Word::Failed,
            State::Returned => Word::Returned,
            State::Lost => Word::Lost,
        };
        Ok((call.id, call.from, word))
    }
}

/// The text of a result, as a part of the body that it came in where that has it without escapes.
fn unquoted(body: &Bytes, result: &RawValue) -> Result<Bytes, String> {
    let raw = result.get();
    match raw.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')) {
        Some(text) if !text.contains('\\') => Ok(body.slice_ref(text.as_bytes())),
        Some(_) => {
            serde_json::from_str::<String>(raw).map(Bytes::from).map_err(|e| format!("field result: {e}"))
        }
        // A result that is no text is passed on as it stands.
        None => Ok(body.slice_ref(raw.as_bytes())),
    }
}

fn reply(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(text.into()));
    *reply.status_mut() = status;
    reply
}

/// A request that is no job or call-back in good form: the status, and why.
type Malformed = (StatusCode, String);

fn bad(why: impl Into<String>) -> Malformed {
    (StatusCode::BAD_REQUEST, why.into())
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Malformed> {
    let read = |v: &'a HeaderValue| v.to_str().map_err(|_| bad(format!("header {name} is malformed")));
    headers.get(name).map(read).transpose()
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<f64>, Malformed> {
    let malformed = || bad(format!("header {name} is malformed"));
    let read = |v: &str| v.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0).ok_or_else(malformed);
    text(headers, name)?.map(read).transpose()
}

/// One of the figures that X-Extras carries.
fn extra(headers: &HeaderMap, figure: &str) -> Result<Option<f64>, Malformed> {
    let Some(extras) = text(headers, &X_EXTRAS)? else { return Ok(None) };
    let mut found = None;
    for pair in extras.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let parsed = pair.split_once('=').and_then(|(name, v)| Some((name, v.parse::<f64>().ok()?)));
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

async fn body(request: Incoming) -> Result<Bytes, Malformed> {
    if request.size_hint().lower() > LONGEST_BODY as u64 {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB".into()));
    }
    match timeout(BODY_TIME, Limited::new(request, LONGEST_BODY).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB".into()))
        }
        Ok(Err(e)) => Err(bad(format!("the body cannot be read: {e}"))),
        Err(_) => Err((StatusCode::REQUEST_TIMEOUT, "the body did not come in time".into())),
    }
}

impl SenderSide {
    pub fn new(
        queue: Queue<Parcel>,
        clock: Clock,
        site: &Site,
        most: usize,
        lifecycle: Rc<Lifecycle>,
        counters: Counters,
    ) -> Self {
        let keyed = site.decisions.classes.iter().map(|c| matches!(c.effect, Effect::Keyed { .. }));
        let shared = Rc::new(Shared {
            queue,
            clock,
            classes: site.classes.iter().cloned().zip(keyed).collect(),
            lifecycle,
            counters,
            callers: RefCell::default(),
            room: std::sync::Arc::new(Semaphore::new(most)),
            open: Cell::new(0),
            answered: Notify::new(),
        });
        SenderSide { shared, caller: None }
    }

    pub fn listen(&self, at: SocketAddr) -> std::io::Result<TcpListener> {
        let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // A restart must not wait for the old connections to be forgotten.
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        socket.listen(BACKLOG)
    }

    /// Takes connections, as many as there are descriptors for. When those run low, the one that has been
    /// idle for longest is closed: between requests that does no harm.
    pub async fn accept(self, listener: TcpListener) {
        loop {
            // All may be busy now and idle later: one such look is not enough, or nothing is accepted again.
            let room = loop {
                if self.shared.room.available_permits() <= 1 {
                    self.close_longest_idle();
                }
                if let Ok(room) = timeout(ACCEPT_PAUSE, self.shared.room.clone().acquire_owned()).await {
                    break room;
                }
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    // It is known as a caller from here on, not from when its task first runs: a burst is
                    // accepted before that, and would fill all places with connections that none can close.
                    let caller = Rc::new(Caller {
                        busy: Cell::new(false),
                        next_hop: Cell::new(false),
                        since: Cell::new(Instant::now()),
                        close: Notify::new(),
                    });
                    self.shared.callers.borrow_mut().push(Rc::downgrade(&caller));
                    let serve =
                        SenderSide { shared: self.shared.clone(), caller: Some(caller) }.serve(stream);
                    spawn_local(async {
                        serve.await;
                        drop(room);
                    });
                }
                Err(_) => {
                    // Out of descriptors, or a client that left at once: neither may end the listening.
                    self.shared.counters.add(Counter::AcceptFailures);
                    self.close_longest_idle();
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn callers(&self) -> Vec<Rc<Caller>> {
        let mut callers = self.shared.callers.borrow_mut();
        callers.retain(|caller| caller.strong_count() > 0);
        callers.iter().filter_map(Weak::upgrade).collect()
    }

    fn close_longest_idle(&self) {
        let idle = self.callers().into_iter().filter(|caller| {
            // On a young one a request may have come that was not read yet.
            !caller.busy.get() && caller.since.get().elapsed() >= SETTLED
        });
        if let Some(caller) = idle.min_by_key(|caller| caller.since.get()) {
            // It is not chosen twice.
            caller.since.set(Instant::now());
            caller.close.notify_one();
        }
    }

    async fn serve(self, stream: TcpStream) {
        // Without it an answer could wait for the far end's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let Some(caller) = self.caller.clone() else { return };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIME)
            .serve_connection(TokioIo::new(stream), TowerToHyperService::new(self));
        let mut connection = pin!(connection);
        loop {
            tokio::select! {
                // How it ended makes no difference here: a job that it carried says so by its drop.
                _ = connection.as_mut() => return,
                () = caller.close.notified() => connection.as_mut().graceful_shutdown(),
            }
        }
    }

    /// Closes idle clients' connections, and returns once nothing that was taken is unanswered.
    pub async fn finish(&self) {
        loop {
            let answered = self.shared.answered.notified();
            for caller in self.callers() {
                if !caller.busy.get() && !caller.next_hop.get() {
                    caller.close.notify_one();
                }
            }
            if self.shared.open.get() == 0 {
                return;
            }
            answered.await;
        }
    }

    /// Closes all connections once what is being written on them is written.
    pub async fn close(&self) {
        let closed = async {
            loop {
                let callers = self.callers();
                if callers.is_empty() {
                    return;
                }
                callers.iter().for_each(|caller| caller.close.notify_one());
                drop(callers);
                sleep(Duration::from_millis(5)).await;
            }
        };
        // A far end that reads nothing must not keep this node from ending.
        let _ = timeout(CLOSE_TIME, closed).await;
    }

    async fn respond(self, request: Request<Incoming>) -> Reply {
        if let Some(caller) = &self.caller {
            caller.busy.set(true);
        }
        let shared = self.shared.clone();
        let mut reply = match (request.method(), request.uri().path()) {
            (&Method::POST, "/callback") => self.callback(request).await,
            (&Method::GET, "/ready") => Ok(match shared.lifecycle.phase() {
                Phase::Ready => reply(StatusCode::OK, "ready\n"),
                phase => reply(StatusCode::SERVICE_UNAVAILABLE, format!("{phase:?}\n")),
            }),
            (&Method::GET, "/metrics") => {
                let mut reply = reply(StatusCode::OK, shared.counters.text());
                let form = HeaderValue::from_static("text/plain; version=0.0.4");
                reply.headers_mut().insert(CONTENT_TYPE, form);
                Ok(reply)
            }
            (&Method::POST, path) if path.strip_prefix("/api/").is_some_and(|rest| !rest.is_empty()) => {
                self.job(request).await
            }
            (_, path) => {
                let allow = match path {
                    "/callback" => Some("POST"),
                    "/ready" | "/metrics" => Some("GET"),
                    _ if path.starts_with("/api/") => Some("POST"),
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
            reply(status, why + "\n")
        });
        if let Some(caller) = &self.caller {
            caller.busy.set(false);
            caller.since.set(Instant::now());
            if shared.lifecycle.phase() >= Phase::Draining && !caller.next_hop.get() {
                // The client is to go on elsewhere.
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
        }
        reply
    }

    async fn callback(&self, request: Request<Incoming>) -> Result<Reply, Malformed> {
        if let Some(caller) = &self.caller {
            caller.next_hop.set(true);
        }
        let body = body(request.into_body()).await?;
        let (id, from, word) = Callback::read(&body).map_err(bad)?;
        if self.shared.queue.send(Notice::Told { id, from, word }).await.is_err() {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "this node has ended".into()));
        }
        Ok(reply(StatusCode::NO_CONTENT, ""))
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
        let key = headers.get(IDEMPOTENCY_KEY).cloned();
        if shared.classes[place].1 && key.is_none() {
            return Err(bad("header idempotency-key is missing"));
        }
        let wait = number(headers, &X_DEADLINE)?.ok_or_else(|| bad("header x-deadline is missing"))?;
        let hint = number(headers, &X_COST_HINT)?.map(|us| us / 1e6);
        let slots = extra(headers, "slots")?.unwrap_or(1.0);
        let repeat = text(headers, &X_RETRY)? == Some("1");
        let (parts, incoming) = request.into_parts();
        let parcel = Parcel {
            method: parts.method,
            path: parts.uri,
            id: parts.headers[X_REQUEST_ID].clone(),
            key,
            content_type: parts.headers.get(CONTENT_TYPE).cloned(),
            body: body(incoming).await?,
        };

        let ended = || (StatusCode::BAD_GATEWAY, "this node has ended".to_owned());
        let ticket = Ticket::default();
        let place_for_gone = shared.queue.clone().reserve_owned().await.map_err(|_| ended())?;
        shared.open.set(shared.open.get() + 1);
        let mut open = OpenJob { gone: Some((place_for_gone, ticket.clone())), shared: shared.clone() };
        let (answer, answered) = oneshot::channel();
        let taken = Taken {
            id,
            class: ClassId(place),
            deadline: came + (wait.min(LONGEST_WAIT) * 1e6) as u64,
            hint,
            slots,
            repeat,
            parcel,
            ticket,
            answer,
        };
        shared.queue.send(Notice::Taken(taken)).await.map_err(|_| ended())?;
        let answer = answered.await.map_err(|_| ended())?;
        open.gone = None;
        Ok(match answer {
            Answer::Served(result) => reply(StatusCode::OK, result),
            Answer::Defer { after } => {
                let mut reply = reply(StatusCode::SERVICE_UNAVAILABLE, "deferred: come again later\n");
                let seconds = format!("{:.3}", after.as_secs_f64());
                if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                    reply.headers_mut().insert(RETRY_AFTER, seconds);
                }
                reply
            }
            Answer::Failed => reply(StatusCode::BAD_GATEWAY, "failed: it may have run\n"),
            Answer::Duplicate => {
                return Err((StatusCode::CONFLICT, "a job of this x-request-id is in hand".into()));
            }
        })
    }
}

impl tower::Service<Request<Incoming>> for SenderSide {
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
