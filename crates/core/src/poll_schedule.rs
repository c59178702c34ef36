//! Schedule of the polls by which a node gets the endpoint list from discovery, with the lease on that list.
//!
//! The schedule depends on polls, their responses and times only, not on jobs or workers.
//! `docs/design/endpoint-lease.md` contains the measurements on which the schedule is based.
//!
//! | state | left on | next state and next poll |
//! | --- | --- | --- |
//! | starting | the first timer | waiting: the poll is at a random time within the first spread |
//! | waiting | the time of the poll | polling: without any response, the next poll is after half of `max_poll_interval` |
//! | polling | a list | watching: a poll when the confirmation of the list has reached the renewal age |
//! | polling | a failure | waiting: the poll is one spread after the beginning of the failed poll, longer with each failure |
//! | watching | the renewal age | polling, beside the open watch |
//! | watching | the end of the watch | waiting: the poll is at a random time within a spread |
//!
//! Discovery serves polls one at a time and drops a poll that waits for longer than about 2 s. Nodes often
//! lose their watches all at once. Their polls are therefore spread evenly over the time that discovery needs
//! for all of them; each node estimates that time from its answered polls. A failed poll does not show
//! whether the list has changed: discovery may have been unavailable, overloaded, or unreachable for this
//! node alone.
//!
//! The messages of a watch confirm the list as of a time that falls back if they are late, or if changes
//! replace heartbeats. The age of the confirmation at which the node polls again, before its lease expires,
//! differs between the nodes, since all watches may be late at once.

use crate::permission::EndpointLease;
use crate::{ListEvidence, Settings, TimeSpan, Timestamp};

/// Initial time between the beginnings of two polls after a failure. It doubles with each further failure.
const INITIAL_BACKOFF: TimeSpan = TimeSpan::from_millis(400);
/// Maximum number of doublings of [`INITIAL_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Maximum backoff, unless discovery needs longer for the polls of all nodes. A poll without a response takes
/// about 2 s; the next one follows at once, because jobs wait for it.
const MAX_BACKOFF: TimeSpan = TimeSpan::from_millis(2200);

/// Time that discovery is assumed to spend on a poll before any poll has been answered.
const DEFAULT_POLL_COST: TimeSpan = TimeSpan::from_millis(70);
/// Minimum estimate of the time that discovery spends on a poll.
const MIN_POLL_COST: TimeSpan = TimeSpan::from_millis(5);
/// Maximum estimate of the time that discovery spends on a poll.
const MAX_POLL_COST: TimeSpan = TimeSpan::from_millis(250);
/// Divisor for increases of the estimate: a poll that took longer than estimated raises the estimate by the
/// difference divided by this value, because the poll may have waited in the queue of discovery. A shorter
/// poll replaces the estimate.
const POLL_COST_SMOOTHING_DIVISOR: u64 = 8;

/// Maximum spread that includes a reserve of 30 %, so that no poll has to wait in the queue of discovery.
const MAX_UNCONTENDED_SPREAD: TimeSpan = TimeSpan::from_secs(5);
/// Divisor for the reserve of the spread: after failures, the spread grows up to the time needed for all
/// nodes plus that time divided by this value.
const SPREAD_RESERVE_DIVISOR: u64 = 10;
/// Maximum number of doublings of the spread.
const MAX_SPREAD_DOUBLINGS: u32 = 16;
/// Maximum spread that is based on [`DEFAULT_POLL_COST`]. After failures, the spread may grow up to it even
/// if answered polls were cheaper: the responses to them may have had no changes to report. If all nodes
/// relied on the cost of such polls, an overloaded discovery would never answer again.
const MAX_OVERLOADED_SPREAD: TimeSpan = TimeSpan::from_millis(7500);
/// Divisor for the jitter after a failed poll: the time to the next poll varies at random by up to the spread
/// divided by this value, in both directions.
const JITTER_DIVISOR: u64 = 25;

/// Minimum time between the poll of a renewal and the expiry of the lease.
const MIN_RENEWAL_RESERVE: TimeSpan = TimeSpan::from_millis(900);
/// Maximum difference between the renewal ages of two nodes.
const MAX_RENEWAL_SPREAD: TimeSpan = TimeSpan::from_secs(2);
/// Lateness of a single heartbeat that does not cause a renewal, as it does not count as a stall either.
const MIN_TOLERATED_LATENESS: TimeSpan = TimeSpan::from_secs(1);

/// Value of [`PollSchedule::next_poll_at`] before the first timer.
const NOT_STARTED: Timestamp = Timestamp::ORIGIN;

/// Schedule of the polls of a node, with the lease on its endpoint list.
pub(crate) struct PollSchedule {
    /// Whether discovery sends the list only in response to a poll. Otherwise the embedder polls by itself
    /// until a watch is open, and only renewals are scheduled.
    on_request: bool,
    node_index: u64,
    /// See [`Settings::max_poll_interval`].
    max_poll_interval: TimeSpan,
    load: DiscoveryLoad,
    next_poll_at: Option<Timestamp>,
    last_poll_at: Timestamp,
    poll_in_flight: bool,
    consecutive_failures: u32,
    /// Time over which the polls of all nodes are spread, as estimated by this node.
    spread: TimeSpan,
    /// Whether the watch was lost because this node could not parse a message on it.
    is_list_malformed: bool,
    /// Duration of the poll that opened the present watch. `None` without a watch or a lease.
    watch_poll_duration: Option<TimeSpan>,
    /// Time before which a failed renewal is not repeated.
    renewal_retry_at: Timestamp,
    lease: EndpointLease,
}

impl PollSchedule {
    /// Creates the schedule of a node that has not started yet.
    pub(crate) fn new(settings: &Settings) -> Self {
        PollSchedule {
            on_request: settings.endpoints_on_request,
            node_index: u64::from(settings.node_index),
            max_poll_interval: settings.max_poll_interval,
            load: DiscoveryLoad { nodes: u64::from(settings.nodes), poll_cost: None },
            next_poll_at: settings.endpoints_on_request.then_some(NOT_STARTED),
            last_poll_at: Timestamp::ORIGIN,
            poll_in_flight: false,
            consecutive_failures: 0,
            spread: TimeSpan::ZERO,
            is_list_malformed: false,
            watch_poll_duration: None,
            renewal_retry_at: Timestamp::ORIGIN,
            lease: EndpointLease::new(settings),
        }
    }

    /// Returns the time at which the caller must call [`PollSchedule::start_due_poll`] next.
    pub(crate) fn next_poll_at(&self) -> Option<Timestamp> {
        self.next_poll_at
    }

    /// Returns whether a poll is due, and records its beginning. The first call schedules the first poll.
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

    /// Records that an endpoint list arrived. A list that arrives at the time of a poll is the saved one and
    /// not a response. A list on the open watch is no response to a poll beside that watch.
    pub(crate) fn record_endpoints(&mut self, now: Timestamp) {
        if now > self.last_poll_at && self.watch_poll_duration.is_none() {
            self.end_poll();
        }
    }

    /// Records a confirmation of the list by discovery.
    pub(crate) fn record_confirmation(&mut self, now: Timestamp, evidence: ListEvidence) {
        self.lease.renew(now, evidence);
        self.schedule_renewal();
    }

    /// Records that a poll was answered after `duration` and has opened a watch.
    pub(crate) fn record_poll_answer(&mut self, duration: TimeSpan) {
        self.load.record_poll_duration(duration);
        self.watch_poll_duration = self.lease.duration().map(|_| duration);
        if self.watch_poll_duration.is_some() {
            self.end_poll();
        }
    }

    /// Records that discovery sent a message that could not be parsed.
    pub(crate) fn record_malformed_list(&mut self, now: Timestamp) {
        self.lease.record_malformed_list(now);
        self.is_list_malformed = true;
    }

    /// Records that the address of discovery has changed.
    pub(crate) fn record_discovery_address_change(&mut self, now: Timestamp) {
        self.lease.record_discovery_address_change(now);
        self.watch_poll_duration = None;
    }

    /// Schedules the next poll after a poll failed or the watch ended.
    pub(crate) fn record_failure(&mut self, now: Timestamp, rng: &mut fastrand::Rng) {
        if !self.on_request {
            return;
        }
        let min_delay = INITIAL_BACKOFF / 2 + random_duration(rng, INITIAL_BACKOFF / 2);
        if std::mem::take(&mut self.poll_in_flight) {
            self.record_failed_poll(now, min_delay, rng);
        } else {
            self.record_lost_watch(now, min_delay, rng);
        }
    }

    /// Returns the lease on the endpoint list.
    pub(crate) fn lease(&self) -> &EndpointLease {
        &self.lease
    }

    fn end_poll(&mut self) {
        self.next_poll_at = None;
        self.poll_in_flight = false;
        self.consecutive_failures = 0;
        self.renewal_retry_at = Timestamp::ORIGIN;
    }

    /// Schedules the poll that renews the confirmation, unless a poll is in flight.
    fn schedule_renewal(&mut self) {
        if let (Some(age), Some(confirmed_at)) = (self.renewal_age(), self.lease.confirmed_at())
            && !self.poll_in_flight
        {
            self.next_poll_at = Some((confirmed_at + age).max(self.renewal_retry_at));
        }
    }

    /// Returns the age of the confirmation at which the list is polled again beside the open watch; `None`
    /// without a watch or a lease.
    ///
    /// The poll may take as long as the one that opened the watch. Nodes share the time that discovery needs for
    /// all of them by their indexes. A watch without lateness does not reach the age, even if polls are slow.
    fn renewal_age(&self) -> Option<TimeSpan> {
        let (poll_duration, lease_duration) = (self.watch_poll_duration?, self.lease.duration()?);
        let latest = lease_duration.saturating_sub(poll_duration.max(MIN_RENEWAL_RESERVE));
        let spread = self.initial_spread().min(MAX_RENEWAL_SPREAD);
        let offset = spread * self.node_index / self.load.nodes;
        let earliest = self.lease.max_age_without_lateness() + MIN_TOLERATED_LATENESS + poll_duration;
        Some(latest.saturating_sub(offset).max(earliest).min(lease_duration))
    }

    /// Schedules the first poll at a random time, because all nodes may have started at once.
    fn schedule_first_poll(&mut self, now: Timestamp, rng: &mut fastrand::Rng) {
        self.last_poll_at = now;
        self.spread = self.load.time_for_all_nodes().min(self.max_poll_interval / 2);
        self.next_poll_at = Some(now + random_duration(rng, self.spread));
    }

    fn record_poll(&mut self, now: Timestamp) {
        self.last_poll_at = now;
        self.poll_in_flight = true;
        // This time applies if neither a response nor a failure of the poll arrives.
        self.next_poll_at = Some(now + self.max_poll_interval / 2);
    }

    fn record_failed_poll(&mut self, now: Timestamp, min_delay: TimeSpan, rng: &mut fastrand::Rng) {
        self.spread = self.spread_after_failure();
        // Nodes keep their distance from each other. If new times were picked uniformly at random, the polls
        // of more nodes than discovery can serve would keep its queue full, and none would be answered in
        // time.
        let jittered = self.spread - self.spread / JITTER_DIVISOR
            + random_duration(rng, self.spread * 2 / JITTER_DIVISOR);
        let retry_at = (now + min_delay).max(self.last_poll_at + jittered);
        self.next_poll_at = Some(retry_at);
        self.renewal_retry_at = retry_at;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Schedules the next poll at a random time within the spread, because other nodes may have lost their
    /// watches at the same time. A malformed list concerns this node alone, so no random time is added.
    fn record_lost_watch(&mut self, now: Timestamp, min_delay: TimeSpan, rng: &mut fastrand::Rng) {
        self.watch_poll_duration = None;
        self.spread = self.initial_spread();
        let offset = if std::mem::take(&mut self.is_list_malformed) {
            TimeSpan::ZERO
        } else {
            random_duration(rng, self.spread)
        };
        self.next_poll_at = Some(now + min_delay + offset);
    }

    /// Returns the longer of the backoff of this node and the spread for all nodes, which doubles with each
    /// failure.
    fn spread_after_failure(&self) -> TimeSpan {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
        let all_nodes = self.load.time_for_all_nodes();
        let max_spread = (all_nodes + all_nodes / SPREAD_RESERVE_DIVISOR)
            .max(self.load.time_for_all_nodes_if_overloaded())
            .max(MAX_BACKOFF);
        let doublings = self.consecutive_failures.min(MAX_SPREAD_DOUBLINGS);
        let grown_spread = (self.initial_spread() * (1 << doublings)).min(max_spread);
        backoff.max(grown_spread)
    }

    /// Returns the spread in which discovery can answer all nodes before it drops a poll. Before any poll has
    /// been answered, the spread is limited to `max_poll_interval`.
    fn initial_spread(&self) -> TimeSpan {
        let all_nodes = self.load.time_for_all_nodes();
        let spread = (all_nodes + all_nodes * 3 / 10).min(all_nodes.max(MAX_UNCONTENDED_SPREAD));
        if self.load.poll_cost.is_none() { spread.min(self.max_poll_interval) } else { spread }
    }
}

/// Estimate of the time that discovery needs to answer polls.
struct DiscoveryLoad {
    nodes: u64,
    /// Time that discovery spends on one poll. `None` before any poll has been answered.
    poll_cost: Option<TimeSpan>,
}

impl DiscoveryLoad {
    /// Updates the estimate after an answered poll: a shorter duration replaces it, a longer one raises it by
    /// a part of the difference.
    fn record_poll_duration(&mut self, duration: TimeSpan) {
        let duration = duration.clamp(MIN_POLL_COST, MAX_POLL_COST);
        let estimate = self.poll_cost.unwrap_or(duration).min(duration);
        self.poll_cost = Some(estimate + (duration - estimate) / POLL_COST_SMOOTHING_DIVISOR);
    }

    /// Returns the time that discovery needs for one poll of each node if each takes [`DEFAULT_POLL_COST`],
    /// plus a reserve, at most [`MAX_OVERLOADED_SPREAD`].
    fn time_for_all_nodes_if_overloaded(&self) -> TimeSpan {
        let all_nodes = DEFAULT_POLL_COST * self.nodes;
        (all_nodes + all_nodes / SPREAD_RESERVE_DIVISOR).min(MAX_OVERLOADED_SPREAD)
    }

    /// Returns the time that discovery needs for one poll of each node.
    fn time_for_all_nodes(&self) -> TimeSpan {
        self.poll_cost.unwrap_or(DEFAULT_POLL_COST) * self.nodes
    }
}

/// Returns a uniformly random duration from zero to `max`, inclusive.
fn random_duration(rng: &mut fastrand::Rng, max: TimeSpan) -> TimeSpan {
    TimeSpan::from_micros(rng.u64(0..=max.as_micros()))
}
