//! One worker: its entry in the endpoint list, its attempts in flight, and what was learned from them.

use std::collections::VecDeque;

use super::estimators::{DecayingSum, SpeedRatio};
use super::in_flight::InFlightAttempt;
use super::job::{Attempt, AttemptId};
use super::subset::Candidate;
use crate::{
    CellId, DeduplicationScope, Endpoint, KindId, Settings, TimeSpan, Timestamp, WorkerId, WorkerStatus,
    ZoneId,
};

/// Most keys that are remembered of one worker.
pub(crate) const MAX_WORKER_KEYS: usize = 16;
/// Time constant with which an unpredicted wait is forgotten.
pub(crate) const EXCESS_WAIT_TIME_CONSTANT: TimeSpan = TimeSpan::from_millis(300);

/// Time for which the estimates of a worker hold, unless something happens there.
const ESTIMATE_LIFETIME: TimeSpan = TimeSpan::from_millis(4);
/// Lower bound of the warm-up fraction, whatever the settings are, so that speeds stay above zero.
const MIN_WARM_UP_FRACTION: f64 = 0.01;

/// What another node reported of its own work at a worker.
pub(crate) struct RemoteBacklog {
    /// Number of that node.
    pub node: u32,
    /// Its remaining work there, in seconds at speed 1.
    pub work: f64,
    /// Slots that its attempts take there.
    pub slots: f64,
    /// When the report came.
    pub at: Timestamp,
}

/// Work that was sent to a worker while that was warming up.
#[derive(Clone, Copy)]
pub(crate) struct WarmUpSend {
    /// When.
    pub at: Timestamp,
    /// How much, in seconds at speed 1, all slots together.
    pub work: f64,
}

/// Health of a worker, by its recent failures.
#[derive(Clone, Copy, Default)]
pub(crate) struct WorkerHealth {
    /// Failures in a row, halved by each success.
    pub consecutive_failures: u32,
    /// Ejected for its failures until then.
    pub ejected_until: Timestamp,
    /// The last attempt could not connect.
    pub unreachable: bool,
}

/// Estimates that are derived from the record of a worker.
#[derive(Clone, Copy)]
pub(crate) struct WorkerEstimates {
    /// When they were derived; the origin of the clock if something has happened at the worker since.
    pub derived_at: Timestamp,
    /// Least share of its capacity that it has, by its age; 1 when warm.
    pub warm_up_fraction: f64,
    /// Present speed of a slot.
    pub speed: f64,
    /// r: the share of its capacity that is used.
    pub utilisation: f64,
    /// w: the wait for one slot, in seconds.
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

/// One worker.
pub(crate) struct Worker {
    /// The same number at every node.
    pub(super) id: WorkerId,
    /// Its zone.
    pub(super) zone: ZoneId,
    /// Its kind of machine.
    pub(super) kind: KindId,
    /// Its cell.
    pub(super) cell: CellId,
    /// Whether it takes work, by the endpoint list.
    pub(super) status: WorkerStatus,
    /// It belongs to this node's subset: see [`Fleet::subset`](super::Fleet::subset).
    pub(super) in_subset: bool,
    /// Last start as listed or inferred; the origin of the clock: long ago.
    pub(super) started_at: Timestamp,
    /// Listed size in slots; 1 where the list has no sizes.
    pub(super) listed_slots: f64,
    /// Index of its kind in [`Fleet::kinds`](super::Fleet::kinds).
    pub(super) kind_index: usize,
    /// Its speed over its kind's.
    pub(super) speed_ratio: SpeedRatio,
    /// Most slots seen running at once.
    pub(super) max_concurrent_slots: f64,
    /// Hinted work sent there.
    pub(super) sent_work: DecayingSum,
    /// Attempts sent there that have not ended, in the order of sends.
    pub(super) in_flight: Vec<InFlightAttempt>,
    /// Keys of the jobs sent there, the last one first.
    pub(super) recent_keys: VecDeque<u64>,
    /// Work sent there while it was warming up, as far as a budget counts it.
    pub(super) warm_up_sends: VecDeque<WarmUpSend>,
    /// Wait beyond the predicted one that starts there showed, in seconds.
    pub(super) excess_wait: DecayingSum,
    /// Other nodes' reports of their work there, one for each node.
    pub(super) remote_backlogs: Vec<RemoteBacklog>,
    /// Its health.
    pub(super) health: WorkerHealth,
    /// When operators enabled it again, while nothing has been sent there since.
    pub(super) reenabled_at: Option<Timestamp>,
    /// This node's work there has changed since it was last gossiped.
    pub(super) gossip_pending: bool,
    /// When it was last gossiped.
    pub(super) gossiped_at: Timestamp,
    /// Estimates derived from all that.
    pub(super) estimates: WorkerEstimates,
}

impl Worker {
    /// A worker of which nothing but its line in the list is known.
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

    /// Its number, the same at every node.
    pub fn id(&self) -> WorkerId {
        self.id
    }

    /// Its zone.
    pub fn zone(&self) -> ZoneId {
        self.zone
    }

    /// Its kind of machine.
    pub fn kind(&self) -> KindId {
        self.kind
    }

    /// Whether it belongs to this node's subset.
    pub fn is_in_subset(&self) -> bool {
        self.in_subset
    }

    /// Its health.
    pub fn health(&self) -> &WorkerHealth {
        &self.health
    }

    /// What was estimated of it last.
    pub fn estimates(&self) -> &WorkerEstimates {
        &self.estimates
    }

    /// When operators enabled it again, while nothing has been sent there since.
    pub fn reenabled_at(&self) -> Option<Timestamp> {
        self.reenabled_at
    }

    /// Whether this node has no attempt in flight there.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Work that was sent there while it was warming up, in the last `window` seconds.
    pub fn recent_warm_up_work(&self, now: Timestamp, window: f64) -> f64 {
        let is_recent = |send: &&WarmUpSend| now.seconds_since(send.at) < window;
        self.warm_up_sends.iter().filter(is_recent).map(|send| send.work).sum()
    }

    /// As a candidate for a subset, with its index in the fleet.
    pub(super) fn candidate(&self, index: usize) -> Candidate {
        Candidate { zone: self.zone, kind: self.kind, index }
    }

    /// Slots of the attempts that were running at that time and still are.
    pub fn slots_running_since(&self, time: Timestamp) -> f64 {
        let running =
            |attempt: &&InFlightAttempt| attempt.started_at.is_some_and(|started_at| started_at <= time);
        self.in_flight.iter().filter(running).map(|attempt| attempt.slots).sum()
    }

    /// Work that its attempts have left, in seconds at speed 1, all slots together.
    pub fn remaining_load(&self, now: Timestamp) -> f64 {
        let speed = self.estimates.speed;
        self.in_flight.iter().map(|attempt| attempt.remaining_work(now, speed) * attempt.slots).sum()
    }

    /// Slots that its attempts take or wait for.
    pub fn requested_slots(&self) -> f64 {
        self.in_flight.iter().map(|attempt| attempt.slots).sum()
    }

    /// Whether it discards repeats of what that attempt ran.
    pub fn deduplicates(&self, first: &Attempt, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.zone == self.zone,
            DeduplicationScope::Cell => first.zone == self.zone && first.cell == self.cell,
        }
    }

    /// Seconds by which the longest waiting attempt is past its predicted start.
    fn longest_start_delay(&self, now: Timestamp) -> f64 {
        let waiting = self.in_flight.iter().filter(|attempt| !attempt.has_started());
        waiting.map(|attempt| attempt.start_delay(now)).fold(0.0, f64::max)
    }

    /// Seconds of waiting at it that no node has reported: the excess wait of late starts, as it decays, but
    /// not less than what cannot have been worked off yet, since a node of many may not send there again
    /// before that.
    pub fn unreported_wait(&self, now: Timestamp) -> f64 {
        let decayed = self.excess_wait.get(now, EXCESS_WAIT_TIME_CONSTANT);
        decayed.max(self.excess_wait.linearly_decayed(now)).max(self.longest_start_delay(now))
    }

    /// Number of other keys that were sent there since this one; none if this one is not remembered.
    pub fn keys_sent_since(&self, key: u64) -> Option<usize> {
        self.recent_keys.iter().position(|known| *known == key)
    }

    /// Its rendezvous (highest random weight) hash for a key, the same at all nodes.
    pub fn rendezvous_weight(&self, key: u64) -> u64 {
        let mixed = (self.id.0 ^ key.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        (mixed ^ mixed >> 32).wrapping_mul(0xd6e8_feb8_6659_fd93)
    }

    /// Whether an attempt there should have been accepted by now and was not.
    pub fn has_overdue_acceptance(&self, now: Timestamp, timeout: TimeSpan) -> bool {
        self.in_flight.iter().any(|attempt| attempt.is_acceptance_overdue(now, timeout))
    }

    /// Whether its estimates have to be derived again before they are used.
    pub fn are_estimates_expired(&self, now: Timestamp) -> bool {
        now >= self.estimates.derived_at.saturating_add(ESTIMATE_LIFETIME)
    }

    /// Lower bound of the share of its capacity that it has now, growing evenly with its age; 1 when warm.
    pub fn warm_up_fraction(&self, now: Timestamp, settings: &Settings) -> f64 {
        if self.started_at == Timestamp::ORIGIN || settings.warm_up.is_zero() {
            return 1.0;
        }
        let floor = settings.warm_up_floor;
        let age = now.seconds_since(self.started_at) / settings.warm_up.as_secs_f64();
        (floor + (1.0 - floor) * age).clamp(MIN_WARM_UP_FRACTION, 1.0)
    }

    /// Whether this node's work there is to be gossiped: it has changed, or was reported more than `refresh`
    /// ago.
    pub fn is_gossip_due(&self, now: Timestamp, refresh: TimeSpan) -> bool {
        let is_old = now.saturating_since(self.gossiped_at) > refresh;
        self.gossip_pending || is_old && !self.is_idle()
    }

    /// An attempt that is in flight there.
    pub fn attempt(&self, id: AttemptId) -> Option<&InFlightAttempt> {
        self.in_flight.iter().find(|known| known.id() == id)
    }
}
