//! Availability of workers: changes of the endpoint list, and workers that operators disable.

use super::Dispatcher;
use crate::{Action, Endpoint, EndpointUpdate, ListEvidence, Timestamp, WorkerId};

impl Dispatcher {
    /// Applies an endpoint list, or changes to it, on arrival.
    pub(super) fn update_endpoints(
        &mut self,
        now: Timestamp,
        endpoints: &[Endpoint],
        update: EndpointUpdate,
    ) {
        self.poll_schedule.record_endpoints(now);
        self.fleet.apply_endpoints(now, endpoints, update);
        if update == EndpointUpdate::Delta
            && let Some(started_at) = newest_start(now, endpoints)
        {
            self.poll_schedule.record_confirmation(now, ListEvidence::WorkerStart { started_at });
        }
        self.revoke_attempts();
    }

    /// Disables a worker at the request of operators.
    pub(super) fn disable_worker(&mut self, now: Timestamp, worker: WorkerId) {
        self.fleet.disable_worker(now, worker);
        self.revoke_attempts();
    }

    /// Enables a worker again at the request of operators.
    pub(super) fn enable_worker(&mut self, now: Timestamp, worker: WorkerId) {
        self.fleet.reenable_worker(now, worker);
        self.dispatch_pending(now);
    }

    /// Revokes attempts whose workers accept no new ones any more.
    fn revoke_attempts(&mut self) {
        let revoked = self.fleet.take_revocations();
        self.outbox.extend(
            revoked.map(|attempt| Action::RevokeAttempt { job: attempt.job, attempt: attempt.number }),
        );
    }
}

/// Returns the newest start of the listed workers. A start in the future shows that the clocks of the machines
/// differ, and is ignored.
fn newest_start(now: Timestamp, endpoints: &[Endpoint]) -> Option<Timestamp> {
    endpoints.iter().map(|endpoint| endpoint.started_at).filter(|started_at| *started_at <= now).max()
}
