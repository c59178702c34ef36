//! The graceful shutdown that SIGTERM starts.
//!
//! The balancer in front of the node keeps sending for a moment after SIGTERM, and SIGKILL follows when the time of
//! the longest job is over. Between the two, in this order:
//!
//! 1. the other process of the node, where there is one, is notified, and the phase becomes `ending`;
//! 2. the dispatch task is given the time by which all open jobs must be answered;
//! 3. for [`MIN_DRAIN_TIME`] the node accepts and answers as before;
//! 4. idle connections end, open jobs and requests that are arriving are answered, then all connections close;
//! 5. cancellations that workers have not acknowledged are sent again for a while;
//! 6. those still unacknowledged are transferred to the other process, and the takeover socket is closed;
//! 7. the listener's queue is accepted and the listener closed, which would reset the connections in its queue;
//! 8. connections accepted meanwhile are closed.

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

/// Shortest time that the node serves on after SIGTERM. The balancer sends new connections here for up to 0.4 s of
/// it, and clients use the connections that they have.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(700);
/// Longest time that open jobs are given, beside [`MIN_DRAIN_TIME`]: SIGKILL follows SIGTERM after both together, or
/// after the longest client timeout and [`MIN_DRAIN_TIME`] where that is earlier.
const MAX_JOB_COMPLETION_TIME: Duration = Duration::from_secs(3);
/// The last answers are sent this long before SIGKILL.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// Requests that are arriving when the last answers are sent must be complete within this. It leaves time for
/// their rejection and the close before SIGKILL, on a node that is held up for a moment as well.
const LAST_READING_TIME: Duration = Duration::from_millis(100);
/// Longest wait for acknowledgements of cancellations once everything is answered.
const CANCELLATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// The same where another process of the node can go on with them.
const CANCELLATION_TIMEOUT_WITH_PEER: Duration = Duration::from_millis(100);
/// Longest wait until the queue of the listener is accepted.
const LISTENER_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// How often it is checked whether all cancellations are acknowledged.
const CANCELLATION_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How long after SIGTERM the last answers are sent, with these client timeouts of the classes.
pub fn final_answer_delay(client_timeouts: impl Iterator<Item = TimeSpan>) -> Duration {
    let longest = client_timeouts.map(Duration::from).max().unwrap_or_default();
    MAX_JOB_COMPLETION_TIME.min(longest) + MIN_DRAIN_TIME - FINAL_ANSWER_MARGIN
}

/// The parts of the node that take part in its shutdown.
pub struct GracefulShutdown {
    /// Name of the node.
    pub name: String,
    /// See [`final_answer_delay`].
    pub final_answer_delay: Duration,
    /// Phase of the process.
    pub lifecycle: Lifecycle,
    /// Queue of the dispatch task.
    pub dispatch_queue: DispatchQueue<RequestPayload>,
    /// The clients' side.
    pub server: Server,
    /// The workers' side.
    pub upstream: UpstreamClient,
    /// The task that shares the node with another process.
    pub takeover: TakeoverHandle,
    /// The task that owns the listener for clients.
    pub accept_task: JoinHandle<()>,
}

impl GracefulShutdown {
    /// Waits for SIGTERM and shuts down. Returns once everything is answered and closed.
    pub async fn run(mut self, mut terminate: Signal) {
        terminate.recv().await;
        self.takeover.terminate().await;
        info!(target: NODE, node = %self.name, "graceful shutdown started");
        let final_answers_due = Instant::now() + self.final_answer_delay;
        self.limit_open_jobs().await;
        sleep(MIN_DRAIN_TIME).await;
        self.server.drain(final_answers_due).await;
        let reading_ends = final_answers_due + LAST_READING_TIME;
        self.server.close(reading_ends).await;
        self.finish_cancellations().await;
        self.takeover.finish(&self.upstream).await;
        self.close_late_connections(reading_ends).await;
        self.lifecycle.apply(PhaseEvent::ShutdownCompleted);
    }

    /// Has the dispatch task answer every open job in time.
    async fn limit_open_jobs(&self) {
        // Sending fails only where the dispatch task has ended, which ends the program.
        let _ = self.dispatch_queue.send(DispatchMessage::ShutdownStarted(self.final_answer_delay)).await;
    }

    /// Waits until workers have acknowledged all cancellations, within a time limit.
    async fn finish_cancellations(&self) {
        let limit =
            if self.takeover.has_peer() { CANCELLATION_TIMEOUT_WITH_PEER } else { CANCELLATION_TIMEOUT };
        let idle = async {
            while !self.upstream.is_idle() {
                sleep(CANCELLATION_CHECK_INTERVAL).await;
            }
        };
        // Those that are not acknowledged in time are transferred to the other process or abandoned.
        let _ = timeout(limit, idle).await;
    }

    /// Closes the listener, then the connections that were accepted during the last steps.
    async fn close_late_connections(&mut self, reading_ends: Instant) {
        self.server.stop_listening();
        // Its task ends once the queue of the listener is accepted.
        let _ = timeout(LISTENER_CLOSE_TIMEOUT, &mut self.accept_task).await;
        self.server.close(reading_ends).await;
    }
}
