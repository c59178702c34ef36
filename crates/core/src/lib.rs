//! Decision logic of a job dispatcher: selects a worker for each job and handles failures.
//!
//! A [`Dispatcher`] makes the decisions of one node that pushes jobs to workers. It does no input or output
//! and has no clock, no threads and no global state. Its embedder passes it [`Event`]s, each with its time,
//! and performs the [`Action`]s that it returns. The same settings, seed and events produce the same actions.
//!
//! An ordinary job goes to the ready worker with the lowest `x + w / (1 - r)`, where `x` is the run time of
//! the job at the worker, `w` is the wait for the work that is already there, and `r` is the utilisation of
//! the worker. `docs/design.md` describes the additions to this rule and the reasons for them.
//!
//! # Quick start
//!
//! Create a dispatcher, submit a job and report the end of its attempt:
//!
//! ```
//! use curlewusher_core::{
//!     Action, CellId, ClassId, Dispatcher, Endpoint, EndpointUpdate, Event, Idempotency, JobClass, JobId, JobSubmission, KindId,
//!     Outcome, Settings, TenantId, TimeSpan, Timestamp, WorkerId, WorkerStatus, ZoneId,
//! };
//!
//! let class = JobClass {
//!     idempotency: Idempotency::Idempotent,
//!     latency_objective: TimeSpan::from_millis(200),
//!     latency_objective_work_factor: 2.0,
//!     priority_weight: 1.0,
//!     client_timeout: TimeSpan::from_secs(5),
//!     required_kind: None,
//! };
//! let settings = Settings {
//!     nodes: 1,
//!     node_index: 0,
//!     zone: ZoneId(0),
//!     classes: vec![class],
//!     tenant_quotas: vec![],
//!     over_quota_weight: 0.1,
//!     endpoints_on_request: false,
//!     max_poll_interval: TimeSpan::from_secs(10),
//!     assumed_notified_after: TimeSpan::ZERO,
//!     sizes_listed: false,
//!     reports_start: true,
//!     accept_timeout: TimeSpan::ZERO,
//!     may_cancel: true,
//!     may_hedge: true,
//!     may_gossip: false,
//!     gossip_price: 0.0,
//!     max_attempts: 3,
//!     max_retry_after: TimeSpan::ZERO,
//!     cross_zone_price: 0.0,
//!     warm_up_floor: 0.2,
//!     warm_up: TimeSpan::from_secs(20),
//!     overload_factor: 3.0,
//!     overload_window: TimeSpan::from_secs(1),
//! };
//! let random_seed = 42;
//! let mut dispatcher = Dispatcher::new(settings, random_seed)?;
//! let mut actions = Vec::new();
//! // Time of the embedder's clock, here in milliseconds since its origin.
//! let at = |millis| Timestamp::ORIGIN + TimeSpan::from_millis(millis);
//! // The first event starts the timer.
//! dispatcher.handle(at(1), Event::TimerExpired, &mut actions);
//!
//! // The embedder passes the endpoint list, from any source.
//! let endpoint = Endpoint {
//!     worker: WorkerId(7),
//!     zone: ZoneId(0),
//!     kind: KindId(0),
//!     cell: CellId(0),
//!     status: WorkerStatus::Ready,
//!     started_at: Timestamp::ORIGIN,
//!     size: 1.0,
//! };
//! let endpoints = Event::EndpointsChanged { endpoints: &[endpoint], update: EndpointUpdate::Snapshot };
//! dispatcher.handle(at(2), endpoints, &mut actions);
//!
//! // A client submits a job.
//! let submission = JobSubmission {
//!     job: JobId(1),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     deadline: at(5_003),
//!     cost_hint: Some(0.05),
//!     slots: 1.0,
//!     key: None,
//!     is_retry: false,
//! };
//! dispatcher.handle(at(3), Event::JobSubmitted(submission), &mut actions);
//!
//! // The embedder performs the actions in their order.
//! let mut sent = Vec::new();
//! for action in actions.drain(..) {
//!     match action {
//!         Action::SendAttempt { job, worker, timeout, .. } => sent.push((job, worker, timeout)),
//!         Action::SetTimer { after } => println!("send Event::TimerExpired in {} s", after.as_secs_f64()),
//!         other => println!("perform {other:?}"),
//!     }
//! }
//! assert_eq!(sent, [(JobId(1), WorkerId(7), TimeSpan::from_secs(5))]);
//!
//! // The embedder reports the start and the end of each attempt.
//! let (job, attempt) = (JobId(1), 0);
//! dispatcher.handle(at(4), Event::AttemptStarted { job, attempt }, &mut actions);
//! let ended = Event::AttemptEnded { job, attempt, outcome: Outcome::Done, job_answered: true };
//! dispatcher.handle(at(60), ended, &mut actions);
//! # Ok::<(), curlewusher_core::SettingsError>(())
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod dispatcher;
mod gossip;
mod interface;
pub mod permission;
mod policy;
mod poll_schedule;
mod state;

pub use dispatcher::Dispatcher;
pub use interface::{
    Action, CellId, ClassId, DeduplicationScope, Endpoint, EndpointUpdate, Event, Idempotency, JobClass,
    JobId, JobSubmission, KindId, ListEvidence, Outcome, Settings, SettingsError, TenantId, TimeSpan,
    Timestamp, WorkerId, WorkerStatus, ZoneId, stable_hash,
};
pub use state::{MigratedJob, StateSnapshot};
