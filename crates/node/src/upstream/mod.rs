//! Client of the workers: attempts, their cancellation, and the connections that carry them.
//!
//! The dispatch task alone decides which attempt goes to which worker and when an attempt is cancelled. An
//! attempt is sent at most once. An attempt that may have arrived is never reported as not sent: if its
//! arrival is unknown, it is reported as lost.
//!
//! - [`payload`]: contents of a request to a worker.
//! - [`pool`]: connections to workers.
//! - [`exchange`]: one request and its response.
//! - [`cancellation`]: `DELETE` of a job, repeated until the worker acknowledges it.
//! - [`attempt`]: an attempt, from its start to the report of its outcome.

mod attempt;
mod cancellation;
mod config;
mod exchange;
mod payload;
mod pool;

use std::net::SocketAddr;
use std::rc::Rc;

use curlewusher_control::takeover::DescriptorShare;
use tokio::task::spawn_local;
use tokio_util::task::TaskTracker;

use crate::attempt::{AttemptReporter, AttemptRequest, AttemptTransport};
use crate::telemetry::metrics::Metrics;
use crate::upstream::attempt::AttemptRunner;
pub use crate::upstream::cancellation::CancellationTarget;
use crate::upstream::cancellation::Canceller;
pub use crate::upstream::config::UpstreamConfig;
pub use crate::upstream::payload::{IDEMPOTENCY_KEY, RequestPayload, X_DEADLINE, X_REQUEST_ID};
use crate::upstream::pool::ConnectionPool;

/// Client that runs the attempts at all workers. Clones share one pool of connections.
#[derive(Clone)]
pub struct UpstreamClient {
    runner: Rc<AttemptRunner>,
}

impl AttemptTransport for UpstreamClient {
    type Payload = RequestPayload;

    fn start_attempt(&self, attempt: AttemptRequest<RequestPayload>) {
        let runner = self.runner.clone();
        spawn_local(async move { runner.run(attempt).await });
    }

    fn resume_attempt(&self, attempt: AttemptRequest<RequestPayload>) {
        let runner = self.runner.clone();
        spawn_local(async move { runner.resume(attempt).await });
    }

    fn discard_connections(&self, address: SocketAddr) {
        self.runner.pool.discard_connections(address);
    }
}

impl UpstreamClient {
    /// Creates a client without connections that reports on its attempts to `reporter`.
    pub fn new(reporter: impl AttemptReporter + 'static, metrics: Metrics, config: UpstreamConfig) -> Self {
        let options = config.options.clone();
        let pool = Rc::new(ConnectionPool::new(metrics.clone(), config));
        let canceller = Canceller::new(pool.clone(), metrics, options);
        let reporter = Box::new(reporter);
        let in_flight = TaskTracker::new();
        UpstreamClient { runner: Rc::new(AttemptRunner { reporter, pool, canceller, in_flight }) }
    }

    /// Sets the share of the connection budget that the client may use.
    pub fn set_descriptor_share(&self, share: DescriptorShare) {
        self.runner.pool.set_descriptor_share(share);
    }

    /// Returns the cancellations in progress, none of which its worker has acknowledged yet. The caller
    /// transfers them to the peer process.
    pub fn unacknowledged_cancellations(&self) -> Vec<CancellationTarget> {
        self.runner.canceller.unacknowledged()
    }

    /// Continues a cancellation that the peer process could not complete.
    pub fn adopt_cancellation(&self, target: CancellationTarget) {
        let runner = self.runner.clone();
        spawn_local(async move { runner.adopt_cancellation(target).await });
    }

    /// Returns whether no attempt and no cancellation is in flight.
    pub fn is_idle(&self) -> bool {
        self.runner.in_flight.is_empty()
    }

    /// Closes connections that have been idle for too long, until the future is dropped.
    pub async fn sweep(self) {
        self.runner.pool.sweep_idle_connections().await;
    }
}
