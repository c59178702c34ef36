//! Delays of the polls that a node makes without a request of the dispatch task, and the reasons for these
//! delays.
//!
//! Discovery serves polls one after another, each within [`MAX_POLL_SERVICE_TIME`]. When all nodes lose their
//! watches at once, each node waits for its slot, which begins when the preceding nodes have been served.

use std::time::Duration;

use curlewusher_core::Settings;

use crate::discovery::endpoint_watch::POLL_TIMEOUT;

/// Maximum duration in which discovery serves one poll.
const MAX_POLL_SERVICE_TIME: Duration = Duration::from_millis(70);
/// Delay after which an unanswered poll counts as hung, provided that discovery can serve all nodes within
/// it.
///
/// The reason is the schedule after a watch stops delivering. The node counts as notified of a change 6 s
/// after that, and must stop sending attempts based on the old list 0.75 s later, 6.75 s in all. The failure
/// of the watch is detected after 3 s. A poll follows in the slot of this node, at most 1.2 s later, and the
/// next poll 1.2 s after that, at 5.4 s. The remaining 1.35 s suffice for discovery to serve one poll of each
/// node.
const HEDGE_DELAY: Duration = Duration::from_millis(1200);
/// Maximum number of unrequested polls: the number that fits into the 6.75 s after a watch stops delivering,
/// see [`HEDGE_DELAY`]. After these polls the dispatch task is notified, and requests polls at increasing
/// intervals.
const MAX_UNREQUESTED_POLLS: u32 = 2;
/// Delay of the first retry in push mode. The delay doubles with each failure, up to [`MAX_RETRY_DOUBLINGS`]
/// times. The node counts as notified of a change as soon as discovery is available again, and must stop
/// sending attempts based on the old list 0.75 s later.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of times that the delay of a retry is doubled.
const MAX_RETRY_DOUBLINGS: u32 = 3;
/// Maximum delay of a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Delays and number of the polls that this node makes without a request of the dispatch task.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// Whether discovery pushes lists. The dispatch task then requests no polls, and the node counts as
    /// notified of a change at once.
    is_push_mode: bool,
    /// Duration in which discovery serves one poll of each node.
    fleet_poll_duration: Duration,
    /// Duration in which discovery serves the nodes before this one.
    slot_delay: Duration,
}

impl WatchTiming {
    /// Creates the timing of a node with these settings.
    pub fn new(settings: &Settings) -> Self {
        let fleet_poll_duration = MAX_POLL_SERVICE_TIME * settings.nodes;
        let slot_delay = (MAX_POLL_SERVICE_TIME * settings.node_index).min(fleet_poll_duration);
        WatchTiming { is_push_mode: !settings.endpoints_on_request, fleet_poll_duration, slot_delay }
    }

    /// Returns whether discovery pushes lists, so that the dispatch task requests no polls.
    pub fn is_push_mode(&self) -> bool {
        self.is_push_mode
    }

    /// Returns the delay of this node after the failure of a watch, which lets discovery serve the preceding
    /// nodes first.
    pub fn slot_delay(&self) -> Duration {
        self.slot_delay
    }

    /// Returns the delay after which an unanswered poll is hedged by another one; `None` if the second poll
    /// would only queue behind the first.
    pub fn hedge_delay(&self) -> Option<Duration> {
        let delay =
            if self.is_push_mode { self.fleet_poll_duration.max(MAX_RETRY_DELAY) } else { HEDGE_DELAY };
        (self.fleet_poll_duration <= delay && delay < POLL_TIMEOUT).then_some(delay)
    }

    /// Returns the maximum number of unrequested polls after a response timeout or a change of the address.
    pub fn max_unrequested_polls(&self) -> u32 {
        if self.hedge_delay().is_some() { MAX_UNREQUESTED_POLLS } else { 0 }
    }

    /// Returns the delay of an unrequested poll of the new address while a watch of the old address is open.
    /// The lists of that watch keep the dispatch task from requesting the poll.
    pub fn fallback_delay(&self) -> Duration {
        HEDGE_DELAY + self.slot_delay
    }

    /// Returns the delay of the next retry in push mode, after this number of consecutive failures before the
    /// last one.
    pub fn retry_delay(previous_failures: u32) -> Duration {
        INITIAL_RETRY_DELAY * 2u32.pow(previous_failures.min(MAX_RETRY_DOUBLINGS))
    }
}
