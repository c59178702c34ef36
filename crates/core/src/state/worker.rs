//! Record of a worker: its entry in the endpoint list, its attempts in flight, and the values learned from
//! them.

use std::collections::VecDeque;

use super::estimators::{DecayingSum, SpeedRatio};
use super::in_flight::InFlightAttempt;
use super::job::{Attempt, AttemptId};
use super::subset::Candidate;
use crate::{
    CellId, DeduplicationScope, Endpoint, KindId, Settings, TimeSpan, Timestamp, WorkerId, WorkerStatus,
    ZoneId,
};

/// Maximum number of recent keys that are recorded for one worker.
pub(crate) const MAX_WORKER_KEYS: usize = 16;
/// Time constant of the decay of a wait beyond the predicted one.
pub(crate) const EXCESS_WAIT_TIME_CONSTANT: TimeSpan = TimeSpan::from_millis(300);

/// Lifetime of the estimates of a worker. An event of the worker ends it early.
const ESTIMATE_LIFETIME: TimeSpan = TimeSpan::from_millis(4);
/// Lower bound of the warm-up fraction regardless of the settings. It keeps speeds above zero.
const MIN_WARM_UP_FRACTION: f64 = 0.01;

/// Work of another node at a worker, as reported by that node.
pub(crate) struct RemoteBacklog {
    /// Index of the other node.
    pub node: u32,
    /// Remaining work of that node at the worker, in seconds at speed 1.
    pub work: f64,
    /// Number of slots that the attempts of that node take.
    pub slots: f64,
    /// Time at which the report arrived.
    pub at: Timestamp,
}

/// Work that was sent to a worker while it was warming up.
#[derive(Clone, Copy)]
pub(crate) struct WarmUpSend {
    /// Time at which the work was sent.
    pub at: Timestamp,
    /// Work in seconds at speed 1, summed over all slots.
    pub work: f64,
}

/// Health of a worker, based on its recent failures.
#[derive(Clone, Copy, Default)]
pub(crate) struct WorkerHealth {
    /// Number of consecutive failures, halved by each success.
    pub consecutive_failures: u32,
    /// End of the ejection of the worker for its failures.
    pub ejected_until: Timestamp,
    /// Whether an attempt could not connect and the worker has not been reached since.
    pub unreachable: bool,
}

/// Estimates that are derived from the record of a worker.
#[derive(Clone, Copy)]
pub(crate) struct WorkerEstimates {
    /// Time at which the estimates were derived. An event of the worker invalidates the estimates and sets
    /// this time to [`Timestamp::ORIGIN`].
    pub derived_at: Timestamp,
    /// Lower bound of the fraction of its capacity that the worker has at its age; 1 when warm.
    pub warm_up_fraction: f64,
    /// Present speed of a slot.
    pub speed: f64,
    /// r: share of the capacity of the worker that is used.
    pub utilisation: f64,
    /// w: wait for one slot, in seconds.
    pub wait: f64,
}

impl Default for WorkerEstimates {
    fn default() -> Self {
        WorkerEstimates {
            derived_at: Timestamp::ORIGIN,
            warm_up_fraction: 1.0,
            speed: 1.0,
            utilisation: 0.0,
            wait: 0.0,
        }
    }
}

/// Record of one worker.
pub(crate) struct Worker {
    /// Identifier of the worker, which is the same at every node.
    pub(super) id: WorkerId,
    /// Zone of the worker.
    pub(super) zone: ZoneId,
    /// Kind of machine of the worker.
    pub(super) kind: KindId,
    /// Cell of the worker.
    pub(super) cell: CellId,
    /// Status of the worker in the endpoint list.
    pub(super) status: WorkerStatus,
    /// Whether the worker belongs to this node's subset, see [`Fleet::subset`](super::Fleet::subset).
    pub(super) in_subset: bool,
    /// Last start of the worker, listed or inferred. [`Timestamp::ORIGIN`] represents an unknown start long
    /// ago.
    pub(super) started_at: Timestamp,
    /// Listed size in slots; 1 if the endpoint list has no sizes.
    pub(super) listed_slots: f64,
    /// Index of the kind in [`Fleet::kinds`](super::Fleet::kinds).
    pub(super) kind_index: usize,
    /// Ratio of the speed of the worker to the speed of its kind.
    pub(super) speed_ratio: SpeedRatio,
    /// Maximum number of slots observed running at once.
    pub(super) max_concurrent_slots: f64,
    /// Hinted work sent to the worker.
    pub(super) sent_work: DecayingSum,
    /// Attempts sent to the worker that have not ended, in the order in which they were sent.
    pub(super) in_flight: Vec<InFlightAttempt>,
    /// Keys of the jobs sent to the worker, most recent first.
    pub(super) recent_keys: VecDeque<u64>,
    /// Work sent to the worker while it was warming up, as far as it counts against the warm-up budget.
    pub(super) warm_up_sends: VecDeque<WarmUpSend>,
    /// Wait beyond the predicted one, derived from the starts of attempts, in seconds.
    pub(super) excess_wait: DecayingSum,
    /// Reports of other nodes on their work at the worker, at most one of each node.
    pub(super) remote_backlogs: Vec<RemoteBacklog>,
    /// Health of the worker.
    pub(super) health: WorkerHealth,
    /// Time at which operators enabled the worker again; `None` once something has been sent to it since.
    pub(super) reenabled_at: Option<Timestamp>,
    /// Whether this node's work at the worker has changed since it was last gossiped.
    pub(super) gossip_pending: bool,
    /// Time at which this node's work at the worker was last gossiped.
    pub(super) gossiped_at: Timestamp,
    /// Estimates derived from the other fields.
    pub(super) estimates: WorkerEstimates,
}

impl Worker {
    /// Returns a worker without observations, from its entry in the endpoint list.
    pub fn new(endpoint: &Endpoint, kind_index: usize) -> Self {
        Worker {
            id: endpoint.worker,
            zone: endpoint.zone,
            kind: endpoint.kind,
            cell: endpoint.cell,
            status: endpoint.status,
            in_subset: false,
            started_at: endpoint.started_at,
            listed_slots: 1.0,
            kind_index,
            speed_ratio: SpeedRatio::UNKNOWN,
            max_concurrent_slots: 0.0,
            sent_work: DecayingSum::default(),
            in_flight: Vec::new(),
            recent_keys: VecDeque::new(),
            warm_up_sends: VecDeque::new(),
            excess_wait: DecayingSum::default(),
            remote_backlogs: Vec::new(),
            health: WorkerHealth::default(),
            reenabled_at: None,
            gossip_pending: false,
            gossiped_at: Timestamp::ORIGIN,
            estimates: WorkerEstimates::default(),
        }
    }

    /// Returns the identifier of the worker, which is the same at every node.
    pub fn id(&self) -> WorkerId {
        self.id
    }

    /// Returns the zone of the worker.
    pub fn zone(&self) -> ZoneId {
        self.zone
    }

    /// Returns the kind of machine of the worker.
    pub fn kind(&self) -> KindId {
        self.kind
    }

    /// Returns whether the worker belongs to this node's subset.
    pub fn is_in_subset(&self) -> bool {
        self.in_subset
    }

    /// Returns the health of the worker.
    pub fn health(&self) -> &WorkerHealth {
        &self.health
    }

    /// Returns the last derived estimates.
    pub fn estimates(&self) -> &WorkerEstimates {
        &self.estimates
    }

    /// Returns the time at which operators enabled the worker again; `None` once something has been sent to
    /// it since.
    pub fn reenabled_at(&self) -> Option<Timestamp> {
        self.reenabled_at
    }

    /// Returns whether this node has no attempt in flight at the worker.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Returns the work that was sent to the worker while it was warming up, in the last `window` seconds.
    pub fn recent_warm_up_work(&self, now: Timestamp, window: f64) -> f64 {
        let is_recent = |send: &&WarmUpSend| now.seconds_since(send.at) < window;
        self.warm_up_sends.iter().filter(is_recent).map(|send| send.work).sum()
    }

    /// Returns the worker as a candidate for a subset. `index` is its index in the fleet.
    pub(super) fn to_candidate(&self, index: usize) -> Candidate {
        Candidate { zone: self.zone, kind: self.kind, index }
    }

    /// Returns the slots of the attempts that have been running since `time`.
    pub fn slots_running_since(&self, time: Timestamp) -> f64 {
        let running =
            |attempt: &&InFlightAttempt| attempt.started_at.is_some_and(|started_at| started_at <= time);
        self.in_flight.iter().filter(running).map(|attempt| attempt.slots).sum()
    }

    /// Returns the remaining work of the attempts in flight, in seconds at speed 1, summed over all slots.
    pub fn remaining_load(&self, now: Timestamp) -> f64 {
        let speed = self.estimates.speed;
        self.in_flight.iter().map(|attempt| attempt.remaining_work(now, speed) * attempt.slots).sum()
    }

    /// Returns the number of slots that the attempts in flight take or wait for.
    pub fn requested_slots(&self) -> f64 {
        self.in_flight.iter().map(|attempt| attempt.slots).sum()
    }

    /// Returns whether the worker discards duplicate runs of the job that attempt `first` ran.
    pub fn deduplicates(&self, first: &Attempt, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.zone == self.zone,
            DeduplicationScope::Cell => first.zone == self.zone && first.cell == self.cell,
        }
    }

    /// Returns the seconds by which the longest waiting attempt is past its predicted start; 0 if none is.
    fn longest_start_delay(&self, now: Timestamp) -> f64 {
        let waiting = self.in_flight.iter().filter(|attempt| !attempt.has_started());
        waiting.map(|attempt| attempt.start_delay(now)).fold(0.0, f64::max)
    }

    /// Returns the seconds of waiting at the worker that no node has reported.
    ///
    /// The value is the decayed excess wait derived from late starts, but at least the wait that the worker
    /// cannot have worked off yet, since one of many nodes may not send to it again before that. It is also
    /// at least the start delay of the attempt that is waiting longest.
    pub fn unreported_wait(&self, now: Timestamp) -> f64 {
        let decayed = self.excess_wait.get(now, EXCESS_WAIT_TIME_CONSTANT);
        decayed.max(self.excess_wait.linearly_decayed(now)).max(self.longest_start_delay(now))
    }

    /// Returns the number of other keys that were sent to the worker since `key`; `None` if `key` is not
    /// among the recent keys.
    pub fn keys_sent_since(&self, key: u64) -> Option<usize> {
        self.recent_keys.iter().position(|recent| *recent == key)
    }

    /// Returns the rendezvous hash (highest random weight) of the worker for a key, which is the same at all
    /// nodes.
    pub fn rendezvous_weight(&self, key: u64) -> u64 {
        let mixed = (self.id.0 ^ key.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        (mixed ^ mixed >> 32).wrapping_mul(0xd6e8_feb8_6659_fd93)
    }

    /// Returns whether an attempt at the worker should have been accepted by now and has not been.
    pub fn has_overdue_acceptance(&self, now: Timestamp, timeout: TimeSpan) -> bool {
        self.in_flight.iter().any(|attempt| attempt.is_acceptance_overdue(now, timeout))
    }

    /// Returns whether the estimates have to be derived again before they are used.
    pub fn are_estimates_expired(&self, now: Timestamp) -> bool {
        now >= self.estimates.derived_at.saturating_add(ESTIMATE_LIFETIME)
    }

    /// Returns the lower bound of the fraction of its capacity that the worker has now; 1 when warm. The
    /// bound grows linearly with the age of the worker.
    pub fn warm_up_fraction(&self, now: Timestamp, settings: &Settings) -> f64 {
        if self.started_at == Timestamp::ORIGIN || settings.warm_up.is_zero() {
            return 1.0;
        }
        let floor = settings.warm_up_floor;
        let age = now.seconds_since(self.started_at) / settings.warm_up.as_secs_f64();
        (floor + (1.0 - floor) * age).clamp(MIN_WARM_UP_FRACTION, 1.0)
    }

    /// Returns whether this node's work at the worker is due to be gossiped: it has changed, or the worker is
    /// not idle and the last report is older than `refresh`.
    pub fn is_gossip_due(&self, now: Timestamp, refresh: TimeSpan) -> bool {
        let is_old = now.saturating_since(self.gossiped_at) > refresh;
        self.gossip_pending || is_old && !self.is_idle()
    }

    /// Returns an attempt that is in flight at the worker.
    pub fn attempt(&self, id: AttemptId) -> Option<&InFlightAttempt> {
        self.in_flight.iter().find(|attempt| attempt.id() == id)
    }
}
