//! Owns the workers and the archive: what they take on, how fast it runs, when it ends, and what they tell. It must
//! never know how any of that travels, nor who asked, beyond a number of the driver's.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};

use crate::fluid::Fluid;
use crate::{Micros, span};

/// A worker, by its place in the world.
pub type WorkerNo = usize;
/// An attempt, as the driver numbers it; no number returns.
pub type AttemptNo = u64;

/// A machine as it stands in the hall.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Workers of one bay drop repeats of each other's keyed jobs.
    pub bay: u32,
    /// Cores.
    pub cores: f64,
    /// Seconds of work that a core does in a second.
    pub speed: f64,
    /// Jobs, counted by their slots, that run at once.
    pub slots: u32,
    /// Units of memory.
    pub memory: f64,
    /// Jobs that may wait.
    pub queue: usize,
    /// Sets that it keeps.
    pub sets: usize,
}

/// What all machines share.
#[derive(Clone, Debug)]
pub struct Nature {
    /// A started worker has this share of its capacity ...
    pub cold_share: f64,
    /// ... and all of it after this.
    pub warm_up: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... over this long, a cold worker falls over.
    pub fall_window: Micros,
    /// Capacity lost when all cores are asked for twice: the price of crowding.
    pub crowding: f64,
    /// Seconds that a fetch takes when the archive is at rest.
    pub fetch_s: f64,
    /// Fetches that the archive serves at full speed.
    pub archive: f64,
    /// Repeats of a keyed job are dropped in its bay for this long.
    pub dedup_window: Micros,
    /// Progress is told this often.
    pub progress: Micros,
}

/// What a job asks of a worker.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Seconds on a core of speed 1.
    pub work_s: f64,
    /// Slots that it holds while it runs.
    pub slots: u32,
    /// Memory that it holds while it runs.
    pub memory: f64,
    /// The set that it needs.
    pub set: u64,
    /// What tells its repeats.
    pub key: Option<u64>,
}

/// What happens to the world.
#[derive(Clone, Debug)]
pub enum Input {
    /// The last byte of an attempt has arrived.
    Arrive {
        /// At which worker.
        worker: WorkerNo,
        /// Which.
        attempt: AttemptNo,
        /// What it asks.
        demand: Demand,
    },
    /// An attempt is not wanted any more.
    Withdraw {
        /// At which worker.
        worker: WorkerNo,
        /// Which.
        attempt: AttemptNo,
    },
    /// The process dies with all that it holds.
    Kill(WorkerNo),
    /// It starts again, cold.
    Start(WorkerNo),
    /// It runs so many times slower; 1 is its own speed.
    Slow(WorkerNo, f64),
    /// It hands back what has not started, and takes nothing more.
    Drain(WorkerNo),
}

/// What follows.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Taken on: it waits or runs.
    TakenOn(AttemptNo),
    /// Turned away unseen.
    TurnedAway(AttemptNo),
    /// It has started to run.
    Started(AttemptNo),
    /// So much of it is done.
    Running(AttemptNo, f64),
    /// It has run to its end.
    Done(AttemptNo),
    /// It was handed back unstarted.
    Returned(AttemptNo),
    /// It died with its worker.
    Lost(AttemptNo),
    /// Withdrawn; whether it had started.
    Withdrawn(AttemptNo, bool),
    /// A cold worker was sent too much and is down.
    FellOver(WorkerNo),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Life {
    Up,
    Draining,
    Down,
}

#[derive(Debug)]
struct Held {
    demand: Demand,
    /// Running or fetching, with its slots.
    started: bool,
    /// All of its work, for the share that is done.
    work_s: f64,
}

#[derive(Debug)]
struct Worker {
    machine: Machine,
    life: Life,
    /// Since when it warms up; none: warm since ever.
    started: Option<Micros>,
    slow: f64,
    held: HashMap<AttemptNo, Held>,
    queue: VecDeque<AttemptNo>,
    used_slots: u32,
    used_memory: f64,
    computing: Fluid,
    /// The sets it keeps, the one used last at the back.
    sets: VecDeque<u64>,
    /// Work that reached it lately, for the fall.
    sent: VecDeque<(Micros, f64)>,
}

impl Worker {
    fn warmth(&self, now: Micros, nature: &Nature) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let share = now.saturating_sub(started) as f64 / nature.warm_up.max(1) as f64;
        (nature.cold_share + (1.0 - nature.cold_share) * share).min(1.0)
    }

    fn is_cold(&self, now: Micros, nature: &Nature) -> bool {
        self.started.is_some_and(|started| now < started + nature.warm_up)
    }

    /// Seconds of work that each running job gets in a second.
    fn rate(&self, now: Micros, nature: &Nature) -> f64 {
        let asked = f64::from(self.used_slots).max(1.0);
        let over = (asked / self.machine.cores - 1.0).max(0.0);
        let shared = (self.machine.cores / asked).min(1.0) / (1.0 + nature.crowding * over);
        self.machine.speed * shared * self.warmth(now, nature) / self.slow
    }

    fn keeps(&mut self, set: u64) -> bool {
        let found = self.sets.iter().position(|kept| *kept == set);
        if let Some(at) = found {
            self.sets.remove(at);
            self.sets.push_back(set);
        }
        found.is_some()
    }

    fn keep(&mut self, set: u64) {
        if !self.keeps(set) {
            self.sets.push_back(set);
            while self.sets.len() > self.machine.sets {
                self.sets.pop_front();
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Progress(WorkerNo, AttemptNo),
    /// A cold worker's speed is set anew.
    Warmer(WorkerNo),
}

/// A cold worker's speed follows its warmth in steps of this.
const WARMER: Micros = 250_000;

/// The workers and the archive.
#[derive(Debug)]
pub struct World {
    nature: Nature,
    workers: Vec<Worker>,
    archive: Fluid,
    /// Whose fetch it is.
    fetches: HashMap<AttemptNo, WorkerNo>,
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    /// The next end of each worker's computing, as last foreseen; stale ones are passed over.
    ends: BinaryHeap<Reverse<(Micros, WorkerNo)>>,
    /// First taking of each key in each bay.
    keys: HashMap<(u32, u64), Micros>,
    /// Keys of a bay that have run to their end.
    finished: HashSet<(u32, u64)>,
}

impl World {
    /// All machines up, warm and empty.
    pub fn new(machines: Vec<Machine>, nature: Nature) -> Self {
        let worker = |machine| Worker {
            machine,
            life: Life::Up,
            started: None,
            slow: 1.0,
            held: HashMap::new(),
            queue: VecDeque::new(),
            used_slots: 0,
            used_memory: 0.0,
            computing: Fluid::new(),
            sets: VecDeque::new(),
            sent: VecDeque::new(),
        };
        World {
            workers: machines.into_iter().map(worker).collect(),
            nature,
            archive: Fluid::new(),
            fetches: HashMap::new(),
            timers: BinaryHeap::new(),
            ends: BinaryHeap::new(),
            keys: HashMap::new(),
            finished: HashSet::new(),
        }
    }

    /// When it wants to be driven next, if nothing happens before.
    pub fn next(&self) -> Option<Micros> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let end = self.ends.peek().map(|Reverse((at, _))| *at);
        [timer, end, self.archive.next()].into_iter().flatten().min()
    }

    /// Slots in use and jobs that wait at a worker.
    pub fn load(&self, worker: WorkerNo) -> (u32, usize) {
        (self.workers[worker].used_slots, self.workers[worker].queue.len())
    }

    /// Something happens now; all that has come due by now has happened before it.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Effect>) {
        self.drive(now, out);
        match input {
            Input::Arrive { worker, attempt, demand } => self.arrive(now, worker, attempt, demand, out),
            Input::Withdraw { worker, attempt } => self.withdraw(now, worker, attempt, out),
            Input::Kill(worker) => self.kill(now, worker, out),
            Input::Start(worker) => {
                let w = &mut self.workers[worker];
                (w.life, w.started, w.slow) = (Life::Up, Some(now), 1.0);
                w.sets.clear();
                w.sent.clear();
                self.timers.push(Reverse((now + WARMER, Timer::Warmer(worker))));
            }
            Input::Slow(worker, times) => {
                assert!(times > 0.0, "a factor of slowness is above 0");
                self.workers[worker].slow = times;
                self.reset_rate(now, worker);
            }
            Input::Drain(worker) => {
                let w = &mut self.workers[worker];
                if w.life == Life::Up {
                    w.life = Life::Draining;
                    for attempt in std::mem::take(&mut w.queue) {
                        w.held.remove(&attempt);
                        out.push(Effect::Returned(attempt));
                    }
                }
            }
        }
    }

    /// Lets all happen that has come due by now.
    pub fn drive(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(next) = self.next().filter(|next| *next <= now) {
            while let Some(Reverse((_, timer))) =
                self.timers.peek().copied().filter(|Reverse((at, _))| *at <= next)
            {
                self.timers.pop();
                self.on_timer(next, timer, out);
            }
            while let Some(attempt) = self.archive.pop(next) {
                self.fetched(next, attempt);
            }
            while let Some(Reverse((_, worker))) =
                self.ends.peek().copied().filter(|Reverse((at, _))| *at <= next)
            {
                self.ends.pop();
                while let Some(attempt) = self.workers[worker].computing.pop(next) {
                    out.push(Effect::Done(attempt));
                    let w = &self.workers[worker];
                    let key = w.held.get(&attempt).and_then(|held| held.demand.key);
                    self.finished.extend(key.map(|key| (w.machine.bay, key)));
                    self.leave(next, worker, attempt, out);
                }
                // The time foreseen may have been an older one.
                self.foresee(worker);
            }
        }
    }

    fn on_timer(&mut self, now: Micros, timer: Timer, out: &mut Vec<Effect>) {
        match timer {
            Timer::Progress(worker, attempt) => {
                let w = &self.workers[worker];
                let Some(held) = w.held.get(&attempt) else { return };
                // One that still fetches has done nothing.
                let lacks = w.computing.lacks(now, attempt).unwrap_or(held.work_s);
                out.push(Effect::Running(attempt, (1.0 - lacks / held.work_s.max(1e-9)).clamp(0.0, 1.0)));
                self.timers.push(Reverse((now + self.nature.progress, timer)));
            }
            Timer::Warmer(worker) => {
                self.reset_rate(now, worker);
                if self.workers[worker].life != Life::Down && self.workers[worker].is_cold(now, &self.nature)
                {
                    self.timers.push(Reverse((now + WARMER, timer)));
                }
            }
        }
    }

    fn arrive(
        &mut self,
        now: Micros,
        worker: WorkerNo,
        attempt: AttemptNo,
        demand: Demand,
        out: &mut Vec<Effect>,
    ) {
        let w = &mut self.workers[worker];
        if w.life == Life::Down {
            return out.push(Effect::TurnedAway(attempt));
        }
        // All work that reaches it presses on it, also what it turns away.
        w.sent.push_back((now, demand.work_s));
        while w.sent.front().is_some_and(|(at, _)| at + self.nature.fall_window < now) {
            w.sent.pop_front();
        }
        if w.is_cold(now, &self.nature) {
            let capacity = w.machine.cores * w.machine.speed * w.warmth(now, &self.nature);
            let budget = self.nature.overload_factor * capacity * self.nature.fall_window as f64 / 1e6;
            // A single job may be larger than the whole budget: that is chance and no pressure.
            let pressed = w.sent.iter().map(|(_, work)| work).sum::<f64>();
            if pressed > budget && w.sent.len() > 4 {
                out.push(Effect::FellOver(worker));
                out.push(Effect::TurnedAway(attempt));
                return self.kill(now, worker, out);
            }
        }
        let bay = w.machine.bay;
        if let Some(key) = demand.key {
            let first = *self.keys.entry((bay, key)).or_insert(now);
            if now < first + self.nature.dedup_window && self.finished.contains(&(bay, key)) {
                // A repeat: what it asks for is done, and is told without another run.
                out.extend([Effect::TakenOn(attempt), Effect::Started(attempt), Effect::Done(attempt)]);
                return;
            }
        }
        let never = demand.slots > w.machine.slots || demand.memory > w.machine.memory;
        if w.life == Life::Draining || never || w.queue.len() >= w.machine.queue {
            return out.push(Effect::TurnedAway(attempt));
        }
        let work_s = demand.work_s;
        w.held.insert(attempt, Held { demand, started: false, work_s });
        w.queue.push_back(attempt);
        out.push(Effect::TakenOn(attempt));
        self.start_what_fits(now, worker, out);
    }

    /// The head of the queue waits until it fits, and all others behind it.
    fn start_what_fits(&mut self, now: Micros, worker: WorkerNo, out: &mut Vec<Effect>) {
        let w = &mut self.workers[worker];
        while let Some(&attempt) = w.queue.front() {
            let Some(held) = w.held.get_mut(&attempt) else { unreachable!("what waits is held") };
            let (slots, memory) = (held.demand.slots, held.demand.memory);
            if w.used_slots + slots > w.machine.slots || w.used_memory + memory > w.machine.memory {
                break;
            }
            held.started = true;
            let (set, work_s) = (held.demand.set, held.work_s);
            w.queue.pop_front();
            w.used_slots += slots;
            w.used_memory += memory;
            out.push(Effect::Started(attempt));
            self.timers.push(Reverse((now + self.nature.progress, Timer::Progress(worker, attempt))));
            if w.keeps(set) {
                w.computing.add(now, attempt, work_s);
            } else {
                self.fetches.insert(attempt, worker);
                self.archive.add(now, attempt, self.nature.fetch_s);
            }
        }
        self.share_archive(now);
        self.reset_rate(now, worker);
    }

    fn share_archive(&mut self, now: Micros) {
        let rate = (self.nature.archive / self.archive.len().max(1) as f64).min(1.0);
        self.archive.set_rate(now, rate);
    }

    fn fetched(&mut self, now: Micros, attempt: AttemptNo) {
        self.share_archive(now);
        let Some(worker) = self.fetches.remove(&attempt) else { return };
        let w = &mut self.workers[worker];
        if let Some(held) = w.held.get(&attempt) {
            let (set, work_s) = (held.demand.set, held.work_s);
            w.keep(set);
            w.computing.add(now, attempt, work_s);
            self.foresee(worker);
        }
    }

    /// An attempt that had started is over: its slots are free.
    fn leave(&mut self, now: Micros, worker: WorkerNo, attempt: AttemptNo, out: &mut Vec<Effect>) {
        let w = &mut self.workers[worker];
        let Some(held) = w.held.remove(&attempt) else { return };
        if held.started {
            w.used_slots -= held.demand.slots;
            w.used_memory = (w.used_memory - held.demand.memory).max(0.0);
            w.computing.remove(now, attempt);
            if self.fetches.remove(&attempt).is_some() {
                self.archive.remove(now, attempt);
            }
        } else {
            w.queue.retain(|waiting| *waiting != attempt);
        }
        self.start_what_fits(now, worker, out);
    }

    fn withdraw(&mut self, now: Micros, worker: WorkerNo, attempt: AttemptNo, out: &mut Vec<Effect>) {
        if let Some(held) = self.workers[worker].held.get(&attempt) {
            out.push(Effect::Withdrawn(attempt, held.started));
            self.leave(now, worker, attempt, out);
        }
    }

    fn kill(&mut self, now: Micros, worker: WorkerNo, out: &mut Vec<Effect>) {
        let w = &mut self.workers[worker];
        w.life = Life::Down;
        w.queue.clear();
        w.computing = Fluid::new();
        (w.used_slots, w.used_memory) = (0, 0.0);
        let mut lost: Vec<_> = w.held.drain().map(|(attempt, _)| attempt).collect();
        // A map's order is not the same in every run.
        lost.sort_unstable();
        for attempt in lost {
            if self.fetches.remove(&attempt).is_some() {
                self.archive.remove(now, attempt);
            }
            out.push(Effect::Lost(attempt));
        }
        self.share_archive(now);
    }

    fn reset_rate(&mut self, now: Micros, worker: WorkerNo) {
        let rate = self.workers[worker].rate(now, &self.nature);
        self.workers[worker].computing.set_rate(now, rate);
        self.foresee(worker);
    }

    fn foresee(&mut self, worker: WorkerNo) {
        if let Some(at) = self.workers[worker].computing.next() {
            self.ends.push(Reverse((at, worker)));
        }
    }
}

/// A fetch takes this many mean jobs where nothing else is known, as the brief has it: 0.71 to 1.4.
pub const FETCH_OF_A_MEAN_JOB: f64 = 1.0;

impl Default for Nature {
    /// The operators' deployment as its brief states it, middle of each range.
    fn default() -> Self {
        Nature {
            cold_share: 0.13,
            warm_up: span(24.0),
            overload_factor: 3.0,
            fall_window: span(2.0),
            crowding: 0.05,
            fetch_s: 1.4 * FETCH_OF_A_MEAN_JOB,
            archive: 24.0,
            dedup_window: span(40.0),
            progress: span(2.0),
        }
    }
}
