//! What a dispatcher remembers of workers and jobs: records and plain arithmetic, no decisions.

use std::collections::{BTreeMap, VecDeque};

use arrayvec::ArrayVec;

use crate::interface::*;
use crate::policy::*;

/// Room for the attempts of one job; settings that allow more are cut to this.
pub(crate) const MAX_ATTEMPTS: usize = 8;

/// Fewest nodes and workers of a group.
const MIN_SUBSET_NODES: u32 = 8;
const MIN_SUBSET_WORKERS: usize = 8;
/// So many of this node's jobs tell which keys are wanted.
const MAX_RECENT_KEYS: usize = 40;
/// So many keys of a worker are remembered.
pub(crate) const MAX_WORKER_KEYS: usize = 16;

/// Many nodes with many workers part into groups, each of which does with few workers what a small deployment does:
/// it knows them, and can afford to tell its nodes' work. Where nothing may be told, groups would only make each fetch
/// what the others hold already.
fn most_groups(settings: &Settings) -> usize {
    if !settings.may_gossip {
        return 1;
    }
    (settings.nodes / MIN_SUBSET_NODES).max(1) as usize
}

/// A span in seconds.
pub(crate) fn secs(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// Seconds from `from` to `to`, never negative.
pub(crate) fn since(from: Micros, to: Micros) -> f64 {
    secs(to.saturating_sub(from))
}

/// A span of so many seconds.
pub(crate) fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6) as Micros
}

/// A sum whose parts fade with age.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    value: f64,
    at: Micros,
}

impl DecayingSum {
    pub fn get(&self, now: Micros, tau: f64) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-since(self.at, now) / tau).exp()
    }

    pub fn set(&mut self, now: Micros, value: f64) {
        *self = DecayingSum { value, at: now };
    }

    pub fn add(&mut self, now: Micros, value: f64, tau: f64) {
        self.set(now, self.get(now, tau) + value);
    }
}

/// A figure averaged over the time that it stood at each value.
#[derive(Clone, Copy, Default)]
pub(crate) struct TimeWeightedAverage {
    value: f64,
    last: f64,
    at: Micros,
}

impl TimeWeightedAverage {
    /// It is `value` from now on. Returns the average up to now.
    pub fn set(&mut self, now: Micros, value: f64, tau: f64) -> f64 {
        let old = (-since(self.at, now) / tau).exp();
        self.value = self.value * old + self.last * (1.0 - old);
        (self.last, self.at) = (value, now);
        self.value
    }
}

/// The mean of what came lately, however seldom it comes.
#[derive(Clone, Copy, Default)]
pub(crate) struct WindowedMean {
    sum: DecayingSum,
    count: DecayingSum,
}

impl WindowedMean {
    pub fn add(&mut self, now: Micros, value: f64) {
        self.sum.add(now, value, START_DELAY_SPAN_S);
        self.count.add(now, 1.0, START_DELAY_SPAN_S);
    }

    pub fn get(&self, now: Micros) -> f64 {
        self.sum.get(now, START_DELAY_SPAN_S)
            / (self.count.get(now, START_DELAY_SPAN_S) + START_DELAY_PRIOR_COUNT)
    }
}

/// Tokens that come back at a rate, up to a store.
#[derive(Clone, Copy)]
pub(crate) struct TokenBucket {
    pub tokens: f64,
    at: Micros,
}

impl TokenBucket {
    pub fn full(store: f64) -> Self {
        TokenBucket { tokens: store, at: 0 }
    }

    pub fn refill(&mut self, now: Micros, rate: f64, store: f64) {
        self.tokens = (self.tokens + since(self.at, now) * rate).min(store);
        self.at = now;
    }

    /// Whether there is a token; it goes if it is used.
    pub fn take(&mut self, used: bool) -> bool {
        let there = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(there && used));
        there
    }
}

/// An attempt that is out at a worker.
pub(crate) struct InFlightAttempt {
    pub job: JobId,
    pub attempt: u32,
    pub work: f64,
    pub slots: f64,
    pub sent_at: Micros,
    /// The worker has taken it on.
    pub accepted: bool,
    /// It was recalled, which is said once.
    pub revoked: bool,
    /// Wait that was foreseen when it was sent.
    pub predicted_wait: f64,
    pub started_at: Option<Micros>,
    /// Share done at the last progress note, and when that came.
    pub progress: Option<(f64, Micros)>,
    /// Its class and the work that was reckoned for that, where the job came without a hint.
    pub unhinted: Option<(usize, f64)>,
}

impl InFlightAttempt {
    /// Whether it should have been taken on by now and is not.
    pub fn is_acceptance_overdue(&self, now: Micros, within: Micros) -> bool {
        within > 0 && !self.accepted && now > self.sent_at + within
    }
}

/// What another node has told of its own work at a worker.
pub(crate) struct PeerBacklog {
    pub node: u32,
    pub work: f64,
    pub slots: f64,
    pub at: Micros,
}

/// How well a worker suits the job in hand, best first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) enum PlacementTier {
    /// A slot is about to be free, and the job would be in time.
    Immediate,
    /// In time after a wait.
    Queued,
    /// Too late.
    Late,
    /// May not take it.
    Ineligible,
}

pub(crate) struct Worker {
    pub id: WorkerId,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub status: WorkerStatus,
    /// One of this node's own: see [`Fleet::near`].
    pub in_subset: bool,
    /// Last start as listed or inferred; 0: long ago.
    pub started_at: Micros,
    /// Listed size in slots; 1 where it is not told.
    pub listed_slots: f64,
    /// Place of its kind in [`Fleet::kinds`].
    pub kind_index: usize,
    /// Logarithm of its speed over its kind's, that factor itself, and how many jobs taught it.
    pub log_speed_ratio: f64,
    pub speed_ratio: f64,
    pub speed_samples: u32,
    /// Most slots seen running at once.
    pub max_concurrent_slots: f64,
    /// Hinted work sent, fading.
    pub sent_work: DecayingSum,
    pub in_flight: Vec<InFlightAttempt>,
    /// Keys of the jobs sent there, the last one first.
    pub recent_keys: VecDeque<u64>,
    /// Work sent while cold.
    pub warm_up_sends: VecDeque<(Micros, f64)>,
    /// Wait that start notices showed beyond the foreseen one, fading.
    pub excess_wait: DecayingSum,
    pub peer_backlogs: Vec<PeerBacklog>,
    /// Failures in a row, and until when they keep work away.
    pub consecutive_failures: u32,
    pub ejected_until: Micros,
    pub unreachable: bool,
    /// When operators put it back, while nothing has been sent there since.
    pub reenabled_at: Option<Micros>,
    /// Own backlog changed since the last message about it.
    pub gossip_pending: bool,
    pub gossiped_at: Micros,
    /// When what follows was derived; 0: something happened since.
    pub estimated_at: Micros,
    /// Derived at the last survey: least share of the capacity, present speed, utilisation, wait for one slot.
    pub warm_up_fraction: f64,
    pub current_speed: f64,
    pub utilisation: f64,
    pub wait: f64,
    /// Derived for the job in hand.
    pub tier: PlacementTier,
    pub cost: f64,
}

impl Worker {
    pub fn new(entry: &Endpoint, kind_at: usize) -> Self {
        Worker {
            id: entry.worker,
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            status: entry.status,
            in_subset: false,
            started_at: entry.started,
            listed_slots: 1.0,
            kind_index: kind_at,
            log_speed_ratio: 0.0,
            speed_ratio: 1.0,
            speed_samples: 0,
            max_concurrent_slots: 0.0,
            sent_work: DecayingSum::default(),
            in_flight: Vec::new(),
            recent_keys: VecDeque::new(),
            warm_up_sends: VecDeque::new(),
            excess_wait: DecayingSum::default(),
            peer_backlogs: Vec::new(),
            consecutive_failures: 0,
            ejected_until: 0,
            unreachable: false,
            reenabled_at: None,
            gossip_pending: false,
            gossiped_at: 0,
            estimated_at: 0,
            warm_up_fraction: 1.0,
            current_speed: 1.0,
            utilisation: 0.0,
            wait: 0.0,
            tier: PlacementTier::Ineligible,
            cost: 0.0,
        }
    }

    /// Slots of jobs that were running at that time and still are.
    pub fn slots_running_since(&self, then: Micros) -> f64 {
        self.in_flight.iter().filter(|f| f.started_at.is_some_and(|at| at <= then)).map(|f| f.slots).sum()
    }

    /// Whether it discards repeats of what that attempt ran.
    pub fn deduplicates(&self, first: &Attempt, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.zone == self.zone,
            DeduplicationScope::Cell => first.zone == self.zone && first.cell == self.cell,
        }
    }

    /// How far the longest waiting attempt is past its foreseen start, s: there is work that nobody told of.
    pub fn longest_start_delay(&self, now: Micros) -> f64 {
        let late = |f: &InFlightAttempt| since(f.sent_at, now) - f.predicted_wait;
        self.in_flight.iter().filter(|f| f.started_at.is_none()).map(late).fold(0.0, f64::max)
    }

    /// Wait at it that nobody told of: what late starts showed, as it fades. A wait is not over before it has been
    /// worked off, and a node of many may not send there again before that.
    pub fn unobserved_wait(&self, now: Micros) -> f64 {
        let left = self.excess_wait.value - since(self.excess_wait.at, now);
        self.excess_wait.get(now, EXCESS_WAIT_SPAN_S).max(left).max(self.longest_start_delay(now))
    }

    /// How many other keys were sent there since this one.
    pub fn keys_sent_since(&self, key: u64) -> Option<usize> {
        self.recent_keys.iter().position(|k| *k == key)
    }

    /// A job of that key goes there.
    pub fn record_key(&mut self, key: u64) {
        self.recent_keys.retain(|k| *k != key);
        self.recent_keys.push_front(key);
        self.recent_keys.truncate(MAX_WORKER_KEYS);
    }

    /// A worker's claim to a key, the same at all nodes.
    pub fn rendezvous_weight(&self, key: u64) -> u64 {
        let mixed = (self.id.0 ^ key.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        (mixed ^ mixed >> 32).wrapping_mul(0xd6e8_feb8_6659_fd93)
    }

    /// Whether it has not taken on in time what was sent to it.
    pub fn has_overdue_acceptance(&self, now: Micros, within: Micros) -> bool {
        self.in_flight.iter().any(|f| f.is_acceptance_overdue(now, within))
    }

    /// Something came from it: it is within reach.
    pub fn record_contact(&mut self, now: Micros) {
        self.estimated_at = 0;
        if self.unreachable {
            // Back after it could not be reached: it may be cold long before the list says so.
            self.unreachable = false;
            self.started_at = self.started_at.max(now);
        }
    }

    /// Operators put it back, having taken it out at `since`. They do that to restart it, and the list is late: unless
    /// that tells of a start since then, it is taken to start now.
    pub fn reenable(&mut self, since: Micros, now: Micros) {
        if self.started_at < since || self.started_at == 0 {
            self.started_at = now;
        }
        (self.consecutive_failures, self.ejected_until, self.unreachable) = (0, 0, false);
        (self.reenabled_at, self.estimated_at) = (Some(now), 0);
    }

    /// Its attempts that it has not taken on: those may not have left yet. Each is named once.
    fn revoke_unaccepted(&mut self) -> impl Iterator<Item = (JobId, u32)> {
        self.in_flight.iter_mut().filter(|f| !f.accepted && !f.revoked).map(|f| {
            f.revoked = true;
            (f.job, f.attempt)
        })
    }

    /// Takes an attempt off the worker.
    pub fn remove_attempt(&mut self, job: JobId, attempt: u32) -> Option<InFlightAttempt> {
        let at = self.in_flight.iter().position(|f| f.job == job && f.attempt == attempt)?;
        self.gossip_pending = true;
        self.estimated_at = 0;
        Some(self.in_flight.remove(at))
    }

    pub fn attempt_mut(&mut self, job: JobId, attempt: u32) -> Option<&mut InFlightAttempt> {
        self.in_flight.iter_mut().find(|f| f.job == job && f.attempt == attempt)
    }
}

/// One try of a job at a worker.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent_at: Micros,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// When repeats of what it ran are no longer discarded.
    pub fn deduplicated_until(&self, window: Micros) -> Micros {
        self.sent_at.saturating_add(window)
    }
}

pub(crate) struct Job {
    pub id: JobId,
    pub class: usize,
    pub over_quota: bool,
    /// Worth of a slot's work, as a part of the highest.
    pub weight: f64,
    /// No retry of a client's.
    pub is_first_submission: bool,
    pub work: f64,
    /// Its work is a guess by its class.
    pub is_unhinted: bool,
    pub slots: f64,
    /// What it concerns, and the least claim to that of the workers at home with it.
    pub key: Option<u64>,
    pub affinity_threshold: u64,
    /// An answer after this is taken to be late.
    pub objective_at: Micros,
    pub deadline: Micros,
    pub attempts: ArrayVec<Attempt, MAX_ATTEMPTS>,
    /// The answer flows; nothing more is to be decided.
    pub is_streaming: bool,
    /// The final answer is out.
    pub is_answered: bool,
}

impl Job {
    pub fn new(offer: &JobSubmission) -> Self {
        Job {
            id: offer.job,
            class: offer.class.0,
            over_quota: false,
            weight: 1.0,
            is_first_submission: true,
            work: 0.0,
            is_unhinted: false,
            slots: 1.0,
            key: offer.key,
            affinity_threshold: u64::MAX,
            objective_at: 0,
            deadline: offer.deadline,
            attempts: ArrayVec::new(),
            is_streaming: false,
            is_answered: false,
        }
    }

    /// Work that it puts on a worker: all its slots for as long as it runs.
    pub fn load(&self) -> f64 {
        self.work * self.slots
    }

    /// Numbers and workers of the attempts that are out.
    pub fn in_flight(&self) -> impl Iterator<Item = (u32, WorkerId)> {
        self.attempts.iter().zip(0..).filter(|(a, _)| a.outcome.is_none()).map(|(a, i)| (i, a.worker))
    }

    /// The first attempt that may have run.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran))
    }

    /// Attempts that were called off. What fails or cannot be reached is not crowded; what keeps a job waiting is.
    pub fn cancelled_attempts(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome == Some(Outcome::Cancelled)).count()
    }

    /// Whether a worker may still say how an earlier attempt there ended: one that was called off, or broke off. Its
    /// words name the job and no attempt, so that they would end the next one there, which runs on.
    pub fn may_receive_stale_callback(&self, worker: WorkerId) -> bool {
        let open = |end| matches!(end, Some(Outcome::Cancelled | Outcome::Lost));
        self.attempts.iter().any(|a| a.worker == worker && open(a.outcome))
    }

    pub fn was_sent_to(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|a| a.worker == worker)
    }
}

/// The moments from now at which a worker's slots come free, its queue being served in order.
pub(crate) struct SlotSchedule(ArrayVec<f64, 16>);

impl SlotSchedule {
    pub fn new(count: f64) -> Self {
        let count = (count.round() as usize).clamp(1, 16);
        SlotSchedule(std::iter::repeat_n(0.0, count).collect())
    }

    /// Puts a job behind what is there and returns when it starts.
    pub fn enqueue(&mut self, span: f64, slots: f64) -> f64 {
        let mut start: f64 = 0.0;
        for _ in 0..(slots as usize).clamp(1, self.0.len()) {
            let Some(free) = self.0.iter_mut().min_by(|a, b| a.total_cmp(b)) else { break };
            start = start.max(*free);
            *free = start + span;
        }
        start
    }
}

/// What a group of workers runs at: middle logarithm of the speed that jobs showed.
#[derive(Clone, Copy)]
pub(crate) struct SpeedEstimate {
    pub log_speed: f64,
    pub speed: f64,
    pub samples: u32,
}

impl SpeedEstimate {
    pub const UNKNOWN: SpeedEstimate = SpeedEstimate { log_speed: 0.0, speed: 1.0, samples: 0 };

    /// One more job, which was off by `error`. Like a median, it is not drawn far by any one of them.
    pub fn add_sample(&mut self, error: f64, usual: f64) {
        self.samples = self.samples.saturating_add(1);
        let most = if self.samples > 1 { usual * MAX_SAMPLE_ERRORS } else { f64::INFINITY };
        self.log_speed += SHARED_ESTIMATE_GAIN.max(1.0 / f64::from(self.samples)) * error.clamp(-most, most);
        self.speed = self.log_speed.exp();
    }
}

/// What a job of a class is usually at work, s at a speed of 1: what jobs without a hint are reckoned with.
/// Work is summed up by its mean, while speeds are learned as a middle of logarithms; taking one for the
/// other lets cold workers be sent twice what they can do, as work has a long tail.
#[derive(Clone, Copy)]
struct WorkEstimate {
    mean: f64,
    log_mean: f64,
    samples: u32,
}

impl WorkEstimate {
    /// Nothing was seen yet: what is wanted of the class tells the order of magnitude.
    fn from_latency_objective(class: &Class) -> Self {
        let mean = secs(class.latency_objective).clamp(DEFAULT_JOB_WORK_S, 10.0 * DEFAULT_JOB_WORK_S);
        WorkEstimate { mean, log_mean: mean.ln(), samples: 0 }
    }

    fn add_sample(&mut self, work: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = SHARED_ESTIMATE_GAIN.max(1.0 / f64::from(self.samples));
        self.mean += gain * (work - self.mean);
        self.log_mean += gain * (work.max(1e-6).ln() - self.log_mean);
    }
}

/// What is known of all workers of a kind, each of which a node of many seldom meets.
pub(crate) struct MachineKind {
    pub id: KindId,
    pub speed: SpeedEstimate,
    /// Wait that starts showed beyond the foreseen one.
    pub start_delay: WindowedMean,
    /// Hinted work sent, fading.
    pub sent_work: DecayingSum,
    /// Derived: work that its ready workers can do in a second; share of that in use; wait to be reckoned with.
    pub capacity: f64,
    pub utilisation: f64,
    pub wait: f64,
}

impl MachineKind {
    fn new(id: KindId) -> Self {
        let (late, sent) = (WindowedMean::default(), DecayingSum::default());
        MachineKind {
            id,
            speed: SpeedEstimate::UNKNOWN,
            start_delay: late,
            sent_work: sent,
            capacity: 0.0,
            utilisation: 0.0,
            wait: 0.0,
        }
    }
}

/// The workers that the list has named, by number.
pub(crate) struct Fleet {
    pub workers: Vec<Worker>,
    /// Those that operators have taken out, and when: kept beside the list, which may drop one and name it again.
    pub disabled: BTreeMap<WorkerId, Micros>,
    /// Those put back that the list does not name at present, and when.
    reenabled_unlisted: BTreeMap<WorkerId, Micros>,
    /// Attempts to recall, not yet said: they were on their way to a worker that takes nothing new any more.
    pub pending_revocations: Vec<(JobId, u32)>,
    /// Places of this node's own workers: those that its group of nodes shares.
    pub subset: Vec<usize>,
    /// How many of those are cold.
    pub warming_up: usize,
    /// Groups that nodes and workers are in, at most that many, and this node's number.
    pub subset_count: usize,
    max_subsets: usize,
    node_index: usize,
    pub kinds: Vec<MachineKind>,
    /// What the fleet as a whole runs at, for kinds that nothing is known of.
    pub overall_speed: SpeedEstimate,
    pub median_slots: f64,
    /// Keys of the last jobs that came.
    recent_keys: VecDeque<u64>,
    /// Own running jobs, averaged, and as last counted.
    running_slots: TimeWeightedAverage,
    /// Jobs that run at once at a worker, by own running ones times the nodes.
    extrapolated_slots: f64,
    /// The list tells sizes.
    pub sizes_listed: bool,
    /// Mean distance (of logarithms) between what jobs run at and what was learned of their workers.
    pub hint_error: f64,
    /// Share of the attempts that start at once, lately.
    pub prompt_start_share: f64,
    /// Mean hinted work of a job.
    pub mean_work: f64,
    /// And of the jobs of each class that came without a hint.
    unhinted_work: Vec<WorkEstimate>,
}

impl Fleet {
    pub fn new(settings: &Settings) -> Self {
        Fleet {
            sizes_listed: settings.sizes_listed,
            subset: Vec::new(),
            warming_up: 0,
            subset_count: 1,
            max_subsets: most_groups(settings),
            node_index: settings.node_index as usize,
            workers: Vec::new(),
            disabled: BTreeMap::new(),
            reenabled_unlisted: BTreeMap::new(),
            pending_revocations: Vec::new(),
            kinds: Vec::new(),
            overall_speed: SpeedEstimate::UNKNOWN,
            median_slots: 1.0,
            recent_keys: VecDeque::new(),
            running_slots: TimeWeightedAverage::default(),
            extrapolated_slots: 1.0,
            hint_error: 0.5,
            prompt_start_share: 1.0,
            mean_work: DEFAULT_JOB_WORK_S,
            unhinted_work: settings.classes.iter().map(WorkEstimate::from_latency_objective).collect(),
        }
    }

    /// The work of a job of that class that came without a hint.
    pub fn estimate_unhinted_work(&self, class: usize) -> f64 {
        self.unhinted_work.get(class).map_or(DEFAULT_JOB_WORK_S, |usual| usual.mean.clamp(1e-4, 1e4))
    }

    /// The logarithm of the speed that a job showed which ran for so many seconds.
    pub fn take_speed_sample(&mut self, i: usize, flight: &InFlightAttempt, run: f64) -> f64 {
        let speed = self.learned_speed(&self.workers[i]);
        let learned =
            flight.unhinted.and_then(|(class, work)| Some((self.unhinted_work.get_mut(class)?, work)));
        let Some((usual, work)) = learned.filter(|_| flight.work > 0.0) else {
            return (flight.work / run).ln();
        };
        // What of the run was foreseen for a fetch is not work of the class.
        let own = run * work / flight.work;
        usual.add_sample(own * speed);
        usual.log_mean - own.ln()
    }

    /// The least claim to a key of the ready workers that are at home with it: as many as its part of the jobs asks
    /// for, and one more for each where the job waited in vain. All nodes with this list agree on their order.
    pub fn affinity_threshold(&self, key: Option<u64>, in_vain: usize) -> u64 {
        let Some(key) = key else { return u64::MAX };
        let wanted = self.key_share(key) * self.subset.len() as f64 * HOME_SPARE_FACTOR;
        let homes = (wanted.ceil() as usize + in_vain).clamp(1, self.subset.len().max(1));
        let mut claims: Vec<u64> =
            self.subset.iter().map(|i| self.workers[*i].rendezvous_weight(key)).collect();
        if claims.is_empty() {
            return u64::MAX;
        }
        *claims.select_nth_unstable_by(homes - 1, |a, b| b.cmp(a)).1
    }

    /// A key's part of the jobs, by this node's last ones. One that came but once may be any.
    fn key_share(&self, key: u64) -> f64 {
        let came = self.recent_keys.iter().filter(|k| **k == key).count() as f64;
        ((came - 1.0).max(0.0) + SINGLE_KEY_COUNT)
            / ((self.recent_keys.len() as f64 - 1.0).max(0.0) + KEY_PRIOR_COUNT)
    }

    /// Keys of the last jobs that came, the oldest first.
    pub fn recent_keys(&self) -> impl Iterator<Item = u64> {
        self.recent_keys.iter().copied()
    }

    /// A job of that key has come.
    pub fn record_key(&mut self, key: Option<u64>) {
        self.recent_keys.extend(key);
        if self.recent_keys.len() > MAX_RECENT_KEYS {
            self.recent_keys.pop_front();
        }
    }

    pub fn find(&self, id: WorkerId) -> Option<usize> {
        self.workers.binary_search_by_key(&id, |w| w.id).ok()
    }

    /// How late an attempt started tells of other nodes' work at the whole kind, and how full the fleet is.
    pub fn record_start_delay(&mut self, now: Micros, i: usize, late: f64) {
        self.prompt_start_share +=
            PROMPT_START_GAIN * (f64::from(u8::from(late < LATE_START_S)) - self.prompt_start_share);
        self.kinds[self.workers[i].kind_index].start_delay.add(now, late);
    }

    /// A worker is known by how far it stands off its kind, and a kind by all jobs that its workers served: a
    /// node of many sees too few jobs of each worker, and a kind may slow down as a whole.
    pub fn record_speed_sample(&mut self, i: usize, lesson: f64) {
        let usual = self.hint_error;
        let error = lesson - self.learned_speed(&self.workers[i]).ln();
        let w = &mut self.workers[i];
        let kind = &mut self.kinds[w.kind_index].speed;
        self.overall_speed.add_sample(lesson - self.overall_speed.log_speed, usual);
        kind.add_sample(if kind.samples > 0 { error } else { lesson }, usual);
        w.speed_samples = w.speed_samples.saturating_add(1);
        w.log_speed_ratio +=
            WORKER_SPEED_GAIN.max(1.0 / (f64::from(w.speed_samples) + KIND_PRIOR_SAMPLES)) * error;
        w.speed_ratio = w.log_speed_ratio.exp();
        self.hint_error += SHARED_ESTIMATE_GAIN * (error.abs() - usual);
    }

    /// Learned speed of a warm core: its kind's, as far as it is known, and how far it stands off that.
    pub fn learned_speed(&self, w: &Worker) -> f64 {
        let pace = &self.kinds[w.kind_index].speed;
        (if pace.samples > 0 { pace.speed } else { self.overall_speed.speed }) * w.speed_ratio
    }

    /// Parallelism: the listed size, or most slots seen running at once.
    pub fn slots(&self, w: &Worker) -> f64 {
        w.listed_slots.max(self.learned_slots(w))
    }

    /// Learned parallelism alone: most slots seen running at once, else the median of that.
    pub fn learned_slots(&self, w: &Worker) -> f64 {
        self.observed_slots(w).max(self.extrapolated_slots)
    }

    /// What of that rests on own jobs seen running at once, and on nothing reckoned for other nodes.
    pub fn observed_slots(&self, w: &Worker) -> f64 {
        (if w.speed_samples > 0 { w.max_concurrent_slots } else { self.median_slots }).max(1.0)
    }

    /// Takes over a list, or changes to it. A worker that has left is kept until its attempts have ended.
    pub fn apply_endpoints(&mut self, now: Micros, entries: &[Endpoint], whole: bool) {
        if whole {
            self.workers.iter_mut().for_each(|w| w.status = WorkerStatus::Gone);
        }
        for entry in entries {
            let told = self.sizes_listed && entry.size.is_finite();
            let size = if told { entry.size.round().clamp(1.0, 16.0) } else { 1.0 };
            match self.workers.binary_search_by_key(&entry.worker, |w| w.id) {
                Ok(i) => {
                    let kind_at = self.kind_index(entry.kind);
                    let w = &mut self.workers[i];
                    (w.zone, w.kind, w.cell, w.status) = (entry.zone, entry.kind, entry.cell, entry.status);
                    if entry.started.min(now) > w.started_at {
                        // What is on its way was meant for the process before, which was warm, perhaps elsewhere.
                        self.pending_revocations.extend(w.revoke_unaccepted());
                    }
                    w.started_at = w.started_at.max(entry.started.min(now));
                    (w.kind_index, w.listed_slots) = (kind_at, size);
                }
                Err(i) => {
                    let mut w = Worker::new(entry, self.kind_index(entry.kind));
                    w.listed_slots = size;
                    if let Some(back) = self.reenabled_unlisted.remove(&entry.worker) {
                        w.reenable(back, back);
                    }
                    self.workers.insert(i, w);
                }
            }
        }
        self.workers.retain(|w| w.status != WorkerStatus::Gone || !w.in_flight.is_empty());
        for w in self.workers.iter_mut().filter(|w| w.status != WorkerStatus::Ready) {
            self.pending_revocations.extend(w.revoke_unaccepted());
        }
        self.rebuild_subset();
    }

    /// Nothing more goes there until it is put back.
    pub fn disable_worker(&mut self, now: Micros, id: WorkerId) {
        self.reenabled_unlisted.remove(&id);
        self.disabled.entry(id).or_insert(now);
        if let Some(i) = self.find(id) {
            self.pending_revocations.extend(self.workers[i].revoke_unaccepted());
        }
        self.rebuild_subset();
    }

    /// It may be used again; what was held against it before counts no more.
    pub fn reenable_worker(&mut self, now: Micros, id: WorkerId) {
        let Some(since) = self.disabled.remove(&id) else { return };
        match self.find(id) {
            Some(i) => self.workers[i].reenable(since, now),
            // One for each id that was taken out: those are bounded.
            None => _ = self.reenabled_unlisted.insert(id, now),
        }
        self.rebuild_subset();
    }

    /// Deals the ready workers out to the groups, each zone's and kind's evenly. Nodes with the same list agree.
    fn rebuild_subset(&mut self) {
        self.subset.clear();
        let takes = |i: &usize| {
            self.workers[*i].status == WorkerStatus::Ready
                && !self.disabled.contains_key(&self.workers[*i].id)
        };
        self.subset.extend((0..self.workers.len()).filter(takes));
        let workers = &self.workers;
        self.subset_count = self.max_subsets.min(self.subset.len() / MIN_SUBSET_WORKERS).max(1);
        self.subset.sort_by_key(|i| (workers[*i].zone.0, workers[*i].kind.0, *i));
        let mut place = 0;
        self.subset.retain(|_| {
            place += 1;
            place % self.subset_count == self.node_index % self.subset_count
        });
        self.subset.sort_unstable();
        self.workers.iter_mut().for_each(|w| w.in_subset = false);
        self.subset.iter().for_each(|i| self.workers[*i].in_subset = true);
    }

    pub fn kind_index(&mut self, kind: KindId) -> usize {
        self.kinds.iter().position(|k| k.id == kind).unwrap_or_else(|| {
            self.kinds.push(MachineKind::new(kind));
            self.kinds.len() - 1
        })
    }

    /// Most slots seen running at once at the middle one of this node's own workers that have taught anything; and
    /// those that all nodes' jobs take. A node of many seldom has two jobs at one worker: what it has running at all
    /// of them is an even part of what they run at once.
    pub fn refresh_slots(&mut self, now: Micros, nodes: f64) {
        let running = self.subset.iter().map(|i| self.workers[*i].slots_running_since(now)).sum();
        let running = self.running_slots.set(now, running, RUNNING_SLOTS_SPAN_S) * nodes;
        self.extrapolated_slots = (running / self.subset.len().max(1) as f64).clamp(1.0, 16.0);
        let taught = self.subset.iter().map(|i| &self.workers[*i]).filter(|w| w.speed_samples > 0).take(64);
        let mut slots: ArrayVec<f64, 64> = taught.map(|w| w.max_concurrent_slots.max(1.0)).collect();
        slots.sort_unstable_by(f64::total_cmp);
        self.median_slots = slots.get(slots.len() / 2).copied().unwrap_or(1.0);
    }
}
