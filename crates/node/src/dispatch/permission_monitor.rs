//! Watches what the dispatcher permits: keeps the lease on the endpoint list where sockets can see it, logs when the
//! node begins and ends to hold jobs, and counts violations.

use std::rc::Rc;

use curlewusher_core::permission::{Denial, Violations};
use curlewusher_core::{Dispatcher, Timestamp};
use tracing::{error, info, warn};

use super::clock::Clock;
use crate::attempt::SendLease;
use crate::telemetry::logging::DISPATCH;
use crate::telemetry::metrics::Metrics;

/// What was last seen of the dispatcher's permissions.
pub(super) struct PermissionMonitor {
    clock: Clock,
    metrics: Metrics,
    lease: Rc<SendLease>,
    /// Why jobs are held; none while they are sent.
    denial: Option<Denial>,
    violations: Violations,
}

impl PermissionMonitor {
    /// A monitor of a dispatcher that has handled no event.
    pub(super) fn new(clock: Clock, metrics: Metrics) -> Self {
        PermissionMonitor {
            clock,
            metrics,
            lease: Rc::default(),
            denial: None,
            violations: Violations::default(),
        }
    }

    /// The lease that the permits of all attempts share.
    pub(super) fn lease(&self) -> Rc<SendLease> {
        Rc::clone(&self.lease)
    }

    /// To be called after each event that the dispatcher has handled, and before its actions are performed.
    pub(super) fn observe(&mut self, now: Timestamp, dispatcher: &Dispatcher) {
        let write_deadline = dispatcher.endpoint_write_deadline();
        self.lease.set_deadline(write_deadline.map(|moment| self.clock.instant_at(moment)));
        let denial = dispatcher.check_endpoint_lease(now).err();
        if denial != self.denial {
            self.denial = denial;
            log_lease(denial);
        }
        if dispatcher.violations().total() > self.violations.total() {
            self.report_violations(*dispatcher.violations());
        }
    }

    /// Counts an attempt that was about to be sent without permission.
    pub(super) fn record_violation(&self, reason: Denial, request_id: &str) {
        self.metrics.record_violation(reason);
        error!(target: DISPATCH, %reason, request_id, "permission violation prevented");
    }

    fn report_violations(&mut self, violations: Violations) {
        for reason in Denial::ALL {
            for _ in self.violations.count(reason)..violations.count(reason) {
                self.metrics.record_violation(reason);
                error!(target: DISPATCH, %reason, "permission violation prevented");
            }
        }
        self.violations = violations;
    }
}

fn log_lease(denial: Option<Denial>) {
    match denial {
        None => info!(target: DISPATCH, "endpoint lease confirmed"),
        Some(Denial::EndpointsUnconfirmed) => info!(target: DISPATCH, "endpoint lease not confirmed yet"),
        Some(reason) => warn!(target: DISPATCH, %reason, "endpoint lease expired"),
    }
}
