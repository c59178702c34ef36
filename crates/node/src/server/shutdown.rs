//! Graceful shutdown of the server: it is drained until no job is open, then its connections are closed.

use std::time::Duration;

use curlewusher_core::permission::CloseReason;
use tokio::time::{Instant, sleep, timeout};

use super::Server;
use super::connection::{Connection, ConnectionState};

/// Within this, last responses must be written and connections closed.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Within this of [`CLOSE_TIMEOUT`], requests that have begun must be complete; the rest is for their responses.
const READING_TIMEOUT: Duration = Duration::from_millis(800);
/// How long each connection lingers at least before the process ends.
const MIN_FINAL_LINGER: Duration = Duration::from_millis(100);
/// How often connections are looked through while they close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

impl Server {
    /// Closes idle clients' connections and returns once no job is open and, until the last answers are due, no
    /// request is arriving. The intake is closed then: jobs that are read from then on are rejected.
    pub async fn drain(&self, final_answers_due: Instant) {
        loop {
            let job_closed = self.state.job_closed.notified();
            self.close_idle_clients();
            if self.state.open_jobs.get() > 0 {
                job_closed.await;
            } else if self.is_request_arriving() && Instant::now() < final_answers_due {
                sleep(CLOSE_CHECK_INTERVAL).await;
            } else {
                self.state.intake_closed.set(true);
                return;
            }
        }
    }

    /// Whether a request has begun to arrive and makes progress: its client could only find out by a rejection that it
    /// is not served here.
    fn is_request_arriving(&self) -> bool {
        self.state.live_connections().iter().any(|connection| {
            connection.state() == ConnectionState::Reading
                && connection.may_close(CloseReason::Shutdown).is_err()
        })
    }

    /// Closes clients' connections that carry no request. A request that has begun may complete.
    fn close_idle_clients(&self) {
        for connection in self.state.live_connections() {
            if !connection.is_worker() && connection.may_close(CloseReason::Drain).is_ok() {
                connection.close_gracefully(CloseReason::Drain);
            }
        }
    }

    /// Closes all connections, those that are still accepted among them, once their responses are written. Half
    /// a request is rejected when it makes no progress, and in any case at `reading_ends`, or after
    /// [`READING_TIMEOUT`] if that is earlier.
    pub async fn close(&self, reading_ends: Instant) {
        let reading_ends = reading_ends.min(Instant::now() + READING_TIMEOUT);
        let all_closed = async {
            loop {
                let is_reading_over = Instant::now() >= reading_ends;
                for connection in self.state.live_connections() {
                    let is_overdue = is_reading_over && connection.state() == ConnectionState::Reading;
                    // One that carries a complete request closes with its response.
                    if is_overdue || connection.may_close(CloseReason::Shutdown).is_ok() {
                        connection.close_gracefully(CloseReason::Shutdown);
                    }
                }
                // Connections that wait at the listener are accepted meanwhile.
                sleep(CLOSE_CHECK_INTERVAL).await;
                if self.state.live_connections().iter().all(|connection| has_lingered(connection)) {
                    return;
                }
            }
        };
        // A peer that reads nothing must not keep the process from ending.
        let _ = timeout(CLOSE_TIMEOUT, all_closed).await;
    }
}

/// Whether a connection has lingered long enough for the process to end.
fn has_lingered(connection: &Connection) -> bool {
    connection.state() == ConnectionState::Lingering && connection.state_since().elapsed() >= MIN_FINAL_LINGER
}
