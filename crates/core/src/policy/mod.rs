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
pub(crate) const UNHINTED_WORK: f64 = 0.1;
/// A fetch takes this many usual jobs' time. How surely a key that was just sent to a worker is there, after
/// how many others it is not, and how surely one is at its homes.
const FETCH: f64 = 1.5;
const KEPT: f64 = 0.9;
const KEPT_KEYS: f64 = 8.0;
const HOME: f64 = 0.8;
/// Homes of a key for each worker that its part of the jobs would fill. A key that came once counts as so
/// many jobs, beside so many others that may have come.
pub(crate) const HOMES_SPARE: f64 = 1.5;
pub(crate) const KEY_ONCE: f64 = 0.4;
pub(crate) const KEY_PRIOR: f64 = 10.0;
/// Utilisation counts no higher than this: beyond it 1/(1-r) would drown x.
pub(crate) const R_MAX: f64 = 0.9;
/// Span over which the rate of work sent is averaged, s.
pub(crate) const R_SPAN: f64 = 5.0;
/// Span over which running jobs are averaged, s.
pub(crate) const RUNNING_SPAN: f64 = 10.0;
/// Costs within this share of the lowest, and this many seconds, are ties.
const TIE_SHARE: f64 = 0.03;
const TIE_SPAN: f64 = 0.002;
/// Weight of one job in a learned speed, once there are many.
pub(crate) const SPEED_GAIN: f64 = 0.08;
/// Weight of one job in its kind's speed; jobs that a kind's word stands for; most errors one moves it by.
pub(crate) const KIND_GAIN: f64 = 0.03;
pub(crate) const PRIOR_LESSONS: f64 = 3.0;
pub(crate) const LESSON_CLAMP: f64 = 2.0;
/// Hints are trusted to be off by no more than this many times their mean error (of the logarithm).
const HINT_ERRORS: f64 = 5.0;
/// Evidence of other nodes' work at a worker fades over this, s.
pub(crate) const UNSEEN_SPAN: f64 = 0.3;
/// And at its kind over this, s; so many starts that were in time stand beside those seen.
pub(crate) const KIND_SPAN: f64 = 5.0;
pub(crate) const KIND_PRIOR: f64 = 0.5;
/// Failures keep work away for this long, doubled with each in a row, s.
const AVOID_FIRST: f64 = 0.1;
const AVOID_DOUBLINGS: u32 = 6;
/// A running job is reckoned with this multiple of its hint, and once it nears that with this share of what
/// it has already done.
pub(crate) const HINT_TRUST: f64 = 1.1;
pub(crate) const OVERRUN: f64 = 0.35;
/// A job that can still be in time goes out at the latest this long before it no longer can, s.
const LAST_CALL: f64 = 0.1;
/// Jobs in line that are passed over, for want of a worker, before looking again later; or one for so many of
/// this node's workers where that is more: in a large fleet, eight that fit nowhere must not stop the rest.
const PASSED_MOST: usize = 8;
const PASSED_PART: usize = 2;
/// Aims grow with a job's true work, which may be less than its hint: only this share of it is relied on.
const SURE: f64 = 0.3;
/// Jobs are sent to queue at a worker for no longer than this, s.
const PATIENCE: f64 = 0.02;
/// A job in line is given up when less than this share of its usual run is left.
const HOPELESS: f64 = 0.6;
/// Retries: each job earns this many, up to the store.
const RETRY_SHARE: f64 = 0.1;
pub(crate) const RETRY_STORE: f64 = 10.0;
/// A job not started this long after it should have been is late, and may get a second copy, s. Where all
/// work is known, only silence can be why, which takes longer to tell.
pub(crate) const LATE_START: f64 = 0.02;
const SILENCE: f64 = 1.0;
/// A job that could go again elsewhere is looked at anew once its start is this late, s: no notice is under
/// way for so long.
const LATE_FOR_GOOD: f64 = 0.15;
/// Weight of one attempt in the share of those that start at once.
pub(crate) const PROMPT_GAIN: f64 = 0.1;
/// Second copies: each job earns this share of its work, the less the fewer start at once; most stored, s.
const COPY_SHARE: f64 = 0.1;
const COPY_STORE: f64 = 5.0;
/// What is derived of a worker holds so long, unless something happens there.
pub(crate) const SURVEY_LIFE: Micros = 4_000;
/// Open jobs are looked at this often.
pub(crate) const SWEEP: Micros = 10_000;
/// A worker that operators put back is tried with a repeatable job in time, after this with any such, s.
const OWED_SPAN: f64 = 1.5;
/// A cold worker's budget is used up to this share: hints are rough.
const COLD_MARGIN: f64 = 0.4;
/// By a node whose turn it is among many, this share: those of two turns may fall into one window.
const COLD_TURN_MARGIN: f64 = 0.25;
/// Where several have a turn at once, each by itself may use so much, and no more than one in so many nodes
/// do. A worker may draw so many times its even part of a node's work.
const COLD_SHARED_MARGIN: f64 = 0.33;
const COLD_NODES: u32 = 3;
const COLD_SKEW: f64 = 2.0;
/// All cold workers that a node has a turn at draw so much of what it has to send, where the rest is jammed.
const COLD_DRAWN: f64 = 0.1;
/// In one node's own part a worker counts for no more than so many times the slots that node saw there.
const COLD_UNSEEN: f64 = 1.5;
/// And its window is taken longer by this factor: what is sent does not arrive at once.
pub(crate) const COLD_STRETCH: f64 = 1.25;
/// A worker counts as at least this warm, whatever the settings say, so that speeds stay above zero.
pub(crate) const MIN_WARMTH: f64 = 0.01;
/// A keyed repeat goes out this long before its window closes at the latest: see `on_its_way`.
pub(crate) const WINDOW_MARGIN: Micros = 200_000;
/// Seconds of waiting that a price of 1 for a zone crossing is worth.
const CROSSING: f64 = 2.0;
/// Work beyond a quota goes out only while a share of the ready workers has a free slot: so many times the
/// share of work within quotas that was lost over a span, s.
const SPARED: f64 = 3.0;
/// Jobs of at least this part of the highest worth for a slot are never held back so.
const DEAR: f64 = 0.4;
const LOST_SPAN: f64 = 10.0;
/// A worker with no longer a wait than this has room, s.
pub(crate) const ROOM: f64 = 0.025;
/// A tenant may be ahead of its quota by so many seconds of it.
pub(crate) const QUOTA_STORE: f64 = 1.5;
/// And by so many jobs, without which a small part of a quota would be used up by chance.
const QUOTA_JOBS: f64 = 4.0;
/// A job that has waited no longer than this, on its way here, is a first try.
const JUST_COME: Micros = 15_000;
/// Clients are asked to stay away for this long after a refusal.
const REFUSED_WAIT: Micros = 500_000;

/// What a worker promises for a job: seconds of running, those of them that are sure, and of waiting before.
#[derive(Clone, Copy)]
struct Promise {
    index: usize,
    rank: Rank,
    run: f64,
    sure: f64,
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
    fn choose(&mut self, now: Micros, job: &mut Job) -> Option<Promise> {
        job.home_claim = self.fleet.home_claim(job.key, job.called_off());
        let mut looked = std::mem::take(&mut self.looked);
        looked.clone_from(&self.fleet.near);
        let mut best = self.cheapest(now, job, &looked);
        if self.fleet.groups > 1 && best.is_none() {
            let (all, few) = (self.fleet.workers.len(), looked.len());
            let from = self.rng.usize(0..all);
            looked.clear();
            looked.extend((from..from + few).map(|i| i % all).filter(|i| !self.fleet.workers[*i].near));
            looked.iter().for_each(|i| self.survey(now, *i));
            best = self.cheapest(now, job, &looked);
        }
        self.looked = looked;
        best
    }

    /// The cheapest worker of the best rank that may take the job, near ties at random.
    fn cheapest(&mut self, now: Micros, job: &Job, looked: &[usize]) -> Option<Promise> {
        let mut best = (Rank::None, f64::INFINITY);
        for &i in looked {
            let w = &self.fleet.workers[i];
            let mut score = self.score(now, i, job);
            let near = score.0 < best.0 || (score.0 == best.0 && score.1 <= Self::tie_limit(best.1));
            if !near || !self.may_send(now, w, job) || self.sick(now, w, job) {
                score = (Rank::None, f64::INFINITY);
            }
            (self.fleet.workers[i].rank, self.fleet.workers[i].cost) = score;
            if score < best {
                best = score;
            }
        }
        let limit = Self::tie_limit(best.1);
        let tied = |i: &&usize| {
            let w = &self.fleet.workers[**i];
            w.rank == best.0 && w.rank != Rank::None && w.cost <= limit
        };
        let nth = self.rng.usize(0..looked.iter().filter(tied).count().max(1));
        looked.iter().filter(tied).nth(nth).map(|i| self.promise(now, *i, job))
    }

    fn tie_limit(cost: f64) -> f64 {
        cost * (1.0 + TIE_SHARE) + TIE_SPAN
    }

    fn score(&self, now: Micros, i: usize, job: &Job) -> (Rank, f64) {
        let w = &self.fleet.workers[i];
        let p = self.promise(now, i, job);
        let crossing = self.settings.cross_zone_price * CROSSING;
        let (patience, crossing) =
            if w.zone == self.settings.zone { (PATIENCE + crossing, 0.0) } else { (PATIENCE, crossing) };
        let rank = match p.sure + p.wait <= since(now, job.aim_at) {
            true if p.wait <= patience => Rank::Free,
            true => Rank::Busy,
            false => Rank::Late,
        };
        let kind = &self.fleet.kinds[w.kind_at];
        // Budgets keep queues from cold workers: what was met at warm ones of the kind says nothing of them.
        let met = if w.warmth < 1.0 { 0.0 } else { kind.wait };
        // Put back by operators and not tried since: who tries nothing there never learns that it serves.
        let tried = |at| {
            rank == Rank::Free || since(at, now) > OWED_SPAN && p.run + p.wait < since(now, job.deadline)
        };
        if w.owed.is_some_and(tried) && self.repeatable(job) {
            return (Rank::Free, 0.0);
        }
        let (wait, r) = (p.wait.max(met), w.utilisation.max(kind.utilisation));
        (rank, Self::cost(p.run, wait, r) + crossing)
    }

    fn promise(&self, now: Micros, index: usize, job: &Job) -> Promise {
        let w = &self.fleet.workers[index];
        let wait = if job.slots > 1.0 { self.wait(now, w, job.slots) } else { w.wait };
        let (work, fetch) = (job.work / w.speed, self.fetch(w, job));
        Promise { index, rank: w.rank, run: work + fetch, sure: SURE * work + fetch, wait }
    }

    /// Seconds that a job is likely to spend at a worker on fetching what it concerns.
    fn fetch(&self, w: &Worker, job: &Job) -> f64 {
        let Some(key) = job.key else { return 0.0 };
        let own = w.keys_since(key).map_or(0.0, |others| KEPT * (1.0 - others as f64 / KEPT_KEYS).max(0.0));
        let home = if w.claim(key) >= job.home_claim { HOME } else { 0.0 };
        FETCH * self.fleet.usual_work * (1.0 - own) * (1.0 - home)
    }

    // ---- what is learned --------------------------------------------------------------------------------

    /// Usual seconds of a job's run, as far as its hint is relied on.
    fn sure_run(&self, job: &Job) -> f64 {
        SURE * job.work / self.fleet.all.speed
    }

    pub(crate) fn started(&mut self, now: Micros, job: JobId, attempt: u32, out: &mut Vec<Action>) {
        let Some(i) = self.worker_of(job, attempt) else { return };
        let w = &mut self.fleet.workers[i];
        let known = w.unseen.get(now, UNSEEN_SPAN);
        let Some(f) = w.flight(job, attempt).filter(|f| f.started.is_none()) else { return };
        f.started = Some(now);
        let late = (since(f.sent, now) - f.foreseen).max(0.0);
        w.unseen.set(now, (known + late) / 2.0);
        self.fleet.heed(now, i, late);
        self.fleet.workers[i].sign_of_life(now);
        // Copies that still wait elsewhere must not run as well.
        let Some(j) = self.jobs.get(&job).filter(|_| self.settings.may_cancel) else { return };
        out.extend(
            j.live().filter(|l| l.0 != attempt).map(|(attempt, _)| Action::CancelAttempt { job, attempt }),
        );
    }

    /// What an outcome says of its worker. Only served jobs teach speed, and only a warm worker is taught.
    pub(crate) fn learn(&mut self, now: Micros, i: usize, flight: &Flight, outcome: Outcome) {
        match outcome {
            Outcome::Done => {
                self.fleet.workers[i].sign_of_life(now);
                let warm = self.warmth(now, &self.fleet.workers[i]) >= 1.0;
                let w = &mut self.fleet.workers[i];
                w.strikes /= 2;
                if warm {
                    let run = since(flight.started.unwrap_or(flight.sent), now).max(1e-3);
                    let lesson = self.fleet.lesson(i, flight, run);
                    self.fleet.learn_speed(i, lesson);
                }
            }
            // A broken connection alone is no new start, and must not make a warm worker count as cold.
            Outcome::Unreachable => {
                self.fleet.workers[i].unreachable = true;
                self.strike(now, i);
            }
            Outcome::Error | Outcome::Rejected | Outcome::Lost => self.strike(now, i),
            Outcome::TimedOut if flight.started.is_none() => self.strike(now, i),
            Outcome::Cancelled if flight.unheard(now, self.settings.accept_timeout) => self.strike(now, i),
            Outcome::Cancelled if flight.started.is_none() => {
                // What called it off was a start elsewhere: this worker is as late as that shows.
                let late = since(flight.sent, now) - flight.foreseen;
                self.fleet.heed(now, i, late.max(LATE_START));
                let unseen = &mut self.fleet.workers[i].unseen;
                unseen.set(now, late.max(unseen.get(now, UNSEEN_SPAN)));
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    // ---- the gate ---------------------------------------------------------------------------------------

    /// Every send passes here: the four rules and the settings' limits.
    fn may_send(&self, now: Micros, w: &Worker, job: &Job) -> bool {
        let s = &self.settings;
        // Rule 1: nothing after the final answer or the deadline.
        let open = !job.ended && !job.bound && now < job.deadline;
        // Rule 3: nothing new to a worker that drains or is gone, or that operators have taken out.
        let takes = self.open_to_work(w) && s.classes[job.class].required_kind.is_none_or(|k| k == w.kind);
        let allowed = job.attempts.len() < (s.max_attempts as usize).min(MAX_ATTEMPTS)
            && (s.may_hedge || job.live().next().is_none());
        let allowed = allowed && !job.may_still_be_told_of(w.id);
        open && takes && allowed && self.may_repeat(now, w, job) && job.load() <= self.cold_budget(now, w)
    }

    fn open_to_work(&self, w: &Worker) -> bool {
        w.life == WorkerStatus::Ready && !self.fleet.out.contains_key(&w.id)
    }

    /// Rule 2: an effect must not happen twice.
    fn may_repeat(&self, now: Micros, w: &Worker, job: &Job) -> bool {
        let Some(first) = job.may_have_run() else { return true };
        match self.settings.classes[job.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::WithKey { scope, window } => {
                w.discards_repeats(first, scope) && now + self.on_its_way() < first.repeats_until(window)
            }
        }
    }

    /// Rule 2: a refusal says that a retry does no harm.
    fn may_refuse(&self, job: &Job) -> bool {
        let harmless = match self.settings.classes[job.class].idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. } => true,
            Idempotency::WithKey { .. } | Idempotency::NonIdempotent => false,
        };
        !job.ended && !job.bound && (harmless || job.may_have_run().is_none())
    }

    /// Rule 4: the work that this node may send to a worker now. A cold worker falls over when all nodes
    /// together send too much, so each keeps to its share, and counts what was rejected too.
    fn cold_budget(&self, now: Micros, w: &Worker) -> f64 {
        let warmth = self.warmth(now, w);
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let window = secs(self.settings.overload_window);
        let recent = w.cold_sent.iter().filter(|(at, _)| since(*at, now) < window * COLD_STRETCH);
        let a_slot = self.settings.overload_factor * self.fleet.speed(w) * warmth * window;
        let slots = self.fleet.proven_slots(w);
        let share = match (self.group_nodes(), self.turns(now, a_slot * slots)) {
            // Both processes of a node have one budget: what is left of it is the successor's.
            _ if self.retired => 0.0,
            (1, _) => COLD_MARGIN,
            // One job, once: operators put it back, and wait to see it used.
            _ if w.owed.is_some() => COLD_TURN_MARGIN,
            (nodes, turns) if !w.near || !self.has_turn(now, w, nodes, turns) => 0.0,
            (_, 1) => COLD_TURN_MARGIN,
            _ => COLD_SHARED_MARGIN,
        };
        // What is reckoned for others is right on average; a busy node's is too much for it alone.
        let sure = slots.min(COLD_UNSEEN * self.fleet.own_slots(w));
        a_slot * sure * share - recent.map(|(_, work)| work).sum::<f64>()
    }

    /// How many nodes may have a turn at a cold worker at once: as many as are likely to use up a part of
    /// its budget, by what this node has to send and to how many workers. One of a hundred would hardly ever
    /// use it. Where warm workers are jammed, whatever has a turn at a cold one goes there: if that is more
    /// than all cold ones together may take, so few have one that it is not.
    fn turns(&self, now: Micros, budget: f64) -> u64 {
        let window = secs(self.settings.overload_window) * COLD_STRETCH;
        let known_for = since(self.first_came, now).min(LOST_SPAN);
        if known_for < window {
            return 1;
        }
        let own = self.came.get(now, LOST_SPAN) / known_for * window;
        let (nodes, share) = (self.group_nodes(), COLD_SHARED_MARGIN * budget);
        let mut drawn = own * (COLD_SKEW / self.fleet.near.len().max(1) as f64).min(1.0);
        if COLD_DRAWN * own * f64::from(nodes) > share * self.fleet.cold as f64 {
            drawn = drawn.max(COLD_DRAWN * own);
        }
        (share / drawn.max(1e-9)).clamp(1.0, f64::from((nodes / COLD_NODES).max(1))) as u64
    }

    /// Whether it is this node's turn at a cold worker. An even part of the budget would be too small for any
    /// job where nodes are many, so they take turns by the clock: a window meets two turns at most. Where
    /// several have one at once, each goes by its own figure: how many do is right on average only.
    fn has_turn(&self, now: Micros, w: &Worker, nodes: u32, turns: u64) -> bool {
        let turn = now / micros(secs(self.settings.overload_window) * COLD_STRETCH).max(1);
        let place = u64::from(self.settings.node_index / self.fleet.groups as u32);
        let first = w.id.0.wrapping_add(turn.wrapping_mul(turns)) % u64::from(nodes);
        (place + u64::from(nodes) - first) % u64::from(nodes) < turns
    }

    // ---- health -----------------------------------------------------------------------------------------

    /// Whether work keeps away from a worker: while it does not take on what it was sent, while it is paused
    /// after failures, and then until a repeatable job has shown that it serves. A late start shows in w.
    fn sick(&self, now: Micros, w: &Worker, job: &Job) -> bool {
        let on_trial = w.strikes > 1 && !(self.repeatable(job) && w.flights.is_empty());
        now < w.avoid_until || on_trial || w.silent(now, self.settings.accept_timeout)
    }

    fn repeatable(&self, job: &Job) -> bool {
        self.settings.classes[job.class].idempotency == Idempotency::Idempotent
    }

    /// An attempt to take back from a silent worker, where another may have the job. Where none may, the job
    /// waits on: the worker may only be slow.
    fn unheard(&self, now: Micros, job: &Job) -> Option<u32> {
        let (attempt, at) = job.live().next().filter(|_| self.settings.may_cancel)?;
        let other = |w: &Worker| w.id != at && self.open_to_work(w) && self.may_repeat(now, w, job);
        let silent = self.flight(job.id, attempt, at)?.unheard(now, self.settings.accept_timeout);
        (silent && self.fleet.workers.iter().any(other)).then_some(attempt)
    }

    /// Backoff with jitter, so that a dead worker costs few attempts and nodes do not return in step.
    fn strike(&mut self, now: Micros, i: usize) {
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let w = &mut self.fleet.workers[i];
        let doubled = f64::from(1u32 << w.strikes.min(AVOID_DOUBLINGS));
        w.avoid_until = now + micros(AVOID_FIRST * doubled * jitter);
        w.strikes += 1;
    }

    // ---- the life of a job ------------------------------------------------------------------------------

    pub(crate) fn take(&mut self, now: Micros, offer: &JobSubmission, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(offer.class.0) else {
            return out.push(Action::Fail { job: offer.job });
        };
        if self.jobs.contains_key(&offer.job) {
            return;
        }
        let hint = offer.cost_hint.filter(|h| h.is_finite() && *h > 0.0);
        let work = hint.map_or(self.fleet.unhinted_work(offer.class.0), |h| h.clamp(1e-4, 1e4));
        // A client's retry has less time left than a first try: its aim counts from the first.
        let left = offer.deadline.saturating_sub(now).min(class.client_timeout);
        let span = &mut self.spans[offer.class.0];
        *span = left.max(*span);
        let waited = *span - left;
        let first = !offer.is_retry && waited < JUST_COME;
        let aim = class.latency_objective + micros(class.latency_objective_stretch * work * SURE);
        let slots = if offer.slots.is_finite() { offer.slots.clamp(1.0, 64.0) } else { 1.0 };
        let worth = class.priority_weight / self.top_worth / slots;
        let over_quota = self.over_quota(now, offer.tenant.0, first);
        let value = if over_quota { worth * self.settings.over_quota_weight } else { worth };
        let aim_at = (now + aim).saturating_sub(waited);
        let unhinted = hint.is_none();
        let mut job = Job { over_quota, value, first, work, unhinted, slots, aim_at, ..Job::new(offer) };
        if now + 2 * SWEEP >= job.deadline || self.outlasts(now, &job) {
            // A client's last retry: its time would be up before the next sweep could answer it.
            return self.answer(&mut job, out);
        }
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_STORE);
        self.copy_work = (self.copy_work + COPY_SHARE * self.fleet.prompt * job.load()).min(COPY_STORE);
        self.first_came = self.first_came.min(now);
        self.came.add(now, job.load(), LOST_SPAN);
        if first && !job.over_quota {
            self.asked_for.add(now, job.load(), LOST_SPAN);
        }
        self.fleet.heed_key(job.key);
        self.fleet.usual_work += KIND_GAIN * (work - self.fleet.usual_work);
        self.hold(job);
        self.dispatch(now, out);
    }

    /// Whether a job is beyond this node's part of its tenant's quota. Only first tries use it up.
    fn over_quota(&mut self, now: Micros, tenant: usize, first: bool) -> bool {
        let Some(bucket) = self.quotas.get_mut(tenant) else { return false };
        let rate = self.settings.tenant_quotas[tenant] / f64::from(self.settings.nodes);
        bucket.refill(now, rate, rate * QUOTA_STORE + QUOTA_JOBS);
        !bucket.take(first)
    }

    /// Puts a job that has nothing out in line. Those that must start soonest come first, behind them those
    /// beyond a quota: their answers are worth little, and must not cost others theirs.
    pub(crate) fn hold(&mut self, job: Job) {
        let start_by = job.aim_at.saturating_sub(micros(self.sure_run(&job)));
        self.line.insert((job.over_quota, start_by, job.id));
        self.jobs.insert(job.id, job);
    }

    /// Sends what is in line while workers are free for it. When none is, jobs wait here and not at a worker:
    /// there, small urgent jobs would be stuck behind large ones, and nothing could be taken back.
    pub(crate) fn dispatch(&mut self, now: Micros, out: &mut Vec<Action>) {
        // Rule 3: a node that can no longer stand for its list sends nothing by it. Jobs wait for the next.
        if self.line.is_empty() || self.poll_schedule.endpoints_are_stale(now) {
            return;
        }
        self.survey_all(now);
        let lost = self.lost.get(now, LOST_SPAN) / self.asked_for.get(now, LOST_SPAN).max(1e-9);
        self.held_back = (SPARED * lost).min(1.0);
        let passed_most = PASSED_MOST.max(self.fleet.near.len() / PASSED_PART);
        let mut passed = 0;
        let mut last = None;
        while passed < passed_most {
            let from = last.map_or(Bound::Unbounded, Bound::Excluded);
            let Some(&place) = self.line.range((from, Bound::Unbounded)).next() else { return };
            last = Some(place);
            if self.jobs.get(&place.2).is_some_and(|job| self.yields(job) || self.crowded(now, job)) {
                passed += 1;
                continue;
            }
            let Some(mut job) = self.jobs.remove(&place.2) else {
                self.line.remove(&place);
                continue;
            };
            match self.choose(now, &mut job) {
                Some(p) if self.timely(now, &job, p) => {
                    self.line.remove(&place);
                    self.send(now, &mut job, p, out);
                }
                _ => passed += 1,
            }
            self.keep(job);
        }
    }

    /// A job goes out when a slot is about to be free for it, or when it is now or never. One that looks
    /// late everywhere still goes when nothing else is in line: hints are rough.
    fn timely(&self, now: Micros, job: &Job, p: Promise) -> bool {
        match p.rank {
            Rank::Free => true,
            Rank::Busy => !job.over_quota && since(now, job.aim_at) - p.sure - p.wait < LAST_CALL,
            Rank::Late => p.wait <= PATIENCE && self.line.len() == 1,
            Rank::None => false,
        }
    }

    /// Whether a job leaves the room there is to those that may come: while work is being lost, and the more
    /// readily the less it is worth.
    fn yields(&self, job: &Job) -> bool {
        self.room < self.held_back * (1.0 - job.value / DEAR)
    }

    /// Whether no worker could take the job now: in overload, ranking all for each job costs too much CPU.
    fn crowded(&self, now: Micros, job: &Job) -> bool {
        let left = since(now, job.aim_at) - self.least_wait;
        let due = !job.over_quota && left > 0.0 && left - self.sure_run(job) < 2.0 * LAST_CALL;
        self.least_wait > PATIENCE + self.settings.cross_zone_price * CROSSING && !due
    }

    fn send(&mut self, now: Micros, job: &mut Job, p: Promise, out: &mut Vec<Action>) {
        self.record(now, job, p.index, p.run, p.wait);
        let (worker, leave_by) = (self.fleet.workers[p.index].id, self.leave_by(job));
        out.push(Action::SendAttempt { job: job.id, worker, timeout: job.deadline - now, send_by: leave_by });
        self.survey(now, p.index);
    }

    /// The final answer to a job not served.
    fn answer(&mut self, job: &mut Job, out: &mut Vec<Action>) {
        if self.may_refuse(job) {
            out.push(Action::Reject {
                job: job.id,
                retry_after: REFUSED_WAIT.min(self.settings.max_retry_after),
            });
        } else {
            out.push(Action::Fail { job: job.id });
        }
        self.close(job, out);
    }

    /// Nothing more is owed for a job; what is still out for it only costs.
    pub(crate) fn close(&self, job: &mut Job, out: &mut Vec<Action>) {
        job.ended = true;
        if self.settings.may_cancel {
            out.extend(job.live().map(|(attempt, _)| Action::CancelAttempt { job: job.id, attempt }));
        }
    }

    /// An attempt has ended, and what it taught is learned: is the job over, tried again, or answered?
    pub(crate) fn follow_up(&mut self, now: Micros, id: JobId, settled: bool, out: &mut Vec<Action>) {
        let Some(mut job) = self.jobs.remove(&id) else { return };
        if settled && !job.ended {
            self.close(&mut job, out);
        }
        if !job.ended && job.live().next().is_none() {
            // Bounded retries: when much fails, trying again would only add to it.
            let again = self.retries >= 1.0 && self.fleet.workers.iter().any(|w| self.may_send(now, w, &job));
            if again {
                self.retries -= 1.0;
                self.hold(job);
                return self.dispatch(now, out);
            }
            self.answer(&mut job, out);
        }
        self.keep(job);
        self.dispatch(now, out);
    }

    /// A second copy for a job that is not started when it should be, where another worker looks free: other
    /// nodes' work stands before it, or the worker is silent. The first to start is kept: see `started`.
    fn hedge(&mut self, now: Micros, job: &mut Job, out: &mut Vec<Action>) {
        let may = self.settings.may_cancel && !self.poll_schedule.endpoints_are_stale(now);
        if !may || self.copy_work < job.load() || !self.stuck(now, job) {
            return;
        }
        self.survey_all(now);
        let Some(p) = self.choose(now, job) else { return };
        if p.rank == Rank::Free && !job.tried(self.fleet.workers[p.index].id) {
            self.copy_work -= job.load();
            self.send(now, job, p, out);
        }
    }

    /// An attempt to call off, since the job would now cost less elsewhere: it has not started where it is,
    /// and after a wait that nobody foresaw, as much again is to be expected. What other nodes send there
    /// shows here alone; many of them choose alike, and would queue at one while the next is free.
    fn better_elsewhere(&mut self, now: Micros, job: &mut Job) -> Option<u32> {
        if !self.repeatable(job)
            || self.retries < 1.0
            || !self.settings.may_cancel
            || self.settings.may_hedge
            || self.poll_schedule.endpoints_are_stale(now)
        {
            return None;
        }
        let (attempt, at) = job.live().next()?;
        let flight = self.flight(job.id, attempt, at).filter(|f| f.started.is_none() && f.accepted)?;
        let late = since(flight.sent, now) - flight.foreseen;
        if late < LATE_FOR_GOOD {
            return None;
        }
        self.survey_all(now);
        job.attempts[attempt as usize].end = Some(Outcome::Cancelled);
        let found = self.choose(now, job);
        job.attempts[attempt as usize].end = None;
        let (here, there) = (self.fleet.find(at)?, found.filter(|p| p.rank == Rank::Free)?);
        let stays = Self::cost(self.promise(now, here, job).run, late, self.fleet.workers[here].utilisation);
        (there.index != here && self.fleet.workers[there.index].cost < stays).then_some(attempt)
    }

    /// None of its attempts has started, each later than it should by now.
    fn stuck(&self, now: Micros, job: &Job) -> bool {
        let least = if self.sees() { SILENCE } else { LATE_START };
        let late = |f: &Flight| f.started.is_none() && since(f.sent, now) - f.foreseen > least;
        job.live().all(|(a, w)| self.flight(job.id, a, w).is_some_and(late))
    }

    // ---- the sweep --------------------------------------------------------------------------------------

    pub(crate) fn look_again(&mut self, now: Micros, id: JobId, out: &mut Vec<Action>) {
        let Some(mut job) = self.jobs.remove(&id) else { return };
        let idle = job.live().next().is_none();
        if now + 2 * SWEEP >= job.deadline.min(self.ends) || self.outlasts(now, &job) {
            // The client is about to stop waiting, or this node to end: an answer must be out before.
            self.answer(&mut job, out);
        } else if idle && since(now, job.aim_at) < HOPELESS * self.sure_run(&job)
            || !idle && self.doomed(now, &job)
        {
            // Overload: work that can no longer earn, here or in a worker's queue, only delays work that can.
            self.give_up(now, &mut job, out);
        } else if !idle {
            let back = self.unheard(now, &job).or_else(|| self.better_elsewhere(now, &mut job));
            out.extend(back.map(|attempt| Action::CancelAttempt { job: id, attempt }));
            self.hedge(now, &mut job, out);
        }
        self.keep(job);
    }

    /// Whether this node ends before a job is likely to be served, and another may run it: its better chance.
    fn outlasts(&self, now: Micros, job: &Job) -> bool {
        let left = since(now, self.ends);
        match job.live().next() {
            None => left < job.work / self.fleet.all.speed,
            Some(out) => self.repeatable(job) && self.rest(now, job.id, out).is_some_and(|rest| rest > left),
        }
    }

    fn give_up(&mut self, now: Micros, job: &mut Job, out: &mut Vec<Action>) {
        if job.first && !job.over_quota {
            self.lost.add(now, job.load(), LOST_SPAN);
        }
        self.answer(job, out);
    }

    /// Waits at a worker past the moment at which a start could still be in time: aims grow with true work,
    /// which may be more than the hint by as much as hints have been seen to be off. The fewer jobs start at
    /// once, the less of that doubt is for the job: those behind it suffer.
    fn doomed(&self, now: Micros, job: &Job) -> bool {
        let most = (HINT_ERRORS * self.fleet.hint_error * self.fleet.prompt).exp();
        let rest = self.settings.classes[job.class].latency_objective_stretch * (most - SURE)
            - 1.0 / self.fleet.all.speed;
        let waits = |(a, w)| self.flight(job.id, a, w).is_some_and(|f| f.started.is_none());
        let left = since(now, job.aim_at) - since(job.aim_at, now) + rest * job.work;
        self.settings.may_cancel && left < 0.0 && job.live().all(waits)
    }

    // ---- the list ----------------------------------------------------------------------------------------

    pub(crate) fn listed(&mut self, now: Micros, entries: &[Endpoint], whole: bool) {
        self.poll_schedule.record_endpoints(now);
        self.fleet.follow(now, entries, whole);
    }
}
