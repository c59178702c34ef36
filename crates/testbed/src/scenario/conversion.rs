//! Conversion of a scenario into machines, model parameters, the workload and the parameters of the rules.

use curlewusher_model::TimeSpan;
use curlewusher_model::worker_pool::{Machine, PoolParameters};
use curlewusher_model::workload::{JobClass, LoadSegment, WorkloadSpec};

use super::{Class, Idempotence, LoadCurveSegment, MachineKind, Scenario};
use crate::rules::{FootprintLimits, RetryPolicy, RuleParameters};

// Limits and tolerances of the rules; a scenario does not change them.
const SLACK: TimeSpan = TimeSpan::from_millis(50);
/// The same for responses while links are impaired: a worker's response may be delayed on its way.
const IMPAIRED_ANSWER_SLACK: TimeSpan = TimeSpan::from_millis(500);
const NOTIFIED_WITHIN: TimeSpan = TimeSpan::from_secs(6);
const STOP_WITHIN: TimeSpan = TimeSpan::from_millis(750);
const DRAIN_GRACE: TimeSpan = TimeSpan::from_millis(700);
/// A node may be held up for this long between reading its clock and writing.
const MAX_NODE_PAUSE: TimeSpan = TimeSpan::from_millis(150);
const SUCCESSOR_GRACE: TimeSpan = TimeSpan::from_secs(2);
/// Repeats of a job with an idempotency key are dropped in a bay for this long.
pub const DEDUPLICATION_WINDOW: TimeSpan = TimeSpan::from_secs(40);
/// Window in which work that is sent to a worker that warms up is added up.
pub const OVERLOAD_WINDOW: TimeSpan = TimeSpan::from_secs(2);
/// Multiple of its capacity at which a worker that warms up crashes.
pub const OVERLOAD_FACTOR: f64 = 3.0;
/// Memory of a node, all of its processes together, in MB.
pub const MEMORY_MB: f64 = 192.0;

/// Interval between two progress reports of a worker.
const PROGRESS_INTERVAL: TimeSpan = TimeSpan::from_secs(2);
/// Units of memory of a machine for each of its slots.
const MEMORY_PER_SLOT: f64 = 2.0;
/// Workers are dealt the kinds by this stride, which has no factor in common with most sizes and so mixes the kinds.
const KIND_STRIDE: usize = 7;

impl Scenario {
    /// Index of the kind of machine that a worker runs on.
    pub fn kind_index_of(&self, worker: usize) -> usize {
        let kinds = self.fleet.kinds.iter().enumerate();
        let dealt: Vec<usize> =
            kinds.flat_map(|(index, kind)| std::iter::repeat_n(index, kind.parts)).collect();
        dealt[(worker * KIND_STRIDE) % dealt.len()]
    }

    /// The kind of machine that a worker runs on.
    pub fn kind_of(&self, worker: usize) -> &MachineKind {
        &self.fleet.kinds[self.kind_index_of(worker)]
    }

    /// The machines of all workers.
    pub fn machines(&self) -> Vec<Machine> {
        (0..self.worker_count()).map(|worker| self.machine_of(worker)).collect()
    }

    fn machine_of(&self, worker: usize) -> Machine {
        let kind = self.kind_of(worker);
        Machine {
            cell: (worker % self.fleet.bays) as u32,
            cores: kind.cores,
            speed: kind.speed,
            slots: kind.slots,
            memory: f64::from(kind.slots) * MEMORY_PER_SLOT,
            queue_capacity: self.fleet.queue,
            cache_capacity: self.fleet.cached_sets,
        }
    }

    /// The parameters of the worker pool.
    pub fn pool_parameters(&self) -> PoolParameters {
        PoolParameters {
            initial_capacity_fraction: self.fleet.initial_capacity_fraction,
            warm_up_duration: TimeSpan::from_secs_f64(self.fleet.warm_up_s),
            overload_factor: OVERLOAD_FACTOR,
            overload_window: OVERLOAD_WINDOW,
            contention_penalty: self.fleet.contention_penalty,
            fetch_seconds: self.fleet.fetch_s,
            archive_concurrency: self.fleet.archive_concurrency,
            deduplication_window: DEDUPLICATION_WINDOW,
            progress_interval: PROGRESS_INTERVAL,
        }
    }

    /// What the jobs are drawn from.
    pub fn workload(&self) -> WorkloadSpec {
        WorkloadSpec {
            seed: self.seed,
            duration: TimeSpan::from_secs_f64(self.length_s),
            arrival_rate: self.load.rate,
            load_curve: self.load.load_curve.iter().map(LoadSegment::from).collect(),
            classes: self.classes.iter().map(JobClass::from).collect(),
            data_set_count: self.load.sets,
            zipf_exponent: self.load.skew,
            hint_spread: self.load.hint_spread,
        }
    }

    /// The limits of a node, all of its processes together.
    pub fn footprint_limits(&self) -> FootprintLimits {
        FootprintLimits { memory_mb: MEMORY_MB, descriptors: self.nodes.descriptors }
    }

    /// The limits and tolerances of the rules.
    pub fn rule_parameters(&self) -> RuleParameters {
        RuleParameters {
            classes: self.classes.iter().map(|class| class.idempotence.into()).collect(),
            tolerance: SLACK,
            response_tolerance: if self.needs_proxies() { IMPAIRED_ANSWER_SLACK } else { SLACK },
            max_notification_delay: NOTIFIED_WITHIN,
            max_stop_delay: STOP_WITHIN,
            drain_grace: DRAIN_GRACE,
            close_race_tolerance: MAX_NODE_PAUSE + SLACK,
            overload_window: OVERLOAD_WINDOW,
            successor_grace: SUCCESSOR_GRACE,
        }
    }
}

impl From<&LoadCurveSegment> for LoadSegment {
    fn from(segment: &LoadCurveSegment) -> Self {
        LoadSegment {
            from: TimeSpan::from_secs_f64(segment.from_s),
            until: TimeSpan::from_secs_f64(segment.until_s),
            factor: segment.factor,
        }
    }
}

impl From<&Class> for JobClass {
    fn from(class: &Class) -> Self {
        JobClass { weight: class.share, mean_work_seconds: class.mean_s, large_job_slots: class.slots }
    }
}

impl From<Idempotence> for RetryPolicy {
    fn from(idempotence: Idempotence) -> Self {
        match idempotence {
            Idempotence::Idempotent => RetryPolicy::Idempotent,
            Idempotence::IdempotentWithKey => RetryPolicy::IdempotentWithKey { window: DEDUPLICATION_WINDOW },
            Idempotence::NonIdempotent => RetryPolicy::NonIdempotent,
        }
    }
}
