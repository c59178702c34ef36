//! The delays of polls that a node makes without a request of the dispatch task, and why they are as long as
//! they are.
//!
//! Discovery serves polls one after another, each in [`POLL_SERVICE_TIME`]. When all nodes lose their watches
//! at once, each waits for its slot: the time in which the nodes before it are served.

use std::time::Duration;

use curlewusher_core::Settings;

use crate::discovery::endpoint_watch::POLL_TIMEOUT;

/// Upper bound of the time in which discovery serves one poll.
const POLL_SERVICE_TIME: Duration = Duration::from_millis(70);
/// A poll that is not answered within this time hangs, provided that discovery can serve all nodes in it.
///
/// What a silent watch misses counts as notified after 6 s, and work must stop 0.75 s later, 6.75 s in all.
/// Silence is detected after 3 s; a poll is made in this node's slot, 1.2 s later at most; the next one 1.2 s
/// after it, at 5.4 s: it has 1.35 s left, which is all that discovery needs for one poll of each node.
const HEDGE_DELAY: Duration = Duration::from_millis(1200);
/// How many unrequested polls fit into that time. After them the dispatch task is notified, which polls ever
/// more rarely.
const MAX_UNREQUESTED_POLLS: u32 = 2;
/// Delay of the first retry if lists are pushed, doubled with each failure up to [`MAX_RETRY_DOUBLINGS`]
/// times. A change counts as notified as soon as discovery is back, and work must stop 0.75 s later.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DOUBLINGS: u32 = 3;
/// The longest delay of a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// When this node polls discovery without a request of the dispatch task.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// Whether lists are pushed: the dispatch task requests nothing, and a change counts as notified at once.
    lists_are_pushed: bool,
    /// In this time discovery serves one poll of each node.
    fleet_poll_time: Duration,
    /// In this time it serves the nodes before this one.
    slot_delay: Duration,
}

impl WatchTiming {
    /// The timing of a node with these settings.
    pub fn new(settings: &Settings) -> Self {
        let fleet_poll_time = POLL_SERVICE_TIME * settings.nodes;
        let slot_delay = (POLL_SERVICE_TIME * settings.node_index).min(fleet_poll_time);
        WatchTiming { lists_are_pushed: !settings.endpoints_on_request, fleet_poll_time, slot_delay }
    }

    /// Whether lists are pushed, so that the dispatch task requests no polls.
    pub fn lists_are_pushed(&self) -> bool {
        self.lists_are_pushed
    }

    /// How long this node waits after the failure of a watch, so that the nodes before it are served first.
    pub fn slot_delay(&self) -> Duration {
        self.slot_delay
    }

    /// How long after a poll that is not answered another is made beside it; `None` if the second would
    /// only queue behind the first.
    pub fn hedge_delay(&self) -> Option<Duration> {
        let delay =
            if self.lists_are_pushed { self.fleet_poll_time.max(MAX_RETRY_DELAY) } else { HEDGE_DELAY };
        (self.fleet_poll_time <= delay && delay < POLL_TIMEOUT).then_some(delay)
    }

    /// How many unrequested polls are made after a silence or a change of address.
    pub fn unrequested_polls(&self) -> u32 {
        if self.hedge_delay().is_some() { MAX_UNREQUESTED_POLLS } else { 0 }
    }

    /// How long a poll at a new address waits for the watch at the old one, which keeps the dispatch task
    /// from requesting it.
    pub fn fallback_delay(&self) -> Duration {
        HEDGE_DELAY + self.slot_delay
    }

    /// If lists are pushed: the delay of the retry after this many consecutive failures before the last
    /// one.
    pub fn retry_delay(previous_failures: u32) -> Duration {
        INITIAL_RETRY_DELAY * 2u32.pow(previous_failures.min(MAX_RETRY_DOUBLINGS))
    }
}
