//! Conversion of a scenario into machines, model parameters, the workload and the parameters of the rules.
//!
//! The limits and tolerances of the rules are constants, which a scenario cannot change.

use curlewusher_model::TimeSpan;
use curlewusher_model::worker_pool::{Machine, PoolParameters};
use curlewusher_model::workload::{JobClass, LoadSegment, WorkloadSpec};

use super::{Class, Idempotency, LoadCurveSegment, MachineKind, Scenario};
use crate::rules::{FootprintLimits, RetryPolicy, RuleParameters};

/// Tolerance that is added to each time limit of the rules.
const TIME_TOLERANCE: TimeSpan = TimeSpan::from_millis(50);
/// Time by which a response may exceed the client's timeout in a scenario that can impair links, because a
/// link may delay the response of a worker.
const IMPAIRED_RESPONSE_TOLERANCE: TimeSpan = TimeSpan::from_millis(500);
/// Duration after which all nodes count as notified of a change that discovery has received.
const MAX_NOTIFICATION_DELAY: TimeSpan = TimeSpan::from_secs(6);
/// Duration within which a node must stop sending to a worker, once the node is notified that the worker is
/// draining or has exited.
const MAX_STOP_DELAY: TimeSpan = TimeSpan::from_millis(750);
/// Duration after SIGTERM from which a request may cross the close of its connection.
const DRAIN_GRACE: TimeSpan = TimeSpan::from_millis(700);
/// Maximum delay of a node between reading its clock and writing.
const MAX_NODE_PAUSE: TimeSpan = TimeSpan::from_millis(150);
/// Time from the first readiness of a successor until its node counts as notified of the endpoint entries
/// that it received during the upgrade.
const SUCCESSOR_GRACE: TimeSpan = TimeSpan::from_secs(2);
/// Time after the first arrival of a job with an idempotency key for which its cell drops duplicates of the
/// job once the job has completed.
pub const DEDUPLICATION_WINDOW: TimeSpan = TimeSpan::from_secs(40);
/// Period over which the work that is sent to a worker that is warming up is added up.
pub const OVERLOAD_WINDOW: TimeSpan = TimeSpan::from_secs(2);
/// Multiple of the current capacity of a worker that is warming up. The worker crashes when the work offered
/// to it within [`OVERLOAD_WINDOW`] exceeds this multiple of the work that it can do in that time.
pub const OVERLOAD_FACTOR: f64 = 3.0;
/// Memory limit of a node for which the scenario sets none, for all of its processes together, in MB.
pub(super) const DEFAULT_MEMORY_LIMIT_MB: u32 = 192;

/// Interval between two progress reports of a worker.
const PROGRESS_INTERVAL: TimeSpan = TimeSpan::from_secs(2);
/// Units of memory of a machine for each slot.
const MEMORY_PER_SLOT: f64 = 2.0;
/// Stride through the weighted list of kinds from one worker to the next. The stride is coprime to most
/// lengths of the list, which mixes the kinds.
const KIND_STRIDE: usize = 7;

impl Scenario {
    /// Returns the index of the kind of machine on which a worker runs.
    pub fn kind_index_of(&self, worker: usize) -> usize {
        let kinds = self.fleet.kinds.iter().enumerate();
        let weighted_kinds: Vec<usize> =
            kinds.flat_map(|(index, kind)| std::iter::repeat_n(index, kind.parts)).collect();
        weighted_kinds[(worker * KIND_STRIDE) % weighted_kinds.len()]
    }

    /// Returns the kind of machine on which a worker runs.
    pub fn kind_of(&self, worker: usize) -> &MachineKind {
        &self.fleet.kinds[self.kind_index_of(worker)]
    }

    /// Returns the machines of all workers.
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

    /// Returns the parameters of the worker pool.
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

    /// Returns the parameters from which the jobs are generated.
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

    /// Returns the limits of a node, for all of its processes together.
    pub fn footprint_limits(&self) -> FootprintLimits {
        FootprintLimits {
            memory_mb: f64::from(self.nodes.memory_limit_mb()),
            descriptors: self.nodes.descriptors,
        }
    }

    /// Returns the limits and tolerances of the rules.
    pub fn rule_parameters(&self) -> RuleParameters {
        RuleParameters {
            classes: self.classes.iter().map(|class| class.idempotency.into()).collect(),
            tolerance: TIME_TOLERANCE,
            response_tolerance: if self.needs_proxies() {
                IMPAIRED_RESPONSE_TOLERANCE
            } else {
                TIME_TOLERANCE
            },
            max_notification_delay: MAX_NOTIFICATION_DELAY,
            max_stop_delay: MAX_STOP_DELAY,
            drain_grace: DRAIN_GRACE,
            close_race_tolerance: MAX_NODE_PAUSE + TIME_TOLERANCE,
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

impl From<Idempotency> for RetryPolicy {
    fn from(idempotency: Idempotency) -> Self {
        match idempotency {
            Idempotency::Idempotent => RetryPolicy::Idempotent,
            Idempotency::IdempotentWithKey => RetryPolicy::IdempotentWithKey { window: DEDUPLICATION_WINDOW },
            Idempotency::NonIdempotent => RetryPolicy::NonIdempotent,
        }
    }
}
