//! Slow start: limits on the work that this node may send to a worker that is warming up.
//!
//! Such a worker fails when all nodes together send too much within a window, so the nodes share a budget.
//! With many nodes, an equal part of it would be too small for any job; therefore nodes take turns according
//! to the clock.

use crate::state::{DEMAND_TIME_CONSTANT, Demand, Fleet, Worker};
use crate::{Settings, TimeSpan, Timestamp};

/// Share of the budget that the only node of a subset uses. The rest is a reserve, since hints are rough.
const SINGLE_NODE_SHARE: f64 = 0.4;
/// Share of the budget that a node uses if it alone has a turn: two turns may fall into one window.
const SINGLE_TURN_SHARE: f64 = 0.25;
/// Share of the budget that each node uses if several have a turn at once.
const SHARED_TURN_SHARE: f64 = 0.33;
/// Minimum number of nodes for each concurrent turn.
const MIN_NODES_PER_TURN: u32 = 3;
/// Upper estimate of the work of this node that a single worker gets, as a multiple of an even part.
const MAX_TRAFFIC_SKEW: f64 = 2.0;
/// Estimated share of the work of a node that goes to workers that are warming up when the warm ones are
/// saturated.
const SATURATED_WARM_UP_SHARE: f64 = 0.1;
/// Maximum number of slots that a worker counts for, as a multiple of those that this node itself has
/// observed there.
const MAX_SLOT_EXTRAPOLATION: f64 = 1.5;
/// Factor by which the window is extended: work arrives some time after it is sent.
const WINDOW_EXTENSION_FACTOR: f64 = 1.25;

/// Returns the seconds for which work sent to a worker that is warming up counts against its budget.
pub(crate) fn window(settings: &Settings) -> f64 {
    settings.overload_window.as_secs_f64() * WINDOW_EXTENSION_FACTOR
}

/// Inputs of the budget of a worker that is warming up.
pub(crate) struct SlowStart<'a> {
    /// Settings of this node.
    pub settings: &'a Settings,
    /// All workers.
    pub fleet: &'a Fleet,
    /// Work that this node recently admitted and shed.
    pub demand: &'a Demand,
    /// Number of workers of the subset that are warming up.
    pub warming_up_workers: usize,
    /// Whether the successor of this process has taken over.
    pub is_superseded: bool,
}

impl SlowStart<'_> {
    /// Returns the work that this node may send to a worker now (rule 4), in seconds at speed 1; infinite for
    /// a warm worker. Rejected work counts as sent.
    pub fn budget(&self, now: Timestamp, worker: &Worker) -> f64 {
        let warm_up_fraction = worker.warm_up_fraction(now, self.settings);
        if warm_up_fraction >= 1.0 {
            return f64::INFINITY;
        }
        let overload_window = self.settings.overload_window.as_secs_f64();
        let speed = self.fleet.learned_speed(worker);
        let slot_budget = self.settings.overload_factor * speed * warm_up_fraction * overload_window;
        let slots = self.fleet.learned_slots(worker);
        let share = self.budget_share(now, worker, slot_budget * slots);
        // The extrapolated slots are right on average, but too many for a node that is busier than others.
        let reliable_slots = slots.min(MAX_SLOT_EXTRAPOLATION * self.fleet.observed_slots(worker));
        slot_budget * reliable_slots * share - worker.recent_warm_up_work(now, window(self.settings))
    }

    /// Returns the share of the whole budget of a worker that this node may use now.
    fn budget_share(&self, now: Timestamp, worker: &Worker, budget: f64) -> f64 {
        match (self.fleet.subset().nodes(), self.concurrent_turns(now, budget)) {
            // Both processes of a node share one budget: the rest of it belongs to the successor.
            _ if self.is_superseded => 0.0,
            (1, _) => SINGLE_NODE_SHARE,
            // Operators have enabled the worker again and wait until it is used: any node may send one job.
            _ if worker.reenabled_at().is_some() => SINGLE_TURN_SHARE,
            (nodes, turns) if !worker.is_in_subset() || !self.has_turn(now, worker, nodes, turns) => 0.0,
            (_, 1) => SINGLE_TURN_SHARE,
            _ => SHARED_TURN_SHARE,
        }
    }

    /// Returns the number of nodes that have a turn at a worker at once: as many as together are likely to
    /// use up [`SHARED_TURN_SHARE`] of its budget, estimated from the work that this node sends in a window.
    /// The result is 1 until demand has been observed for a window. When warm workers are saturated, more
    /// work goes to those that are warming up, and fewer nodes have a turn.
    fn concurrent_turns(&self, now: Timestamp, budget: f64) -> u64 {
        let observed_for =
            now.seconds_since(self.demand.first_submission_at).min(DEMAND_TIME_CONSTANT.as_secs_f64());
        if observed_for < window(self.settings) {
            return 1;
        }
        let own_work = self.demand.admitted(now) / observed_for * window(self.settings);
        let (nodes, share) = (self.fleet.subset().nodes(), SHARED_TURN_SHARE * budget);
        let mut work_per_worker =
            own_work * (MAX_TRAFFIC_SKEW / self.fleet.subset().len().max(1) as f64).min(1.0);
        if SATURATED_WARM_UP_SHARE * own_work * f64::from(nodes) > share * self.warming_up_workers as f64 {
            work_per_worker = work_per_worker.max(SATURATED_WARM_UP_SHARE * own_work);
        }
        (share / work_per_worker.max(1e-9)).clamp(1.0, f64::from((nodes / MIN_NODES_PER_TURN).max(1))) as u64
    }

    /// Returns whether this node has one of the turns at a worker in the slow-start rotation. A window
    /// overlaps at most two turns. Nodes may compute different numbers of turns; the result is right on
    /// average.
    fn has_turn(&self, now: Timestamp, worker: &Worker, nodes: u32, turns: u64) -> bool {
        let round = now.as_micros() / TimeSpan::from_secs_f64(window(self.settings)).as_micros().max(1);
        let position = u64::from(self.fleet.subset().node_position());
        let first = worker.id().0.wrapping_add(round.wrapping_mul(turns)) % u64::from(nodes);
        (position + u64::from(nodes) - first) % u64::from(nodes) < turns
    }
}
