//! One worker: its state, its queue, the resources in use, and its speed.

use std::collections::{HashMap, VecDeque};

use super::deduplication::BayKey;
use super::event::{AttemptNumber, JobDemand};
use super::parameters::{Machine, PoolParameters};
use crate::Timestamp;
use crate::processor_sharing::ProcessorSharing;

/// A single job may exceed the whole overload budget; only more arrivals than this count as overload.
const MAX_ARRIVALS_WITHOUT_OVERLOAD: usize = 4;

const MICROS_PER_SECOND: f64 = 1e6;

/// Up -> Draining by a drain; Up, Draining -> Down by a kill or a crash; any -> Up by a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum WorkerState {
    /// It accepts jobs.
    Up,
    /// It completes the jobs that have started and accepts no others.
    Draining,
    /// It has no process.
    Down,
}

/// A job that the worker has accepted.
#[derive(Debug)]
pub(super) struct AcceptedJob {
    pub(super) demand: JobDemand,
    /// Whether it occupies its slots and memory.
    pub(super) has_started: bool,
}

#[derive(Debug)]
struct OfferedWork {
    at: Timestamp,
    seconds: f64,
}

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) machine: Machine,
    pub(super) state: WorkerState,
    /// Start of the warm-up; none if it has been up since before the beginning.
    started_at: Option<Timestamp>,
    /// Divisor of the machine's speed.
    pub(super) slowdown: f64,
    pub(super) jobs: HashMap<AttemptNumber, AcceptedJob>,
    /// Accepted jobs that have not started, oldest first.
    pub(super) queue: VecDeque<AttemptNumber>,
    used_slots: u32,
    used_memory: f64,
    /// The jobs that run.
    pub(super) computing: ProcessorSharing,
    /// The data sets that it caches, the most recently used one at the back.
    sets: VecDeque<u64>,
    /// Work offered within the overload window, rejected work included, oldest first.
    offered: VecDeque<OfferedWork>,
}

impl Worker {
    /// A worker that is up, warm and idle.
    pub(super) fn new(machine: Machine) -> Self {
        Worker {
            machine,
            state: WorkerState::Up,
            started_at: None,
            slowdown: 1.0,
            jobs: HashMap::new(),
            queue: VecDeque::new(),
            used_slots: 0,
            used_memory: 0.0,
            computing: ProcessorSharing::new(),
            sets: VecDeque::new(),
            offered: VecDeque::new(),
        }
    }

    /// Starts the process: it warms up, at the machine's own speed and without data sets.
    pub(super) fn start(&mut self, now: Timestamp) {
        self.state = WorkerState::Up;
        self.started_at = Some(now);
        self.slowdown = 1.0;
        self.sets.clear();
        self.offered.clear();
    }

    /// Ends the process; returns the attempts that it had accepted, in ascending order.
    pub(super) fn kill(&mut self) -> Vec<AttemptNumber> {
        self.state = WorkerState::Down;
        self.queue.clear();
        self.computing = ProcessorSharing::new();
        self.used_slots = 0;
        self.used_memory = 0.0;
        let mut lost: Vec<_> = self.jobs.drain().map(|(attempt, _)| attempt).collect();
        // The map's iteration order differs between runs.
        lost.sort_unstable();
        lost
    }

    /// Begins a drain; returns the attempts that have not started, in the order of the queue.
    pub(super) fn drain(&mut self) -> VecDeque<AttemptNumber> {
        if self.state != WorkerState::Up {
            return VecDeque::new();
        }
        self.state = WorkerState::Draining;
        let returned = std::mem::take(&mut self.queue);
        for attempt in &returned {
            self.jobs.remove(attempt);
        }
        returned
    }

    /// Fraction of the machine's capacity that the warm-up has reached.
    fn warm_up_fraction(&self, now: Timestamp, parameters: &PoolParameters) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let warm_up = parameters.warm_up.as_micros().max(1) as f64;
        let elapsed = now.saturating_since(started_at).as_micros() as f64 / warm_up;
        let initial = parameters.initial_capacity_fraction;
        (initial + (1.0 - initial) * elapsed).min(1.0)
    }

    pub(super) fn is_warming_up(&self, now: Timestamp, parameters: &PoolParameters) -> bool {
        self.started_at.is_some_and(|started_at| now < started_at + parameters.warm_up)
    }

    /// Sets the rate at which each running job advances, from `now` on.
    pub(super) fn update_rate(&mut self, now: Timestamp, parameters: &PoolParameters) {
        let rate = self.rate_per_job(now, parameters);
        self.computing.set_rate(now, rate);
    }

    /// Seconds of work that each running job gets in a second.
    fn rate_per_job(&self, now: Timestamp, parameters: &PoolParameters) -> f64 {
        let cores = self.machine.cores;
        let demanded_cores = f64::from(self.used_slots).max(1.0);
        let excess = (demanded_cores / cores - 1.0).max(0.0);
        let cores_per_slot =
            (cores / demanded_cores).min(1.0) / (1.0 + parameters.contention_penalty * excess);
        self.machine.speed * cores_per_slot * self.warm_up_fraction(now, parameters) / self.slowdown
    }

    /// Records offered work, also that which will be rejected; true if the worker crashes under it.
    pub(super) fn offer(&mut self, now: Timestamp, seconds: f64, parameters: &PoolParameters) -> bool {
        self.offered.push_back(OfferedWork { at: now, seconds });
        let window = parameters.overload_window;
        while self.offered.front().is_some_and(|offered| offered.at + window < now) {
            self.offered.pop_front();
        }
        self.is_warming_up(now, parameters) && self.is_overloaded(now, parameters)
    }

    fn is_overloaded(&self, now: Timestamp, parameters: &PoolParameters) -> bool {
        let capacity = self.machine.cores * self.machine.speed * self.warm_up_fraction(now, parameters);
        let budget = parameters.overload_factor * capacity * parameters.overload_window.as_micros() as f64
            / MICROS_PER_SECOND;
        let offered = self.offered.iter().map(|offered| offered.seconds).sum::<f64>();
        offered > budget && self.offered.len() > MAX_ARRIVALS_WITHOUT_OVERLOAD
    }

    /// Whether a job can be put into the queue.
    pub(super) fn can_accept(&self, demand: &JobDemand) -> bool {
        let machine = &self.machine;
        let fits_machine = demand.slots <= machine.slots && demand.memory <= machine.memory;
        self.state != WorkerState::Draining && fits_machine && self.queue.len() < machine.queue
    }

    pub(super) fn enqueue(&mut self, attempt: AttemptNumber, demand: JobDemand) {
        self.jobs.insert(attempt, AcceptedJob { demand, has_started: false });
        self.queue.push_back(attempt);
    }

    /// Starts the job at the head of the queue if its slots and memory are free.
    pub(super) fn start_next(&mut self) -> Option<AttemptNumber> {
        let attempt = *self.queue.front()?;
        let job = self.jobs.get_mut(&attempt).expect("a queued attempt is among the jobs");
        let slots = self.used_slots + job.demand.slots;
        let memory = self.used_memory + job.demand.memory;
        if slots > self.machine.slots || memory > self.machine.memory {
            return None;
        }
        job.has_started = true;
        self.used_slots = slots;
        self.used_memory = memory;
        self.queue.pop_front();
        Some(attempt)
    }

    /// Runs a job whose data set is present; does nothing if the worker does not have the job.
    pub(super) fn begin_computing(&mut self, now: Timestamp, attempt: AttemptNumber) {
        if let Some(job) = self.jobs.get(&attempt) {
            self.computing.add(now, attempt, job.demand.work_seconds);
        }
    }

    /// Removes a job and frees what it occupies; none if the worker does not have it.
    pub(super) fn remove(&mut self, now: Timestamp, attempt: AttemptNumber) -> Option<AcceptedJob> {
        let job = self.jobs.remove(&attempt)?;
        if job.has_started {
            self.used_slots -= job.demand.slots;
            self.used_memory = (self.used_memory - job.demand.memory).max(0.0);
            self.computing.remove(now, attempt);
        } else {
            self.queue.retain(|queued| *queued != attempt);
        }
        Some(job)
    }

    /// Fraction of a job's work that is done; 0 while it fetches its data set.
    pub(super) fn progress(&self, now: Timestamp, attempt: AttemptNumber) -> Option<f64> {
        let work_seconds = self.jobs.get(&attempt)?.demand.work_seconds;
        let remaining = self.computing.remaining_seconds(now, attempt).unwrap_or(work_seconds);
        Some((1.0 - remaining / work_seconds.max(1e-9)).clamp(0.0, 1.0))
    }

    /// The deduplication key of a job that the worker has.
    pub(super) fn key_of(&self, attempt: AttemptNumber) -> Option<BayKey> {
        let key = self.jobs.get(&attempt)?.demand.key?;
        Some(BayKey { bay: self.machine.bay, key })
    }

    /// Whether a data set is cached; it then counts as the most recently used one.
    pub(super) fn use_set(&mut self, set: u64) -> bool {
        let Some(position) = self.sets.iter().position(|cached| *cached == set) else { return false };
        self.sets.remove(position);
        self.sets.push_back(set);
        true
    }

    /// Caches a data set, in place of the least recently used one if there is no space.
    pub(super) fn cache_set(&mut self, set: u64) {
        if self.use_set(set) {
            return;
        }
        self.sets.push_back(set);
        while self.sets.len() > self.machine.sets {
            self.sets.pop_front();
        }
    }
}
