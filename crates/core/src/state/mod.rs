//! What a dispatcher remembers of workers and jobs: records and plain arithmetic, no decisions.

use std::collections::{BTreeMap, VecDeque};

use arrayvec::ArrayVec;

use crate::interface::*;
use crate::policy::*;

/// Room for the attempts of one job; settings that allow more are cut to this.
pub(crate) const MAX_ATTEMPTS: usize = 8;

/// Fewest nodes and workers of a group.
const GROUP_NODES: u32 = 8;
const GROUP_WORKERS: usize = 8;
/// So many of this node's jobs tell which keys are wanted.
const LAST_KEYS: usize = 40;
/// So many keys of a worker are remembered.
pub(crate) const KEYS_MOST: usize = 16;

/// Many nodes with many workers part into groups, each of which does with few workers what a small deployment does:
/// it knows them, and can afford to tell its nodes' work. Where nothing may be told, groups would only make each fetch
/// what the others hold already.
fn most_groups(settings: &Settings) -> usize {
    if !settings.may_gossip {
        return 1;
    }
    (settings.nodes / GROUP_NODES).max(1) as usize
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
pub(crate) struct Fading {
    value: f64,
    at: Micros,
}

impl Fading {
    pub fn get(&self, now: Micros, tau: f64) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-since(self.at, now) / tau).exp()
    }

    pub fn set(&mut self, now: Micros, value: f64) {
        *self = Fading { value, at: now };
    }

    pub fn add(&mut self, now: Micros, value: f64, tau: f64) {
        self.set(now, self.get(now, tau) + value);
    }
}

/// A figure averaged over the time that it stood at each value.
#[derive(Clone, Copy, Default)]
pub(crate) struct Average {
    value: f64,
    last: f64,
    at: Micros,
}

impl Average {
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
pub(crate) struct Recent {
    sum: Fading,
    count: Fading,
}

impl Recent {
    pub fn add(&mut self, now: Micros, value: f64) {
        self.sum.add(now, value, KIND_SPAN);
        self.count.add(now, 1.0, KIND_SPAN);
    }

    pub fn get(&self, now: Micros) -> f64 {
        self.sum.get(now, KIND_SPAN) / (self.count.get(now, KIND_SPAN) + KIND_PRIOR)
    }
}

/// Tokens that come back at a rate, up to a store.
#[derive(Clone, Copy)]
pub(crate) struct Bucket {
    pub tokens: f64,
    at: Micros,
}

impl Bucket {
    pub fn full(store: f64) -> Self {
        Bucket { tokens: store, at: 0 }
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
pub(crate) struct Flight {
    pub job: JobId,
    pub attempt: u32,
    pub work: f64,
    pub slots: f64,
    pub sent: Micros,
    /// The worker has taken it on.
    pub accepted: bool,
    /// It was recalled, which is said once.
    pub recalled: bool,
    /// Wait that was foreseen when it was sent.
    pub foreseen: f64,
    pub started: Option<Micros>,
    /// Share done at the last progress note, and when that came.
    pub progress: Option<(f64, Micros)>,
    /// Its class and the work that was reckoned for that, where the job came without a hint.
    pub unhinted: Option<(usize, f64)>,
}

impl Flight {
    /// Whether it should have been taken on by now and is not.
    pub fn unheard(&self, now: Micros, within: Micros) -> bool {
        within > 0 && !self.accepted && now > self.sent + within
    }
}

/// What another node has told of its own work at a worker.
pub(crate) struct Told {
    pub from: u32,
    pub work: f64,
    pub slots: f64,
    pub at: Micros,
}

/// How well a worker suits the job in hand, best first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) enum Rank {
    /// A slot is about to be free, and the job would be in time.
    Free,
    /// In time after a wait.
    Busy,
    /// Too late.
    Late,
    /// May not take it.
    None,
}

pub(crate) struct Worker {
    pub id: WorkerId,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub life: WorkerStatus,
    /// One of this node's own: see [`Fleet::near`].
    pub near: bool,
    /// Last start as listed or inferred; 0: long ago.
    pub started: Micros,
    /// Listed size in slots; 1 where it is not told.
    pub size: f64,
    /// Place of its kind in [`Fleet::kinds`].
    pub kind_at: usize,
    /// Logarithm of its speed over its kind's, that factor itself, and how many jobs taught it.
    pub offset: f64,
    pub factor: f64,
    pub lessons: u32,
    /// Most slots seen running at once.
    pub seen_slots: f64,
    /// Hinted work sent, fading.
    pub sent: Fading,
    pub flights: Vec<Flight>,
    /// Keys of the jobs sent there, the last one first.
    pub keys: VecDeque<u64>,
    /// Work sent while cold.
    pub cold_sent: VecDeque<(Micros, f64)>,
    /// Wait that start notices showed beyond the foreseen one, fading.
    pub unseen: Fading,
    pub told: Vec<Told>,
    /// Failures in a row, and until when they keep work away.
    pub strikes: u32,
    pub avoid_until: Micros,
    pub unreachable: bool,
    /// When operators put it back, while nothing has been sent there since.
    pub owed: Option<Micros>,
    /// Own backlog changed since the last message about it.
    pub dirty: bool,
    pub told_at: Micros,
    /// When what follows was derived; 0: something happened since.
    pub surveyed: Micros,
    /// Derived at the last survey: least share of the capacity, present speed, utilisation, wait for one slot.
    pub warmth: f64,
    pub speed: f64,
    pub utilisation: f64,
    pub wait: f64,
    /// Derived for the job in hand.
    pub rank: Rank,
    pub cost: f64,
}

impl Worker {
    pub fn new(entry: &Endpoint, kind_at: usize) -> Self {
        Worker {
            id: entry.worker,
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            life: entry.status,
            near: false,
            started: entry.started_at,
            size: 1.0,
            kind_at,
            offset: 0.0,
            factor: 1.0,
            lessons: 0,
            seen_slots: 0.0,
            sent: Fading::default(),
            flights: Vec::new(),
            keys: VecDeque::new(),
            cold_sent: VecDeque::new(),
            unseen: Fading::default(),
            told: Vec::new(),
            strikes: 0,
            avoid_until: 0,
            unreachable: false,
            owed: None,
            dirty: false,
            told_at: 0,
            surveyed: 0,
            warmth: 1.0,
            speed: 1.0,
            utilisation: 0.0,
            wait: 0.0,
            rank: Rank::None,
            cost: 0.0,
        }
    }

    /// Slots of jobs that were running at that time and still are.
    pub fn running(&self, then: Micros) -> f64 {
        self.flights.iter().filter(|f| f.started.is_some_and(|at| at <= then)).map(|f| f.slots).sum()
    }

    /// Whether it discards repeats of what that attempt ran.
    pub fn discards_repeats(&self, first: &Attempt, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.zone == self.zone,
            DeduplicationScope::Cell => first.zone == self.zone && first.cell == self.cell,
        }
    }

    /// How far the longest waiting attempt is past its foreseen start, s: there is work that nobody told of.
    pub fn overdue_start(&self, now: Micros) -> f64 {
        let late = |f: &Flight| since(f.sent, now) - f.foreseen;
        self.flights.iter().filter(|f| f.started.is_none()).map(late).fold(0.0, f64::max)
    }

    /// Wait at it that nobody told of: what late starts showed, as it fades. A wait is not over before it has been
    /// worked off, and a node of many may not send there again before that.
    pub fn hidden(&self, now: Micros) -> f64 {
        let left = self.unseen.value - since(self.unseen.at, now);
        self.unseen.get(now, UNSEEN_SPAN).max(left).max(self.overdue_start(now))
    }

    /// How many other keys were sent there since this one.
    pub fn keys_since(&self, key: u64) -> Option<usize> {
        self.keys.iter().position(|k| *k == key)
    }

    /// A job of that key goes there.
    pub fn heed_key(&mut self, key: u64) {
        self.keys.retain(|k| *k != key);
        self.keys.push_front(key);
        self.keys.truncate(KEYS_MOST);
    }

    /// A worker's claim to a key, the same at all nodes.
    pub fn claim(&self, key: u64) -> u64 {
        let mixed = (self.id.0 ^ key.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        (mixed ^ mixed >> 32).wrapping_mul(0xd6e8_feb8_6659_fd93)
    }

    /// Whether it has not taken on in time what was sent to it.
    pub fn silent(&self, now: Micros, within: Micros) -> bool {
        self.flights.iter().any(|f| f.unheard(now, within))
    }

    /// Something came from it: it is within reach.
    pub fn sign_of_life(&mut self, now: Micros) {
        self.surveyed = 0;
        if self.unreachable {
            // Back after it could not be reached: it may be cold long before the list says so.
            self.unreachable = false;
            self.started = self.started.max(now);
        }
    }

    /// Operators put it back, having taken it out at `since`. They do that to restart it, and the list is late: unless
    /// that tells of a start since then, it is taken to start now.
    pub fn put_back(&mut self, since: Micros, now: Micros) {
        if self.started < since || self.started == 0 {
            self.started = now;
        }
        (self.strikes, self.avoid_until, self.unreachable) = (0, 0, false);
        (self.owed, self.surveyed) = (Some(now), 0);
    }

    /// Its attempts that it has not taken on: those may not have left yet. Each is named once.
    fn recall(&mut self) -> impl Iterator<Item = (JobId, u32)> {
        self.flights.iter_mut().filter(|f| !f.accepted && !f.recalled).map(|f| {
            f.recalled = true;
            (f.job, f.attempt)
        })
    }

    /// Takes an attempt off the worker.
    pub fn land(&mut self, job: JobId, attempt: u32) -> Option<Flight> {
        let at = self.flights.iter().position(|f| f.job == job && f.attempt == attempt)?;
        self.dirty = true;
        self.surveyed = 0;
        Some(self.flights.remove(at))
    }

    pub fn flight(&mut self, job: JobId, attempt: u32) -> Option<&mut Flight> {
        self.flights.iter_mut().find(|f| f.job == job && f.attempt == attempt)
    }
}

/// One try of a job at a worker.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Micros,
    pub end: Option<Outcome>,
}

impl Attempt {
    /// When repeats of what it ran are no longer discarded.
    pub fn repeats_until(&self, window: Micros) -> Micros {
        self.sent.saturating_add(window)
    }
}

pub(crate) struct Job {
    pub id: JobId,
    pub class: usize,
    pub over_quota: bool,
    /// Worth of a slot's work, as a part of the highest.
    pub value: f64,
    /// No retry of a client's.
    pub first: bool,
    pub work: f64,
    /// Its work is a guess by its class.
    pub unhinted: bool,
    pub slots: f64,
    /// What it concerns, and the least claim to that of the workers at home with it.
    pub key: Option<u64>,
    pub home_claim: u64,
    /// An answer after this is taken to be late.
    pub aim_at: Micros,
    pub deadline: Micros,
    pub attempts: ArrayVec<Attempt, MAX_ATTEMPTS>,
    /// The answer flows; nothing more is to be decided.
    pub bound: bool,
    /// The final answer is out.
    pub ended: bool,
}

impl Job {
    pub fn new(offer: &JobSubmission) -> Self {
        Job {
            id: offer.job,
            class: offer.class.0,
            over_quota: false,
            value: 1.0,
            first: true,
            work: 0.0,
            unhinted: false,
            slots: 1.0,
            key: offer.key,
            home_claim: u64::MAX,
            aim_at: 0,
            deadline: offer.deadline,
            attempts: ArrayVec::new(),
            bound: false,
            ended: false,
        }
    }

    /// Work that it puts on a worker: all its slots for as long as it runs.
    pub fn load(&self) -> f64 {
        self.work * self.slots
    }

    /// Numbers and workers of the attempts that are out.
    pub fn live(&self) -> impl Iterator<Item = (u32, WorkerId)> {
        self.attempts.iter().zip(0..).filter(|(a, _)| a.end.is_none()).map(|(a, i)| (i, a.worker))
    }

    /// The first attempt that may have run.
    pub fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.end.is_some_and(Outcome::never_ran))
    }

    /// Attempts that were called off. What fails or cannot be reached is not crowded; what keeps a job waiting is.
    pub fn called_off(&self) -> usize {
        self.attempts.iter().filter(|a| a.end == Some(Outcome::Cancelled)).count()
    }

    /// Whether a worker may still say how an earlier attempt there ended: one that was called off, or broke off. Its
    /// words name the job and no attempt, so that they would end the next one there, which runs on.
    pub fn may_still_be_told_of(&self, worker: WorkerId) -> bool {
        let open = |end| matches!(end, Some(Outcome::Cancelled | Outcome::Lost));
        self.attempts.iter().any(|a| a.worker == worker && open(a.end))
    }

    pub fn tried(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|a| a.worker == worker)
    }
}

/// The moments from now at which a worker's slots come free, its queue being served in order.
pub(crate) struct Slots(ArrayVec<f64, 16>);

impl Slots {
    pub fn new(count: f64) -> Self {
        let count = (count.round() as usize).clamp(1, 16);
        Slots(std::iter::repeat_n(0.0, count).collect())
    }

    /// Puts a job behind what is there and returns when it starts.
    pub fn put(&mut self, span: f64, slots: f64) -> f64 {
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
pub(crate) struct Pace {
    pub ln_speed: f64,
    pub speed: f64,
    pub lessons: u32,
}

impl Pace {
    pub const UNKNOWN: Pace = Pace { ln_speed: 0.0, speed: 1.0, lessons: 0 };

    /// One more job, which was off by `error`. Like a median, it is not drawn far by any one of them.
    pub fn learn(&mut self, error: f64, usual: f64) {
        self.lessons = self.lessons.saturating_add(1);
        let most = if self.lessons > 1 { usual * LESSON_CLAMP } else { f64::INFINITY };
        self.ln_speed += KIND_GAIN.max(1.0 / f64::from(self.lessons)) * error.clamp(-most, most);
        self.speed = self.ln_speed.exp();
    }
}

/// What a job of a class is usually at work, s at a speed of 1: what jobs without a hint are reckoned with.
/// Work is summed up by its mean, while speeds are learned as a middle of logarithms; taking one for the
/// other lets cold workers be sent twice what they can do, as work has a long tail.
#[derive(Clone, Copy)]
struct Usual {
    mean: f64,
    ln: f64,
    lessons: u32,
}

impl Usual {
    /// Nothing was seen yet: what is wanted of the class tells the order of magnitude.
    fn guessed(class: &JobClass) -> Self {
        let mean = secs(class.latency_objective).clamp(UNHINTED_WORK, 10.0 * UNHINTED_WORK);
        Usual { mean, ln: mean.ln(), lessons: 0 }
    }

    fn learn(&mut self, work: f64) {
        self.lessons = self.lessons.saturating_add(1);
        let gain = KIND_GAIN.max(1.0 / f64::from(self.lessons));
        self.mean += gain * (work - self.mean);
        self.ln += gain * (work.max(1e-6).ln() - self.ln);
    }
}

/// What is known of all workers of a kind, each of which a node of many seldom meets.
pub(crate) struct Kind {
    pub id: KindId,
    pub pace: Pace,
    /// Wait that starts showed beyond the foreseen one.
    pub late: Recent,
    /// Hinted work sent, fading.
    pub sent: Fading,
    /// Derived: work that its ready workers can do in a second; share of that in use; wait to be reckoned with.
    pub capacity: f64,
    pub utilisation: f64,
    pub wait: f64,
}

impl Kind {
    fn new(id: KindId) -> Self {
        let (late, sent) = (Recent::default(), Fading::default());
        Kind { id, pace: Pace::UNKNOWN, late, sent, capacity: 0.0, utilisation: 0.0, wait: 0.0 }
    }
}

/// The workers that the list has named, by number.
pub(crate) struct Fleet {
    pub workers: Vec<Worker>,
    /// Those that operators have taken out, and when: kept beside the list, which may drop one and name it again.
    pub out: BTreeMap<WorkerId, Micros>,
    /// Those put back that the list does not name at present, and when.
    back: BTreeMap<WorkerId, Micros>,
    /// Attempts to recall, not yet said: they were on their way to a worker that takes nothing new any more.
    pub recalls: Vec<(JobId, u32)>,
    /// Places of this node's own workers: those that its group of nodes shares.
    pub near: Vec<usize>,
    /// How many of those are cold.
    pub cold: usize,
    /// Groups that nodes and workers are in, at most that many, and this node's number.
    pub groups: usize,
    most_groups: usize,
    rank: usize,
    pub kinds: Vec<Kind>,
    /// What the fleet as a whole runs at, for kinds that nothing is known of.
    pub all: Pace,
    pub median_slots: f64,
    /// Keys of the last jobs that came.
    last_keys: VecDeque<u64>,
    /// Own running jobs, averaged, and as last counted.
    running: Average,
    /// Jobs that run at once at a worker, by own running ones times the nodes.
    shared_slots: f64,
    /// The list tells sizes.
    pub sizes_told: bool,
    /// Mean distance (of logarithms) between what jobs run at and what was learned of their workers.
    pub hint_error: f64,
    /// Share of the attempts that start at once, lately.
    pub prompt: f64,
    /// Mean hinted work of a job.
    pub usual_work: f64,
    /// And of the jobs of each class that came without a hint.
    usual: Vec<Usual>,
}

impl Fleet {
    pub fn new(settings: &Settings) -> Self {
        Fleet {
            sizes_told: settings.sizes_listed,
            near: Vec::new(),
            cold: 0,
            groups: 1,
            most_groups: most_groups(settings),
            rank: settings.node_index as usize,
            workers: Vec::new(),
            out: BTreeMap::new(),
            back: BTreeMap::new(),
            recalls: Vec::new(),
            kinds: Vec::new(),
            all: Pace::UNKNOWN,
            median_slots: 1.0,
            last_keys: VecDeque::new(),
            running: Average::default(),
            shared_slots: 1.0,
            hint_error: 0.5,
            prompt: 1.0,
            usual_work: UNHINTED_WORK,
            usual: settings.classes.iter().map(Usual::guessed).collect(),
        }
    }

    /// The work of a job of that class that came without a hint.
    pub fn unhinted_work(&self, class: usize) -> f64 {
        self.usual.get(class).map_or(UNHINTED_WORK, |usual| usual.mean.clamp(1e-4, 1e4))
    }

    /// The logarithm of the speed that a job showed which ran for so many seconds.
    pub fn lesson(&mut self, i: usize, flight: &Flight, run: f64) -> f64 {
        let speed = self.speed(&self.workers[i]);
        let learned = flight.unhinted.and_then(|(class, work)| Some((self.usual.get_mut(class)?, work)));
        let Some((usual, work)) = learned.filter(|_| flight.work > 0.0) else {
            return (flight.work / run).ln();
        };
        // What of the run was foreseen for a fetch is not work of the class.
        let own = run * work / flight.work;
        usual.learn(own * speed);
        usual.ln - own.ln()
    }

    /// The least claim to a key of the ready workers that are at home with it: as many as its part of the jobs asks
    /// for, and one more for each where the job waited in vain. All nodes with this list agree on their order.
    pub fn home_claim(&self, key: Option<u64>, in_vain: usize) -> u64 {
        let Some(key) = key else { return u64::MAX };
        let wanted = self.key_share(key) * self.near.len() as f64 * HOMES_SPARE;
        let homes = (wanted.ceil() as usize + in_vain).clamp(1, self.near.len().max(1));
        let mut claims: Vec<u64> = self.near.iter().map(|i| self.workers[*i].claim(key)).collect();
        if claims.is_empty() {
            return u64::MAX;
        }
        *claims.select_nth_unstable_by(homes - 1, |a, b| b.cmp(a)).1
    }

    /// A key's part of the jobs, by this node's last ones. One that came but once may be any.
    fn key_share(&self, key: u64) -> f64 {
        let came = self.last_keys.iter().filter(|k| **k == key).count() as f64;
        ((came - 1.0).max(0.0) + KEY_ONCE) / ((self.last_keys.len() as f64 - 1.0).max(0.0) + KEY_PRIOR)
    }

    /// Keys of the last jobs that came, the oldest first.
    pub fn last_keys(&self) -> impl Iterator<Item = u64> {
        self.last_keys.iter().copied()
    }

    /// A job of that key has come.
    pub fn heed_key(&mut self, key: Option<u64>) {
        self.last_keys.extend(key);
        if self.last_keys.len() > LAST_KEYS {
            self.last_keys.pop_front();
        }
    }

    pub fn find(&self, id: WorkerId) -> Option<usize> {
        self.workers.binary_search_by_key(&id, |w| w.id).ok()
    }

    /// How late an attempt started tells of other nodes' work at the whole kind, and how full the fleet is.
    pub fn heed(&mut self, now: Micros, i: usize, late: f64) {
        self.prompt += PROMPT_GAIN * (f64::from(u8::from(late < LATE_START)) - self.prompt);
        self.kinds[self.workers[i].kind_at].late.add(now, late);
    }

    /// A worker is known by how far it stands off its kind, and a kind by all jobs that its workers served: a
    /// node of many sees too few jobs of each worker, and a kind may slow down as a whole.
    pub fn learn_speed(&mut self, i: usize, lesson: f64) {
        let usual = self.hint_error;
        let error = lesson - self.speed(&self.workers[i]).ln();
        let w = &mut self.workers[i];
        let kind = &mut self.kinds[w.kind_at].pace;
        self.all.learn(lesson - self.all.ln_speed, usual);
        kind.learn(if kind.lessons > 0 { error } else { lesson }, usual);
        w.lessons = w.lessons.saturating_add(1);
        w.offset += SPEED_GAIN.max(1.0 / (f64::from(w.lessons) + PRIOR_LESSONS)) * error;
        w.factor = w.offset.exp();
        self.hint_error += KIND_GAIN * (error.abs() - usual);
    }

    /// Learned speed of a warm core: its kind's, as far as it is known, and how far it stands off that.
    pub fn speed(&self, w: &Worker) -> f64 {
        let pace = &self.kinds[w.kind_at].pace;
        (if pace.lessons > 0 { pace.speed } else { self.all.speed }) * w.factor
    }

    /// Parallelism: the listed size, or most slots seen running at once.
    pub fn slots(&self, w: &Worker) -> f64 {
        w.size.max(self.proven_slots(w))
    }

    /// Learned parallelism alone: most slots seen running at once, else the median of that.
    pub fn proven_slots(&self, w: &Worker) -> f64 {
        self.own_slots(w).max(self.shared_slots)
    }

    /// What of that rests on own jobs seen running at once, and on nothing reckoned for other nodes.
    pub fn own_slots(&self, w: &Worker) -> f64 {
        (if w.lessons > 0 { w.seen_slots } else { self.median_slots }).max(1.0)
    }

    /// Takes over a list, or changes to it. A worker that has left is kept until its attempts have ended.
    pub fn follow(&mut self, now: Micros, entries: &[Endpoint], whole: bool) {
        if whole {
            self.workers.iter_mut().for_each(|w| w.life = WorkerStatus::Gone);
        }
        for entry in entries {
            let told = self.sizes_told && entry.size.is_finite();
            let size = if told { entry.size.round().clamp(1.0, 16.0) } else { 1.0 };
            match self.workers.binary_search_by_key(&entry.worker, |w| w.id) {
                Ok(i) => {
                    let kind_at = self.kind_at(entry.kind);
                    let w = &mut self.workers[i];
                    (w.zone, w.kind, w.cell, w.life) = (entry.zone, entry.kind, entry.cell, entry.status);
                    if entry.started_at.min(now) > w.started {
                        // What is on its way was meant for the process before, which was warm, perhaps elsewhere.
                        self.recalls.extend(w.recall());
                    }
                    w.started = w.started.max(entry.started_at.min(now));
                    (w.kind_at, w.size) = (kind_at, size);
                }
                Err(i) => {
                    let mut w = Worker::new(entry, self.kind_at(entry.kind));
                    w.size = size;
                    if let Some(back) = self.back.remove(&entry.worker) {
                        w.put_back(back, back);
                    }
                    self.workers.insert(i, w);
                }
            }
        }
        self.workers.retain(|w| w.life != WorkerStatus::Gone || !w.flights.is_empty());
        for w in self.workers.iter_mut().filter(|w| w.life != WorkerStatus::Ready) {
            self.recalls.extend(w.recall());
        }
        self.regroup();
    }

    /// Nothing more goes there until it is put back.
    pub fn take_out(&mut self, now: Micros, id: WorkerId) {
        self.back.remove(&id);
        self.out.entry(id).or_insert(now);
        if let Some(i) = self.find(id) {
            self.recalls.extend(self.workers[i].recall());
        }
        self.regroup();
    }

    /// It may be used again; what was held against it before counts no more.
    pub fn put_back(&mut self, now: Micros, id: WorkerId) {
        let Some(since) = self.out.remove(&id) else { return };
        match self.find(id) {
            Some(i) => self.workers[i].put_back(since, now),
            // One for each id that was taken out: those are bounded.
            None => _ = self.back.insert(id, now),
        }
        self.regroup();
    }

    /// Deals the ready workers out to the groups, each zone's and kind's evenly. Nodes with the same list agree.
    fn regroup(&mut self) {
        self.near.clear();
        let takes = |i: &usize| {
            self.workers[*i].life == WorkerStatus::Ready && !self.out.contains_key(&self.workers[*i].id)
        };
        self.near.extend((0..self.workers.len()).filter(takes));
        let workers = &self.workers;
        self.groups = self.most_groups.min(self.near.len() / GROUP_WORKERS).max(1);
        self.near.sort_by_key(|i| (workers[*i].zone.0, workers[*i].kind.0, *i));
        let mut place = 0;
        self.near.retain(|_| {
            place += 1;
            place % self.groups == self.rank % self.groups
        });
        self.near.sort_unstable();
        self.workers.iter_mut().for_each(|w| w.near = false);
        self.near.iter().for_each(|i| self.workers[*i].near = true);
    }

    pub fn kind_at(&mut self, kind: KindId) -> usize {
        self.kinds.iter().position(|k| k.id == kind).unwrap_or_else(|| {
            self.kinds.push(Kind::new(kind));
            self.kinds.len() - 1
        })
    }

    /// Most slots seen running at once at the middle one of this node's own workers that have taught anything; and
    /// those that all nodes' jobs take. A node of many seldom has two jobs at one worker: what it has running at all
    /// of them is an even part of what they run at once.
    pub fn relearn_slots(&mut self, now: Micros, nodes: f64) {
        let running = self.near.iter().map(|i| self.workers[*i].running(now)).sum();
        let running = self.running.set(now, running, RUNNING_SPAN) * nodes;
        self.shared_slots = (running / self.near.len().max(1) as f64).clamp(1.0, 16.0);
        let taught = self.near.iter().map(|i| &self.workers[*i]).filter(|w| w.lessons > 0).take(64);
        let mut slots: ArrayVec<f64, 64> = taught.map(|w| w.seen_slots.max(1.0)).collect();
        slots.sort_unstable_by(f64::total_cmp);
        self.median_slots = slots.get(slots.len() / 2).copied().unwrap_or(1.0);
    }
}
