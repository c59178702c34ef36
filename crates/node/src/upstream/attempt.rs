//! One attempt of a job at one worker: send it, report what became of it, and cancel it if it may have
//! arrived and is no longer needed.
//!
//! | outcome of the exchange | cancelled at the worker | reported as |
//! | --- | --- | --- |
//! | 202 | if the dispatch task requests it | `Accepted`, and `Cancelled` once cancelled |
//! | 503 or 504 with `X-Not-Run: 1` | no | ended: rejected |
//! | any other 4xx or 5xx | no | ended: error |
//! | any other status | yes | ended: error |
//! | malformed or partial response | yes | ended: lost |
//! | refused, unreachable | no | ended: unreachable |
//! | connection lost, timed out | no | ended: lost; with a reused connection: `LostWithReusedConnection` |
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
use crate::upstream::cancellation::{AttemptConnection, CancellationTarget, Canceller};
use crate::upstream::exchange::{Delivery, Exchange, ExchangeOutcome, UnsentBytes};
use crate::upstream::payload::RequestPayload;
use crate::upstream::pool::connection::ConnectionOrigin;
use crate::upstream::pool::{ConnectionChoice, ConnectionPool};

/// How long the response is waited for after the end of an attempt, to keep its connection.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Makes attempts and reports on them to the dispatch task.
pub struct AttemptRunner {
    /// Receives the reports on attempts.
    pub reporter: Box<dyn AttemptReporter>,
    /// The connections to workers.
    pub pool: Rc<ConnectionPool>,
    /// Cancels jobs at workers.
    pub canceller: Canceller,
    /// Counts the attempts and cancellations in flight, so that a shutdown can wait for them.
    pub in_flight: TaskTracker,
}

/// An attempt whose request was passed to the transport.
struct Attempt {
    id: AttemptId,
    request_id: Rc<str>,
    address: SocketAddr,
    deadline: Instant,
}

impl AttemptRunner {
    /// Makes an attempt.
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
        self.conclude(&attempt, outcome, cancel).await;
    }

    /// Takes over an attempt that a worker has accepted from another process of this node, and waits for its
    /// cancellation or its end.
    pub async fn resume(&self, request: AttemptRequest<RequestPayload>) {
        let AttemptRequest { id, request_id, address, timeout, cancel, .. } = request;
        if cancel.await.is_ok() {
            let _in_flight = self.in_flight.token();
            let attempt = Attempt { id, request_id, address, deadline: Instant::now() + timeout };
            self.cancel_and_report(&attempt, AttemptConnection::Other).await;
        }
    }

    /// Continues a cancellation that another process of this node could not complete.
    pub async fn adopt_cancellation(&self, target: CancellationTarget) {
        let _in_flight = self.in_flight.token();
        self.canceller.adopt(target).await;
    }

    async fn conclude(&self, attempt: &Attempt, outcome: ExchangeOutcome, cancel: CancelSignal) {
        let outcome = match outcome {
            ExchangeOutcome::Response { status: StatusCode::ACCEPTED, .. } => {
                return self.follow_accepted(attempt, cancel).await;
            }
            ExchangeOutcome::Response {
                status: StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT,
                not_run: true,
            } => Outcome::Rejected,
            ExchangeOutcome::Response { status, .. } => {
                // No worker responds like this to a job, but it may have accepted it nevertheless.
                if !status.is_client_error() && !status.is_server_error() {
                    self.cancel(attempt, AttemptConnection::Other).await;
                }
                Outcome::Error
            }
            ExchangeOutcome::MalformedResponse => {
                self.cancel(attempt, AttemptConnection::ClosedBeforeResponse).await;
                Outcome::Lost
            }
            ExchangeOutcome::Refused | ExchangeOutcome::Unreachable => {
                self.discard_connections(attempt);
                Outcome::Unreachable
            }
            ExchangeOutcome::ConnectionLost { connection: ConnectionOrigin::Reused } => {
                self.discard_connections(attempt);
                return self.reporter.report(AttemptReport::LostWithReusedConnection(attempt.id)).await;
            }
            ExchangeOutcome::ConnectionLost { .. } | ExchangeOutcome::TimedOut { .. } => {
                self.discard_connections(attempt);
                Outcome::Lost
            }
            ExchangeOutcome::PermitInvalid => Outcome::NotSent,
            ExchangeOutcome::Cancelled { delivery } => {
                return self.conclude_cancelled(attempt, delivery).await;
            }
        };
        self.reporter.report(AttemptReport::Ended(attempt.id, outcome)).await;
    }

    /// Reports that the worker has accepted the job, and waits whether it is to be cancelled.
    async fn follow_accepted(&self, attempt: &Attempt, cancel: CancelSignal) {
        self.reporter.report(AttemptReport::Accepted(attempt.id)).await;
        if cancel.received_before_close().await {
            self.cancel_and_report(attempt, AttemptConnection::Other).await;
        }
    }

    async fn conclude_cancelled(&self, attempt: &Attempt, delivery: Delivery) {
        // If nothing was written, the worker is not to blame: the client has disconnected.
        if delivery == Delivery::MayHaveArrived {
            self.discard_connections(attempt);
            self.cancel(attempt, AttemptConnection::ClosedBeforeResponse).await;
        }
        self.reporter.report(AttemptReport::Cancelled(attempt.id)).await;
    }

    async fn cancel_and_report(&self, attempt: &Attempt, connection: AttemptConnection) {
        self.cancel(attempt, connection).await;
        self.reporter.report(AttemptReport::Cancelled(attempt.id)).await;
    }

    async fn cancel(&self, attempt: &Attempt, connection: AttemptConnection) {
        let target =
            CancellationTarget { address: attempt.address, request_id: attempt.request_id.to_string() };
        self.canceller.cancel_before(attempt.deadline, target, connection).await;
    }

    /// Other connections to a worker that has ended or stopped responding would only cost the next attempt its
    /// time.
    fn discard_connections(&self, attempt: &Attempt) {
        self.pool.discard_connections(attempt.address);
    }
}
