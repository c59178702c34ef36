//! Cancels jobs at workers: sends a `DELETE` and repeats it until the worker has acknowledged it.
//!
//! A worker that has not acknowledged a cancellation may continue to run the job, and another attempt would
//! then run the job twice. Therefore an attempt is reported to the dispatch task as cancelled only once the
//! worker has acknowledged the cancellation or the attempt has no time left. A process that shuts down hands
//! its unacknowledged cancellations over to the peer process.

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

/// Delay before an unacknowledged cancellation is sent for the second time. The delay doubles before each
/// further send, up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay before an unacknowledged cancellation is sent again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Time after which a cancellation that was adopted from the peer process is abandoned. The worker may never
/// return, and no job of this process limits the cancellation.
const ADOPTED_CANCELLATION_TIMEOUT: Duration = Duration::from_secs(30);

/// A job to be cancelled at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CancellationTarget {
    /// Address of the worker.
    pub address: SocketAddr,
    /// The client's id of the job.
    pub request_id: String,
}

/// State of the connection over which the attempt to be cancelled was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptConnectionState {
    /// The connection was closed before a response. The close cancels the attempt as well if the worker
    /// receives it, but a partitioned network does not deliver the close. A connection that is established or
    /// refused afterwards shows that the network delivers it. A worker that still does not respond then is
    /// unresponsive, with the close and the cancellation in its receive queue.
    ClosedBeforeResponse,
    /// The connection received a response, or its state is unknown.
    Other,
}

/// Canceller of jobs at workers.
pub struct Canceller {
    pool: Rc<ConnectionPool>,
    metrics: Metrics,
    options: Rc<Cell<UpstreamOptions>>,
    /// Cancellations that were started and are not acknowledged.
    unacknowledged: RefCell<Vec<CancellationTarget>>,
}

impl Canceller {
    /// Creates a canceller that sends over the connections of `pool`.
    pub fn new(pool: Rc<ConnectionPool>, metrics: Metrics, options: Rc<Cell<UpstreamOptions>>) -> Self {
        Canceller { pool, metrics, options, unacknowledged: RefCell::default() }
    }

    /// Returns the cancellations in progress, none of which its worker has acknowledged yet.
    pub fn unacknowledged(&self) -> Vec<CancellationTarget> {
        self.unacknowledged.borrow().clone()
    }

    /// Cancels a job that the worker may have. Returns once the worker has acknowledged the cancellation or
    /// `deadline` has passed, but allows at least the response timeout of one cancellation. For this reason
    /// the cancellation is sent once even if the deadline has passed already.
    pub async fn cancel_until_deadline(
        &self,
        deadline: Instant,
        target: CancellationTarget,
        connection_state: AttemptConnectionState,
    ) {
        let deadline = deadline.max(Instant::now() + self.response_timeout());
        if timeout_at(deadline, self.cancel_until_acknowledged(&target, connection_state)).await.is_err() {
            let CancellationTarget { address, request_id } = target;
            debug!(target: UPSTREAM, %request_id, %address, "cancellation abandoned");
        }
    }

    /// Continues a cancellation that the peer process could not complete.
    pub async fn adopt(&self, target: CancellationTarget) {
        let cancellation = self.cancel_until_acknowledged(&target, AttemptConnectionState::Other);
        // After the timeout the cancellation is abandoned, because nothing else can be done.
        let _ = timeout(ADOPTED_CANCELLATION_TIMEOUT, cancellation).await;
    }

    /// Sends the cancellation repeatedly and returns once the worker has acknowledged it.
    async fn cancel_until_acknowledged(
        &self,
        target: &CancellationTarget,
        connection_state: AttemptConnectionState,
    ) {
        let CancellationTarget { address, request_id } = target;
        // A default permit stays valid: a cancellation may be sent at any time.
        let send_permit = Rc::<SendPermit>::default();
        let _unacknowledged = UnacknowledgedGuard::new(&self.unacknowledged, target);
        let started = Instant::now();
        let mut delay = INITIAL_RETRY_DELAY;
        loop {
            if let Some(evidence) =
                acknowledgement_from(&self.send(target, &send_permit).await, connection_state)
            {
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

/// Evidence that a worker no longer runs a cancelled job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Acknowledgement {
    /// The worker responded to the cancellation with this status.
    Response(StatusCode),
    /// The connection of the attempt was closed before a response, and a later connection was refused. A
    /// refused connection alone is no evidence, because a worker at its connection limit refuses further
    /// ones. But the refusal came over a network that delivers the close as well.
    ClosedThenRefused,
    /// The connection of the attempt was closed before a response, and a later connection was established on
    /// which the worker does not respond. The worker is unresponsive, with the close in its receive queue.
    ClosedThenSilent,
}

/// Returns the evidence that the outcome of a cancellation provides, if any.
fn acknowledgement_from(
    outcome: &ExchangeOutcome,
    connection_state: AttemptConnectionState,
) -> Option<Acknowledgement> {
    let closed = connection_state == AttemptConnectionState::ClosedBeforeResponse;
    match outcome {
        ExchangeOutcome::Response { status, .. } if is_cancellation_acknowledged(*status) => {
            Some(Acknowledgement::Response(*status))
        }
        ExchangeOutcome::Refused if closed => Some(Acknowledgement::ClosedThenRefused),
        ExchangeOutcome::TimedOut { origin: ConnectionOrigin::Dialled } if closed => {
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

/// Returns whether a response states that the job was cancelled or is unknown to the worker. With any other
/// status the worker may not have handled the cancellation at all.
fn is_cancellation_acknowledged(status: StatusCode) -> bool {
    status.is_success() || matches!(status, StatusCode::NOT_FOUND | StatusCode::GONE)
}

/// Entry of a cancellation in the list of unacknowledged cancellations. Dropping the guard removes the entry,
/// even if the cancellation was abandoned at its deadline: a process does not transfer cancellations that it
/// has abandoned.
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
