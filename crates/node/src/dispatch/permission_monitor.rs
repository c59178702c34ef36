//! Monitor of the permissions of the dispatcher. It shares the lease on the endpoint list with the sockets,
//! logs the start and end of periods in which the node holds jobs because it has no valid lease, and counts
//! violations.

use std::rc::Rc;

use curlewusher_core::permission::{Denial, Violations};
use curlewusher_core::{Dispatcher, Timestamp};
use tracing::{error, info, warn};

use super::clock::Clock;
use crate::attempt::SendLease;
use crate::telemetry::logging::DISPATCH;
use crate::telemetry::metrics::Metrics;

/// Monitor of the permissions of the dispatcher, with the last observed state.
pub(super) struct PermissionMonitor {
    clock: Clock,
    metrics: Metrics,
    lease: Rc<SendLease>,
    /// Reason for which jobs are held; `None` while jobs are sent.
    denial: Option<Denial>,
    violations: Violations,
}

impl PermissionMonitor {
    /// Creates a monitor for a dispatcher that has not yet handled an event.
    pub(super) fn new(clock: Clock, metrics: Metrics) -> Self {
        PermissionMonitor {
            clock,
            metrics,
            lease: Rc::default(),
            denial: None,
            violations: Violations::default(),
        }
    }

    /// Returns the lease that the permits of all attempts share.
    pub(super) fn lease(&self) -> Rc<SendLease> {
        Rc::clone(&self.lease)
    }

    /// Records the permissions of the dispatcher. Must be called after each event that the dispatcher has
    /// handled, before its actions are performed.
    pub(super) fn observe(&mut self, now: Timestamp, dispatcher: &Dispatcher) {
        let write_deadline = dispatcher.endpoint_write_deadline();
        self.lease.set_deadline(write_deadline.map(|deadline| self.clock.instant_at(deadline)));
        let denial = dispatcher.check_endpoint_lease(now).err();
        if denial != self.denial {
            self.denial = denial;
            log_lease_change(denial);
        }
        if dispatcher.violations().total() > self.violations.total() {
            self.report_violations(*dispatcher.violations());
        }
    }

    /// Counts and logs an attempt that was about to be sent without permission.
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

fn log_lease_change(denial: Option<Denial>) {
    match denial {
        None => info!(target: DISPATCH, "endpoint lease confirmed"),
        Some(Denial::EndpointsUnconfirmed) => info!(target: DISPATCH, "endpoint lease not confirmed yet"),
        Some(reason) => warn!(target: DISPATCH, %reason, "endpoint lease expired"),
    }
}
