//! The workers of the endpoint list and what is known of them together: speeds, slots, start delays, usual
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

/// A start that is this late counts as delayed.
pub(crate) const LATE_START_THRESHOLD: TimeSpan = TimeSpan::from_millis(20);
/// Most slots that one worker counts as.
pub(super) const MAX_WORKER_SLOTS: usize = 16;
/// Weight of one attempt in the share of those that start promptly.
const PROMPT_START_GAIN: f64 = 0.1;
/// Time constant of the average of running slots.
const RUNNING_SLOTS_TIME_CONSTANT: TimeSpan = TimeSpan::from_secs(10);
/// Most workers that the median of slots is taken over.
const MAX_SLOT_SAMPLES: usize = 64;

/// What is known of all workers of one kind. One node of many seldom has a job at any one of them.
pub(crate) struct MachineKind {
    /// Which kind.
    pub id: KindId,
    /// Its speed.
    pub speed: SpeedEstimate,
    /// Seconds by which attempts started later than predicted.
    pub start_delay: WindowedMean,
    /// Hinted work sent.
    pub sent_work: DecayingSum,
    /// Estimate: work that its ready workers can do in a second.
    pub capacity: f64,
    /// Estimate: r, the share of that capacity that is used.
    pub utilisation: f64,
    /// Estimate: w, a wait that is not known of any one worker, in seconds.
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

/// Slots of the workers of a subset, taken together.
struct SlotEstimates {
    /// Slots that this node's own attempts have running, averaged.
    running: TimeWeightedAverage,
    /// Slots running at once at a worker, extrapolated from that to all nodes.
    extrapolated: f64,
    /// Median over the workers of the most slots seen running at once.
    median: f64,
}

impl Default for SlotEstimates {
    fn default() -> Self {
        SlotEstimates { running: TimeWeightedAverage::default(), extrapolated: 1.0, median: 1.0 }
    }
}

/// All workers that the endpoint list has named.
pub(crate) struct Fleet {
    /// Ordered by id. A worker that is gone stays until its attempts have ended.
    pub(super) workers: Vec<Worker>,
    /// Workers that operators have disabled, and when. Kept apart from the workers, since the list may drop
    /// one and name it again.
    pub(super) disabled: BTreeMap<WorkerId, Timestamp>,
    /// Workers that were enabled again and that the list does not name at present, and when.
    pub(super) reenabled_unlisted: BTreeMap<WorkerId, Timestamp>,
    /// Attempts to revoke, for which no action has been given yet: their worker takes no new work.
    pub(super) pending_revocations: Vec<AttemptId>,
    /// The workers that this node uses.
    pub(super) subset: Subset,
    /// Kinds of machine in the order of their first appearance.
    pub(super) kinds: Vec<MachineKind>,
    /// The speed of the fleet as a whole, for kinds of which nothing is known.
    pub(super) overall_speed: SpeedEstimate,
    /// Slots of workers at which none were observed.
    slots: SlotEstimates,
    /// Keys of the jobs that were submitted last, the oldest first.
    pub(super) recent_keys: VecDeque<u64>,
    /// The endpoint list has sizes.
    pub(super) sizes_listed: bool,
    /// Mean distance (of logarithms) between the speeds that jobs showed and those learned of their workers.
    pub(super) hint_error: f64,
    /// Share of the attempts that started promptly, lately.
    pub(super) prompt_start_share: f64,
    /// Mean hinted work of a job, in seconds at speed 1.
    pub(super) mean_work: f64,
    /// Work of the jobs of each class that came without a hint.
    unhinted_work: Vec<WorkEstimate>,
}

impl Fleet {
    /// A fleet without workers.
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

    /// Index of a worker.
    pub fn find(&self, id: WorkerId) -> Option<usize> {
        self.workers.binary_search_by_key(&id, |worker| worker.id).ok()
    }

    /// A worker by its index.
    pub fn worker(&self, index: usize) -> &Worker {
        &self.workers[index]
    }

    /// A worker by its index, to record something there.
    pub fn worker_mut(&mut self, index: usize) -> &mut Worker {
        &mut self.workers[index]
    }

    /// All workers, in the order of their ids.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// The workers that this node uses.
    pub fn subset(&self) -> &Subset {
        &self.subset
    }

    /// Index of a worker of this node's subset.
    pub fn find_in_subset(&self, is_wanted: impl Fn(&Worker) -> bool) -> Option<usize> {
        self.subset.members().iter().copied().find(|index| is_wanted(&self.workers[*index]))
    }

    /// What is known of all workers of a worker's kind.
    pub fn kind_of(&self, worker: &Worker) -> &MachineKind {
        &self.kinds[worker.kind_index]
    }

    /// Speed of a typical worker.
    pub fn typical_speed(&self) -> f64 {
        self.overall_speed.speed
    }

    /// Mean distance (of logarithms) between the speeds that jobs showed and those learned of their workers.
    pub fn hint_error(&self) -> f64 {
        self.hint_error
    }

    /// Share of the attempts that started promptly, lately.
    pub fn prompt_start_share(&self) -> f64 {
        self.prompt_start_share
    }

    /// The attempts that are to be revoked and were not returned by an earlier call.
    pub fn take_revocations(&mut self) -> impl Iterator<Item = AttemptId> {
        self.pending_revocations.drain(..)
    }

    /// Index of a kind. One that was not seen before is added.
    pub fn find_or_insert_kind(&mut self, id: KindId) -> usize {
        self.kinds.iter().position(|kind| kind.id == id).unwrap_or_else(|| {
            self.kinds.push(MachineKind::new(id));
            self.kinds.len() - 1
        })
    }

    /// The work of a job of that class that came without a hint, in seconds at speed 1.
    pub fn estimate_unhinted_work(&self, class: usize) -> f64 {
        self.unhinted_work.get(class).map_or(DEFAULT_JOB_WORK, |work| clamp_job_work(work.mean))
    }

    /// Adds the work of a submitted job to the mean.
    pub fn record_work(&mut self, work: f64) {
        self.mean_work += SHARED_ESTIMATE_GAIN * (work - self.mean_work);
    }

    /// Records the speed of an attempt that was served in `run` seconds. A worker is known by its speed
    /// relative to its kind's, and a kind by all jobs that its workers served: a node of many sees few jobs
    /// of each worker, and a kind may slow down as a whole.
    pub fn record_speed(&mut self, index: usize, attempt: &InFlightAttempt, run: f64) {
        let log_speed = self.measure_log_speed(index, attempt, run);
        let usual_error = self.hint_error;
        let error = log_speed - self.learned_speed(&self.workers[index]).ln();
        let worker = &mut self.workers[index];
        let kind_speed = &mut self.kinds[worker.kind_index].speed;
        self.overall_speed.add_sample(log_speed - self.overall_speed.log_speed, usual_error);
        kind_speed.add_sample(if kind_speed.samples > 0 { error } else { log_speed }, usual_error);
        worker.speed_ratio.add_sample(error);
        self.hint_error += SHARED_ESTIMATE_GAIN * (error.abs() - usual_error);
    }

    /// Natural logarithm of the speed that a served attempt showed. One without a hint is also a sample of
    /// its class's work.
    fn measure_log_speed(&mut self, index: usize, attempt: &InFlightAttempt, run: f64) -> f64 {
        let worker_speed = self.learned_speed(&self.workers[index]);
        let unhinted = attempt
            .unhinted
            .and_then(|UnhintedWork { class, work }| Some((self.unhinted_work.get_mut(class)?, work)));
        let Some((class_work, work)) = unhinted.filter(|_| attempt.work > 0.0) else {
            return (attempt.work / run).ln();
        };
        // The fetch, which is part of the run, is not part of the class's work.
        let run_without_fetch = run * work / attempt.work;
        class_work.add_sample(run_without_fetch * worker_speed);
        class_work.log_mean - run_without_fetch.ln()
    }

    /// Records how late an attempt started, in seconds: a sign of other nodes' work at all workers of that
    /// kind, and of how full the fleet is.
    pub fn record_start_delay(&mut self, now: Timestamp, index: usize, delay: f64) {
        let is_prompt = f64::from(u8::from(delay < LATE_START_THRESHOLD.as_secs_f64()));
        self.prompt_start_share += PROMPT_START_GAIN * (is_prompt - self.prompt_start_share);
        self.kinds[self.workers[index].kind_index].start_delay.add(now, delay);
    }

    /// Learned speed of a worker that is warm: its kind's, or the fleet's where that is not known, times its
    /// ratio.
    pub fn learned_speed(&self, worker: &Worker) -> f64 {
        let kind_speed = &self.kinds[worker.kind_index].speed;
        let speed = if kind_speed.samples > 0 { kind_speed.speed } else { self.overall_speed.speed };
        speed * worker.speed_ratio.ratio
    }

    /// A worker's slots: its listed size, or its learned slots where those are more.
    pub fn slots(&self, worker: &Worker) -> f64 {
        worker.listed_slots.max(self.learned_slots(worker))
    }

    /// A worker's slots as learned from running jobs, without the list.
    pub fn learned_slots(&self, worker: &Worker) -> f64 {
        self.observed_slots(worker).max(self.slots.extrapolated)
    }

    /// A worker's slots by this node's own jobs that were seen running at once, without extrapolation.
    pub fn observed_slots(&self, worker: &Worker) -> f64 {
        let slots =
            if worker.speed_ratio.samples > 0 { worker.max_concurrent_slots } else { self.slots.median };
        slots.max(1.0)
    }

    /// Refreshes the median of the slots seen at the subset's workers, and the slots that all of its nodes
    /// together use. A node of many seldom has two jobs at one worker; what it has running at all workers is
    /// an even part of what they run at once.
    pub fn refresh_slots(&mut self, now: Timestamp) {
        let nodes = f64::from(self.subset.nodes());
        let running =
            self.subset.members().iter().map(|index| self.workers[*index].slots_running_since(now)).sum();
        let running = self.slots.running.set(now, running, RUNNING_SLOTS_TIME_CONSTANT) * nodes;
        self.slots.extrapolated =
            (running / self.subset.len().max(1) as f64).clamp(1.0, MAX_WORKER_SLOTS as f64);
        let sampled = self.subset.members().iter().map(|index| &self.workers[*index]);
        let sampled = sampled.filter(|worker| worker.speed_ratio.samples > 0).take(MAX_SLOT_SAMPLES);
        let mut slots: ArrayVec<f64, MAX_SLOT_SAMPLES> =
            sampled.map(|worker| worker.max_concurrent_slots.max(1.0)).collect();
        slots.sort_unstable_by(f64::total_cmp);
        self.slots.median = slots.get(slots.len() / 2).copied().unwrap_or(1.0);
    }
}
