//! Cancels jobs at workers: a `DELETE`, repeated until the worker has acknowledged it.
//!
//! A worker that has not acknowledged a cancellation continues to run the job, and another attempt beside it
//! would run the job twice. So the dispatch task learns that an attempt is cancelled only once that is
//! acknowledged, or once the attempt has no time left. A process that shuts down hands the cancellations over
//! that are not acknowledged yet.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use curlewusher_settings::operator::UpstreamOptions;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::debug;

use crate::attempt::CancelSignal;
use crate::attempt::SendPermit;
use crate::telemetry::logging::UPSTREAM;
use crate::telemetry::metrics::{Counter, Metrics};
use crate::upstream::exchange::{Exchange, ExchangeOutcome, UnsentBytes};
use crate::upstream::payload::UpstreamRequest;
use crate::upstream::pool::connection::ConnectionOrigin;
use crate::upstream::pool::{ConnectionChoice, ConnectionPool};

/// The first pause before a cancellation that was not acknowledged is sent again, doubled each time up to
/// [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// How long a cancellation of another process of this node is repeated. The worker may never return, and
/// no job of this process bounds it.
const ADOPTED_CANCELLATION_TIMEOUT: Duration = Duration::from_secs(30);

/// A job to be cancelled at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CancellationTarget {
    /// The worker.
    pub address: SocketAddr,
    /// The client's id of the job.
    pub request_id: String,
}

/// What became of the connection on which the attempt to be cancelled was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptConnection {
    /// It was closed before a response, which cancels the attempt as well if the worker sees it. A network
    /// that is cut does not carry the closing. A connection that is established or refused after that shows
    /// that the network carries it: then a worker that still does not respond hangs, with the closing and the
    /// cancellation in its queue.
    ClosedBeforeResponse,
    /// It brought a response, or nothing is known of it.
    Other,
}

/// Cancels jobs at workers.
pub struct Canceller {
    pool: Rc<ConnectionPool>,
    metrics: Metrics,
    options: Rc<Cell<UpstreamOptions>>,
    /// Cancellations that have begun and are not acknowledged.
    unacknowledged: RefCell<Vec<CancellationTarget>>,
}

impl Canceller {
    /// A canceller that sends over the connections of `pool`.
    pub fn new(pool: Rc<ConnectionPool>, metrics: Metrics, options: Rc<Cell<UpstreamOptions>>) -> Self {
        Canceller { pool, metrics, options, unacknowledged: RefCell::default() }
    }

    /// The cancellations that no worker has acknowledged yet.
    pub fn unacknowledged(&self) -> Vec<CancellationTarget> {
        self.unacknowledged.borrow().clone()
    }

    /// Cancels a job that the worker may have, until that is acknowledged or `deadline` has passed. It is
    /// sent once even if the deadline has passed already.
    pub async fn cancel_before(
        &self,
        deadline: Instant,
        target: CancellationTarget,
        connection: AttemptConnection,
    ) {
        let deadline = deadline.max(Instant::now() + self.response_timeout());
        if timeout_at(deadline, self.cancel_until_acknowledged(&target, connection)).await.is_err() {
            let CancellationTarget { address, request_id } = target;
            debug!(target: UPSTREAM, %request_id, %address, "cancellation abandoned");
        }
    }

    /// Continues a cancellation that another process of this node could not complete.
    pub async fn adopt(&self, target: CancellationTarget) {
        let cancellation = self.cancel_until_acknowledged(&target, AttemptConnection::Other);
        // Nothing else can be done for it after that.
        let _ = timeout(ADOPTED_CANCELLATION_TIMEOUT, cancellation).await;
    }

    /// Returns once the worker has acknowledged that the job is cancelled.
    async fn cancel_until_acknowledged(&self, target: &CancellationTarget, connection: AttemptConnection) {
        let CancellationTarget { address, request_id } = target;
        // A cancellation may be sent at any time.
        let send_permit = Rc::<SendPermit>::default();
        let _unacknowledged = UnacknowledgedGuard::new(&self.unacknowledged, target);
        let started = Instant::now();
        let mut delay = INITIAL_RETRY_DELAY;
        loop {
            if let Some(evidence) = acknowledgement(&self.send(target, &send_permit).await, connection) {
                let elapsed_ms = started.elapsed().as_millis();
                debug!(target: UPSTREAM, %request_id, %address, ?evidence, elapsed_ms, "cancellation acknowledged");
                return;
            }
            self.metrics.add(Counter::CancellationsUnacknowledged);
            debug!(target: UPSTREAM, %request_id, %address, "cancellation not acknowledged");
            sleep(delay).await;
            delay = (2 * delay).min(MAX_RETRY_DELAY);
        }
    }

    async fn send(&self, target: &CancellationTarget, send_permit: &Rc<SendPermit>) -> ExchangeOutcome {
        let response_timeout = self.response_timeout();
        let Ok(request) = target.to_request() else { return ExchangeOutcome::Unreachable };
        let cancel = &mut CancelSignal::never();
        let exchange = Exchange {
            address: target.address,
            request,
            connection_choice: ConnectionChoice::Any,
            client_deadline: None,
            send_permit,
            cancel,
            response_timeout,
            unsent_bytes: UnsentBytes::Deliver,
        };
        exchange.run(&self.pool).await
    }

    fn response_timeout(&self) -> Duration {
        self.options.get().cancellation_timeout.duration()
    }
}

impl CancellationTarget {
    fn to_request(&self) -> Result<UpstreamRequest, hyper::http::Error> {
        Request::delete(format!("/jobs/{}", self.request_id))
            .header(HOST, self.address.to_string())
            .body(Full::new(Bytes::new()))
    }
}

/// What shows that a worker does not run a cancelled job any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Acknowledgement {
    /// The worker's response to the cancellation.
    Response(StatusCode),
    /// The connection of the attempt was closed before a response, and later another was refused. By itself a refused
    /// connection shows nothing: a worker with as many connections as it may have refuses others. But it came over a
    /// network that carries the closing as well.
    ClosedThenRefused,
    /// The connection of the attempt was closed before a response, and later another was established, on which the
    /// worker does not respond: it hangs, with the closing in its queue.
    ClosedThenSilent,
}

/// What the outcome of a cancellation shows of the job, if anything.
fn acknowledgement(outcome: &ExchangeOutcome, connection: AttemptConnection) -> Option<Acknowledgement> {
    let closed = connection == AttemptConnection::ClosedBeforeResponse;
    match outcome {
        ExchangeOutcome::Response { status, .. } if confirms_cancellation(*status) => {
            Some(Acknowledgement::Response(*status))
        }
        ExchangeOutcome::Refused if closed => Some(Acknowledgement::ClosedThenRefused),
        ExchangeOutcome::TimedOut { connection: ConnectionOrigin::Dialled } if closed => {
            Some(Acknowledgement::ClosedThenSilent)
        }
        ExchangeOutcome::Response { .. }
        | ExchangeOutcome::Refused
        | ExchangeOutcome::TimedOut { .. }
        | ExchangeOutcome::Unreachable
        | ExchangeOutcome::PermitInvalid
        | ExchangeOutcome::ConnectionLost { .. }
        | ExchangeOutcome::MalformedResponse
        | ExchangeOutcome::Cancelled { .. } => None,
    }
}

/// Whether a response states that the job was cancelled or is not known. With any other status the worker may not have
/// handled the cancellation at all.
fn confirms_cancellation(status: StatusCode) -> bool {
    status.is_success() || matches!(status, StatusCode::NOT_FOUND | StatusCode::GONE)
}

/// Lists a cancellation as not acknowledged. Dropping it removes the entry, even if the cancellation was
/// abandoned at its deadline: one that this process has abandoned is not handed over to another.
struct UnacknowledgedGuard<'a> {
    list: &'a RefCell<Vec<CancellationTarget>>,
    target: &'a CancellationTarget,
}

impl<'a> UnacknowledgedGuard<'a> {
    fn new(list: &'a RefCell<Vec<CancellationTarget>>, target: &'a CancellationTarget) -> Self {
        list.borrow_mut().push(target.clone());
        UnacknowledgedGuard { list, target }
    }
}

impl Drop for UnacknowledgedGuard<'_> {
    fn drop(&mut self) {
        let mut list = self.list.borrow_mut();
        if let Some(index) = list.iter().position(|other| other == self.target) {
            list.swap_remove(index);
        }
    }
}
