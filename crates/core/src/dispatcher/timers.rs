//! Timer of a dispatcher: a single one for all periodic work, set again after each event.

use super::Dispatcher;
use crate::policy::deadlines::SWEEP_INTERVAL;
use crate::{Action, TimeSpan, Timestamp};

/// Minimum delay to which the timer is set.
const MIN_TIMER_DELAY: TimeSpan = TimeSpan::from_micros(1);

/// Timer of the embedder.
#[derive(Default)]
pub(super) struct Timer {
    /// Time at which the timer expires. `None` if it is not set.
    expires_at: Option<Timestamp>,
}

impl Timer {
    /// Clears a timer that has expired.
    fn record_expiry(&mut self, now: Timestamp) {
        self.expires_at = self.expires_at.filter(|expiry| *expiry > now);
    }

    /// Sets the timer, unless it already expires early enough. Returns the delay after which it expires, or
    /// `None` if it was not set.
    fn set(&mut self, now: Timestamp, next: Timestamp) -> Option<TimeSpan> {
        if self.expires_at.is_some_and(|expiry| expiry <= next && expiry >= now) {
            return None;
        }
        let after = next.saturating_since(now).max(MIN_TIMER_DELAY);
        self.expires_at = Some(now + after);
        Some(after)
    }
}

impl Dispatcher {
    /// Performs the periodic work: the poll for endpoints, the sweep over open jobs, dispatch, gossip.
    pub(super) fn handle_timer(&mut self, now: Timestamp) {
        self.timer.record_expiry(now);
        if self.poll_schedule.start_due_poll(now, &mut self.rng) {
            self.outbox.push(Action::WatchEndpoints);
        }
        self.fleet.refresh_slots(now);
        self.fleet.observe_slots(now);
        self.sweep(now);
        self.dispatch_pending(now);
        if self.gossip.clear_if_due(now) {
            self.send_gossip(now);
        }
    }

    /// Sets the timer for the next periodic work.
    pub(super) fn set_timer(&mut self, now: Timestamp) {
        if self.fleet.is_gossip_enabled(&self.settings) {
            self.gossip.schedule(now, self.fleet.subset().nodes() - 1);
        }
        let sweep_at = (!self.jobs.is_empty()).then_some(now + SWEEP_INTERVAL);
        let due = [sweep_at, self.gossip.due_at(), self.poll_schedule.next_poll_at()];
        let Some(next) = due.into_iter().flatten().min() else { return };
        let after = self.timer.set(now, next);
        self.outbox.extend(after.map(|after| Action::SetTimer { after }));
    }
}
