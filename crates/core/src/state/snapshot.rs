//! State snapshot: the state that a process of a node has learned of the workers, for its successor to
//! restore.
//!
//! A snapshot is not trusted. Every value is checked and bounded when it is restored. A snapshot adds to the
//! records only of workers that the successor's own endpoint list names. Estimates that the successor has
//! already made itself are kept.
//!
//! The serialized names are part of the protocol between processes of all versions. A process rejects unknown
//! fields. Times are in microseconds since the Unix epoch, according to the clock that both processes read.

use serde::{Deserialize, Serialize};

use super::untrusted::{clamp_hint_error, clamp_log_speed, clamp_seconds, clamp_slots};
use super::{Demand, Fleet, MAX_WORKER_KEYS, MachineKind, SpeedEstimate, SpeedRatio, WarmUpSend, Worker};
use crate::{KindId, TimeSpan, Timestamp, WorkerId};

/// Maximum number of workers in a snapshot, and of workers that are restored from one.
const MAX_WORKERS: usize = 4096;
/// Maximum number of warm-up sends of each worker in a snapshot, and of those that are restored from one.
const MAX_WARM_UP_SENDS: usize = 1024;
/// Maximum number of consecutive failures that are restored for a worker.
const MAX_CONSECUTIVE_FAILURES: u32 = 16;
/// Maximum remaining time of an ejection that is restored. Ejections take seconds, so a much later end is an
/// error.
const MAX_EJECTION: TimeSpan = TimeSpan::from_secs(60);

/// Learned state of a dispatcher.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateSnapshot {
    workers: Vec<WorkerSnapshot>,
    kinds: Vec<KindSnapshot>,
    /// Speed of the fleet as a whole.
    #[serde(rename = "all")]
    overall_speed: SpeedSnapshot,
    /// Mean error of hints, as a natural logarithm.
    hint_error: f64,
    /// Mean work of a job, in seconds at speed 1.
    #[serde(rename = "usual_work")]
    mean_work: f64,
    /// Keys of the jobs that were admitted last, oldest first.
    #[serde(rename = "keys")]
    recent_keys: Vec<u64>,
    /// Time at which the first job was admitted.
    #[serde(rename = "first_came")]
    first_submission_at: Timestamp,
}

/// Learned state of one worker. The fields are those of [`Worker`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkerSnapshot {
    id: u64,
    #[serde(rename = "offset")]
    log_speed_ratio: f64,
    #[serde(rename = "lessons")]
    speed_samples: u32,
    #[serde(rename = "seen_slots")]
    max_concurrent_slots: f64,
    #[serde(rename = "started")]
    started_at: Timestamp,
    #[serde(rename = "strikes")]
    consecutive_failures: u32,
    #[serde(rename = "avoid_until")]
    ejected_until: Timestamp,
    unreachable: bool,
    #[serde(rename = "owed")]
    reenabled_at: Option<Timestamp>,
    #[serde(rename = "keys")]
    recent_keys: Vec<u64>,
    #[serde(rename = "cold_sent")]
    warm_up_sends: Vec<WarmUpSendSnapshot>,
}

/// Work that was sent to a worker while it was warming up. It counts against the warm-up budget.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(Timestamp, f64)", into = "(Timestamp, f64)")]
struct WarmUpSendSnapshot {
    at: Timestamp,
    /// Work in seconds at speed 1, summed over all slots.
    work: f64,
}

/// Speed of a kind of machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct KindSnapshot {
    id: u32,
    #[serde(rename = "ln_speed")]
    log_speed: f64,
    #[serde(rename = "lessons")]
    samples: u32,
}

/// Speed estimate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, u32)", into = "(f64, u32)")]
struct SpeedSnapshot {
    /// Natural logarithm of the speed.
    log_speed: f64,
    /// Number of jobs from which the speed was learned.
    samples: u32,
}

impl StateSnapshot {
    /// Creates a snapshot of the learned state of the workers and of the demand.
    pub(crate) fn capture(fleet: &Fleet, demand: &Demand) -> Self {
        StateSnapshot {
            workers: fleet.workers.iter().take(MAX_WORKERS).map(WorkerSnapshot::from).collect(),
            kinds: fleet.kinds.iter().map(KindSnapshot::from).collect(),
            overall_speed: SpeedSnapshot::from(&fleet.overall_speed),
            hint_error: fleet.hint_error,
            mean_work: fleet.mean_work,
            recent_keys: fleet.recent_keys().collect(),
            first_submission_at: demand.first_submission_at,
        }
    }

    /// Adds the contents of the snapshot to the state. Records of workers that the present endpoint list does
    /// not name are ignored.
    pub(crate) fn restore_to(&self, now: Timestamp, fleet: &mut Fleet, demand: &mut Demand) {
        self.restore_speeds(fleet);
        self.restore_fleet_estimates(fleet);
        demand.first_submission_at = demand.first_submission_at.min(self.first_submission_at);
        for worker in self.workers.iter().take(MAX_WORKERS) {
            if let Some(index) = fleet.find(WorkerId(worker.id)) {
                worker.restore_to(now, &mut fleet.workers[index]);
            }
        }
    }

    fn restore_speeds(&self, fleet: &mut Fleet) {
        for kind in &self.kinds {
            let index = fleet.find_or_insert_kind(KindId(kind.id));
            kind.speed().restore_to(&mut fleet.kinds[index].speed);
        }
        self.overall_speed.restore_to(&mut fleet.overall_speed);
    }

    fn restore_fleet_estimates(&self, fleet: &mut Fleet) {
        if let Some(error) = clamp_hint_error(self.hint_error) {
            fleet.hint_error = error;
        }
        if let Some(work) = clamp_seconds(self.mean_work) {
            fleet.mean_work = work;
        }
        for key in &self.recent_keys {
            fleet.record_key(Some(*key));
        }
    }
}

impl WorkerSnapshot {
    fn restore_to(&self, now: Timestamp, worker: &mut Worker) {
        self.restore_speed(worker);
        self.restore_health(now, worker);
        for key in self.recent_keys.iter().rev().take(MAX_WORKER_KEYS) {
            worker.record_key(*key);
        }
        self.restore_warm_up_sends(now, worker);
        worker.gossip_pending = true;
        worker.invalidate_estimates();
    }

    fn restore_speed(&self, worker: &mut Worker) {
        if worker.speed_ratio.samples > 0 {
            return;
        }
        let Some(log_ratio) = clamp_log_speed(self.log_speed_ratio) else { return };
        worker.speed_ratio = SpeedRatio::new(log_ratio, self.speed_samples);
        let slots = clamp_slots(self.max_concurrent_slots).unwrap_or(0.0);
        worker.max_concurrent_slots = worker.max_concurrent_slots.max(slots);
    }

    fn restore_health(&self, now: Timestamp, worker: &mut Worker) {
        worker.started_at = worker.started_at.max(self.started_at.min(now));
        let failures = self.consecutive_failures.min(MAX_CONSECUTIVE_FAILURES);
        worker.health.consecutive_failures = worker.health.consecutive_failures.max(failures);
        let latest_ejection_end = now + MAX_EJECTION;
        worker.health.ejected_until =
            worker.health.ejected_until.max(self.ejected_until.min(latest_ejection_end));
        worker.health.unreachable |= self.unreachable;
        worker.reenabled_at = worker.reenabled_at.or(self.reenabled_at.map(|time| time.min(now)));
    }

    /// Inserts the sends of the predecessor before those of this process, so that all are in the order of
    /// their times.
    fn restore_warm_up_sends(&self, now: Timestamp, worker: &mut Worker) {
        let is_valid =
            |send: &&WarmUpSendSnapshot| send.at <= now && send.work.is_finite() && send.work >= 0.0;
        let restored = self.warm_up_sends.iter().filter(is_valid).take(MAX_WARM_UP_SENDS);
        let restored = restored.map(|send| WarmUpSend { at: send.at, work: send.work });
        let own = std::mem::take(&mut worker.warm_up_sends);
        worker.warm_up_sends = restored.chain(own).collect();
    }
}

impl From<&Worker> for WorkerSnapshot {
    fn from(worker: &Worker) -> Self {
        let warm_up_sends = worker.warm_up_sends.iter().take(MAX_WARM_UP_SENDS);
        WorkerSnapshot {
            id: worker.id.0,
            log_speed_ratio: worker.speed_ratio.log_ratio,
            speed_samples: worker.speed_ratio.samples,
            max_concurrent_slots: worker.max_concurrent_slots,
            started_at: worker.started_at,
            consecutive_failures: worker.health.consecutive_failures,
            ejected_until: worker.health.ejected_until,
            unreachable: worker.health.unreachable,
            reenabled_at: worker.reenabled_at,
            recent_keys: worker.recent_keys.iter().copied().collect(),
            warm_up_sends: warm_up_sends
                .map(|send| WarmUpSendSnapshot { at: send.at, work: send.work })
                .collect(),
        }
    }
}

impl From<(Timestamp, f64)> for WarmUpSendSnapshot {
    fn from((at, work): (Timestamp, f64)) -> Self {
        WarmUpSendSnapshot { at, work }
    }
}

impl From<WarmUpSendSnapshot> for (Timestamp, f64) {
    fn from(send: WarmUpSendSnapshot) -> Self {
        (send.at, send.work)
    }
}

impl KindSnapshot {
    fn speed(&self) -> SpeedSnapshot {
        SpeedSnapshot { log_speed: self.log_speed, samples: self.samples }
    }
}

impl From<&MachineKind> for KindSnapshot {
    fn from(kind: &MachineKind) -> Self {
        KindSnapshot { id: kind.id.0, log_speed: kind.speed.log_speed, samples: kind.speed.samples }
    }
}

impl SpeedSnapshot {
    /// Replaces an estimate that has no samples.
    fn restore_to(&self, estimate: &mut SpeedEstimate) {
        if estimate.samples > 0 {
            return;
        }
        if let Some(log_speed) = clamp_log_speed(self.log_speed) {
            *estimate = SpeedEstimate { log_speed, speed: log_speed.exp(), samples: self.samples };
        }
    }
}

impl From<&SpeedEstimate> for SpeedSnapshot {
    fn from(estimate: &SpeedEstimate) -> Self {
        SpeedSnapshot { log_speed: estimate.log_speed, samples: estimate.samples }
    }
}

impl From<(f64, u32)> for SpeedSnapshot {
    fn from((log_speed, samples): (f64, u32)) -> Self {
        SpeedSnapshot { log_speed, samples }
    }
}

impl From<SpeedSnapshot> for (f64, u32) {
    fn from(speed: SpeedSnapshot) -> Self {
        (speed.log_speed, speed.samples)
    }
}
