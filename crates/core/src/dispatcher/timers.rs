//! The timer of a dispatcher: a single one for all periodic work, set again after each event.

use crate::policy::SWEEP_INTERVAL;
use crate::{Action, Dispatcher, TimeSpan, Timestamp};

/// Nodes gossip no more often than this, for each other node of the subset: all must read each message.
const GOSSIP_INTERVAL_PER_NODE: TimeSpan = TimeSpan::from_millis(2);

/// Shortest time to which the timer is set.
const MIN_TIMER: TimeSpan = TimeSpan::from_micros(1);

impl Dispatcher {
    /// Does the periodic work: the poll for endpoints, the sweep over open jobs, dispatch, gossip.
    pub(super) fn handle_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.timer.expires_at = self.timer.expires_at.filter(|at| *at > now);
        if self.poll_schedule.start_due_poll(now, &mut self.rng) {
            actions.push(Action::WatchEndpoints);
        }
        self.fleet.refresh_slots(now, f64::from(self.subset_nodes()));
        self.observe_slots(now);
        self.sweep(now, actions);
        self.dispatch_pending(now, actions);
        if self.gossip.due_at.is_some_and(|at| at <= now) {
            self.gossip.due_at = None;
            self.send_gossip(now, actions);
        }
    }

    /// Reviews all open jobs.
    fn sweep(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let mut open_jobs = std::mem::take(&mut self.buffers.open_jobs);
        open_jobs.extend(self.jobs.values().filter(|job| job.is_open()).map(|job| job.id));
        for id in open_jobs.drain(..) {
            self.review_job(now, id, actions);
        }
        self.buffers.open_jobs = open_jobs;
    }

    /// Sets the timer, unless it is set to expire early enough.
    pub(crate) fn set_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.gossip.has_changes && self.gossip.due_at.is_none() && self.is_gossip_enabled() {
            let interval = GOSSIP_INTERVAL_PER_NODE * u64::from(self.subset_nodes() - 1);
            self.gossip.due_at = Some(now + interval);
        }
        let sweep_at = (!self.jobs.is_empty()).then_some(now + SWEEP_INTERVAL);
        let due = [sweep_at, self.gossip.due_at, self.poll_schedule.next_poll_at()];
        let Some(next) = due.into_iter().flatten().min() else { return };
        if self.timer.expires_at.is_none_or(|at| at > next || at < now) {
            let after = next.saturating_since(now).max(MIN_TIMER);
            self.timer.expires_at = Some(now + after);
            actions.push(Action::SetTimer { after });
        }
    }
}
