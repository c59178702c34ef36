//! The decisions of a job dispatcher: which worker gets which job, and what to do when something fails.
//!
//! A [`Dispatcher`] decides for one node that pushes jobs to workers. It does no input or output and has no
//! clock, no threads and no global state: its embedder passes it [`Event`]s with the time of each and carries out the
//! [`Action`]s that come back. The same settings, seed and events give the same actions.
//!
//! An ordinary job goes to the ready worker with the lowest `x + w / (1 - r)`: the job's run time there, plus the wait
//! for the work that is already there, weighted by the worker's utilisation. `docs/design.md` describes what was added
//! to this rule and why.
//!
//! # Quick start
//!
//! Create a dispatcher and start its timer:
//!
//! ```
//! use curlewusher_core::{
//!     Action, CellId, ClassId, Dispatcher, Endpoint, Event, Idempotency, JobClass, JobId, JobSubmission, KindId,
//!     Outcome, Settings, TenantId, WorkerId, WorkerStatus, ZoneId,
//! };
//!
//! let class = JobClass {
//!     idempotency: Idempotency::Idempotent,
//!     latency_objective: 200_000,
//!     latency_objective_stretch: 2.0,
//!     priority_weight: 1.0,
//!     client_timeout: 5_000_000,
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
//!     max_poll_interval: 10_000_000,
//!     assumed_notified_after: 0,
//!     sizes_listed: false,
//!     reports_start: true,
//!     accept_timeout: 0,
//!     may_cancel: true,
//!     may_hedge: true,
//!     may_gossip: false,
//!     gossip_price: 0.0,
//!     max_attempts: 3,
//!     max_retry_after: 0,
//!     cross_zone_price: 0.0,
//!     warm_up_floor: 0.2,
//!     warm_up: 20_000_000,
//!     overload_factor: 3.0,
//!     overload_window: 1_000_000,
//! };
//! let random_seed = 42;
//! let mut dispatcher = Dispatcher::new(settings, random_seed)?;
//! let mut actions = Vec::new();
//! dispatcher.handle(1_000, Event::TimerExpired, &mut actions);
//!
//! // The endpoint list, from wherever the embedder has it.
//! let endpoint = Endpoint {
//!     worker: WorkerId(7),
//!     zone: ZoneId(0),
//!     kind: KindId(0),
//!     cell: CellId(0),
//!     status: WorkerStatus::Ready,
//!     started_at: 0,
//!     size: 1.0,
//! };
//! let endpoints = Event::EndpointsChanged { endpoints: &[endpoint], snapshot: true };
//! dispatcher.handle(2_000, endpoints, &mut actions);
//!
//! // A client submits a job.
//! let submission = JobSubmission {
//!     job: JobId(1),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     deadline: 5_003_000,
//!     cost_hint: Some(0.05),
//!     slots: 1.0,
//!     key: None,
//!     is_retry: false,
//! };
//! dispatcher.handle(3_000, Event::JobSubmitted(submission), &mut actions);
//!
//! // The embedder carries out the actions in their order.
//! let mut sent = Vec::new();
//! for action in actions.drain(..) {
//!     match action {
//!         Action::SendAttempt { job, worker, timeout, .. } => sent.push((job, worker, timeout)),
//!         Action::SetTimer { after } => println!("send Event::TimerExpired in {after} microseconds"),
//!         other => println!("carry out {other:?}"),
//!     }
//! }
//! assert_eq!(sent, [(JobId(1), WorkerId(7), 5_000_000)]);
//!
//! // It reports what becomes of each attempt.
//! let (job, attempt) = (JobId(1), 0);
//! dispatcher.handle(3_500, Event::AttemptStarted { job, attempt }, &mut actions);
//! let ended = Event::AttemptEnded { job, attempt, outcome: Outcome::Done, settled: true };
//! dispatcher.handle(60_000, ended, &mut actions);
//! # Ok::<(), curlewusher_core::SettingsError>(())
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod dispatcher;
mod gossip;
mod interface;
mod migration;
pub mod permission;
mod policy;
mod poll_schedule;
mod snapshot;
mod state;
mod untrusted;

pub use dispatcher::Dispatcher;
pub use interface::{
    Action, CellId, ClassId, DeduplicationScope, Endpoint, Event, Idempotency, JobClass, JobId,
    JobSubmission, KindId, Micros, Outcome, Settings, SettingsError, TenantId, WorkerId, WorkerStatus,
    ZoneId, stable_hash,
};
pub use migration::MigratedJob;
pub use snapshot::StateSnapshot;
