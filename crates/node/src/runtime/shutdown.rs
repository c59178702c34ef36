//! Graceful shutdown, which SIGTERM starts.
//!
//! The load balancer in front of the node continues to send connections for a short time after SIGTERM.
//! SIGKILL follows after the time that the longest job may take. The shutdown consists of these steps between
//! the two signals:
//!
//! 1. The peer, if there is one, is notified, and the phase becomes `ShuttingDown` (`ending` in the log).
//! 2. The dispatch task receives the time by which it must have answered all open jobs.
//! 3. For [`MIN_DRAIN_TIME`] the node accepts connections and answers requests as before.
//! 4. Idle connections are closed, open jobs and requests that are arriving are answered, and then all
//!    connections are closed.
//! 5. Cancellations that workers have not acknowledged are sent again for a limited time.
//! 6. Cancellations that are still unacknowledged are transferred to the peer, and the rendezvous socket is
//!    closed.
//! 7. The connections in the accept queue of the listener are accepted, and then the listener is closed.
//!    Closing it earlier would reset these connections.
//! 8. Connections that were accepted during the previous steps are closed.

use std::time::Duration;

use curlewusher_core::TimeSpan;
use tokio::signal::unix::Signal;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use tracing::info;

use crate::dispatch::{DispatchMessage, DispatchQueue};
use crate::handover::takeover::TakeoverHandle;
use crate::lifecycle::{Lifecycle, PhaseEvent};
use crate::server::Server;
use crate::telemetry::logging::NODE;
use crate::upstream::{RequestPayload, UpstreamClient};

/// Minimum time for which the node continues to serve after SIGTERM. The load balancer sends new connections
/// to this node for up to 0.4 s of it, and clients continue to use their open connections.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(700);
/// Maximum time for the completion of open jobs, in addition to [`MIN_DRAIN_TIME`]. SIGKILL follows SIGTERM
/// after the sum of both, or after the sum of the longest client timeout and [`MIN_DRAIN_TIME`] if that is
/// earlier.
const MAX_JOB_COMPLETION_TIME: Duration = Duration::from_secs(3);
/// Time between the final client responses and SIGKILL.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// Maximum time for the completion of requests that are still arriving when the final responses are sent. The
/// limit leaves time to reject these requests and to close their connections before SIGKILL, even if the node
/// is delayed briefly.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum time to wait for acknowledgements of cancellations after all jobs are answered, if there is no
/// peer.
const CANCELLATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum time to wait for acknowledgements of cancellations after all jobs are answered, if a peer can
/// continue the cancellations.
const CANCELLATION_TIMEOUT_WITH_PEER: Duration = Duration::from_millis(100);
/// Maximum time to wait until the connections in the queue of the listener are accepted.
const LISTENER_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval of the checks whether all cancellations are acknowledged.
const CANCELLATION_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the time between SIGTERM and the final responses, based on the client timeouts of the classes.
pub fn final_response_delay(client_timeouts: impl Iterator<Item = TimeSpan>) -> Duration {
    let longest = client_timeouts.map(Duration::from).max().unwrap_or_default();
    MAX_JOB_COMPLETION_TIME.min(longest) + MIN_DRAIN_TIME - FINAL_RESPONSE_MARGIN
}

/// Graceful shutdown, with the parts of the node that it shuts down.
pub struct GracefulShutdown {
    /// Name of the node.
    pub name: String,
    /// Time between SIGTERM and the final responses, from [`final_response_delay`].
    pub final_response_delay: Duration,
    /// Phase of the process.
    pub lifecycle: Lifecycle,
    /// Queue of the dispatch task.
    pub dispatch_queue: DispatchQueue<RequestPayload>,
    /// HTTP server of the node.
    pub server: Server,
    /// Client of the workers.
    pub upstream: UpstreamClient,
    /// Handle of the task that divides the work of the node between this process and its peer.
    pub takeover: TakeoverHandle,
    /// Task that owns the client listener.
    pub accept_task: JoinHandle<()>,
}

impl GracefulShutdown {
    /// Waits for SIGTERM and shuts down. Returns after all jobs are answered and all connections are closed.
    pub async fn run(mut self, mut terminate: Signal) {
        terminate.recv().await;
        self.takeover.terminate().await;
        info!(target: NODE, node = %self.name, "graceful shutdown started");
        let final_response_deadline = Instant::now() + self.final_response_delay;
        self.limit_open_jobs().await;
        sleep(MIN_DRAIN_TIME).await;
        self.server.drain(final_response_deadline).await;
        let read_deadline = final_response_deadline + FINAL_READ_TIMEOUT;
        self.server.close(read_deadline).await;
        self.finish_cancellations().await;
        self.takeover.finish(&self.upstream).await;
        self.close_late_connections(read_deadline).await;
        self.lifecycle.apply(PhaseEvent::ShutdownCompleted);
    }

    /// Makes the dispatch task answer every open job in time.
    async fn limit_open_jobs(&self) {
        // Sending fails only if the dispatch task has ended, which makes the process exit.
        let _ = self.dispatch_queue.send(DispatchMessage::ShutdownStarted(self.final_response_delay)).await;
    }

    /// Waits until workers have acknowledged all cancellations, or until the timeout.
    async fn finish_cancellations(&self) {
        let limit =
            if self.takeover.has_peer() { CANCELLATION_TIMEOUT_WITH_PEER } else { CANCELLATION_TIMEOUT };
        let idle = async {
            while !self.upstream.is_idle() {
                sleep(CANCELLATION_CHECK_INTERVAL).await;
            }
        };
        // Cancellations that are not acknowledged in time are transferred to the peer or abandoned.
        let _ = timeout(limit, idle).await;
    }

    /// Closes the listener, then the connections that were accepted during the last steps.
    async fn close_late_connections(&mut self, read_deadline: Instant) {
        self.server.stop_listening();
        // The task ends after it has accepted the connections in the queue of the listener.
        let _ = timeout(LISTENER_CLOSE_TIMEOUT, &mut self.accept_task).await;
        self.server.close(read_deadline).await;
    }
}
