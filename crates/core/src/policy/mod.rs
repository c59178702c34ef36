//! The decisions of a dispatcher, but for those on attempts that have not left yet: `src/departures.rs`.
//! Its settings, events and actions are in `src/interface.rs`, its records in `src/ledger.rs`;
//! `src/dispatcher.rs` hands each event over.
//!
//! Every ordinary job goes to the ready worker with the lowest `x + w/(1-r)`: see [`Dispatcher::cost`].

mod pre_send;

use std::ops::Bound;

use crate::dispatcher::Dispatcher;
use crate::interface::*;
use crate::state::*;

/// Work of a job that came without a hint, s, as long as its class has taught nothing.
pub(crate) const DEFAULT_JOB_WORK_S: f64 = 0.1;
/// A fetch takes this many usual jobs' time. How surely a key that was just sent to a worker is there, after
/// how many others it is not, and how surely one is at its homes.
const FETCH_WORK_RATIO: f64 = 1.5;
const RECENT_KEY_HIT_RATE: f64 = 0.9;
const RECENT_KEYS_RETAINED: f64 = 8.0;
const HOME_KEY_HIT_RATE: f64 = 0.8;
/// Homes of a key for each worker that its part of the jobs would fill. A key that came once counts as so
/// many jobs, beside so many others that may have come.
pub(crate) const HOME_SPARE_FACTOR: f64 = 1.5;
pub(crate) const SINGLE_KEY_COUNT: f64 = 0.4;
pub(crate) const KEY_PRIOR_COUNT: f64 = 10.0;
/// Utilisation counts no higher than this: beyond it 1/(1-r) would drown x.
pub(crate) const MAX_UTILISATION: f64 = 0.9;
/// Span over which the rate of work sent is averaged, s.
pub(crate) const SEND_RATE_SPAN_S: f64 = 5.0;
/// Span over which running jobs are averaged, s.
pub(crate) const RUNNING_SLOTS_SPAN_S: f64 = 10.0;
/// Costs within this share of the lowest, and this many seconds, are ties.
const NEAR_TIE_RATIO: f64 = 0.03;
const NEAR_TIE_S: f64 = 0.002;
/// Weight of one job in a learned speed, once there are many.
pub(crate) const WORKER_SPEED_GAIN: f64 = 0.08;
/// Weight of one job in its kind's speed; jobs that a kind's word stands for; most errors one moves it by.
pub(crate) const SHARED_ESTIMATE_GAIN: f64 = 0.03;
pub(crate) const KIND_PRIOR_SAMPLES: f64 = 3.0;
pub(crate) const MAX_SAMPLE_ERRORS: f64 = 2.0;
/// Hints are trusted to be off by no more than this many times their mean error (of the logarithm).
const MAX_HINT_ERRORS: f64 = 5.0;
/// Evidence of other nodes' work at a worker fades over this, s.
pub(crate) const EXCESS_WAIT_SPAN_S: f64 = 0.3;
/// And at its kind over this, s; so many starts that were in time stand beside those seen.
pub(crate) const START_DELAY_SPAN_S: f64 = 5.0;
pub(crate) const START_DELAY_PRIOR_COUNT: f64 = 0.5;
/// Failures keep work away for this long, doubled with each in a row, s.
const BASE_EJECTION_S: f64 = 0.1;
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// A running job is reckoned with this multiple of its hint, and once it nears that with this share of what
/// it has already done.
pub(crate) const RUNNING_HINT_FACTOR: f64 = 1.1;
pub(crate) const MIN_REMAINING_SHARE: f64 = 0.35;
/// A job that can still be in time goes out at the latest this long before it no longer can, s.
const LAST_START_MARGIN_S: f64 = 0.1;
/// Jobs in line that are passed over, for want of a worker, before looking again later; or one for so many of
/// this node's workers where that is more: in a large fleet, eight that fit nowhere must not stop the rest.
const MIN_SKIPPED_JOBS: usize = 8;
const WORKERS_PER_SKIPPED_JOB: usize = 2;
/// Aims grow with a job's true work, which may be less than its hint: only this share of it is relied on.
const RELIABLE_HINT_SHARE: f64 = 0.3;
/// Jobs are sent to queue at a worker for no longer than this, s.
const MAX_WORKER_QUEUE_S: f64 = 0.02;
/// A job in line is given up when less than this share of its usual run is left.
const MIN_RUN_SHARE_LEFT: f64 = 0.6;
/// Retries: each job earns this many, up to the store.
const RETRIES_PER_JOB: f64 = 0.1;
pub(crate) const MAX_RETRY_TOKENS: f64 = 10.0;
/// A job not started this long after it should have been is late, and may get a second copy, s. Where all
/// work is known, only silence can be why, which takes longer to tell.
pub(crate) const LATE_START_S: f64 = 0.02;
const SILENT_START_S: f64 = 1.0;
/// A job that could go again elsewhere is looked at anew once its start is this late, s: no notice is under
/// way for so long.
const RELOCATION_DELAY_S: f64 = 0.15;
/// Weight of one attempt in the share of those that start at once.
pub(crate) const PROMPT_START_GAIN: f64 = 0.1;
/// Second copies: each job earns this share of its work, the less the fewer start at once; most stored, s.
const HEDGE_WORK_SHARE: f64 = 0.1;
const MAX_HEDGE_WORK_S: f64 = 5.0;
/// What is derived of a worker holds so long, unless something happens there.
pub(crate) const ESTIMATE_LIFETIME: Micros = 4_000;
/// Open jobs are looked at this often.
pub(crate) const SWEEP_INTERVAL: Micros = 10_000;
/// A worker that operators put back is tried with a repeatable job in time, after this with any such, s.
const REENABLED_PROBE_DELAY_S: f64 = 1.5;
/// A cold worker's budget is used up to this share: hints are rough.
const SINGLE_NODE_SHARE: f64 = 0.4;
/// By a node whose turn it is among many, this share: those of two turns may fall into one window.
const SINGLE_TURN_SHARE: f64 = 0.25;
/// Where several have a turn at once, each by itself may use so much, and no more than one in so many nodes
/// do. A worker may draw so many times its even part of a node's work.
const SHARED_TURN_SHARE: f64 = 0.33;
const MIN_NODES_PER_TURN: u32 = 3;
const MAX_TRAFFIC_SKEW: f64 = 2.0;
/// All cold workers that a node has a turn at draw so much of what it has to send, where the rest is jammed.
const JAMMED_DRAW_SHARE: f64 = 0.1;
/// In one node's own part a worker counts for no more than so many times the slots that node saw there.
const MAX_SLOT_EXTRAPOLATION: f64 = 1.5;
/// And its window is taken longer by this factor: what is sent does not arrive at once.
pub(crate) const WINDOW_STRETCH: f64 = 1.25;
/// A worker counts as at least this warm, whatever the settings say, so that speeds stay above zero.
pub(crate) const MIN_WARM_UP_FRACTION: f64 = 0.01;
/// A keyed repeat goes out this long before its window closes at the latest: see `on_its_way`.
pub(crate) const DEDUPLICATION_MARGIN: Micros = 200_000;
/// Seconds of waiting that a price of 1 for a zone crossing is worth.
const ZONE_CROSSING_S: f64 = 2.0;
/// Work beyond a quota goes out only while a share of the ready workers has a free slot: so many times the
/// share of work within quotas that was lost over a span, s.
const SHED_RESERVE_FACTOR: f64 = 3.0;
/// Jobs of at least this part of the highest worth for a slot are never held back so.
const RESERVE_EXEMPT_WEIGHT: f64 = 0.4;
const DEMAND_SPAN_S: f64 = 10.0;
/// A worker with no longer a wait than this has room, s.
pub(crate) const FREE_WORKER_WAIT_S: f64 = 0.025;
/// A tenant may be ahead of its quota by so many seconds of it.
pub(crate) const QUOTA_BURST_S: f64 = 1.5;
/// And by so many jobs, without which a small part of a quota would be used up by chance.
const QUOTA_BURST_JOBS: f64 = 4.0;
/// A job that has waited no longer than this, on its way here, is a first try.
const MAX_TRANSIT: Micros = 15_000;
/// Clients are asked to stay away for this long after a refusal.
const REJECT_RETRY_AFTER: Micros = 500_000;

/// What a worker promises for a job: seconds of running, those of them that are sure, and of waiting before.
#[derive(Clone, Copy)]
struct PlacementEstimate {
    index: usize,
    tier: PlacementTier,
    run: f64,
    reliable_run: f64,
    wait: f64,
}

impl Dispatcher {
    // ---- the choice -------------------------------------------------------------------------------------

    /// The mechanism: the job's own run, and the backlog weighted by what it does to later jobs.
    pub(crate) fn cost(x: f64, w: f64, r: f64) -> f64 {
        x + w / (1.0 - r)
    }

    /// One of this node's own workers, or, when none of those may take the job, one of as many others. No
    /// sooner: their work is not known, and in overload many nodes would flood the few that look best.
    fn choose_worker(&mut self, now: Micros, job: &mut Job) -> Option<PlacementEstimate> {
        job.affinity_threshold = self.fleet.affinity_threshold(job.key, job.cancelled_attempts());
        let mut looked = std::mem::take(&mut self.candidates);
        looked.clone_from(&self.fleet.subset);
        let mut best = self.cheapest_worker(now, job, &looked);
        if self.fleet.subset_count > 1 && best.is_none() {
            let (all, few) = (self.fleet.workers.len(), looked.len());
            let from = self.rng.usize(0..all);
            looked.clear();
            looked.extend((from..from + few).map(|i| i % all).filter(|i| !self.fleet.workers[*i].in_subset));
            looked.iter().for_each(|i| self.refresh_worker(now, *i));
            best = self.cheapest_worker(now, job, &looked);
        }
        self.candidates = looked;
        best
    }

    /// The cheapest worker of the best rank that may take the job, near ties at random.
    fn cheapest_worker(&mut self, now: Micros, job: &Job, looked: &[usize]) -> Option<PlacementEstimate> {
        let mut best = (PlacementTier::Ineligible, f64::INFINITY);
        for &i in looked {
            let w = &self.fleet.workers[i];
            let mut score = self.rate_placement(now, i, job);
            let near = score.0 < best.0 || (score.0 == best.0 && score.1 <= Self::near_tie_limit(best.1));
            if !near || !self.may_send(now, w, job) || self.is_avoided(now, w, job) {
                score = (PlacementTier::Ineligible, f64::INFINITY);
            }
            (self.fleet.workers[i].tier, self.fleet.workers[i].cost) = score;
            if score < best {
                best = score;
            }
        }
        let limit = Self::near_tie_limit(best.1);
        let tied = |i: &&usize| {
            let w = &self.fleet.workers[**i];
            w.tier == best.0 && w.tier != PlacementTier::Ineligible && w.cost <= limit
        };
        let nth = self.rng.usize(0..looked.iter().filter(tied).count().max(1));
        looked.iter().filter(tied).nth(nth).map(|i| self.estimate_placement(now, *i, job))
    }

    fn near_tie_limit(cost: f64) -> f64 {
        cost * (1.0 + NEAR_TIE_RATIO) + NEAR_TIE_S
    }

    fn rate_placement(&self, now: Micros, i: usize, job: &Job) -> (PlacementTier, f64) {
        let w = &self.fleet.workers[i];
        let p = self.estimate_placement(now, i, job);
        let crossing = self.settings.cross_zone_price * ZONE_CROSSING_S;
        let (patience, crossing) = if w.zone == self.settings.zone {
            (MAX_WORKER_QUEUE_S + crossing, 0.0)
        } else {
            (MAX_WORKER_QUEUE_S, crossing)
        };
        let rank = match p.reliable_run + p.wait <= since(now, job.objective_at) {
            true if p.wait <= patience => PlacementTier::Immediate,
            true => PlacementTier::Queued,
            false => PlacementTier::Late,
        };
        let kind = &self.fleet.kinds[w.kind_index];
        // Budgets keep queues from cold workers: what was met at warm ones of the kind says nothing of them.
        let met = if w.warm_up_fraction < 1.0 { 0.0 } else { kind.wait };
        // Put back by operators and not tried since: who tries nothing there never learns that it serves.
        let tried = |at| {
            rank == PlacementTier::Immediate
                || since(at, now) > REENABLED_PROBE_DELAY_S && p.run + p.wait < since(now, job.deadline)
        };
        if w.reenabled_at.is_some_and(tried) && self.is_idempotent(job) {
            return (PlacementTier::Immediate, 0.0);
        }
        let (wait, r) = (p.wait.max(met), w.utilisation.max(kind.utilisation));
        (rank, Self::cost(p.run, wait, r) + crossing)
    }

    fn estimate_placement(&self, now: Micros, index: usize, job: &Job) -> PlacementEstimate {
        let w = &self.fleet.workers[index];
        let wait = if job.slots > 1.0 { self.estimate_wait(now, w, job.slots) } else { w.wait };
        let (work, fetch) = (job.work / w.current_speed, self.estimate_fetch(w, job));
        PlacementEstimate {
            index,
            tier: w.tier,
            run: work + fetch,
            reliable_run: RELIABLE_HINT_SHARE * work + fetch,
            wait,
        }
    }

    /// Seconds that a job is likely to spend at a worker on fetching what it concerns.
    fn estimate_fetch(&self, w: &Worker, job: &Job) -> f64 {
        let Some(key) = job.key else { return 0.0 };
        let own = w.keys_sent_since(key).map_or(0.0, |others| {
            RECENT_KEY_HIT_RATE * (1.0 - others as f64 / RECENT_KEYS_RETAINED).max(0.0)
        });
        let home = if w.rendezvous_weight(key) >= job.affinity_threshold { HOME_KEY_HIT_RATE } else { 0.0 };
        FETCH_WORK_RATIO * self.fleet.mean_work * (1.0 - own) * (1.0 - home)
    }

    // ---- what is learned --------------------------------------------------------------------------------

    /// Usual seconds of a job's run, as far as its hint is relied on.
    fn reliable_run(&self, job: &Job) -> f64 {
        RELIABLE_HINT_SHARE * job.work / self.fleet.overall_speed.speed
    }

    pub(crate) fn record_start(&mut self, now: Micros, job: JobId, attempt: u32, out: &mut Vec<Action>) {
        let Some(i) = self.worker_index_of(job, attempt) else { return };
        let w = &mut self.fleet.workers[i];
        let known = w.excess_wait.get(now, EXCESS_WAIT_SPAN_S);
        let Some(f) = w.attempt_mut(job, attempt).filter(|f| f.started_at.is_none()) else { return };
        f.started_at = Some(now);
        let late = (since(f.sent_at, now) - f.predicted_wait).max(0.0);
        w.excess_wait.set(now, (known + late) / 2.0);
        self.fleet.record_start_delay(now, i, late);
        self.fleet.workers[i].record_contact(now);
        // Copies that still wait elsewhere must not run as well.
        let Some(j) = self.jobs.get(&job).filter(|_| self.settings.may_cancel) else { return };
        out.extend(
            j.in_flight()
                .filter(|l| l.0 != attempt)
                .map(|(attempt, _)| Action::CancelAttempt { job, attempt }),
        );
    }

    /// What an outcome says of its worker. Only served jobs teach speed, and only a warm worker is taught.
    pub(crate) fn record_outcome(
        &mut self,
        now: Micros,
        i: usize,
        flight: &InFlightAttempt,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Done => {
                self.fleet.workers[i].record_contact(now);
                let warm = self.warm_up_fraction(now, &self.fleet.workers[i]) >= 1.0;
                let w = &mut self.fleet.workers[i];
                w.consecutive_failures /= 2;
                if warm {
                    let run = since(flight.started_at.unwrap_or(flight.sent_at), now).max(1e-3);
                    let lesson = self.fleet.take_speed_sample(i, flight, run);
                    self.fleet.record_speed_sample(i, lesson);
                }
            }
            // A broken connection alone is no new start, and must not make a warm worker count as cold.
            Outcome::Unreachable => {
                self.fleet.workers[i].unreachable = true;
                self.eject_worker(now, i);
            }
            Outcome::Error | Outcome::Rejected | Outcome::Lost => self.eject_worker(now, i),
            Outcome::TimedOut if flight.started_at.is_none() => self.eject_worker(now, i),
            Outcome::Cancelled if flight.is_acceptance_overdue(now, self.settings.accept_timeout) => {
                self.eject_worker(now, i)
            }
            Outcome::Cancelled if flight.started_at.is_none() => {
                // What called it off was a start elsewhere: this worker is as late as that shows.
                let late = since(flight.sent_at, now) - flight.predicted_wait;
                self.fleet.record_start_delay(now, i, late.max(LATE_START_S));
                let unseen = &mut self.fleet.workers[i].excess_wait;
                unseen.set(now, late.max(unseen.get(now, EXCESS_WAIT_SPAN_S)));
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    // ---- the gate ---------------------------------------------------------------------------------------

    /// Every send passes here: the four rules and the settings' limits.
    fn may_send(&self, now: Micros, w: &Worker, job: &Job) -> bool {
        let s = &self.settings;
        // Rule 1: nothing after the final answer or the deadline.
        let open = !job.is_answered && !job.is_streaming && now < job.deadline;
        // Rule 3: nothing new to a worker that drains or is gone, or that operators have taken out.
        let takes = self.accepts_work(w) && s.classes[job.class].required_kind.is_none_or(|k| k == w.kind);
        let allowed = job.attempts.len() < (s.max_attempts as usize).min(MAX_ATTEMPTS)
            && (s.may_duplicate || job.in_flight().next().is_none());
        let allowed = allowed && !job.may_receive_stale_callback(w.id);
        open && takes && allowed && self.may_repeat(now, w, job) && job.load() <= self.warm_up_budget(now, w)
    }

    fn accepts_work(&self, w: &Worker) -> bool {
        w.status == WorkerStatus::Ready && !self.fleet.disabled.contains_key(&w.id)
    }

    /// Rule 2: an effect must not happen twice.
    fn may_repeat(&self, now: Micros, w: &Worker, job: &Job) -> bool {
        let Some(first) = job.first_possible_run() else { return true };
        match self.settings.classes[job.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::WithKey { scope, window } => {
                w.deduplicates(first, scope)
                    && now + self.transit_allowance() < first.deduplicated_until(window)
            }
        }
    }

    /// Rule 2: a refusal says that a retry does no harm.
    fn may_reject(&self, job: &Job) -> bool {
        let harmless = match self.settings.classes[job.class].idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. } => true,
            Idempotency::WithKey { .. } | Idempotency::NonIdempotent => false,
        };
        !job.is_answered && !job.is_streaming && (harmless || job.first_possible_run().is_none())
    }

    /// Rule 4: the work that this node may send to a worker now. A cold worker falls over when all nodes
    /// together send too much, so each keeps to its share, and counts what was rejected too.
    fn warm_up_budget(&self, now: Micros, w: &Worker) -> f64 {
        let warmth = self.warm_up_fraction(now, w);
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let window = secs(self.settings.overload_window);
        let recent = w.warm_up_sends.iter().filter(|(at, _)| since(*at, now) < window * WINDOW_STRETCH);
        let a_slot = self.settings.overload_factor * self.fleet.learned_speed(w) * warmth * window;
        let slots = self.fleet.learned_slots(w);
        let share = match (self.subset_nodes(), self.concurrent_turns(now, a_slot * slots)) {
            // Both processes of a node have one budget: what is left of it is the successor's.
            _ if self.is_superseded => 0.0,
            (1, _) => SINGLE_NODE_SHARE,
            // One job, once: operators put it back, and wait to see it used.
            _ if w.reenabled_at.is_some() => SINGLE_TURN_SHARE,
            (nodes, turns) if !w.in_subset || !self.has_turn(now, w, nodes, turns) => 0.0,
            (_, 1) => SINGLE_TURN_SHARE,
            _ => SHARED_TURN_SHARE,
        };
        // What is reckoned for others is right on average; a busy node's is too much for it alone.
        let sure = slots.min(MAX_SLOT_EXTRAPOLATION * self.fleet.observed_slots(w));
        a_slot * sure * share - recent.map(|(_, work)| work).sum::<f64>()
    }

    /// How many nodes may have a turn at a cold worker at once: as many as are likely to use up a part of
    /// its budget, by what this node has to send and to how many workers. One of a hundred would hardly ever
    /// use it. Where warm workers are jammed, whatever has a turn at a cold one goes there: if that is more
    /// than all cold ones together may take, so few have one that it is not.
    fn concurrent_turns(&self, now: Micros, budget: f64) -> u64 {
        let window = secs(self.settings.overload_window) * WINDOW_STRETCH;
        let known_for = since(self.first_offered_at, now).min(DEMAND_SPAN_S);
        if known_for < window {
            return 1;
        }
        let own = self.offered_work.get(now, DEMAND_SPAN_S) / known_for * window;
        let (nodes, share) = (self.subset_nodes(), SHARED_TURN_SHARE * budget);
        let mut drawn = own * (MAX_TRAFFIC_SKEW / self.fleet.subset.len().max(1) as f64).min(1.0);
        if JAMMED_DRAW_SHARE * own * f64::from(nodes) > share * self.fleet.warming_up as f64 {
            drawn = drawn.max(JAMMED_DRAW_SHARE * own);
        }
        (share / drawn.max(1e-9)).clamp(1.0, f64::from((nodes / MIN_NODES_PER_TURN).max(1))) as u64
    }

    /// Whether it is this node's turn at a cold worker. An even part of the budget would be too small for any
    /// job where nodes are many, so they take turns by the clock: a window meets two turns at most. Where
    /// several have one at once, each goes by its own figure: how many do is right on average only.
    fn has_turn(&self, now: Micros, w: &Worker, nodes: u32, turns: u64) -> bool {
        let turn = now / micros(secs(self.settings.overload_window) * WINDOW_STRETCH).max(1);
        let place = u64::from(self.settings.node_index / self.fleet.subset_count as u32);
        let first = w.id.0.wrapping_add(turn.wrapping_mul(turns)) % u64::from(nodes);
        (place + u64::from(nodes) - first) % u64::from(nodes) < turns
    }

    // ---- health -----------------------------------------------------------------------------------------

    /// Whether work keeps away from a worker: while it does not take on what it was sent, while it is paused
    /// after failures, and then until a repeatable job has shown that it serves. A late start shows in w.
    fn is_avoided(&self, now: Micros, w: &Worker, job: &Job) -> bool {
        let on_trial = w.consecutive_failures > 1 && !(self.is_idempotent(job) && w.in_flight.is_empty());
        now < w.ejected_until || on_trial || w.has_overdue_acceptance(now, self.settings.accept_timeout)
    }

    fn is_idempotent(&self, job: &Job) -> bool {
        self.settings.classes[job.class].idempotency == Idempotency::Idempotent
    }

    /// An attempt to take back from a silent worker, where another may have the job. Where none may, the job
    /// waits on: the worker may only be slow.
    fn find_overdue_acceptance(&self, now: Micros, job: &Job) -> Option<u32> {
        let (attempt, at) = job.in_flight().next().filter(|_| self.settings.may_cancel)?;
        let other = |w: &Worker| w.id != at && self.accepts_work(w) && self.may_repeat(now, w, job);
        let silent = self
            .in_flight_attempt(job.id, attempt, at)?
            .is_acceptance_overdue(now, self.settings.accept_timeout);
        (silent && self.fleet.workers.iter().any(other)).then_some(attempt)
    }

    /// Backoff with jitter, so that a dead worker costs few attempts and nodes do not return in step.
    fn eject_worker(&mut self, now: Micros, i: usize) {
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let w = &mut self.fleet.workers[i];
        let doubled = f64::from(1u32 << w.consecutive_failures.min(MAX_EJECTION_DOUBLINGS));
        w.ejected_until = now + micros(BASE_EJECTION_S * doubled * jitter);
        w.consecutive_failures += 1;
    }

    // ---- the life of a job ------------------------------------------------------------------------------

    pub(crate) fn admit_job(&mut self, now: Micros, offer: &JobSubmission, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(offer.class.0) else {
            return out.push(Action::Fail { job: offer.job });
        };
        if self.jobs.contains_key(&offer.job) {
            return;
        }
        let hint = offer.cost_hint.filter(|h| h.is_finite() && *h > 0.0);
        let work = hint.map_or(self.fleet.estimate_unhinted_work(offer.class.0), |h| h.clamp(1e-4, 1e4));
        // A client's retry has less time left than a first try: its aim counts from the first.
        let left = offer.deadline.saturating_sub(now).min(class.client_timeout);
        let span = &mut self.longest_waits[offer.class.0];
        *span = left.max(*span);
        let waited = *span - left;
        let first = !offer.is_retry && waited < MAX_TRANSIT;
        let aim =
            class.latency_objective + micros(class.latency_objective_stretch * work * RELIABLE_HINT_SHARE);
        let slots = if offer.slots.is_finite() { offer.slots.clamp(1.0, 64.0) } else { 1.0 };
        let worth = class.priority_weight / self.max_priority_weight / slots;
        let over_quota = self.exceeds_quota(now, offer.tenant.0, first);
        let value = if over_quota { worth * self.settings.over_quota_weight } else { worth };
        let aim_at = (now + aim).saturating_sub(waited);
        let unhinted = hint.is_none();
        let mut job = Job {
            over_quota,
            weight: value,
            is_first_submission: first,
            work,
            is_unhinted: unhinted,
            slots,
            objective_at: aim_at,
            ..Job::new(offer)
        };
        if now + 2 * SWEEP_INTERVAL >= job.deadline || self.outlasts_shutdown(now, &job) {
            // A client's last retry: its time would be up before the next sweep could answer it.
            return self.reject_or_fail(&mut job, out);
        }
        self.retry_tokens = (self.retry_tokens + RETRIES_PER_JOB).min(MAX_RETRY_TOKENS);
        self.hedge_work = (self.hedge_work + HEDGE_WORK_SHARE * self.fleet.prompt_start_share * job.load())
            .min(MAX_HEDGE_WORK_S);
        self.first_offered_at = self.first_offered_at.min(now);
        self.offered_work.add(now, job.load(), DEMAND_SPAN_S);
        if first && !job.over_quota {
            self.quota_work.add(now, job.load(), DEMAND_SPAN_S);
        }
        self.fleet.record_key(job.key);
        self.fleet.mean_work += SHARED_ESTIMATE_GAIN * (work - self.fleet.mean_work);
        self.enqueue_job(job);
        self.dispatch_pending(now, out);
    }

    /// Whether a job is beyond this node's part of its tenant's quota. Only first tries use it up.
    fn exceeds_quota(&mut self, now: Micros, tenant: usize, first: bool) -> bool {
        let Some(bucket) = self.quotas.get_mut(tenant) else { return false };
        let rate = self.settings.tenant_quotas[tenant] / f64::from(self.settings.nodes);
        bucket.refill(now, rate, rate * QUOTA_BURST_S + QUOTA_BURST_JOBS);
        !bucket.take(first)
    }

    /// Puts a job that has nothing out in line. Those that must start soonest come first, behind them those
    /// beyond a quota: their answers are worth little, and must not cost others theirs.
    pub(crate) fn enqueue_job(&mut self, job: Job) {
        let start_by = job.objective_at.saturating_sub(micros(self.reliable_run(&job)));
        self.pending.insert((job.over_quota, start_by, job.id));
        self.jobs.insert(job.id, job);
    }

    /// Sends what is in line while workers are free for it. When none is, jobs wait here and not at a worker:
    /// there, small urgent jobs would be stuck behind large ones, and nothing could be taken back.
    pub(crate) fn dispatch_pending(&mut self, now: Micros, out: &mut Vec<Action>) {
        // Rule 3: a node that can no longer stand for its list sends nothing by it. Jobs wait for the next.
        if self.pending.is_empty() || self.discovery.stale(now) {
            return;
        }
        self.refresh_estimates(now);
        let lost = self.shed_work.get(now, DEMAND_SPAN_S) / self.quota_work.get(now, DEMAND_SPAN_S).max(1e-9);
        self.reserved_share = (SHED_RESERVE_FACTOR * lost).min(1.0);
        let passed_most = MIN_SKIPPED_JOBS.max(self.fleet.subset.len() / WORKERS_PER_SKIPPED_JOB);
        let mut passed = 0;
        let mut last = None;
        while passed < passed_most {
            let from = last.map_or(Bound::Unbounded, Bound::Excluded);
            let Some(&place) = self.pending.range((from, Bound::Unbounded)).next() else { return };
            last = Some(place);
            if self
                .jobs
                .get(&place.2)
                .is_some_and(|job| self.yields_capacity(job) || self.is_capacity_exhausted(now, job))
            {
                passed += 1;
                continue;
            }
            let Some(mut job) = self.jobs.remove(&place.2) else {
                self.pending.remove(&place);
                continue;
            };
            match self.choose_worker(now, &mut job) {
                Some(p) if self.is_timely(now, &job, p) => {
                    self.pending.remove(&place);
                    self.send_attempt(now, &mut job, p, out);
                }
                _ => passed += 1,
            }
            self.store_job(job);
        }
    }

    /// A job goes out when a slot is about to be free for it, or when it is now or never. One that looks
    /// late everywhere still goes when nothing else is in line: hints are rough.
    fn is_timely(&self, now: Micros, job: &Job, p: PlacementEstimate) -> bool {
        match p.tier {
            PlacementTier::Immediate => true,
            PlacementTier::Queued => {
                !job.over_quota
                    && since(now, job.objective_at) - p.reliable_run - p.wait < LAST_START_MARGIN_S
            }
            PlacementTier::Late => p.wait <= MAX_WORKER_QUEUE_S && self.pending.len() == 1,
            PlacementTier::Ineligible => false,
        }
    }

    /// Whether a job leaves the room there is to those that may come: while work is being lost, and the more
    /// readily the less it is worth.
    fn yields_capacity(&self, job: &Job) -> bool {
        self.free_share < self.reserved_share * (1.0 - job.weight / RESERVE_EXEMPT_WEIGHT)
    }

    /// Whether no worker could take the job now: in overload, ranking all for each job costs too much CPU.
    fn is_capacity_exhausted(&self, now: Micros, job: &Job) -> bool {
        let left = since(now, job.objective_at) - self.shortest_wait;
        let due = !job.over_quota && left > 0.0 && left - self.reliable_run(job) < 2.0 * LAST_START_MARGIN_S;
        self.shortest_wait > MAX_WORKER_QUEUE_S + self.settings.cross_zone_price * ZONE_CROSSING_S && !due
    }

    fn send_attempt(&mut self, now: Micros, job: &mut Job, p: PlacementEstimate, out: &mut Vec<Action>) {
        self.record_send(now, job, p.index, p.run, p.wait);
        let (worker, leave_by) = (self.fleet.workers[p.index].id, self.latest_send(job));
        out.push(Action::SendAttempt { job: job.id, worker, timeout: job.deadline - now, send_by: leave_by });
        self.refresh_worker(now, p.index);
    }

    /// The final answer to a job not served.
    fn reject_or_fail(&mut self, job: &mut Job, out: &mut Vec<Action>) {
        if self.may_reject(job) {
            out.push(Action::Reject {
                job: job.id,
                retry_after: REJECT_RETRY_AFTER.min(self.settings.max_retry_after),
            });
        } else {
            out.push(Action::Fail { job: job.id });
        }
        self.close_job(job, out);
    }

    /// Nothing more is owed for a job; what is still out for it only costs.
    pub(crate) fn close_job(&self, job: &mut Job, out: &mut Vec<Action>) {
        job.is_answered = true;
        if self.settings.may_cancel {
            out.extend(job.in_flight().map(|(attempt, _)| Action::CancelAttempt { job: job.id, attempt }));
        }
    }

    /// An attempt has ended, and what it taught is learned: is the job over, tried again, or answered?
    pub(crate) fn follow_up(&mut self, now: Micros, id: JobId, settled: bool, out: &mut Vec<Action>) {
        let Some(mut job) = self.jobs.remove(&id) else { return };
        if settled && !job.is_answered {
            self.close_job(&mut job, out);
        }
        if !job.is_answered && job.in_flight().next().is_none() {
            // Bounded retries: when much fails, trying again would only add to it.
            let again =
                self.retry_tokens >= 1.0 && self.fleet.workers.iter().any(|w| self.may_send(now, w, &job));
            if again {
                self.retry_tokens -= 1.0;
                self.enqueue_job(job);
                return self.dispatch_pending(now, out);
            }
            self.reject_or_fail(&mut job, out);
        }
        self.store_job(job);
        self.dispatch_pending(now, out);
    }

    /// A second copy for a job that is not started when it should be, where another worker looks free: other
    /// nodes' work stands before it, or the worker is silent. The first to start is kept: see `started`.
    fn hedge_job(&mut self, now: Micros, job: &mut Job, out: &mut Vec<Action>) {
        let may = self.settings.may_cancel && !self.discovery.stale(now);
        if !may || self.hedge_work < job.load() || !self.is_start_overdue(now, job) {
            return;
        }
        self.refresh_estimates(now);
        let Some(p) = self.choose_worker(now, job) else { return };
        if p.tier == PlacementTier::Immediate && !job.was_sent_to(self.fleet.workers[p.index].id) {
            self.hedge_work -= job.load();
            self.send_attempt(now, job, p, out);
        }
    }

    /// An attempt to call off, since the job would now cost less elsewhere: it has not started where it is,
    /// and after a wait that nobody foresaw, as much again is to be expected. What other nodes send there
    /// shows here alone; many of them choose alike, and would queue at one while the next is free.
    fn find_attempt_to_relocate(&mut self, now: Micros, job: &mut Job) -> Option<u32> {
        if !self.is_idempotent(job)
            || self.retry_tokens < 1.0
            || !self.settings.may_cancel
            || self.settings.may_duplicate
            || self.discovery.stale(now)
        {
            return None;
        }
        let (attempt, at) = job.in_flight().next()?;
        let flight =
            self.in_flight_attempt(job.id, attempt, at).filter(|f| f.started_at.is_none() && f.accepted)?;
        let late = since(flight.sent_at, now) - flight.predicted_wait;
        if late < RELOCATION_DELAY_S {
            return None;
        }
        self.refresh_estimates(now);
        job.attempts[attempt as usize].outcome = Some(Outcome::Cancelled);
        let found = self.choose_worker(now, job);
        job.attempts[attempt as usize].outcome = None;
        let (here, there) = (self.fleet.find(at)?, found.filter(|p| p.tier == PlacementTier::Immediate)?);
        let stays = Self::cost(
            self.estimate_placement(now, here, job).run,
            late,
            self.fleet.workers[here].utilisation,
        );
        (there.index != here && self.fleet.workers[there.index].cost < stays).then_some(attempt)
    }

    /// None of its attempts has started, each later than it should by now.
    fn is_start_overdue(&self, now: Micros, job: &Job) -> bool {
        let least = if self.observes_all_work() { SILENT_START_S } else { LATE_START_S };
        let late =
            |f: &InFlightAttempt| f.started_at.is_none() && since(f.sent_at, now) - f.predicted_wait > least;
        job.in_flight().all(|(a, w)| self.in_flight_attempt(job.id, a, w).is_some_and(late))
    }

    // ---- the sweep --------------------------------------------------------------------------------------

    pub(crate) fn review_job(&mut self, now: Micros, id: JobId, out: &mut Vec<Action>) {
        let Some(mut job) = self.jobs.remove(&id) else { return };
        let idle = job.in_flight().next().is_none();
        if now + 2 * SWEEP_INTERVAL >= job.deadline.min(self.shutdown_at) || self.outlasts_shutdown(now, &job)
        {
            // The client is about to stop waiting, or this node to end: an answer must be out before.
            self.reject_or_fail(&mut job, out);
        } else if idle && since(now, job.objective_at) < MIN_RUN_SHARE_LEFT * self.reliable_run(&job)
            || !idle && self.is_past_hope(now, &job)
        {
            // Overload: work that can no longer earn, here or in a worker's queue, only delays work that can.
            self.shed_job(now, &mut job, out);
        } else if !idle {
            let back = self
                .find_overdue_acceptance(now, &job)
                .or_else(|| self.find_attempt_to_relocate(now, &mut job));
            out.extend(back.map(|attempt| Action::CancelAttempt { job: id, attempt }));
            self.hedge_job(now, &mut job, out);
        }
        self.store_job(job);
    }

    /// Whether this node ends before a job is likely to be served, and another may run it: its better chance.
    fn outlasts_shutdown(&self, now: Micros, job: &Job) -> bool {
        let left = since(now, self.shutdown_at);
        match job.in_flight().next() {
            None => left < job.work / self.fleet.overall_speed.speed,
            Some(out) => {
                self.is_idempotent(job)
                    && self.remaining_run(now, job.id, out).is_some_and(|rest| rest > left)
            }
        }
    }

    fn shed_job(&mut self, now: Micros, job: &mut Job, out: &mut Vec<Action>) {
        if job.is_first_submission && !job.over_quota {
            self.shed_work.add(now, job.load(), DEMAND_SPAN_S);
        }
        self.reject_or_fail(job, out);
    }

    /// Waits at a worker past the moment at which a start could still be in time: aims grow with true work,
    /// which may be more than the hint by as much as hints have been seen to be off. The fewer jobs start at
    /// once, the less of that doubt is for the job: those behind it suffer.
    fn is_past_hope(&self, now: Micros, job: &Job) -> bool {
        let most = (MAX_HINT_ERRORS * self.fleet.hint_error * self.fleet.prompt_start_share).exp();
        let rest = self.settings.classes[job.class].latency_objective_stretch * (most - RELIABLE_HINT_SHARE)
            - 1.0 / self.fleet.overall_speed.speed;
        let waits = |(a, w)| self.in_flight_attempt(job.id, a, w).is_some_and(|f| f.started_at.is_none());
        let left = since(now, job.objective_at) - since(job.objective_at, now) + rest * job.work;
        self.settings.may_cancel && left < 0.0 && job.in_flight().all(waits)
    }

    // ---- the list ----------------------------------------------------------------------------------------

    pub(crate) fn apply_endpoints(&mut self, now: Micros, entries: &[Endpoint], whole: bool) {
        self.discovery.listed(now);
        self.fleet.apply_endpoints(now, entries, whole);
    }
}
