//! One worker: its entry in the endpoint list, its attempts in flight, and what was learned from them.

use std::collections::VecDeque;

use super::estimators::{DecayingSum, SpeedRatio};
use super::job::{Attempt, AttemptId};
use crate::{
    CellId, DeduplicationScope, Endpoint, JobId, KindId, TimeSpan, Timestamp, WorkerId, WorkerStatus, ZoneId,
};

/// Most keys that are remembered of one worker.
pub(crate) const MAX_WORKER_KEYS: usize = 16;
/// Time constant with which an unpredicted wait is forgotten, in seconds.
pub(crate) const EXCESS_WAIT_SPAN_S: f64 = 0.3;

/// An attempt that was sent to a worker and has not ended.
pub(crate) struct InFlightAttempt {
    /// Its job.
    pub job: JobId,
    /// Its number among the job's attempts, from 0.
    pub attempt: u32,
    /// Hinted work, fetch included, in seconds at speed 1.
    pub work: f64,
    /// Slots that it takes.
    pub slots: f64,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// The worker has accepted it.
    pub accepted: bool,
    /// Its revocation was requested, which is done once.
    pub revoked: bool,
    /// Wait that was predicted when it was sent, in seconds.
    pub predicted_wait: f64,
    /// When it started to run.
    pub started_at: Option<Timestamp>,
    /// The last progress report.
    pub progress: Option<Progress>,
    /// Set where the job came without a hint.
    pub unhinted: Option<UnhintedWork>,
}

/// A worker's report on how far an attempt is.
#[derive(Clone, Copy)]
pub(crate) struct Progress {
    /// Share done, from 0 to 1.
    pub share: f64,
    /// When the report came.
    pub at: Timestamp,
}

/// The estimate that stood in for a missing hint.
#[derive(Clone, Copy)]
pub(crate) struct UnhintedWork {
    /// Index of the job's class in the settings.
    pub class: usize,
    /// Estimated work, in seconds at speed 1.
    pub work: f64,
}

impl InFlightAttempt {
    /// Whether the worker should have accepted it by now and has not. A timeout of 0 stands for workers that
    /// do not report it.
    pub fn is_acceptance_overdue(&self, now: Timestamp, timeout: TimeSpan) -> bool {
        !timeout.is_zero() && !self.accepted && now > self.sent_at + timeout
    }

    /// Whether it runs, as far as that is known.
    pub fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Seconds since the predicted start; negative before it.
    pub fn start_delay(&self, now: Timestamp) -> f64 {
        now.seconds_since(self.sent_at) - self.predicted_wait
    }
}

/// What another node reported of its own work at a worker.
pub(crate) struct PeerBacklog {
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

/// How well a worker suits the job that is being placed, best first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) enum PlacementTier {
    /// A slot is about to be free, and the job would meet its objective.
    Immediate,
    /// The job would meet its objective after a wait.
    Queued,
    /// The job would miss its objective.
    Late,
    /// The job may not be sent there.
    Ineligible,
}

/// A worker's rating for the job that is being placed: the lower one is better, by tier first and then by
/// cost.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct PlacementRating {
    /// See [`PlacementTier`].
    pub tier: PlacementTier,
    /// x + w / (1 - r), in seconds.
    pub cost: f64,
}

impl PlacementRating {
    /// The worst rating.
    pub const INELIGIBLE: Self = PlacementRating { tier: PlacementTier::Ineligible, cost: f64::INFINITY };
}

/// What a job would meet at a worker.
#[derive(Clone, Copy)]
pub(crate) struct PlacementEstimate {
    /// Index of the worker.
    pub worker_index: usize,
    /// The worker's rating for the job, where it has been rated.
    pub rating: PlacementRating,
    /// x: seconds of running there, fetch included.
    pub run: f64,
    /// The part of those that is relied on: see [`RELIABLE_HINT_SHARE`](super::RELIABLE_HINT_SHARE).
    pub reliable_run: f64,
    /// w: seconds of waiting there before.
    pub wait: f64,
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
    /// When they were derived; 0: something has happened there since.
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
    pub id: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes work, by the endpoint list.
    pub status: WorkerStatus,
    /// It belongs to this node's subset: see [`Fleet::subset`](super::Fleet::subset).
    pub in_subset: bool,
    /// Last start as listed or inferred; 0: long ago.
    pub started_at: Timestamp,
    /// Listed size in slots; 1 where the list has no sizes.
    pub listed_slots: f64,
    /// Index of its kind in [`Fleet::kinds`](super::Fleet::kinds).
    pub kind_index: usize,
    /// Its speed over its kind's.
    pub speed_ratio: SpeedRatio,
    /// Most slots seen running at once.
    pub max_concurrent_slots: f64,
    /// Hinted work sent there.
    pub sent_work: DecayingSum,
    /// Attempts sent there that have not ended, in the order of sends.
    pub in_flight: Vec<InFlightAttempt>,
    /// Keys of the jobs sent there, the last one first.
    pub recent_keys: VecDeque<u64>,
    /// Work sent there while it was warming up, as far as a budget counts it.
    pub warm_up_sends: VecDeque<WarmUpSend>,
    /// Wait beyond the predicted one that starts there showed, in seconds.
    pub excess_wait: DecayingSum,
    /// Other nodes' reports of their work there, one for each node.
    pub peer_backlogs: Vec<PeerBacklog>,
    /// Its health.
    pub health: WorkerHealth,
    /// When operators enabled it again, while nothing has been sent there since.
    pub reenabled_at: Option<Timestamp>,
    /// This node's work there has changed since it was last gossiped.
    pub gossip_pending: bool,
    /// When it was last gossiped.
    pub gossiped_at: Timestamp,
    /// Estimates derived from all that.
    pub estimates: WorkerEstimates,
    /// Its rating for the job that was placed last.
    pub rating: PlacementRating,
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
            peer_backlogs: Vec::new(),
            health: WorkerHealth::default(),
            reenabled_at: None,
            gossip_pending: false,
            gossiped_at: Timestamp::ORIGIN,
            estimates: WorkerEstimates::default(),
            rating: PlacementRating::INELIGIBLE,
        }
    }

    /// Slots of the attempts that were running at that time and still are.
    pub fn slots_running_since(&self, time: Timestamp) -> f64 {
        let running = |attempt: &&InFlightAttempt| attempt.started_at.is_some_and(|at| at <= time);
        self.in_flight.iter().filter(running).map(|attempt| attempt.slots).sum()
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
    pub fn unobserved_wait(&self, now: Timestamp) -> f64 {
        let decayed = self.excess_wait.get(now, EXCESS_WAIT_SPAN_S);
        decayed.max(self.excess_wait.worked_off(now)).max(self.longest_start_delay(now))
    }

    /// Number of other keys that were sent there since this one; none if this one is not remembered.
    pub fn keys_sent_since(&self, key: u64) -> Option<usize> {
        self.recent_keys.iter().position(|known| *known == key)
    }

    /// Records the key of a job that is sent there.
    pub fn record_key(&mut self, key: u64) {
        self.recent_keys.retain(|known| *known != key);
        self.recent_keys.push_front(key);
        self.recent_keys.truncate(MAX_WORKER_KEYS);
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

    /// Something has happened there: its estimates have to be derived again before they are used.
    pub fn invalidate_estimates(&mut self) {
        self.estimates.derived_at = Timestamp::ORIGIN;
    }

    /// Records a sign that it can be reached.
    pub fn record_contact(&mut self, now: Timestamp) {
        self.invalidate_estimates();
        if self.health.unreachable {
            // It may have restarted and be cold, long before the list shows that.
            self.health.unreachable = false;
            self.started_at = self.started_at.max(now);
        }
    }

    /// Operators have enabled it, having disabled it at `disabled_at`. They usually restart it meanwhile and
    /// the list is late: unless the list shows a start since then, it is assumed to start now.
    pub fn reenable(&mut self, disabled_at: Timestamp, now: Timestamp) {
        if self.started_at < disabled_at || self.started_at == Timestamp::ORIGIN {
            self.started_at = now;
        }
        self.health = WorkerHealth::default();
        self.reenabled_at = Some(now);
        self.invalidate_estimates();
    }

    /// Marks its attempts that it has not accepted as revoked, since they may not have been sent yet. Returns
    /// those that were not marked before.
    pub fn revoke_unaccepted(&mut self) -> impl Iterator<Item = AttemptId> {
        self.in_flight.iter_mut().filter(|attempt| !attempt.accepted && !attempt.revoked).map(|attempt| {
            attempt.revoked = true;
            AttemptId { job: attempt.job, number: attempt.attempt }
        })
    }

    /// Removes an attempt that has ended.
    pub fn remove_attempt(&mut self, job: JobId, attempt: u32) -> Option<InFlightAttempt> {
        let index = self.in_flight.iter().position(|known| known.job == job && known.attempt == attempt)?;
        self.gossip_pending = true;
        self.invalidate_estimates();
        Some(self.in_flight.remove(index))
    }

    /// An attempt that is in flight there.
    pub fn attempt_mut(&mut self, job: JobId, attempt: u32) -> Option<&mut InFlightAttempt> {
        self.in_flight.iter_mut().find(|known| known.job == job && known.attempt == attempt)
    }
}
