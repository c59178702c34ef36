//! Owns the connections to next hops and the delivery attempts on them. It must never send an attempt twice,
//! choose a next hop, or call an attempt unsent that may have arrived: where that is in doubt, it is lost.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use curlewusher::Outcome;
use curlewusher_settings::operator::NextHop as Tuning;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};
use tracing::{debug, trace};

use crate::counters::{Counter, Counters};
use crate::dispatch::{AttemptKey, Carrier, DeliveryAttempt, Notice, Queue};
use crate::logs::NEXT_HOP;
use crate::places::Places;

pub const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
pub const X_DEADLINE: HeaderName = HeaderName::from_static("x-deadline");
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const X_NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// No body of a next hop's own answer is longer.
const LONGEST_BODY: usize = 64 << 10;
/// After the end of an attempt its 202 is waited for so long, to keep the connection.
const LATE_ACCEPTANCE: Duration = Duration::from_millis(2000);
/// An attempt that is given up before its 202 was read waits for it so long: it may be on its way, and closing the
/// connection gives up only what was not taken on.
const CROSSING: Duration = Duration::from_millis(20);
/// A withdrawal that was not answered is made again after this, doubled each time up to the most.
const WITHDRAWN_AGAIN: Duration = Duration::from_millis(50);
const WITHDRAWN_AGAIN_MOST: Duration = Duration::from_millis(800);
/// Idle connections are looked through this often.
const SWEEP: Duration = Duration::from_millis(250);

/// What passes through to a next hop, as it came.
pub struct Parcel {
    pub method: Method,
    pub path: Uri,
    pub id: HeaderValue,
    pub key: Option<HeaderValue>,
    pub content_type: Option<HeaderValue>,
    pub body: Bytes,
}

impl Parcel {
    fn request(&self, to: SocketAddr, wait: Duration) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.clone())
            .header(HOST, to.to_string())
            .header(X_REQUEST_ID, self.id.clone())
            .header(X_DEADLINE, format!("{:.3}", wait.as_secs_f64()));
        if let Some(key) = &self.key {
            request = request.header(IDEMPOTENCY_KEY, key.clone());
        }
        if let Some(content_type) = &self.content_type {
            request = request.header(CONTENT_TYPE, content_type.clone());
        }
        request.body(Full::new(self.body.clone()))
    }
}

/// A connection to a next hop, which carries one request at a time.
struct Link {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    reused: bool,
    idle_since: Instant,
    _room: OwnedSemaphorePermit,
}

impl Link {
    /// Closes it, and returns once it is closed.
    async fn close(mut self) {
        self.driver.abort();
        // A driver that was stopped ends as cancelled; either way its socket is gone.
        let _ = (&mut self.driver).await;
    }

    fn usable(&self, now: Instant, idle_life: Duration) -> bool {
        self.sender.is_ready() && now.duration_since(self.idle_since) < idle_life
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request brought no answer.
enum Broken {
    /// It was handed back: no byte of it was written.
    Unsent,
    /// It may have arrived.
    InDoubt,
}

/// The connections to all next hops.
#[derive(Clone)]
pub struct NextHops(Rc<Shared>);

struct Shared {
    queue: Queue<Parcel>,
    counters: Counters,
    idle: RefCell<HashMap<SocketAddr, Vec<Link>>>,
    connect_timeout: Duration,
    keepalive: Duration,
    tuning: Rc<Cell<Tuning>>,
    room: Places,
    /// Jobs that next hops have not yet heard are not wanted, and where.
    unheard: RefCell<Vec<(SocketAddr, String)>>,
    /// Delivery attempts that are out or being withdrawn.
    busy: Cell<usize>,
}

impl Carrier for NextHops {
    type Parcel = Parcel;

    fn deliver(&self, attempt: DeliveryAttempt<Parcel>) {
        tokio::task::spawn_local(self.clone().carry(attempt));
    }

    fn resume(&self, attempt: DeliveryAttempt<Parcel>) {
        let hops = self.clone();
        tokio::task::spawn_local(async move {
            let DeliveryAttempt { key, id, to, wait, give_up, .. } = attempt;
            if give_up.await.is_ok() {
                let _busy = Busy::new(&hops.0.busy);
                hops.call_off(key, to, &id, Instant::now() + wait).await;
            }
        });
    }

    fn forget(&self, to: SocketAddr) {
        self.0.idle.borrow_mut().remove(&to);
    }
}

/// Resolves when an attempt is to be given up. When it has ended instead, waits for ever.
async fn told_to_give_up(give_up: &mut Option<oneshot::Receiver<()>>) {
    if let Some(asked) = give_up {
        let told = asked.await.is_ok();
        *give_up = None;
        if told {
            return;
        }
    }
    pending().await
}

impl NextHops {
    pub fn new(
        queue: Queue<Parcel>,
        counters: Counters,
        connect_timeout: Duration,
        keepalive: Duration,
        tuning: Rc<Cell<Tuning>>,
        room: Places,
    ) -> Self {
        NextHops(Rc::new(Shared {
            queue,
            counters,
            idle: RefCell::default(),
            connect_timeout,
            keepalive,
            tuning,
            room,
            unheard: RefCell::default(),
            busy: Cell::new(0),
        }))
    }

    /// A connection is used again only this soon after its last use. Next hops may close or reset one that has been
    /// idle for far less than they say; what is written to it then is in doubt, which costs more than any number of
    /// new connections. Half the time that the far end allows keeps well clear of its closing.
    fn idle_life(&self) -> Duration {
        self.0.tuning.get().reuse_ms.millis().min(self.0.keepalive / 2)
    }

    /// Uses half of its places or all.
    pub fn share(&self, half: bool) {
        self.0.room.share(half, || drop(self.0.make_way()));
    }

    /// Withdrawals that no next hop has heard yet.
    pub fn unheard(&self) -> Vec<(SocketAddr, String)> {
        self.0.unheard.borrow().clone()
    }

    /// Makes a withdrawal that the process before this one could not end.
    pub fn take_over_withdrawal(&self, to: SocketAddr, id: String) {
        let hops = self.clone();
        tokio::task::spawn_local(async move {
            let _busy = Busy::new(&hops.0.busy);
            hops.withdraw(to, &id).await;
        });
    }

    /// Whether nothing is under way.
    pub fn at_rest(&self) -> bool {
        self.0.busy.get() == 0
    }

    /// Drops connections that have been idle for long: the far end closes them, and a request written to one
    /// in that moment would be lost.
    pub async fn sweep(self) {
        loop {
            tokio::time::sleep(SWEEP).await;
            let (now, idle_life) = (Instant::now(), self.idle_life());
            self.0.idle.borrow_mut().retain(|_, links| {
                links.retain(|link| link.usable(now, idle_life));
                !links.is_empty()
            });
        }
    }

    async fn report(&self, notice: Notice<Parcel>) {
        // The dispatch task ends last; without it nothing is left to report to.
        let _ = self.0.queue.send(notice).await;
    }

    async fn carry(self, attempt: DeliveryAttempt<Parcel>) {
        let _busy = Busy::new(&self.0.busy);
        let DeliveryAttempt { key, id, to, parcel, wait, give_up } = attempt;
        let mut give_up = Some(give_up);
        let until = Instant::now() + wait;
        let request = || parcel.request(to, wait);
        let mut crossed = false;
        let exchange = self.exchange(to, request, &mut give_up, &mut crossed, wait + LATE_ACCEPTANCE).await;
        let outcome = match exchange {
            Exchange::Answered(StatusCode::ACCEPTED, _) => {
                self.report(Notice::Accepted(key)).await;
                let given_up = match give_up {
                    Some(asked) => asked.await.is_ok(),
                    // It was asked for while the 202 was on its way.
                    None => crossed,
                };
                if given_up {
                    self.call_off(key, to, &id, until).await;
                }
                return;
            }
            Exchange::Answered(StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, true) => {
                Outcome::Full
            }
            Exchange::Answered(..) => Outcome::Error,
            // What else is open to a next hop that died or fell silent would only cost the next attempt its time.
            Exchange::Unreachable => {
                self.forget(to);
                Outcome::Unreachable
            }
            Exchange::InDoubt => {
                self.forget(to);
                Outcome::Lost
            }
            Exchange::GivenUp => {
                self.forget(to);
                return self.report(Notice::GivenUp(key)).await;
            }
        };
        self.report(Notice::Ended(key, outcome)).await;
    }

    /// Withdraws a job that a next hop has taken on, and says so once that has been heard, or at `until`.
    async fn call_off(&self, key: AttemptKey, to: SocketAddr, id: &str, until: Instant) {
        // At its time-out as well it is told once.
        let until = until.max(Instant::now() + self.0.tuning.get().withdrawal_ms.millis());
        if timeout_at(until, self.withdraw(to, id)).await.is_err() {
            debug!(target: NEXT_HOP, request_id = %id, %to, "never withdrawn");
        }
        self.report(Notice::GivenUp(key)).await;
    }

    /// Tells a next hop that a job it has taken on is not wanted any more; returns once that has been heard. One that
    /// has not heard it goes on with the job, and another attempt beside that would be a second copy.
    async fn withdraw(&self, to: SocketAddr, id: &str) {
        let request = || {
            Request::delete(format!("/jobs/{id}")).header(HOST, to.to_string()).body(Full::new(Bytes::new()))
        };
        let mut pause = WITHDRAWN_AGAIN;
        let this = (to, id.to_owned());
        self.0.unheard.borrow_mut().push(this.clone());
        loop {
            let longest = self.0.tuning.get().withdrawal_ms.millis();
            let answer = self.exchange(to, request, &mut None, &mut false, longest).await;
            if matches!(answer, Exchange::Answered(..)) {
                let mut unheard = self.0.unheard.borrow_mut();
                if let Some(at) = unheard.iter().position(|u| *u == this) {
                    unheard.swap_remove(at);
                }
                return;
            }
            self.0.counters.add(Counter::WithdrawalsUnheard);
            debug!(target: NEXT_HOP, request_id = id, %to, "withdrawal not answered");
            tokio::time::sleep(pause).await;
            pause = (2 * pause).min(WITHDRAWN_AGAIN_MOST);
        }
    }

    /// One request and its answer. A connection that closed while idle hands the request back unwritten: only
    /// then is it written to another, which makes one attempt of it and not two.
    async fn exchange(
        &self,
        to: SocketAddr,
        request: impl Fn() -> Result<Request<Full<Bytes>>, hyper::http::Error>,
        give_up: &mut Option<oneshot::Receiver<()>>,
        crossed: &mut bool,
        longest: Duration,
    ) -> Exchange {
        let Ok(mut request) = request() else { return Exchange::Unreachable };
        let mut idle = self.take_idle(to);
        loop {
            let mut link = match idle.take() {
                Some(link) => link,
                None => tokio::select! {
                    biased;
                    () = told_to_give_up(give_up) => return Exchange::GivenUp,
                    link = self.connect(to) => match link {
                        Some(link) => link,
                        None => return Exchange::Unreachable,
                    }
                },
            };
            let sent = {
                let mut sending = pin!(timeout(longest, send(&mut link.sender, request)));
                tokio::select! {
                    biased;
                    () = told_to_give_up(give_up) => {
                        let answered = timeout(CROSSING, sending.as_mut()).await.ok();
                        *crossed = answered.is_some();
                        answered
                    }
                    sent = sending.as_mut() => Some(sent),
                }
            };
            match sent {
                None => {
                    link.close().await;
                    return Exchange::GivenUp;
                }
                Some(Ok(Ok(response))) => {
                    let status = response.status();
                    let not_run = response.headers().get(X_NOT_RUN).is_some_and(|v| v == "1");
                    tokio::task::spawn_local(self.clone().keep(to, link, response));
                    return Exchange::Answered(status, not_run);
                }
                Some(Ok(Err((Broken::Unsent, Some(back))))) if link.reused && !*crossed => request = back,
                Some(Ok(Err((Broken::Unsent, _)))) => return Exchange::Unreachable,
                Some(Ok(Err((Broken::InDoubt, _))) | Err(_)) => return Exchange::InDoubt,
            }
        }
    }

    /// Reads an answer to its end and keeps the connection for the next request.
    async fn keep(self, to: SocketAddr, mut link: Link, response: Response<hyper::body::Incoming>) {
        let rest = async {
            Limited::new(response.into_body(), LONGEST_BODY).collect().await.is_ok()
                && link.sender.ready().await.is_ok()
        };
        if timeout(LATE_ACCEPTANCE, rest).await.unwrap_or(false) {
            link.reused = true;
            link.idle_since = Instant::now();
            self.0.idle.borrow_mut().entry(to).or_default().push(link);
        }
    }

    /// The connection that was used last, so that the others grow old and go.
    fn take_idle(&self, to: SocketAddr) -> Option<Link> {
        let mut idle = self.0.idle.borrow_mut();
        let links = idle.get_mut(&to)?;
        let (now, idle_life) = (Instant::now(), self.idle_life());
        while let Some(link) = links.pop() {
            if link.usable(now, idle_life) {
                return Some(link);
            }
        }
        None
    }

    /// A new connection, or none when it is refused or not up in time.
    async fn connect(&self, to: SocketAddr) -> Option<Link> {
        self.0.counters.add(Counter::Connects);
        trace!(target: NEXT_HOP, %to, "connects");
        let link = timeout(self.0.connect_timeout, async {
            let room = self.room().await?;
            let stream = TcpStream::connect(to).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            // How a connection ends shows in the request that was on it.
            let driver = tokio::task::spawn_local(async { _ = connection.await });
            Some(Link { sender, driver, reused: false, idle_since: Instant::now(), _room: room })
        });
        let link = link.await.ok().flatten();
        if link.is_none() {
            self.0.counters.add(Counter::ConnectsFailed);
            debug!(target: NEXT_HOP, %to, "connection did not come up");
        }
        link
    }

    /// Room for one more connection. Where all is used, an idle one makes way.
    async fn room(&self) -> Option<OwnedSemaphorePermit> {
        if self.0.room.free() == 0 {
            drop(self.0.make_way());
        }
        self.0.room.take().await
    }
}

impl Shared {
    /// An idle connection, taken out so that its place comes free.
    fn make_way(&self) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        idle.values_mut().find(|links| !links.is_empty()).map(|links| links.remove(0))
    }
}

/// How a request fared.
enum Exchange {
    /// The status, and whether the answer says that the job was not run.
    Answered(StatusCode, bool),
    Unreachable,
    InDoubt,
    GivenUp,
}

async fn send(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<Response<hyper::body::Incoming>, (Broken, Option<Request<Full<Bytes>>>)> {
    sender.try_send_request(request).await.map_err(|mut e| match e.take_message() {
        Some(request) => (Broken::Unsent, Some(request)),
        None => (Broken::InDoubt, None),
    })
}

/// Counts what is under way.
struct Busy<'a>(&'a Cell<usize>);

impl<'a> Busy<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Busy(count)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
