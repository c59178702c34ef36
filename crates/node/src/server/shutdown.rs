//! Graceful shutdown of the server: drains it until no job is open, then closes its connections.

use std::time::Duration;

use curlewusher_core::permission::CloseReason;
use tokio::time::{Instant, sleep, timeout};

use super::Server;
use super::connection::{Connection, ConnectionState};

/// Maximum time to write the last responses and close the connections.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time to complete requests that have begun, as a part of [`CLOSE_TIMEOUT`]. The rest of that
/// timeout remains for their responses.
const SHUTDOWN_READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Minimum duration for which each connection lingers before the process exits.
const MIN_LINGER_DURATION: Duration = Duration::from_millis(100);
/// Interval between two checks of the connections while they close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

impl Server {
    /// Closes idle connections of clients. Returns once no job is open and no request is arriving; from
    /// `final_response_deadline` on, it no longer waits for arriving requests. The intake is closed before
    /// the return: jobs whose requests are read completely later are rejected.
    pub async fn drain(&self, final_response_deadline: Instant) {
        loop {
            let job_closed = self.state.job_closed.notified();
            self.close_idle_clients();
            if self.state.open_jobs.get() > 0 {
                job_closed.await;
            } else if self.is_request_arriving() && Instant::now() < final_response_deadline {
                sleep(CLOSE_CHECK_INTERVAL).await;
            } else {
                self.state.intake_closed.set(true);
                return;
            }
        }
    }

    /// Returns whether a request has begun to arrive and makes progress. Only a rejection could notify its
    /// client that the request is not served here.
    fn is_request_arriving(&self) -> bool {
        self.state.live_connections().iter().any(|connection| {
            connection.state() == ConnectionState::Reading
                && connection.may_close(CloseReason::Shutdown).is_err()
        })
    }

    /// Closes connections of clients that carry no request. A request that has begun may complete.
    fn close_idle_clients(&self) {
        for connection in self.state.live_connections() {
            if !connection.is_worker() && connection.may_close(CloseReason::Drain).is_ok() {
                connection.close_gracefully(CloseReason::Drain);
            }
        }
    }

    /// Closes all connections once their responses are written, including connections that are accepted in
    /// the meantime, and returns after [`CLOSE_TIMEOUT`] at the latest. An incomplete request is rejected
    /// when it makes no progress, and in any case at `read_deadline` or after [`SHUTDOWN_READ_TIMEOUT`],
    /// whichever is earlier.
    pub async fn close(&self, read_deadline: Instant) {
        let read_deadline = read_deadline.min(Instant::now() + SHUTDOWN_READ_TIMEOUT);
        let all_closed = async {
            loop {
                let is_read_deadline_reached = Instant::now() >= read_deadline;
                for connection in self.state.live_connections() {
                    let is_overdue =
                        is_read_deadline_reached && connection.state() == ConnectionState::Reading;
                    // A connection that carries a complete request closes after its response.
                    if is_overdue || connection.may_close(CloseReason::Shutdown).is_ok() {
                        connection.close_gracefully(CloseReason::Shutdown);
                    }
                }
                // Connections in the accept queue are accepted in the meantime.
                sleep(CLOSE_CHECK_INTERVAL).await;
                if self.state.live_connections().iter().all(|connection| has_lingered(connection)) {
                    return;
                }
            }
        };
        // A remote end that reads nothing must not keep the process from exiting.
        let _ = timeout(CLOSE_TIMEOUT, all_closed).await;
    }
}

/// Returns whether a connection has lingered for long enough that the process may exit.
fn has_lingered(connection: &Connection) -> bool {
    connection.state() == ConnectionState::Lingering
        && connection.state_since().elapsed() >= MIN_LINGER_DURATION
}
