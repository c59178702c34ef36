//! What goes into a [`Dispatcher`](crate::Dispatcher) and what comes out: settings, events, actions, ids.
//!
//! Times are microseconds of one clock that never goes back; work is seconds on a core of speed 1.

use std::fmt;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};

/// A moment on the embedder's clock, or a span of it, in microseconds.
pub type Micros = u64;

/// A job, as the embedder numbers it. No number returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);
/// A worker. Where nodes send each other messages, every node must use the same number for a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

impl WorkerId {
    /// The same number for a worker at every node.
    pub fn from_name(name: &str) -> Self {
        WorkerId(stable_hash(name))
    }
}

/// FNV-1a of a name: the same number for it at every node, whatever its machine or version.
pub fn stable_hash(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);
/// Place of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);
/// A zone: nodes and workers of one zone are near each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u32);
/// A kind of machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindId(pub u32);
/// A cell: the workers that share what they remember of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u32);

/// Which workers discard the repeats of a keyed job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Any worker.
    All,
    /// Those in the zone of the first attempt.
    Zone,
    /// Those in the cell of the first attempt.
    Cell,
}

/// What happens when a job of a class runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing.
    Idempotent,
    /// Repeats are discarded within the scope, for `window` from the first attempt that might have run.
    WithKey {
        /// Who discards repeats.
        scope: DeduplicationScope,
        /// For how long.
        window: Micros,
    },
    /// Harm.
    NonIdempotent,
}

/// A class of jobs.
#[derive(Clone, Debug)]
pub struct JobClass {
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// An answer within `aim + stretch x work` is in time.
    pub latency_objective: Micros,
    /// See `aim`.
    pub latency_objective_stretch: f64,
    /// What an answer in time is worth: for a unit of work, where work differs.
    pub priority_weight: f64,
    /// The client's total wait.
    pub client_timeout: Micros,
    /// The only kind of machine that runs it.
    pub required_kind: Option<KindId>,
}

/// What a dispatcher is told once, at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Nodes that dispatch to the same workers, this one included.
    pub nodes: u32,
    /// This node's number among them, from 0.
    pub node_index: u32,
    /// This node's zone.
    pub zone: ZoneId,
    /// Job classes.
    pub classes: Vec<JobClass>,
    /// For each tenant the jobs a second, over all nodes, within its share. Empty: no tenants.
    pub tenant_quotas: Vec<f64>,
    /// Worth of a job beyond its tenant's quota, as a share of its class's.
    pub over_quota_weight: f64,
    /// The list of workers comes only when asked for.
    pub endpoints_on_request: bool,
    /// Without a subscription, a node silent for this long counts as told.
    pub max_poll_interval: Micros,
    /// Where the list comes only when asked for: what it says counts as told this long after it could have been
    /// had, whatever came of the calls. A node that cannot know sends nothing more by an older list. 0: never.
    pub assumed_notified_after: Micros,
    /// The list tells how large workers are.
    pub sizes_listed: bool,
    /// Workers tell when a job starts.
    pub reports_start: bool,
    /// A worker that has not taken an attempt on after this long is silent; 0: workers do not say.
    pub accept_timeout: Micros,
    /// `Action::Cancel` is allowed.
    pub may_cancel: bool,
    /// A job may have two attempts out at once.
    pub may_hedge: bool,
    /// `Action::Tell` is allowed.
    pub may_gossip: bool,
    /// Price of one full message (256 bytes) to one node for each job, as a share of a job's worth.
    pub gossip_price: f64,
    /// Most attempts for a job.
    pub max_attempts: u32,
    /// Longest wait that a refusal can advise; 0: none.
    pub max_retry_after: Micros,
    /// Price of a zone crossing, as a share of a job's worth.
    pub cross_zone_price: f64,
    /// A started worker has at least this share of its capacity.
    pub warm_up_floor: f64,
    /// And is warm after this.
    pub warm_up: Micros,
    /// It falls over when sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... over this long, by all nodes together.
    pub overload_window: Micros,
}

/// Settings that cannot be worked with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the field.
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {} {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Names the first field that cannot be worked with.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let share = |v: f64| (0.0..=1.0).contains(&v);
        let finite = |v: f64| v.is_finite() && v >= 0.0;
        let class = |f: fn(&JobClass) -> bool| self.classes.iter().all(f);
        let rules = [
            (!self.classes.is_empty(), "classes", "is empty"),
            (
                class(|c| c.latency_objective_stretch.is_finite() && c.latency_objective_stretch >= 0.0),
                "classes.stretch",
                "is negative",
            ),
            (
                class(|c| c.priority_weight.is_finite() && c.priority_weight >= 0.0),
                "classes.worth",
                "is negative",
            ),
            (share(self.over_quota_weight), "over_quota_worth", "is no share"),
            (class(|c| c.client_timeout > 0), "classes.give_up", "is zero"),
            (self.nodes > 0, "nodes", "is zero"),
            (self.max_attempts > 0, "max_attempts", "is zero"),
            (self.tenant_quotas.iter().all(|q| finite(*q)), "tenant_quotas", "is negative"),
            (finite(self.cross_zone_price), "cross_zone_price", "is negative"),
            (finite(self.gossip_price), "tell_price", "is negative"),
            (share(self.warm_up_floor), "cold_share", "is no share"),
            (finite(self.overload_factor), "overload_factor", "is negative"),
        ];
        match rules.iter().find(|rule| !rule.0) {
            Some(&(_, field, problem)) => Err(SettingsError { field, problem }),
            None => Ok(()),
        }
    }
}

/// What the list says of a worker's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// Takes work.
    Ready,
    /// Completes its work and takes nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// A line of the workers' list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Which worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes work.
    pub status: WorkerStatus,
    /// When it last started; 0: long ago.
    pub started_at: Micros,
    /// Its size, in slots, give or take; counts only where [`Settings::sizes_told`].
    pub size: f64,
}

/// A job that this node has taken.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    /// Its number.
    pub job: JobId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The moment at which the client stops waiting.
    pub deadline: Micros,
    /// Guess of its work, in seconds on a core of speed 1.
    pub cost_hint: Option<f64>,
    /// Slots it takes.
    pub slots: f64,
    /// What it concerns: a worker that has just had a job of the same key need not fetch that again.
    pub key: Option<u64>,
    /// Its client marks it as a repeat.
    pub is_retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    Done,
    /// The worker answered with an error; the job may have run.
    Error,
    /// Turned away unseen.
    #[serde(rename = "Full")]
    Rejected,
    /// No answer in time; may have run.
    TimedOut,
    /// No connection; never ran.
    Unreachable,
    /// The connection broke; may have run.
    Lost,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    #[serde(rename = "NeverSent")]
    NotSent,
}

impl Outcome {
    /// Whether the job is proven not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent)
    }
}

/// What a dispatcher hears.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The list, or changes to it.
    EndpointsChanged {
        /// Its lines.
        endpoints: &'a [Endpoint],
        /// A worker that is not among them is gone.
        snapshot: bool,
    },
    /// The subscription that is open says that what is known of the list stands.
    EndpointsConfirmed,
    /// A call for the list was answered.
    PollAnswered {
        /// After this long.
        duration: Micros,
    },
    /// Something came where a list should have been, and could not be read.
    EndpointsUnreadable,
    /// The list is elsewhere from now on: another service has it.
    DiscoveryMoved,
    /// Asking for the list failed, or the subscription broke.
    WatchFailed,
    /// A job was taken.
    JobSubmitted(JobSubmission),
    /// A worker has taken an attempt on.
    AttemptAccepted {
        /// Of this job.
        job: JobId,
        /// Which attempt, from 0 in the order of sends.
        attempt: u32,
    },
    /// An attempt has started to run.
    AttemptStarted {
        /// Of this job.
        job: JobId,
        /// Which attempt, from 0 in the order of sends.
        attempt: u32,
    },
    /// An attempt has got on.
    AttemptProgressed {
        /// Of this job.
        job: JobId,
        /// Which attempt.
        attempt: u32,
        /// Share done.
        fraction_done: f64,
    },
    /// The answer has begun to flow: the job is bound to this attempt and has no deadline any more.
    AttemptStreaming {
        /// Of this job.
        job: JobId,
        /// Which attempt.
        attempt: u32,
    },
    /// An attempt is over.
    AttemptEnded {
        /// Of this job.
        job: JobId,
        /// Which attempt.
        attempt: u32,
        /// How.
        outcome: Outcome,
        /// The job needs no further answer.
        settled: bool,
    },
    /// The client has left; nothing is owed any more.
    ClientDisconnected {
        /// Whose.
        job: JobId,
    },
    /// Another node's `Action::Tell` has come.
    GossipReceived {
        /// Its rank.
        from: u32,
        /// Its bytes.
        data: &'a [u8],
    },
    /// An operator takes a worker out, so that nothing more goes there whatever the list says, or puts it back.
    MaintenanceChanged {
        /// Which worker.
        worker: WorkerId,
        /// Whether it is taken out; may be said again of one that is out, or that is not.
        disabled: bool,
    },
    /// Another process of this node has taken over, or is gone again: cold workers are that one's to fill meanwhile.
    SuccessorActive {
        /// Whether the other process is the active one.
        active: bool,
    },
    /// This node is to end: all that it has taken must be answered by then.
    ShutdownStarted {
        /// The moment.
        deadline: Micros,
    },
    /// A wake-up has come due. One is also given right after the start.
    TimerExpired,
}

/// What a dispatcher wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the job to the worker.
    SendAttempt {
        /// Which job.
        job: JobId,
        /// Where to.
        worker: WorkerId,
        /// Give the attempt up after this long.
        timeout: Micros,
        /// Its first byte may leave until then, and not from then on: it ends as [`Outcome::NeverSent`]. None where
        /// the attempt's timeout is all that bounds it.
        send_by: Option<Micros>,
    },
    /// End the job; the client may safely come again.
    Reject {
        /// Which job.
        job: JobId,
        /// Not before this long; 0: no advice.
        retry_after: Micros,
    },
    /// End the job with an error that promises nothing.
    Fail {
        /// Which job.
        job: JobId,
    },
    /// Hold an attempt back, since its worker takes nothing new any more: where no byte of it has left it is not
    /// sent, and ends as [`Outcome::NeverSent`]; where one has, it goes on as if nothing had been said. For an
    /// embedder that sends in the moment in which it is told to, this is nothing.
    RevokeAttempt {
        /// Of this job.
        job: JobId,
        /// Which attempt.
        attempt: u32,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// Of this job.
        job: JobId,
        /// Which attempt.
        attempt: u32,
    },
    /// Send these bytes, at most 256, to another node.
    SendGossip {
        /// Its rank.
        to: u32,
        /// The bytes.
        data: Vec<u8>,
    },
    /// Send `Event::Woken` after this long.
    SetTimer {
        /// From now.
        after: Micros,
    },
    /// Subscribe to the list of workers.
    WatchEndpoints,
}
