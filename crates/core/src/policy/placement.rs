//! Placement: which worker gets a job, by the cost of Algorithm 5 of the paper that `docs/design.md` names.

use crate::Timestamp;
use crate::state::{Dispatcher, Job, PlacementEstimate, PlacementRating, PlacementTier};

/// Costs within this share of the lowest ...
const NEAR_TIE_RATIO: f64 = 0.03;
/// ... and this many seconds are ties, which are broken at random.
const NEAR_TIE_S: f64 = 0.002;
/// Longest wait at a worker for which a job is sent there, in seconds.
pub(super) const MAX_WORKER_QUEUE_S: f64 = 0.02;
/// Seconds of waiting that a zone crossing of price 1 is worth.
pub(super) const ZONE_CROSSING_S: f64 = 2.0;
/// A worker enabled again is tried with any idempotent job that can end in time after this, in seconds.
const REENABLED_PROBE_DELAY_S: f64 = 1.5;

impl Dispatcher {
    /// The cost of a worker in seconds: x, the job's own run there, plus the wait w, which weighs the more
    /// the higher the utilisation r, since the job delays those that come after it.
    pub(crate) fn cost(x: f64, w: f64, r: f64) -> f64 {
        x + w / (1.0 - r)
    }

    /// Chooses a worker of this node's subset or, when none of those may take the job, one of as many others.
    /// Not before: their load is not known, and in overload many nodes would flood the few that look best.
    pub(super) fn choose_worker(&mut self, now: Timestamp, job: &mut Job) -> Option<PlacementEstimate> {
        job.affinity_threshold = self.fleet.affinity_threshold(job.key, job.cancelled_attempts());
        let mut candidates = std::mem::take(&mut self.buffers.candidates);
        candidates.clone_from(&self.fleet.subset);
        let mut best = self.cheapest_worker(now, job, &candidates);
        if self.fleet.subset_count > 1 && best.is_none() {
            let (workers, count) = (&self.fleet.workers, candidates.len());
            let first = self.rng.usize(0..workers.len());
            let drawn = (first..first + count).map(|index| index % workers.len());
            candidates.clear();
            candidates.extend(drawn.filter(|index| !workers[*index].in_subset));
            candidates.iter().for_each(|index| self.refresh_worker(now, *index));
            best = self.cheapest_worker(now, job, &candidates);
        }
        self.buffers.candidates = candidates;
        best
    }

    /// The cheapest worker of the best tier that may take the job, near ties at random.
    fn cheapest_worker(
        &mut self,
        now: Timestamp,
        job: &Job,
        candidates: &[usize],
    ) -> Option<PlacementEstimate> {
        let mut best = PlacementRating::INELIGIBLE;
        for &index in candidates {
            let worker = &self.fleet.workers[index];
            let mut rating = self.rate_worker(now, index, job);
            let may_win = rating.tier < best.tier || is_near_tie(rating, best);
            if !may_win || self.may_send(now, worker, job).is_err() || self.is_avoided(now, worker, job) {
                rating = PlacementRating::INELIGIBLE;
            }
            self.fleet.workers[index].rating = rating;
            if rating < best {
                best = rating;
            }
        }
        let is_tied = |index: &&usize| {
            let rating = self.fleet.workers[**index].rating;
            rating.tier != PlacementTier::Ineligible && is_near_tie(rating, best)
        };
        let nth = self.rng.usize(0..candidates.iter().filter(is_tied).count().max(1));
        candidates.iter().filter(is_tied).nth(nth).map(|index| self.estimate_placement(now, *index, job))
    }

    /// Rates a worker for a job, whether or not the job may be sent there.
    fn rate_worker(&self, now: Timestamp, index: usize, job: &Job) -> PlacementRating {
        let worker = &self.fleet.workers[index];
        let estimate = self.estimate_placement(now, index, job);
        let crossing = self.settings.cross_zone_price * ZONE_CROSSING_S;
        let is_local = worker.zone == self.settings.zone;
        let max_wait = if is_local { MAX_WORKER_QUEUE_S + crossing } else { MAX_WORKER_QUEUE_S };
        let meets_objective = estimate.reliable_run + estimate.wait <= job.objective_at.seconds_since(now);
        let tier = match (meets_objective, estimate.wait <= max_wait) {
            (true, true) => PlacementTier::Immediate,
            (true, false) => PlacementTier::Queued,
            (false, _) => PlacementTier::Late,
        };
        // Enabled again by operators and not used since: only an attempt shows whether it serves.
        let is_probe = |reenabled_at| {
            tier == PlacementTier::Immediate
                || now.seconds_since(reenabled_at) > REENABLED_PROBE_DELAY_S
                    && estimate.run + estimate.wait < job.deadline.seconds_since(now)
        };
        if worker.reenabled_at.is_some_and(is_probe) && self.is_idempotent(job) {
            return PlacementRating { tier: PlacementTier::Immediate, cost: 0.0 };
        }
        let kind = &self.fleet.kinds[worker.kind_index];
        // Warm-up budgets keep queues from cold workers: waits at warm ones of the same kind do not apply to
        // them.
        let kind_wait = if worker.estimates.warm_up_fraction < 1.0 { 0.0 } else { kind.wait };
        let (w, r) = (estimate.wait.max(kind_wait), worker.estimates.utilisation.max(kind.utilisation));
        let crossing = if is_local { 0.0 } else { crossing };
        PlacementRating { tier, cost: Self::cost(estimate.run, w, r) + crossing }
    }
}

/// Whether a rating is about as good as the best one, or better.
fn is_near_tie(rating: PlacementRating, best: PlacementRating) -> bool {
    rating.tier == best.tier && rating.cost <= best.cost * (1.0 + NEAR_TIE_RATIO) + NEAR_TIE_S
}
