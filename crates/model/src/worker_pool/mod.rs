//! Pool of workers with their archive: acceptance, speed and completion of attempts.
//!
//! The pool is a discrete-event model. [`WorkerPool::handle`] processes an event, and
//! [`WorkerPool::advance_to`] advances the time. Both append the resulting [`PoolEffect`]s to a list. The
//! driver is responsible for the transport of attempts and effects.

mod archive;
mod deduplication;
mod event;
mod parameters;
mod worker;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use archive::Archive;
use deduplication::{CellKey, Deduplication};
pub use event::{Arrival, AttemptNumber, JobDemand, PoolEffect, PoolInput, WorkerIndex};
pub use parameters::{Machine, PoolParameters};
use worker::{Worker, WorkerState};

use crate::{TimeSpan, Timestamp};

/// Interval between updates of the speed of a worker that is warming up.
const WARM_UP_UPDATE_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

/// Timer of the pool. Timers that expire at the same time are processed in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A progress report of the attempt is due.
    Progress { worker: WorkerIndex, attempt: AttemptNumber },
    /// An update of the speed of a worker that is warming up is due.
    WarmUp { worker: WorkerIndex },
}

/// Workers and archive.
#[derive(Debug)]
pub struct WorkerPool {
    parameters: PoolParameters,
    workers: Vec<Worker>,
    archive: Archive,
    deduplication: Deduplication,
    timers: BinaryHeap<Reverse<(Timestamp, Timer)>>,
    /// Predictions of the next completion of each worker. A worker may have several, and outdated ones have
    /// no effect.
    completions: BinaryHeap<Reverse<(Timestamp, WorkerIndex)>>,
}

impl WorkerPool {
    /// Creates a pool with a worker on each machine. All workers are up, warm and idle.
    pub fn new(machines: Vec<Machine>, parameters: PoolParameters) -> Self {
        WorkerPool {
            workers: machines.into_iter().map(Worker::new).collect(),
            archive: Archive::new(parameters.fetch_seconds, parameters.archive_concurrency),
            deduplication: Deduplication::new(parameters.deduplication_window),
            timers: BinaryHeap::new(),
            completions: BinaryHeap::new(),
            parameters,
        }
    }

    /// Returns the time at which the driver must call [`WorkerPool::advance_to`] if it passes in no event
    /// before then, or `None` if nothing is due without an event.
    pub fn next_event(&self) -> Option<Timestamp> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let completion = self.completions.peek().map(|Reverse((at, _))| *at);
        [timer, completion, self.archive.next_completion()].into_iter().flatten().min()
    }

    /// Handles an event at `now`, after all timers, fetches and completions that are due by then.
    pub fn handle(&mut self, now: Timestamp, input: PoolInput, effects: &mut Vec<PoolEffect>) {
        self.advance_to(now, effects);
        match input {
            PoolInput::Arrive(arrival) => self.handle_arrival(now, arrival, effects),
            PoolInput::Cancel { worker, attempt } => self.cancel(now, worker, attempt, effects),
            PoolInput::Kill(worker) => self.kill(now, worker, effects),
            PoolInput::Start(worker) => self.start(now, worker),
            PoolInput::SetSlowdown { worker, factor } => self.set_slowdown(now, worker, factor),
            PoolInput::Drain(worker) => {
                let returned = self.workers[worker].drain();
                effects.extend(returned.into_iter().map(PoolEffect::Returned));
            }
        }
    }

    /// Processes all timers, fetches and completions that are due by `now`.
    pub fn advance_to(&mut self, now: Timestamp, effects: &mut Vec<PoolEffect>) {
        while let Some(next) = self.next_event().filter(|next| *next <= now) {
            while let Some(timer) = pop_due(&mut self.timers, next) {
                self.expire_timer(next, timer, effects);
            }
            while let Some(attempt) = self.archive.pop_completed(next) {
                self.complete_fetch(next, attempt);
            }
            while let Some(worker) = pop_due(&mut self.completions, next) {
                self.complete_attempts(next, worker, effects);
            }
        }
    }

    fn expire_timer(&mut self, now: Timestamp, timer: Timer, effects: &mut Vec<PoolEffect>) {
        match timer {
            Timer::Progress { worker, attempt } => {
                let Some(fraction) = self.workers[worker].progress(now, attempt) else { return };
                effects.push(PoolEffect::Progressed { attempt, fraction });
                self.timers.push(Reverse((now + self.parameters.progress_interval, timer)));
            }
            Timer::WarmUp { worker } => {
                self.update_rate(now, worker);
                let warming = &self.workers[worker];
                if warming.state != WorkerState::Down && warming.is_warming_up(now, &self.parameters) {
                    self.timers.push(Reverse((now + WARM_UP_UPDATE_INTERVAL, timer)));
                }
            }
        }
    }

    fn complete_fetch(&mut self, now: Timestamp, attempt: AttemptNumber) {
        self.archive.update_rate(now);
        let Some(index) = self.archive.take_worker(attempt) else { return };
        let worker = &mut self.workers[index];
        let Some(job) = worker.jobs.get(&attempt) else { return };
        let data_set = job.demand.data_set;
        worker.cache_data_set(data_set);
        worker.begin_computing(now, attempt);
        self.predict_completion(index);
    }

    fn complete_attempts(&mut self, now: Timestamp, worker: WorkerIndex, effects: &mut Vec<PoolEffect>) {
        while let Some(attempt) = self.workers[worker].computing.pop_completed(now) {
            effects.push(PoolEffect::Completed(attempt));
            if let Some(key) = self.workers[worker].deduplication_key(attempt) {
                self.deduplication.record_completion(key);
            }
            self.remove_attempt(now, worker, attempt, effects);
        }
        // An outdated prediction may have led here before any attempt is complete.
        self.predict_completion(worker);
    }

    fn handle_arrival(&mut self, now: Timestamp, arrival: Arrival, effects: &mut Vec<PoolEffect>) {
        let Arrival { worker: index, attempt, demand } = arrival;
        let worker = &mut self.workers[index];
        if worker.state == WorkerState::Down {
            return effects.push(PoolEffect::Rejected(attempt));
        }
        if worker.record_offered_work(now, demand.work_seconds, &self.parameters) {
            effects.push(PoolEffect::Overloaded(index));
            effects.push(PoolEffect::Rejected(attempt));
            return self.kill(now, index, effects);
        }
        let key = demand.idempotency_key.map(|key| CellKey { cell: worker.machine.cell, key });
        if key.is_some_and(|key| self.deduplication.is_duplicate(now, key)) {
            // The job has already completed: report its completion without running it again.
            effects.push(PoolEffect::Accepted(attempt));
            effects.push(PoolEffect::Started(attempt));
            return effects.push(PoolEffect::Completed(attempt));
        }
        if !worker.can_accept(&demand) {
            return effects.push(PoolEffect::Rejected(attempt));
        }
        worker.enqueue(attempt, demand);
        effects.push(PoolEffect::Accepted(attempt));
        self.start_queued(now, index, effects);
    }

    /// Starts jobs from the head of the queue until one does not fit. All later jobs wait behind that one.
    fn start_queued(&mut self, now: Timestamp, index: WorkerIndex, effects: &mut Vec<PoolEffect>) {
        let worker = &mut self.workers[index];
        while let Some(attempt) = worker.start_next() {
            effects.push(PoolEffect::Started(attempt));
            let report = Timer::Progress { worker: index, attempt };
            self.timers.push(Reverse((now + self.parameters.progress_interval, report)));
            let data_set = worker.jobs[&attempt].demand.data_set;
            if worker.use_cached_data_set(data_set) {
                worker.begin_computing(now, attempt);
            } else {
                self.archive.begin_fetch(now, index, attempt);
            }
        }
        self.archive.update_rate(now);
        self.update_rate(now, index);
    }

    /// Removes an attempt from its worker and starts the queued jobs that then fit.
    fn remove_attempt(
        &mut self,
        now: Timestamp,
        worker: WorkerIndex,
        attempt: AttemptNumber,
        effects: &mut Vec<PoolEffect>,
    ) {
        let Some(removed) = self.workers[worker].remove(now, attempt) else { return };
        if removed.has_started {
            self.archive.cancel_fetch(now, attempt);
        }
        self.start_queued(now, worker, effects);
    }

    fn cancel(
        &mut self,
        now: Timestamp,
        worker: WorkerIndex,
        attempt: AttemptNumber,
        effects: &mut Vec<PoolEffect>,
    ) {
        let Some(job) = self.workers[worker].jobs.get(&attempt) else { return };
        effects.push(PoolEffect::Cancelled { attempt, had_started: job.has_started });
        self.remove_attempt(now, worker, attempt, effects);
    }

    fn kill(&mut self, now: Timestamp, worker: WorkerIndex, effects: &mut Vec<PoolEffect>) {
        for attempt in self.workers[worker].kill() {
            self.archive.cancel_fetch(now, attempt);
            effects.push(PoolEffect::Lost(attempt));
        }
        self.archive.update_rate(now);
    }

    fn start(&mut self, now: Timestamp, worker: WorkerIndex) {
        self.workers[worker].start(now);
        self.timers.push(Reverse((now + WARM_UP_UPDATE_INTERVAL, Timer::WarmUp { worker })));
    }

    fn set_slowdown(&mut self, now: Timestamp, worker: WorkerIndex, factor: f64) {
        assert!(factor > 0.0, "slowdown factor {factor} of worker {worker} must be above 0");
        self.workers[worker].slowdown = factor;
        self.update_rate(now, worker);
    }

    fn update_rate(&mut self, now: Timestamp, worker: WorkerIndex) {
        self.workers[worker].update_rate(now, &self.parameters);
        self.predict_completion(worker);
    }

    fn predict_completion(&mut self, worker: WorkerIndex) {
        if let Some(at) = self.workers[worker].computing.next_completion() {
            self.completions.push(Reverse((at, worker)));
        }
    }
}

/// Removes and returns the earliest entry that is due by `now`.
fn pop_due<T: Ord>(heap: &mut BinaryHeap<Reverse<(Timestamp, T)>>, now: Timestamp) -> Option<T> {
    if heap.peek().is_none_or(|Reverse((at, _))| *at > now) {
        return None;
    }
    heap.pop().map(|Reverse((_, entry))| entry)
}
