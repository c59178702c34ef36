//! Worker of the pool: its state, queue, resources in use, and speed.

use std::collections::{HashMap, VecDeque};

use super::deduplication::CellKey;
use super::event::{AttemptNumber, JobDemand};
use super::parameters::{Machine, PoolParameters};
use crate::Timestamp;
use crate::processor_sharing::ProcessorSharing;

/// Maximum number of arrivals within the overload window that never count as overload. A single large job may
/// exceed the whole overload budget.
const MAX_ARRIVALS_WITHOUT_OVERLOAD: usize = 4;

const MICROS_PER_SECOND: f64 = 1e6;

/// State of a worker.
///
/// A drain changes `Up` to `Draining`. A kill or a crash changes `Up` or `Draining` to `Down`. A start
/// changes any state to `Up`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum WorkerState {
    /// The worker accepts jobs.
    Up,
    /// The worker completes the jobs that have started and accepts no new ones.
    Draining,
    /// The worker has no process.
    Down,
}

/// Job that the worker has accepted.
#[derive(Debug)]
pub(super) struct AcceptedJob {
    pub(super) demand: JobDemand,
    /// Whether the job has started and occupies its slots and memory.
    pub(super) has_started: bool,
}

/// Work of a job that was offered to the worker.
#[derive(Debug)]
struct OfferedWork {
    at: Timestamp,
    seconds: f64,
}

/// Worker with the jobs that it has accepted.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) machine: Machine,
    pub(super) state: WorkerState,
    /// Start of the warm-up, or `None` if the worker was already warm at the start of the run.
    started_at: Option<Timestamp>,
    /// Divisor of the machine's speed.
    pub(super) slowdown: f64,
    pub(super) jobs: HashMap<AttemptNumber, AcceptedJob>,
    /// Accepted jobs that have not started, from the oldest to the newest.
    pub(super) queue: VecDeque<AttemptNumber>,
    used_slots: u32,
    used_memory: f64,
    /// Processor sharing among the started jobs whose data sets are present.
    pub(super) computing: ProcessorSharing,
    /// Cached data sets, from the least to the most recently used.
    cached_data_sets: VecDeque<u64>,
    /// Work offered within the overload window, including rejected work, from the oldest to the newest.
    offered: VecDeque<OfferedWork>,
}

impl Worker {
    /// Creates a worker that is up, warm and idle.
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
            cached_data_sets: VecDeque::new(),
            offered: VecDeque::new(),
        }
    }

    /// Starts the process. The worker begins to warm up, without a slowdown and without cached data sets.
    pub(super) fn start(&mut self, now: Timestamp) {
        self.state = WorkerState::Up;
        self.started_at = Some(now);
        self.slowdown = 1.0;
        self.cached_data_sets.clear();
        self.offered.clear();
    }

    /// Terminates the process and returns its accepted attempts in ascending order.
    pub(super) fn kill(&mut self) -> Vec<AttemptNumber> {
        self.state = WorkerState::Down;
        self.queue.clear();
        self.computing = ProcessorSharing::new();
        self.used_slots = 0;
        self.used_memory = 0.0;
        let mut lost: Vec<_> = self.jobs.drain().map(|(attempt, _)| attempt).collect();
        // The iteration order of the map differs between runs.
        lost.sort_unstable();
        lost
    }

    /// Begins a drain and returns the attempts that have not started, in the order of the queue.
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

    /// Returns the fraction of the machine's capacity that the worker has reached in its warm-up.
    fn warm_up_fraction(&self, now: Timestamp, parameters: &PoolParameters) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let warm_up_micros = parameters.warm_up_duration.as_micros().max(1) as f64;
        let elapsed_fraction = now.saturating_since(started_at).as_micros() as f64 / warm_up_micros;
        let initial = parameters.initial_capacity_fraction;
        (initial + (1.0 - initial) * elapsed_fraction).min(1.0)
    }

    pub(super) fn is_warming_up(&self, now: Timestamp, parameters: &PoolParameters) -> bool {
        self.started_at.is_some_and(|started_at| now < started_at + parameters.warm_up_duration)
    }

    /// Updates the rate at which each running job advances from `now` on.
    pub(super) fn update_rate(&mut self, now: Timestamp, parameters: &PoolParameters) {
        let rate = self.rate_per_job(now, parameters);
        self.computing.set_rate(now, rate);
    }

    /// Returns the rate at which each running job advances, in seconds of work per second.
    fn rate_per_job(&self, now: Timestamp, parameters: &PoolParameters) -> f64 {
        let cores = self.machine.cores;
        let demanded_cores = f64::from(self.used_slots).max(1.0);
        let excess = (demanded_cores / cores - 1.0).max(0.0);
        let cores_per_slot =
            (cores / demanded_cores).min(1.0) / (1.0 + parameters.contention_penalty * excess);
        self.machine.speed * cores_per_slot * self.warm_up_fraction(now, parameters) / self.slowdown
    }

    /// Records offered work, including work that is then rejected. Returns whether the worker crashes from
    /// overload.
    pub(super) fn record_offered_work(
        &mut self,
        now: Timestamp,
        seconds: f64,
        parameters: &PoolParameters,
    ) -> bool {
        self.offered.push_back(OfferedWork { at: now, seconds });
        let window = parameters.overload_window;
        while self.offered.front().is_some_and(|offered| offered.at + window < now) {
            self.offered.pop_front();
        }
        self.is_warming_up(now, parameters) && self.is_overloaded(now, parameters)
    }

    fn is_overloaded(&self, now: Timestamp, parameters: &PoolParameters) -> bool {
        let capacity = self.machine.cores * self.machine.speed * self.warm_up_fraction(now, parameters);
        let budget_seconds =
            parameters.overload_factor * capacity * parameters.overload_window.as_micros() as f64
                / MICROS_PER_SECOND;
        let offered_seconds = self.offered.iter().map(|offered| offered.seconds).sum::<f64>();
        offered_seconds > budget_seconds && self.offered.len() > MAX_ARRIVALS_WITHOUT_OVERLOAD
    }

    /// Returns whether the worker can add a job to its queue. The caller must have checked that the worker
    /// has a process.
    pub(super) fn can_accept(&self, demand: &JobDemand) -> bool {
        let machine = &self.machine;
        let fits_machine = demand.slots <= machine.slots && demand.memory <= machine.memory;
        self.state != WorkerState::Draining && fits_machine && self.queue.len() < machine.queue_capacity
    }

    pub(super) fn enqueue(&mut self, attempt: AttemptNumber, demand: JobDemand) {
        self.jobs.insert(attempt, AcceptedJob { demand, has_started: false });
        self.queue.push_back(attempt);
    }

    /// Starts the job at the head of the queue if enough slots and memory are free, and returns its attempt.
    pub(super) fn start_next(&mut self) -> Option<AttemptNumber> {
        let attempt = *self.queue.front()?;
        let job = self.jobs.get_mut(&attempt).expect("every queued attempt must have an entry in `jobs`");
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

    /// Begins to compute a job whose data set is present. Does nothing if the worker does not have the job.
    pub(super) fn begin_computing(&mut self, now: Timestamp, attempt: AttemptNumber) {
        if let Some(job) = self.jobs.get(&attempt) {
            self.computing.add(now, attempt, job.demand.work_seconds);
        }
    }

    /// Removes a job and frees its slots and memory. Returns `None` if the worker does not have the job.
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

    /// Returns the completed fraction of a job's work: 0 while the job fetches its data set, and `None` if
    /// the worker does not have the job.
    pub(super) fn progress(&self, now: Timestamp, attempt: AttemptNumber) -> Option<f64> {
        let work_seconds = self.jobs.get(&attempt)?.demand.work_seconds;
        let remaining_seconds = self.computing.remaining_seconds(now, attempt).unwrap_or(work_seconds);
        Some((1.0 - remaining_seconds / work_seconds.max(1e-9)).clamp(0.0, 1.0))
    }

    /// Returns the key for the deduplication of a job, or `None` if the worker does not have the job or the
    /// job has no idempotency key.
    pub(super) fn deduplication_key(&self, attempt: AttemptNumber) -> Option<CellKey> {
        let key = self.jobs.get(&attempt)?.demand.idempotency_key?;
        Some(CellKey { cell: self.machine.cell, key })
    }

    /// Returns whether a data set is cached, and if so marks it as the most recently used one.
    pub(super) fn use_cached_data_set(&mut self, data_set: u64) -> bool {
        let Some(position) = self.cached_data_sets.iter().position(|cached| *cached == data_set) else {
            return false;
        };
        self.cached_data_sets.remove(position);
        self.cached_data_sets.push_back(data_set);
        true
    }

    /// Caches a data set. Evicts the least recently used one if the cache is full.
    pub(super) fn cache_data_set(&mut self, data_set: u64) {
        if self.use_cached_data_set(data_set) {
            return;
        }
        self.cached_data_sets.push_back(data_set);
        while self.cached_data_sets.len() > self.machine.cache_capacity {
            self.cached_data_sets.pop_front();
        }
    }
}
