//! One attempt of a job at one worker: sends the attempt, reports its outcome, and cancels it if it may have
//! arrived and is no longer needed.
//!
//! | outcome of the exchange | cancelled at the worker | reported as |
//! | --- | --- | --- |
//! | 202 | if the dispatch task requests it | `Accepted`, then `Cancelled` after a cancellation |
//! | 503 or 504 with `X-Not-Run: 1` | no | ended: rejected |
//! | any other 4xx or 5xx | no | ended: error |
//! | any other status | yes | ended: error |
//! | malformed or partial response | yes | ended: lost |
//! | connection refused, worker unreachable | no | ended: unreachable |
//! | connection lost | no | ended: lost; with a reused connection: `LostWithReusedConnection` |
//! | timed out | no | ended: lost |
//! | send permit invalid | no | ended: not sent |
//! | cancelled by the dispatch task | if a byte was written | `Cancelled` |

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use curlewusher_core::Outcome;
use hyper::StatusCode;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use crate::attempt::CancelSignal;
use crate::attempt::{AttemptId, AttemptReport, AttemptReporter, AttemptRequest};
use crate::upstream::cancellation::{AttemptConnectionState, CancellationTarget, Canceller};
use crate::upstream::exchange::{Delivery, Exchange, ExchangeOutcome, UnsentBytes};
use crate::upstream::payload::RequestPayload;
use crate::upstream::pool::connection::ConnectionOrigin;
use crate::upstream::pool::{ConnectionChoice, ConnectionPool};

/// Time for which a response is awaited after the timeout of its attempt. A response that arrives within this
/// time keeps its connection reusable.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runner of attempts, which reports on them to the dispatch task.
pub struct AttemptRunner {
    /// Receiver of the reports on attempts.
    pub reporter: Box<dyn AttemptReporter>,
    /// Connections to workers.
    pub pool: Rc<ConnectionPool>,
    /// Canceller of jobs at workers.
    pub canceller: Canceller,
    /// Tracker of the attempts and cancellations in flight, for which a shutdown waits.
    pub in_flight: TaskTracker,
}

/// Values of an attempt that its reports and its cancellation need.
struct Attempt {
    id: AttemptId,
    request_id: Rc<str>,
    address: SocketAddr,
    deadline: Instant,
}

impl AttemptRunner {
    /// Runs an attempt and reports its outcome.
    pub async fn run(&self, request: AttemptRequest<RequestPayload>) {
        let _in_flight = self.in_flight.token();
        let AttemptRequest { id, request_id, address, payload, timeout, cancel, send_permit, .. } = request;
        let connection_choice =
            if request.needs_new_connection { ConnectionChoice::New } else { ConnectionChoice::Any };
        let attempt = Attempt { id, request_id, address, deadline: Instant::now() + timeout };
        let mut cancel = CancelSignal::from(cancel);
        let outcome = match payload.to_request(address) {
            Ok(request) => {
                let exchange = Exchange {
                    address,
                    request,
                    connection_choice,
                    client_deadline: Some(attempt.deadline),
                    send_permit: &send_permit,
                    cancel: &mut cancel,
                    response_timeout: timeout + LATE_RESPONSE_TIMEOUT,
                    unsent_bytes: UnsentBytes::Discard,
                };
                exchange.run(&self.pool).await
            }
            Err(_) => ExchangeOutcome::Unreachable,
        };
        self.handle_outcome(&attempt, outcome, cancel).await;
    }

    /// Resumes an attempt that the peer process sent and a worker has accepted. Waits for the cancellation or
    /// the end of the attempt.
    pub async fn resume(&self, request: AttemptRequest<RequestPayload>) {
        let AttemptRequest { id, request_id, address, timeout, cancel, .. } = request;
        if cancel.await.is_ok() {
            let _in_flight = self.in_flight.token();
            let attempt = Attempt { id, request_id, address, deadline: Instant::now() + timeout };
            self.cancel_and_report(&attempt, AttemptConnectionState::Other).await;
        }
    }

    /// Continues a cancellation that the peer process could not complete.
    pub async fn adopt_cancellation(&self, target: CancellationTarget) {
        let _in_flight = self.in_flight.token();
        self.canceller.adopt(target).await;
    }

    async fn handle_outcome(&self, attempt: &Attempt, outcome: ExchangeOutcome, cancel: CancelSignal) {
        let outcome = match outcome {
            ExchangeOutcome::Response { status: StatusCode::ACCEPTED, .. } => {
                return self.handle_accepted(attempt, cancel).await;
            }
            ExchangeOutcome::Response {
                status: StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT,
                not_run: true,
            } => Outcome::Rejected,
            ExchangeOutcome::Response { status, .. } => {
                // No worker responds to a job with such a status, but the worker may have accepted the job
                // nevertheless.
                if !status.is_client_error() && !status.is_server_error() {
                    self.cancel(attempt, AttemptConnectionState::Other).await;
                }
                Outcome::Error
            }
            ExchangeOutcome::MalformedResponse => {
                self.cancel(attempt, AttemptConnectionState::ClosedBeforeResponse).await;
                Outcome::Lost
            }
            ExchangeOutcome::Refused | ExchangeOutcome::Unreachable => {
                self.discard_connections(attempt);
                Outcome::Unreachable
            }
            ExchangeOutcome::ConnectionLost { origin: ConnectionOrigin::Reused } => {
                self.discard_connections(attempt);
                return self.reporter.report(AttemptReport::LostWithReusedConnection(attempt.id)).await;
            }
            ExchangeOutcome::ConnectionLost { .. } | ExchangeOutcome::TimedOut { .. } => {
                self.discard_connections(attempt);
                Outcome::Lost
            }
            ExchangeOutcome::PermitInvalid => Outcome::NotSent,
            ExchangeOutcome::Cancelled { delivery } => {
                return self.handle_cancelled(attempt, delivery).await;
            }
        };
        self.reporter.report(AttemptReport::Ended(attempt.id, outcome)).await;
    }

    /// Reports that the worker has accepted the job. Cancels the job if the dispatch task requests that
    /// before the attempt ends.
    async fn handle_accepted(&self, attempt: &Attempt, cancel: CancelSignal) {
        self.reporter.report(AttemptReport::Accepted(attempt.id)).await;
        if cancel.received_before_close().await {
            self.cancel_and_report(attempt, AttemptConnectionState::Other).await;
        }
    }

    async fn handle_cancelled(&self, attempt: &Attempt, delivery: Delivery) {
        // If nothing was written, the worker has not failed: the attempt was cancelled because the client has
        // disconnected.
        if delivery == Delivery::MayHaveArrived {
            self.discard_connections(attempt);
            self.cancel(attempt, AttemptConnectionState::ClosedBeforeResponse).await;
        }
        self.reporter.report(AttemptReport::Cancelled(attempt.id)).await;
    }

    async fn cancel_and_report(&self, attempt: &Attempt, connection_state: AttemptConnectionState) {
        self.cancel(attempt, connection_state).await;
        self.reporter.report(AttemptReport::Cancelled(attempt.id)).await;
    }

    async fn cancel(&self, attempt: &Attempt, connection_state: AttemptConnectionState) {
        let target =
            CancellationTarget { address: attempt.address, request_id: attempt.request_id.to_string() };
        self.canceller.cancel_until_deadline(attempt.deadline, target, connection_state).await;
    }

    /// Closes the other connections to a worker that has exited or is unresponsive. The next attempt would
    /// only lose time on them.
    fn discard_connections(&self, attempt: &Attempt) {
        self.pool.discard_connections(attempt.address);
    }
}
