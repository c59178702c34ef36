//! Placement: the choice of a worker for a job, by the cost of Algorithm 5 of the paper that `docs/design.md`
//! names.

use super::ejection::is_avoided;
use crate::permission::SendRules;
use crate::state::{Fleet, Job, RunEstimate, Worker};
use crate::{TimeSpan, Timestamp};

/// Fraction of the lowest cost by which a cost may exceed it and still count as a tie. Ties are broken at
/// random.
const NEAR_TIE_FRACTION: f64 = 0.03;
/// Additional amount by which a cost may exceed the lowest one and still count as a tie.
const NEAR_TIE_MARGIN: TimeSpan = TimeSpan::from_millis(2);
/// Maximum wait at a worker that counts as [`PlacementTier::Immediate`]. In this node's own zone, the wait
/// that is equivalent to a zone crossing is added.
pub(super) const MAX_WORKER_WAIT: TimeSpan = TimeSpan::from_millis(20);
/// Wait that is equivalent to a zone crossing of price 1.
pub(super) const ZONE_CROSSING_WAIT: TimeSpan = TimeSpan::from_secs(2);
/// Time after which a worker that operators have enabled again is probed with any idempotent job that can
/// complete there before its deadline.
const REENABLED_PROBE_DELAY: TimeSpan = TimeSpan::from_millis(1500);

/// Suitability of a worker for a job, best first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) enum PlacementTier {
    /// A slot is about to become free, and the job would meet its objective.
    Immediate,
    /// The job would meet its objective after a wait.
    Queued,
    /// The job would miss its objective.
    Late,
}

/// Rating of a worker for a job. Ratings are compared by tier first and then by cost; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct PlacementRating {
    /// Suitability of the worker.
    pub tier: PlacementTier,
    /// Cost x + w / (1 - r), in seconds.
    pub cost: f64,
}

impl PlacementRating {
    /// Returns whether the rating is about as good as the best one, or better.
    fn is_near_tie(self, best: PlacementRating) -> bool {
        self.tier == best.tier
            && self.cost <= best.cost * (1.0 + NEAR_TIE_FRACTION) + NEAR_TIE_MARGIN.as_secs_f64()
    }
}

/// Worker that was rated for a job.
#[derive(Clone, Copy)]
pub(crate) struct RatedWorker {
    /// Index of the worker.
    index: usize,
    rating: PlacementRating,
}

/// Choice of a worker for a job.
#[derive(Clone, Copy)]
pub(crate) struct Placement {
    /// Rating of the worker for the job.
    pub rating: PlacementRating,
    /// Estimated run of the job at the worker.
    pub estimate: RunEstimate,
}

/// Returns the cost of a worker in seconds: the run time x of the job there plus the weighted wait w. The
/// weight of w grows with the utilisation r, since the job delays those that come after it.
pub(super) fn cost(x: f64, w: f64, r: f64) -> f64 {
    x + w / (1.0 - r)
}

/// Request for a worker to run a job.
pub(crate) struct PlacementRequest<'a> {
    now: Timestamp,
    job: &'a Job,
    /// Minimum rendezvous weight of the owners of the key of the job.
    affinity_threshold: u64,
}

impl<'a> PlacementRequest<'a> {
    /// Creates a request to place a job now.
    pub fn new(now: Timestamp, fleet: &Fleet, job: &'a Job) -> Self {
        let affinity_threshold = fleet.affinity_threshold(job.key, job.cancelled_attempts());
        PlacementRequest { now, job, affinity_threshold }
    }

    /// Returns the time of the request.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the workers that tie for the lowest cost in the best tier, among the candidates that may take
    /// the job. Candidates are indices into the fleet, and the result is in their order.
    pub fn cheapest_workers(&self, rules: &SendRules, candidates: &[usize]) -> Vec<RatedWorker> {
        let mut rated = Vec::with_capacity(candidates.len());
        let mut best: Option<PlacementRating> = None;
        for &index in candidates {
            let rating = self.rate_worker(rules, index);
            let may_be_cheapest = best.is_none_or(|best| rating.tier < best.tier || rating.is_near_tie(best));
            if may_be_cheapest && self.may_take(rules, rules.fleet.worker(index)) {
                rated.push(RatedWorker { index, rating });
                if best.is_none_or(|best| rating < best) {
                    best = Some(rating);
                }
            }
        }
        rated.retain(|worker| best.is_some_and(|best| worker.rating.is_near_tie(best)));
        rated
    }

    /// Returns the placement of the job at a worker that was rated.
    pub fn place(&self, fleet: &Fleet, worker: RatedWorker) -> Placement {
        Placement { rating: worker.rating, estimate: self.estimate(fleet, worker.index) }
    }

    /// Estimates the run of the job at a worker.
    pub fn estimate(&self, fleet: &Fleet, index: usize) -> RunEstimate {
        fleet.estimate_run(self.now, index, self.job, self.affinity_threshold)
    }

    fn may_take(&self, rules: &SendRules, worker: &Worker) -> bool {
        rules.may_send(self.now, worker, self.job).is_ok()
            && !is_avoided(self.now, rules.settings, worker, self.job)
    }

    /// Rates a worker, regardless of whether the job may be sent there.
    fn rate_worker(&self, rules: &SendRules, index: usize) -> PlacementRating {
        let (settings, fleet) = (rules.settings, rules.fleet);
        let worker = fleet.worker(index);
        let estimate = self.estimate(fleet, index);
        let crossing_wait = settings.cross_zone_price * ZONE_CROSSING_WAIT.as_secs_f64();
        let is_local = worker.zone() == settings.zone;
        let max_wait = MAX_WORKER_WAIT.as_secs_f64();
        let max_wait = if is_local { max_wait + crossing_wait } else { max_wait };
        let time_left = self.job.objective_at.seconds_since(self.now);
        let meets_objective = estimate.reliable_run + estimate.wait <= time_left;
        let tier = match (meets_objective, estimate.wait <= max_wait) {
            (true, true) => PlacementTier::Immediate,
            (true, false) => PlacementTier::Queued,
            (false, _) => PlacementTier::Late,
        };
        if settings.is_idempotent(self.job.class) && self.is_probe_due(worker, tier, &estimate) {
            return PlacementRating { tier: PlacementTier::Immediate, cost: 0.0 };
        }
        let kind = fleet.kind_of(worker);
        // Warm-up budgets keep queues away from workers that are warming up, so the waits at warm workers of
        // the same kind do not apply to them.
        let kind_wait = if worker.estimates().warm_up_fraction < 1.0 { 0.0 } else { kind.wait };
        let (w, r) = (estimate.wait.max(kind_wait), worker.estimates().utilisation.max(kind.utilisation));
        let crossing_wait = if is_local { 0.0 } else { crossing_wait };
        PlacementRating { tier, cost: cost(estimate.run, w, r) + crossing_wait }
    }

    /// Returns whether an idempotent job is used to probe a worker that operators have enabled again and that
    /// has not been used since. Only an attempt can show whether such a worker serves.
    fn is_probe_due(&self, worker: &Worker, tier: PlacementTier, estimate: &RunEstimate) -> bool {
        let Some(reenabled_at) = worker.reenabled_at() else { return false };
        let ends_in_time = estimate.run + estimate.wait < self.job.deadline.seconds_since(self.now);
        let has_waited = self.now.saturating_since(reenabled_at) > REENABLED_PROBE_DELAY;
        tier == PlacementTier::Immediate || has_waited && ends_in_time
    }
}

/// Picks workers outside the subset of this node: takes as many consecutive workers as the subset has,
/// starting from a random one, and leaves out those in the subset. The picked workers are tried only when no
/// worker of the subset may take the job. Their load is unknown, and in overload many nodes would flood the
/// few that look best.
pub(crate) fn workers_outside_subset(fleet: &Fleet, rng: &mut fastrand::Rng) -> Vec<usize> {
    let first = rng.usize(0..fleet.workers().len());
    let indices = (first..first + fleet.subset().len()).map(|index| index % fleet.workers().len());
    indices.filter(|index| !fleet.worker(*index).is_in_subset()).collect()
}
