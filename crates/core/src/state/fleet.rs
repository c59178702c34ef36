//! All workers of the endpoint list, and the estimates that they share: speeds, slots, start delays, mean
//! work.

use std::collections::{BTreeMap, VecDeque};

use arrayvec::ArrayVec;

use super::estimators::{
    DEFAULT_JOB_WORK, DecayingSum, SHARED_ESTIMATE_GAIN, SpeedEstimate, TimeWeightedAverage, WindowedMean,
    WorkEstimate,
};
use super::in_flight::{InFlightAttempt, UnhintedWork};
use super::job::{AttemptId, clamp_job_work};
use super::subset::Subset;
use super::worker::Worker;
use crate::{KindId, Settings, TimeSpan, Timestamp, WorkerId};

/// Start delay from which an attempt counts as late.
pub(crate) const LATE_START_THRESHOLD: TimeSpan = TimeSpan::from_millis(20);
/// Maximum number of slots that are counted for one worker.
pub(super) const MAX_WORKER_SLOTS: usize = 16;
/// Weight of one attempt in the share of attempts that start promptly.
const PROMPT_START_GAIN: f64 = 0.1;
/// Time constant of the average of the running slots.
const RUNNING_SLOTS_TIME_CONSTANT: TimeSpan = TimeSpan::from_secs(10);
/// Maximum number of workers in the median of the slots.
const MAX_SLOT_SAMPLES: usize = 64;

/// Estimates that all workers of a kind share. One of many nodes seldom has a job at any single worker.
pub(crate) struct MachineKind {
    /// Identifier of the kind.
    pub id: KindId,
    /// Speed of the kind.
    pub speed: SpeedEstimate,
    /// Delay of the starts of attempts after their predicted start, in seconds.
    pub start_delay: WindowedMean,
    /// Hinted work sent to workers of the kind.
    pub sent_work: DecayingSum,
    /// Estimated work that the workers of the kind in the subset can do in a second.
    pub capacity: f64,
    /// r: estimated share of the capacity that is used.
    pub utilisation: f64,
    /// w: estimated wait that cannot be observed at a single worker, in seconds.
    pub wait: f64,
}

impl MachineKind {
    fn new(id: KindId) -> Self {
        MachineKind {
            id,
            speed: SpeedEstimate::UNKNOWN,
            start_delay: WindowedMean::default(),
            sent_work: DecayingSum::default(),
            capacity: 0.0,
            utilisation: 0.0,
            wait: 0.0,
        }
    }
}

/// Estimated slots, shared by the workers of a subset.
struct SlotEstimates {
    /// Average number of slots in which this node's own attempts run.
    running: TimeWeightedAverage,
    /// Number of slots in use at one worker, extrapolated from `running` to all nodes.
    extrapolated: f64,
    /// Median, over the workers, of the maximum number of concurrent slots. It is the estimate for workers
    /// without samples.
    median: f64,
}

impl Default for SlotEstimates {
    fn default() -> Self {
        SlotEstimates { running: TimeWeightedAverage::default(), extrapolated: 1.0, median: 1.0 }
    }
}

/// All workers of the endpoint list, and the estimates that they share.
pub(crate) struct Fleet {
    /// Workers in the order of their ids. A removed worker stays until its attempts have ended.
    pub(super) workers: Vec<Worker>,
    /// Workers that operators have disabled, with the time of the command. They are kept separately, since
    /// the endpoint list may drop a worker and name it again.
    pub(super) disabled: BTreeMap<WorkerId, Timestamp>,
    /// Workers that operators have enabled again and that the endpoint list does not name at present, with
    /// the time of the command.
    pub(super) reenabled_unlisted: BTreeMap<WorkerId, Timestamp>,
    /// Attempts to revoke for which no action has been returned yet. Their workers do not accept new work, or
    /// have restarted since the attempts were sent.
    pub(super) pending_revocations: Vec<AttemptId>,
    /// Workers that this node uses.
    pub(super) subset: Subset,
    /// Kinds of machine in the order of their first occurrence.
    pub(super) kinds: Vec<MachineKind>,
    /// Speed of the fleet as a whole, used for kinds without samples.
    pub(super) overall_speed: SpeedEstimate,
    /// Estimated slots of workers without samples, and of the fleet as a whole.
    slots: SlotEstimates,
    /// Keys of the jobs that were admitted last, oldest first.
    pub(super) recent_keys: VecDeque<u64>,
    /// Whether the endpoint list has sizes.
    pub(super) sizes_listed: bool,
    /// Mean absolute difference between the logarithms of the speeds measured from jobs and of the learned
    /// speeds of their workers.
    pub(super) hint_error: f64,
    /// Share of the recent attempts that started promptly.
    pub(super) prompt_start_share: f64,
    /// Mean hinted work of a job, in seconds at speed 1.
    pub(super) mean_work: f64,
    /// Work of the jobs without a hint, for each class.
    unhinted_work: Vec<WorkEstimate>,
}

impl Fleet {
    /// Returns a fleet without workers.
    pub fn new(settings: &Settings) -> Self {
        Fleet {
            workers: Vec::new(),
            disabled: BTreeMap::new(),
            reenabled_unlisted: BTreeMap::new(),
            pending_revocations: Vec::new(),
            subset: Subset::new(settings),
            kinds: Vec::new(),
            overall_speed: SpeedEstimate::UNKNOWN,
            slots: SlotEstimates::default(),
            recent_keys: VecDeque::new(),
            sizes_listed: settings.sizes_listed,
            hint_error: 0.5,
            prompt_start_share: 1.0,
            mean_work: DEFAULT_JOB_WORK,
            unhinted_work: settings.classes.iter().map(WorkEstimate::from_latency_objective).collect(),
        }
    }

    /// Returns the index of a worker.
    pub fn find(&self, id: WorkerId) -> Option<usize> {
        self.workers.binary_search_by_key(&id, |worker| worker.id).ok()
    }

    /// Returns the worker at an index.
    pub fn worker(&self, index: usize) -> &Worker {
        &self.workers[index]
    }

    /// Returns the worker at an index for an update of its record.
    pub fn worker_mut(&mut self, index: usize) -> &mut Worker {
        &mut self.workers[index]
    }

    /// Returns all workers in the order of their ids.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Returns the workers that this node uses.
    pub fn subset(&self) -> &Subset {
        &self.subset
    }

    /// Returns the index of the first worker of this node's subset that fulfils `predicate`.
    pub fn find_in_subset(&self, predicate: impl Fn(&Worker) -> bool) -> Option<usize> {
        self.subset.members().iter().copied().find(|index| predicate(&self.workers[*index]))
    }

    /// Returns the shared estimates of the kind of a worker.
    pub fn kind_of(&self, worker: &Worker) -> &MachineKind {
        &self.kinds[worker.kind_index]
    }

    /// Returns the speed of a typical worker.
    pub fn typical_speed(&self) -> f64 {
        self.overall_speed.speed
    }

    /// Returns the mean absolute difference between the logarithms of the speeds measured from jobs and of
    /// the learned speeds of their workers.
    pub fn hint_error(&self) -> f64 {
        self.hint_error
    }

    /// Returns the share of the recent attempts that started promptly.
    pub fn prompt_start_share(&self) -> f64 {
        self.prompt_start_share
    }

    /// Removes and returns the attempts to revoke that no earlier call has returned.
    pub fn take_revocations(&mut self) -> impl Iterator<Item = AttemptId> {
        self.pending_revocations.drain(..)
    }

    /// Returns the index of a kind. Inserts the kind if it is new.
    pub fn find_or_insert_kind(&mut self, id: KindId) -> usize {
        self.kinds.iter().position(|kind| kind.id == id).unwrap_or_else(|| {
            self.kinds.push(MachineKind::new(id));
            self.kinds.len() - 1
        })
    }

    /// Returns the estimated work of a job of a class without a hint, in seconds at speed 1.
    pub fn estimate_unhinted_work(&self, class: usize) -> f64 {
        self.unhinted_work.get(class).map_or(DEFAULT_JOB_WORK, |work| clamp_job_work(work.mean))
    }

    /// Adds the work of an admitted job to the mean.
    pub fn record_work(&mut self, work: f64) {
        self.mean_work += SHARED_ESTIMATE_GAIN * (work - self.mean_work);
    }

    /// Records the speed of an attempt that succeeded after a run of `run` seconds.
    ///
    /// The speed of a kind is learned from all jobs of its workers, and the speed of a worker as a ratio to
    /// that of its kind. One of many nodes sees few jobs of each worker, and a kind may slow down as a whole.
    pub fn record_speed(&mut self, index: usize, attempt: &InFlightAttempt, run: f64) {
        let log_speed = self.measure_log_speed(index, attempt, run);
        let mean_error = self.hint_error;
        let error = log_speed - self.learned_speed(&self.workers[index]).ln();
        let worker = &mut self.workers[index];
        let kind_speed = &mut self.kinds[worker.kind_index].speed;
        self.overall_speed.add_sample(log_speed - self.overall_speed.log_speed, mean_error);
        kind_speed.add_sample(if kind_speed.samples > 0 { error } else { log_speed }, mean_error);
        worker.speed_ratio.add_sample(error);
        self.hint_error += SHARED_ESTIMATE_GAIN * (error.abs() - mean_error);
    }

    /// Returns the natural logarithm of the speed measured from a successful attempt. An attempt without a
    /// hint is also a sample of the work of its class.
    fn measure_log_speed(&mut self, index: usize, attempt: &InFlightAttempt, run: f64) -> f64 {
        let worker_speed = self.learned_speed(&self.workers[index]);
        let unhinted = attempt
            .unhinted
            .and_then(|UnhintedWork { class, work }| Some((self.unhinted_work.get_mut(class)?, work)));
        let Some((class_work, work)) = unhinted.filter(|_| attempt.work > 0.0) else {
            return (attempt.work / run).ln();
        };
        // The fetch is part of the run, but not of the work of the class.
        let run_without_fetch = run * work / attempt.work;
        class_work.add_sample(run_without_fetch * worker_speed);
        class_work.log_mean - run_without_fetch.ln()
    }

    /// Records the start delay of an attempt, in seconds. It indicates work of other nodes at all workers of
    /// the kind, and the utilisation of the fleet.
    pub fn record_start_delay(&mut self, now: Timestamp, index: usize, delay: f64) {
        let is_prompt = f64::from(u8::from(delay < LATE_START_THRESHOLD.as_secs_f64()));
        self.prompt_start_share += PROMPT_START_GAIN * (is_prompt - self.prompt_start_share);
        self.kinds[self.workers[index].kind_index].start_delay.add(now, delay);
    }

    /// Returns the learned speed of a warm worker: the speed of its kind, or that of the fleet if the kind
    /// has no samples, multiplied by the speed ratio of the worker.
    pub fn learned_speed(&self, worker: &Worker) -> f64 {
        let kind_speed = &self.kinds[worker.kind_index].speed;
        let speed = if kind_speed.samples > 0 { kind_speed.speed } else { self.overall_speed.speed };
        speed * worker.speed_ratio.ratio
    }

    /// Returns the slots of a worker: the larger of its listed size and its learned slots.
    pub fn slots(&self, worker: &Worker) -> f64 {
        worker.listed_slots.max(self.learned_slots(worker))
    }

    /// Returns the slots of a worker learned from running jobs, regardless of the endpoint list.
    pub fn learned_slots(&self, worker: &Worker) -> f64 {
        self.observed_slots(worker).max(self.slots.extrapolated)
    }

    /// Returns the slots of a worker observed from concurrent jobs of this node, without extrapolation. For a
    /// worker without samples, returns the median of the other workers.
    pub fn observed_slots(&self, worker: &Worker) -> f64 {
        let slots =
            if worker.speed_ratio.samples > 0 { worker.max_concurrent_slots } else { self.slots.median };
        slots.max(1.0)
    }

    /// Refreshes the median of the slots observed at the workers of the subset, and the number of slots that
    /// all nodes of the subset use together.
    ///
    /// One of many nodes seldom has two jobs at one worker. The number of slots in which its jobs run at all
    /// workers is an even share of the number for all nodes.
    pub fn refresh_slots(&mut self, now: Timestamp) {
        let nodes = f64::from(self.subset.nodes());
        let running =
            self.subset.members().iter().map(|index| self.workers[*index].slots_running_since(now)).sum();
        let running = self.slots.running.set(now, running, RUNNING_SLOTS_TIME_CONSTANT) * nodes;
        self.slots.extrapolated =
            (running / self.subset.len().max(1) as f64).clamp(1.0, MAX_WORKER_SLOTS as f64);
        let observed_workers = self.subset.members().iter().map(|index| &self.workers[*index]);
        let observed_workers =
            observed_workers.filter(|worker| worker.speed_ratio.samples > 0).take(MAX_SLOT_SAMPLES);
        let mut slots: ArrayVec<f64, MAX_SLOT_SAMPLES> =
            observed_workers.map(|worker| worker.max_concurrent_slots.max(1.0)).collect();
        slots.sort_unstable_by(f64::total_cmp);
        self.slots.median = slots.get(slots.len() / 2).copied().unwrap_or(1.0);
    }
}
