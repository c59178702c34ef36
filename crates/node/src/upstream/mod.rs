//! Owns the delivery attempts on next hops and their withdrawals. It must never send an attempt twice, choose
//! a next hop, or call an attempt unsent that may have arrived: where that is in doubt, it is lost.

pub mod pool;
pub mod send_permit;

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use curlewusher_core::Outcome;
use curlewusher_settings::operator::UpstreamOptions as Tuning;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout, timeout_at};
use tracing::debug;

use crate::connection_budget::ConnectionBudget;
use crate::dispatch::{AttemptRequest, AttemptTransport, DispatchMessage, DispatchQueue};
use crate::telemetry::logging::UPSTREAM;
use crate::telemetry::metrics::{Counter, Metrics};
use crate::upstream::pool::{Broken, ConnectionPool, NotUp};
use crate::upstream::send_permit::SendPermit;

pub const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
pub const X_DEADLINE: HeaderName = HeaderName::from_static("x-deadline");
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const X_NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// After the end of an attempt its 202 is waited for so long, to keep the connection.
const LATE_ACCEPTANCE: Duration = Duration::from_millis(2000);
/// An attempt that is given up before its 202 was read waits for it so long: it may be on its way, and then
/// the connection can stay.
const CROSSING: Duration = Duration::from_millis(20);
/// A withdrawal that was not answered is made again after this, doubled each time up to the most.
const WITHDRAWN_AGAIN: Duration = Duration::from_millis(50);
const WITHDRAWN_AGAIN_MOST: Duration = Duration::from_millis(800);
/// A withdrawal of the process before this one is made for so long.
const TAKEN_OVER: Duration = Duration::from_secs(30);

/// What passes through to a next hop, as it came.
pub struct RequestPayload {
    pub method: Method,
    pub path: Uri,
    pub request_id: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    pub content_type: Option<HeaderValue>,
    pub body: Bytes,
}

impl RequestPayload {
    fn request(&self, to: SocketAddr, wait: Duration) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.clone())
            .header(HOST, to.to_string())
            .header(X_REQUEST_ID, self.request_id.clone())
            .header(X_DEADLINE, format!("{:.3}", wait.as_secs_f64()));
        if let Some(key) = &self.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY, key.clone());
        }
        if let Some(content_type) = &self.content_type {
            request = request.header(CONTENT_TYPE, content_type.clone());
        }
        request.body(Full::new(self.body.clone()))
    }
}

/// The delivery attempts on all next hops.
#[derive(Clone)]
pub struct UpstreamClient(Rc<Shared>);

struct Shared {
    queue: DispatchQueue<RequestPayload>,
    counters: Metrics,
    pool: ConnectionPool,
    tuning: Rc<Cell<Tuning>>,
    /// Jobs that next hops have not yet heard are not wanted, and where.
    unheard: RefCell<Vec<(SocketAddr, String)>>,
    /// Delivery attempts that are out or being withdrawn.
    busy: Cell<usize>,
}

impl AttemptTransport for UpstreamClient {
    type Payload = RequestPayload;

    fn start_attempt(&self, attempt: AttemptRequest<RequestPayload>) {
        tokio::task::spawn_local(self.clone().carry(attempt));
    }

    fn resume_attempt(&self, attempt: AttemptRequest<RequestPayload>) {
        let hops = self.clone();
        tokio::task::spawn_local(async move {
            let AttemptRequest {
                id: key, request_id: id, address: to, timeout: wait, cancel: give_up, ..
            } = attempt;
            if give_up.await.is_ok() {
                let _busy = Busy::new(&hops.0.busy);
                hops.call_off(to, &id, Instant::now() + wait, false).await;
                hops.report(DispatchMessage::AttemptCancelled(key)).await;
            }
        });
    }

    fn discard_connections(&self, to: SocketAddr) {
        self.0.pool.forget(to);
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

impl UpstreamClient {
    pub fn new(
        queue: DispatchQueue<RequestPayload>,
        counters: Metrics,
        connect_timeout: Duration,
        keepalive: Duration,
        tuning: Rc<Cell<Tuning>>,
        places: ConnectionBudget,
    ) -> Self {
        let pool = ConnectionPool::new(counters.clone(), connect_timeout, keepalive, tuning.clone(), places);
        UpstreamClient(Rc::new(Shared {
            queue,
            counters,
            pool,
            tuning,
            unheard: RefCell::default(),
            busy: Cell::new(0),
        }))
    }

    /// Uses half of its places or all.
    pub fn set_descriptors_halved(&self, half: bool) {
        self.0.pool.share(half);
    }

    /// Withdrawals that no next hop has heard yet.
    pub fn unacknowledged_cancellations(&self) -> Vec<(SocketAddr, String)> {
        self.0.unheard.borrow().clone()
    }

    /// Makes a withdrawal that the process before this one could not end.
    pub fn adopt_cancellation(&self, to: SocketAddr, id: String) {
        let hops = self.clone();
        tokio::task::spawn_local(async move {
            let _busy = Busy::new(&hops.0.busy);
            // Its next hop may be gone for good, and no job of this process ends the calls.
            let _ = timeout(TAKEN_OVER, hops.withdraw(to, &id, false)).await;
        });
    }

    /// Whether nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.0.busy.get() == 0
    }

    /// Drops connections that have been idle for long.
    pub async fn sweep(self) {
        self.0.pool.sweep().await;
    }

    async fn report(&self, notice: DispatchMessage<RequestPayload>) {
        // The dispatch task ends last; without it nothing is left to report to.
        let _ = self.0.queue.send(notice).await;
    }

    async fn carry(self, attempt: AttemptRequest<RequestPayload>) {
        let _busy = Busy::new(&self.0.busy);
        let AttemptRequest {
            id: key,
            request_id: id,
            address: to,
            payload,
            timeout: wait,
            cancel: give_up,
            send_permit,
        } = attempt;
        let mut give_up = Some(give_up);
        let until = Instant::now() + wait;
        let request = || payload.request(to, wait);
        let mut crossed = false;
        let longest = wait + LATE_ACCEPTANCE;
        let exchange = self.exchange(to, request, &send_permit, &mut give_up, &mut crossed, longest).await;
        let outcome = match exchange {
            Exchange::Answered(StatusCode::ACCEPTED, _) => {
                self.report(DispatchMessage::AttemptAccepted(key)).await;
                let given_up = match give_up {
                    Some(asked) => asked.await.is_ok(),
                    // It was asked for while the 202 was on its way.
                    None => crossed,
                };
                if given_up {
                    self.call_off(to, &id, until, false).await;
                    self.report(DispatchMessage::AttemptCancelled(key)).await;
                }
                return;
            }
            Exchange::Answered(StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, true) => {
                Outcome::Rejected
            }
            Exchange::Answered(status, _) => {
                // What no core worker says of a job: it may have it for all that.
                if !status.is_client_error() && !status.is_server_error() {
                    self.call_off(to, &id, until, false).await;
                }
                Outcome::Error
            }
            Exchange::Spoilt => {
                self.call_off(to, &id, until, true).await;
                Outcome::Lost
            }
            // What else is open to a next hop that died or fell silent would only cost the next attempt its
            // time.
            Exchange::Refused | Exchange::Unreachable => {
                self.discard_connections(to);
                Outcome::Unreachable
            }
            Exchange::InDoubt | Exchange::Silent { .. } => {
                self.discard_connections(to);
                Outcome::Lost
            }
            Exchange::HeldBack => Outcome::NotSent,
            Exchange::GivenUp { written } => {
                // Where nothing was written the next hop has shown no weakness: a client has left.
                if written {
                    self.discard_connections(to);
                    self.call_off(to, &id, until, true).await;
                }
                return self.report(DispatchMessage::AttemptCancelled(key)).await;
            }
        };
        self.report(DispatchMessage::AttemptEnded(key, outcome)).await;
    }

    /// Withdraws a job that a next hop may have, until that has been heard or until `until`.
    async fn call_off(&self, to: SocketAddr, id: &str, until: Instant, closed: bool) {
        // At its time-out as well it is told once.
        let until = until.max(Instant::now() + self.0.tuning.get().withdrawal_ms.millis());
        if timeout_at(until, self.withdraw(to, id, closed)).await.is_err() {
            debug!(target: UPSTREAM, request_id = %id, %to, "never withdrawn");
        }
    }

    /// Tells a next hop that a job is not wanted any more; returns once that has been heard. One that has not
    /// heard it goes on with the job, and another attempt beside that would be a second copy.
    ///
    /// `closed`: the attempt's connection was closed before its 202, which gives it up as well, but on a cut
    /// network never arrives. A connection that comes up after that, or is refused, shows that the network
    /// carries it: a next hop that then still says nothing hangs, with the closing and this call before it.
    async fn withdraw(&self, to: SocketAddr, id: &str, closed: bool) {
        let request = || {
            Request::delete(format!("/jobs/{id}")).header(HOST, to.to_string()).body(Full::new(Bytes::new()))
        };
        let mut pause = WITHDRAWN_AGAIN;
        // It may always leave.
        let send_permit = Rc::<SendPermit>::default();
        let _unheard = Unheard::new(&self.0.unheard, to, id);
        loop {
            let longest = self.0.tuning.get().withdrawal_ms.millis();
            let heard = match self.exchange(to, request, &send_permit, &mut None, &mut false, longest).await {
                Exchange::Answered(..) => true,
                // A refusal as well comes over a network that carries the closing. Of a job that was taken on
                // it says nothing: a next hop that holds as many connections as it may refuses others.
                Exchange::Refused => closed,
                Exchange::Silent { fresh } => closed && fresh,
                _ => false,
            };
            if heard {
                return;
            }
            self.0.counters.add(Counter::WithdrawalsUnheard);
            debug!(target: UPSTREAM, request_id = id, %to, "withdrawal not answered");
            tokio::time::sleep(pause).await;
            pause = (2 * pause).min(WITHDRAWN_AGAIN_MOST);
        }
    }

    /// One request and its answer. A connection that closed while idle has written nothing of the request:
    /// only then does it go out on another, which makes one attempt of it and not two.
    ///
    /// `send_permit` is looked at once there is a connection, which is kept where it holds no more, and once more by
    /// the socket just before the first byte.
    async fn exchange(
        &self,
        to: SocketAddr,
        request: impl Fn() -> Result<Request<Full<Bytes>>, hyper::http::Error>,
        send_permit: &Rc<SendPermit>,
        give_up: &mut Option<oneshot::Receiver<()>>,
        crossed: &mut bool,
        longest: Duration,
    ) -> Exchange {
        loop {
            let Ok(request) = request() else { return Exchange::Unreachable };
            let mut connection = tokio::select! {
                biased;
                () = told_to_give_up(give_up) => return Exchange::GivenUp { written: false },
                // A dial that is under way ends here, and its place is free.
                () = send_permit.revoked() => return Exchange::HeldBack,
                connection = self.0.pool.obtain(to) => match connection {
                    Ok(connection) => connection,
                    Err(NotUp::Refused) => return Exchange::Refused,
                    Err(NotUp::Unreachable) => return Exchange::Unreachable,
                }
            };
            let (fresh, traffic) = (!connection.reused(), connection.traffic());
            let sent = {
                let mut sending = pin!(timeout(longest, connection.send(request, send_permit.clone())));
                tokio::select! {
                    biased;
                    // What has not been written by now never is.
                    () = told_to_give_up(give_up) => match traffic.written() {
                        false => None,
                        true => {
                            let answered = timeout(CROSSING, sending.as_mut()).await.ok();
                            *crossed = answered.is_some();
                            answered
                        }
                    },
                    sent = sending.as_mut() => Some(sent),
                }
            };
            let broken = match sent {
                None => {
                    connection.close().await;
                    return Exchange::GivenUp { written: traffic.written() };
                }
                Some(Err(_)) => {
                    connection.close().await;
                    return Exchange::Silent { fresh };
                }
                Some(Ok(Ok(response))) => {
                    let status = response.status();
                    let not_run = response.headers().get(X_NOT_RUN).is_some_and(|v| v == "1");
                    let hops = self.clone();
                    tokio::task::spawn_local(async move { hops.0.pool.keep(to, connection, response).await });
                    return Exchange::Answered(status, not_run);
                }
                Some(Ok(Err(broken))) => broken,
            };
            connection.close().await;
            if matches!(broken, Broken::Spoilt) || matches!(broken, Broken::InDoubt) && traffic.read() {
                self.0.pool.spoilt(to, &broken.to_string());
            }
            match broken {
                Broken::Unsent if *crossed => return Exchange::GivenUp { written: false },
                Broken::Unsent if !send_permit.is_valid() => return Exchange::HeldBack,
                Broken::Unsent if fresh => return Exchange::Unreachable,
                Broken::Unsent => {}
                Broken::InDoubt => return Exchange::InDoubt,
                Broken::Spoilt => return Exchange::Spoilt,
            }
        }
    }
}

/// How a request fared.
enum Exchange {
    /// The status, and whether the answer says that the job was not run.
    Answered(StatusCode, bool),
    Refused,
    Unreachable,
    /// Its clearance held no more before a byte was written.
    HeldBack,
    InDoubt,
    /// What came is no answer, and the connection was closed for it.
    Spoilt,
    /// No answer in time; `fresh`: on a connection that was dialled for it.
    Silent {
        fresh: bool,
    },
    /// `written`: it may have arrived.
    GivenUp {
        written: bool,
    },
}

/// Lists a withdrawal for as long as it is being made: one that was given up goes to no other process.
struct Unheard<'a> {
    list: &'a RefCell<Vec<(SocketAddr, String)>>,
    this: (SocketAddr, String),
}

impl<'a> Unheard<'a> {
    fn new(list: &'a RefCell<Vec<(SocketAddr, String)>>, to: SocketAddr, id: &str) -> Self {
        let this = (to, id.to_owned());
        list.borrow_mut().push(this.clone());
        Unheard { list, this }
    }
}

impl Drop for Unheard<'_> {
    fn drop(&mut self) {
        let mut list = self.list.borrow_mut();
        if let Some(at) = list.iter().position(|other| *other == self.this) {
            list.swap_remove(at);
        }
    }
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
