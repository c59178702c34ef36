//! When a node polls discovery for the endpoint list, and what the result says of the list that it has.
//!
//! The schedule knows polls, answers and times only, no jobs and no workers. `docs/design/endpoint-lease.md` has
//! the measurements behind it.
//!
//! | state | left by | next state, next poll |
//! | --- | --- | --- |
//! | starting | the first timer | waiting: at a random moment of the first spread |
//! | waiting | that moment | polling; without any answer, again after half of `max_poll_interval` |
//! | polling | a list | watching: no poll |
//! | polling | a failure | waiting: one spread after the beginning of the failed poll, longer with each failure |
//! | watching | the end of the watch | waiting: at a random moment of a spread |
//!
//! Discovery serves one poll after another and drops a poll that waits for longer than about 2 s. Nodes often lose
//! their watches all at once, so their polls are spread evenly over the time that discovery needs for all of them:
//! each node estimates that from the polls that were answered. A failed poll does not show whether the list has changed: discovery
//! may have been unavailable, overloaded, or not reachable for this node alone.

use crate::permission::EndpointLease;
use crate::{Settings, TimeSpan, Timestamp};

/// Initial time between the beginnings of two polls after a failure; it doubles with each further failure.
const INITIAL_BACKOFF: TimeSpan = TimeSpan::from_millis(400);
/// Maximum number of doublings of [`INITIAL_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Maximum backoff, unless discovery needs longer for the polls of all nodes. A poll that hangs takes about 2 s; the
/// next one follows at once, since jobs wait for it.
const MAX_BACKOFF: TimeSpan = TimeSpan::from_millis(2200);

/// Time that discovery is assumed to spend on a poll while none has been answered.
const DEFAULT_POLL_COST: TimeSpan = TimeSpan::from_millis(70);
/// Bounds of the time that discovery is estimated to spend on a poll.
const MIN_POLL_COST: TimeSpan = TimeSpan::from_millis(5);
const MAX_POLL_COST: TimeSpan = TimeSpan::from_millis(250);
/// A poll that took longer than estimated moves the estimate by this part (one in so many) of the difference only, as
/// it may have waited in discovery's queue. A shorter one replaces the estimate.
const POLL_COST_SMOOTHING: u64 = 8;

/// Up to this, polls are spread so far that none needs to wait in discovery's queue.
const MAX_UNCONTENDED_SPREAD: TimeSpan = TimeSpan::from_secs(5);
/// After failures the spread grows up to the time needed for all nodes and this part (one in so many) more.
const SPREAD_RESERVE_PART: u64 = 10;
/// Maximum number of times that the spread doubles.
const MAX_SPREAD_DOUBLINGS: u32 = 16;
/// The spread grows up to this also where answered polls were cheaper: those may have had nothing to tell, and if all
/// nodes went by them, an overloaded discovery would never answer again.
const MAX_OVERLOADED_SPREAD: TimeSpan = TimeSpan::from_millis(7500);
/// The time to the next poll varies at random by this part (one in so many), both ways.
const JITTER_PART: u64 = 25;

/// Value of [`PollSchedule::next_poll_at`] before the first timer.
const NOT_STARTED: Timestamp = Timestamp::ORIGIN;

/// The schedule of a node's polls, with the lease on its endpoint list.
pub(crate) struct PollSchedule {
    /// Discovery sends the list in answer to a poll only; otherwise there is nothing to schedule.
    on_request: bool,
    /// See [`Settings::max_poll_interval`].
    max_poll_interval: TimeSpan,
    load: DiscoveryLoad,
    next_poll_at: Option<Timestamp>,
    last_poll_at: Timestamp,
    poll_in_flight: bool,
    consecutive_failures: u32,
    /// The time over which the polls of all nodes are spread, as far as this node knows.
    spread: TimeSpan,
    /// The watch was lost because this node could not parse what it sent.
    is_list_malformed: bool,
    lease: EndpointLease,
}

impl PollSchedule {
    /// The schedule of a node that has not started yet.
    pub(crate) fn new(settings: &Settings) -> Self {
        PollSchedule {
            on_request: settings.endpoints_on_request,
            max_poll_interval: settings.max_poll_interval,
            load: DiscoveryLoad { nodes: u64::from(settings.nodes), poll_cost: None },
            next_poll_at: settings.endpoints_on_request.then_some(NOT_STARTED),
            last_poll_at: Timestamp::ORIGIN,
            poll_in_flight: false,
            consecutive_failures: 0,
            spread: TimeSpan::ZERO,
            is_list_malformed: false,
            lease: EndpointLease::new(settings),
        }
    }

    /// When [`PollSchedule::start_due_poll`] is to be called next.
    pub(crate) fn next_poll_at(&self) -> Option<Timestamp> {
        self.next_poll_at
    }

    /// Returns whether a poll is due, and records it as begun. The first call schedules the first poll.
    pub(crate) fn start_due_poll(&mut self, now: Timestamp, rng: &mut fastrand::Rng) -> bool {
        self.lease.record_start(now);
        if self.next_poll_at == Some(NOT_STARTED) {
            self.schedule_first_poll(now, rng);
            return false;
        }
        let is_due = self.next_poll_at.is_some_and(|due| due <= now);
        if is_due {
            self.record_poll(now);
        }
        is_due
    }

    /// An endpoint list arrived. One that arrives at the moment of a poll is the saved one and no answer.
    pub(crate) fn record_endpoints(&mut self, now: Timestamp) {
        if now > self.last_poll_at {
            self.next_poll_at = None;
            self.poll_in_flight = false;
            self.consecutive_failures = 0;
        }
    }

    /// Discovery confirmed that the known list was current at this moment.
    pub(crate) fn record_confirmation(&mut self, confirmed_at: Timestamp) {
        self.lease.renew(confirmed_at);
    }

    /// A poll was answered after `duration`.
    pub(crate) fn record_poll_duration(&mut self, duration: TimeSpan) {
        self.load.record_poll_duration(duration);
    }

    /// Discovery sent something that could not be parsed.
    pub(crate) fn record_malformed_list(&mut self, now: Timestamp) {
        self.lease.record_malformed_list(now);
        self.is_list_malformed = true;
    }

    /// Discovery moved to another address.
    pub(crate) fn record_discovery_address_change(&mut self, now: Timestamp) {
        self.lease.record_discovery_address_change(now);
    }

    /// A poll failed or the watch ended: schedules the next poll.
    pub(crate) fn record_failure(&mut self, now: Timestamp, rng: &mut fastrand::Rng) {
        if !self.on_request {
            return;
        }
        let min_delay = INITIAL_BACKOFF / 2 + random_span(rng, INITIAL_BACKOFF / 2);
        if std::mem::take(&mut self.poll_in_flight) {
            self.record_failed_poll(now, min_delay, rng);
        } else {
            self.record_lost_watch(now, min_delay, rng);
        }
    }

    /// The lease on the endpoint list.
    pub(crate) fn lease(&self) -> &EndpointLease {
        &self.lease
    }

    /// All nodes may have started at once, so each polls at a random moment.
    fn schedule_first_poll(&mut self, now: Timestamp, rng: &mut fastrand::Rng) {
        self.last_poll_at = now;
        self.spread = self.load.time_for_all_nodes().min(self.max_poll_interval / 2);
        self.next_poll_at = Some(now + random_span(rng, self.spread));
    }

    fn record_poll(&mut self, now: Timestamp) {
        self.last_poll_at = now;
        self.poll_in_flight = true;
        // In case neither an answer nor a failure arrives.
        self.next_poll_at = Some(now + self.max_poll_interval / 2);
    }

    fn record_failed_poll(&mut self, now: Timestamp, min_delay: TimeSpan, rng: &mut fastrand::Rng) {
        self.spread = self.spread_after_failure();
        // Nodes keep their distance from each other. Drawn evenly anew, the polls of more nodes than discovery can serve
        // would keep its queue full, and it would answer none in time.
        let jittered =
            self.spread - self.spread / JITTER_PART + random_span(rng, self.spread * 2 / JITTER_PART);
        self.next_poll_at = Some((now + min_delay).max(self.last_poll_at + jittered));
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Other nodes may have lost their watches at the same moment, so the next poll is at a random moment of the
    /// spread. An unreadable list concerns this node alone.
    fn record_lost_watch(&mut self, now: Timestamp, min_delay: TimeSpan, rng: &mut fastrand::Rng) {
        self.spread = self.initial_spread();
        let offset = if std::mem::take(&mut self.is_list_malformed) {
            TimeSpan::ZERO
        } else {
            random_span(rng, self.spread)
        };
        self.next_poll_at = Some(now + min_delay + offset);
    }

    /// The longer of the backoff of this node and the spread for all nodes, which doubles with each failure.
    fn spread_after_failure(&self) -> TimeSpan {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
        let all_nodes = self.load.time_for_all_nodes();
        let max_spread = (all_nodes + all_nodes / SPREAD_RESERVE_PART)
            .max(self.load.time_for_all_nodes_if_overloaded())
            .max(MAX_BACKOFF);
        let doublings = self.consecutive_failures.min(MAX_SPREAD_DOUBLINGS);
        let grown = (self.initial_spread() * (1 << doublings)).min(max_spread);
        backoff.max(grown)
    }

    /// A spread in which discovery answers all nodes before it drops a poll. While no poll has been answered it is
    /// limited to `max_poll_interval`.
    fn initial_spread(&self) -> TimeSpan {
        let all_nodes = self.load.time_for_all_nodes();
        let spread = (all_nodes + all_nodes * 3 / 10).min(all_nodes.max(MAX_UNCONTENDED_SPREAD));
        if self.load.poll_cost.is_none() { spread.min(self.max_poll_interval) } else { spread }
    }
}

/// Estimate of the time that discovery needs to answer polls.
struct DiscoveryLoad {
    nodes: u64,
    /// Time that discovery spends on one poll; None while none has been answered.
    poll_cost: Option<TimeSpan>,
}

impl DiscoveryLoad {
    /// Learns from an answered poll: a shorter one at once, a longer one by a part.
    fn record_poll_duration(&mut self, duration: TimeSpan) {
        let duration = duration.clamp(MIN_POLL_COST, MAX_POLL_COST);
        let estimate = self.poll_cost.unwrap_or(duration).min(duration);
        self.poll_cost = Some(estimate + (duration - estimate) / POLL_COST_SMOOTHING);
    }

    /// The same if polls cost as much as they are assumed to cost before any was answered, within bounds.
    fn time_for_all_nodes_if_overloaded(&self) -> TimeSpan {
        let all_nodes = DEFAULT_POLL_COST * self.nodes;
        (all_nodes + all_nodes / SPREAD_RESERVE_PART).min(MAX_OVERLOADED_SPREAD)
    }

    /// Time that discovery needs for one poll of each node.
    fn time_for_all_nodes(&self) -> TimeSpan {
        self.poll_cost.unwrap_or(DEFAULT_POLL_COST) * self.nodes
    }
}

/// A span of at most `max`, each as likely as the others.
fn random_span(rng: &mut fastrand::Rng, max: TimeSpan) -> TimeSpan {
    TimeSpan::from_micros(rng.u64(0..=max.as_micros()))
}
