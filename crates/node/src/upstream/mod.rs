//! The client side of workers: attempts, their cancellation, and the connections that carry them.
//!
//! The dispatch task decides which attempt goes to which worker and when it is cancelled; nothing here does.
//! An attempt is sent at most once. One that may have arrived is never reported as not sent: if that is
//! unknown, it is reported as lost.
//!
//! - [`payload`]: what is sent.
//! - [`pool`]: the connections.
//! - [`exchange`]: one request and its response.
//! - [`cancellation`]: `DELETE` of a job until the worker acknowledges it.
//! - [`attempt`]: an attempt from its start to the report of its end.

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

/// Makes the attempts at all workers. Clones share one pool of connections.
#[derive(Clone)]
pub struct UpstreamClient {
    attempts: Rc<AttemptRunner>,
}

impl AttemptTransport for UpstreamClient {
    type Payload = RequestPayload;

    fn start_attempt(&self, attempt: AttemptRequest<RequestPayload>) {
        let attempts = self.attempts.clone();
        spawn_local(async move { attempts.run(attempt).await });
    }

    fn resume_attempt(&self, attempt: AttemptRequest<RequestPayload>) {
        let attempts = self.attempts.clone();
        spawn_local(async move { attempts.resume(attempt).await });
    }

    fn discard_connections(&self, address: SocketAddr) {
        self.attempts.pool.discard_connections(address);
    }
}

impl UpstreamClient {
    /// A client without connections, which reports on its attempts to `reporter`.
    pub fn new(reporter: impl AttemptReporter + 'static, metrics: Metrics, config: UpstreamConfig) -> Self {
        let options = config.options.clone();
        let pool = Rc::new(ConnectionPool::new(metrics.clone(), config));
        let canceller = Canceller::new(pool.clone(), metrics, options);
        let reporter = Box::new(reporter);
        let in_flight = TaskTracker::new();
        UpstreamClient { attempts: Rc::new(AttemptRunner { reporter, pool, canceller, in_flight }) }
    }

    /// Uses this share of the connection budget.
    pub fn set_descriptor_share(&self, share: DescriptorShare) {
        self.attempts.pool.set_budget_share(share);
    }

    /// The cancellations that no worker has acknowledged yet, to be handed over to another process of this
    /// node.
    pub fn unacknowledged_cancellations(&self) -> Vec<CancellationTarget> {
        self.attempts.canceller.unacknowledged()
    }

    /// Continues a cancellation that another process of this node could not complete.
    pub fn adopt_cancellation(&self, target: CancellationTarget) {
        let attempts = self.attempts.clone();
        spawn_local(async move { attempts.adopt_cancellation(target).await });
    }

    /// Whether no attempt and no cancellation is in flight.
    pub fn is_idle(&self) -> bool {
        self.attempts.in_flight.is_empty()
    }

    /// Closes connections that have been idle for too long, until the future is dropped.
    pub async fn sweep(self) {
        self.attempts.pool.sweep_idle_connections().await;
    }
}
