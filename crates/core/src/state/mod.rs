//! What a dispatcher knows: records, estimators and plain arithmetic. No decisions are made here.
//!
//! Modules depend one way: `dispatcher` on `policy` and `state`, `policy` on `state`, and `state` on neither.
//! [`Dispatcher`] is defined at this lowest level so that the other two can implement their methods on it.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `estimators` | decaying sum, averages, token bucket, estimates of speed and work |
//! | `worker`, `job`, `fleet` | the records of a worker, a job, and all workers together |
//! | `subset` | which workers this node uses |
//! | `affinity` | which workers are likely to hold what a key stands for |
//! | `budgets` | tenants' quotas, and what retries and hedged requests may use |
//! | `load` | the demand of clients, and the capacity of workers |
//! | `estimates` | x, w and r of the cost, derived from the records |
//! | `attempts` | updates of the records when an attempt is sent, starts, progresses and ends |

mod affinity;
mod attempts;
mod budgets;
mod estimates;
mod estimators;
mod fleet;
mod job;
mod load;
mod subset;
mod worker;

use std::collections::{BTreeMap, BTreeSet};

use crate::permission::Violations;
use crate::poll_schedule::PollSchedule;
use crate::{Idempotency, JobId, Settings, SettingsError, Timestamp};

pub(crate) use attempts::EndedAttempt;
pub(crate) use budgets::{Admission, Budgets};
pub(crate) use estimates::RELIABLE_HINT_SHARE;
pub(crate) use estimators::{SpeedEstimate, SpeedRatio};
pub(crate) use fleet::{Fleet, LATE_START_S, MachineKind};
pub(crate) use job::{Attempt, AttemptRef, Job, MAX_ATTEMPTS, MAX_JOB_SLOTS, QueueKey, clamp_job_work};
pub(crate) use load::{Capacity, DEMAND_SPAN_S, Demand};
pub(crate) use worker::{
    InFlightAttempt, MAX_WORKER_KEYS, PeerBacklog, PlacementEstimate, PlacementRating, PlacementTier,
    Progress, WarmUpSend, Worker, WorkerEstimates,
};

/// The dispatcher of one node: give it events, carry out its actions.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    /// Workers.
    pub(crate) fleet: Fleet,
    /// Jobs that are open, or that have an attempt in flight.
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs without an attempt in flight, in the order in which they are sent.
    pub(crate) queue: BTreeSet<QueueKey>,
    pub(crate) admission: Admission,
    pub(crate) demand: Demand,
    pub(crate) capacity: Capacity,
    pub(crate) budgets: Budgets,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) timer: Timer,
    pub(crate) gossip: GossipState,
    pub(crate) poll_schedule: PollSchedule,
    pub(crate) violations: Violations,
    pub(crate) buffers: Buffers,
}

/// Where this process is in the life of its node.
pub(crate) struct Lifecycle {
    /// All jobs must be answered by then.
    pub shutdown_at: Timestamp,
    /// Another process of this node has taken over.
    pub is_superseded: bool,
}

/// The embedder's timer.
#[derive(Default)]
pub(crate) struct Timer {
    /// When it expires; none where it is not set.
    pub expires_at: Option<Timestamp>,
}

/// When this node's work is gossiped.
#[derive(Default)]
pub(crate) struct GossipState {
    /// This node's work at some worker has changed since it was last gossiped.
    pub has_changes: bool,
    /// When the next messages are due.
    pub due_at: Option<Timestamp>,
}

/// Scratch lists, kept between calls to save allocations.
#[derive(Default)]
pub(crate) struct Buffers {
    /// Open jobs of a sweep.
    pub open_jobs: Vec<JobId>,
    /// Indices of the workers that are rated for a job.
    pub candidates: Vec<usize>,
}

impl Dispatcher {
    /// A dispatcher that knows nothing but its settings. Give it
    /// [`Event::TimerExpired`](crate::Event::TimerExpired) first.
    ///
    /// # Errors
    /// Where the settings contradict themselves; the error names the field.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Dispatcher {
            rng: fastrand::Rng::with_seed(seed),
            fleet: Fleet::new(&settings),
            jobs: BTreeMap::new(),
            queue: BTreeSet::new(),
            admission: Admission::new(&settings),
            demand: Demand::default(),
            capacity: Capacity::default(),
            budgets: Budgets::default(),
            lifecycle: Lifecycle { shutdown_at: Timestamp::MAX, is_superseded: false },
            timer: Timer::default(),
            gossip: GossipState::default(),
            poll_schedule: PollSchedule::new(&settings),
            violations: Violations::default(),
            buffers: Buffers::default(),
            settings,
        })
    }

    /// What was decided without permission and therefore not done, by reason.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Keeps a job for as long as something may still come of it.
    pub(crate) fn store_job(&mut self, job: Job) {
        if !job.is_answered || !job.is_idle() {
            self.jobs.insert(job.id, job);
        }
    }

    /// Index of the worker that has an attempt, in flight or ended.
    pub(crate) fn worker_index_of(&self, job: JobId, attempt: u32) -> Option<usize> {
        let attempt = self.jobs.get(&job)?.attempts.get(attempt as usize)?;
        self.fleet.find(attempt.worker)
    }

    /// The record of an attempt that is in flight.
    pub(crate) fn in_flight_attempt(&self, job: JobId, attempt: AttemptRef) -> Option<&InFlightAttempt> {
        let worker = &self.fleet.workers[self.fleet.find(attempt.worker)?];
        worker.in_flight.iter().find(|known| known.job == job && known.attempt == attempt.number)
    }

    /// Whether a job may run any number of times, anywhere.
    pub(crate) fn is_idempotent(&self, job: &Job) -> bool {
        self.settings.classes[job.class].idempotency == Idempotency::Idempotent
    }

    /// Most attempts of a job.
    pub(crate) fn max_attempts(&self) -> usize {
        (self.settings.max_attempts as usize).min(MAX_ATTEMPTS)
    }

    /// Number of nodes that share this node's subset of workers.
    pub(crate) fn subset_nodes(&self) -> u32 {
        self.settings.nodes.div_ceil(self.fleet.subset_count as u32)
    }
}
