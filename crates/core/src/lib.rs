//! Dispatcher decisions: which worker gets which job, and what to do when things fail.
//!
//! A [`Dispatcher`] decides for one node that pushes jobs to workers. It does no input or output and has no
//! clock, no threads and no globals: its node hands it [`Event`]s with the time of each and carries out the
//! [`Action`]s that come back. The same events give the same actions.
//!
//! Every ordinary job goes to the ready worker with the lowest `x + w/(1-r)`: its run there, and the wait for
//! the work already there weighted by the worker's utilisation. `docs/design.md` tells what was added and why.
//!
//! ```
//! use curlewusher_core::*;
//!
//! let settings = Settings {
//!     nodes: 1,
//!     rank: 0,
//!     zone: ZoneId(0),
//!     classes: vec![Class {
//!         effect: Effect::Safe,
//!         aim: 200_000,
//!         stretch: 2.0,
//!         worth: 1.0,
//!         give_up: 5_000_000,
//!         kind: None,
//!     }],
//!     tenant_quotas: vec![],
//!     list_on_request: false,
//!     ask_within: 10_000_000,
//!     told_within: 0,
//!     tells_start: true,
//!     sizes_told: false,
//!     accepts_within: 0,
//!     may_cancel: true,
//!     may_duplicate: true,
//!     may_tell: false,
//!     tell_price: 0.0,
//!     max_attempts: 3,
//!     max_advice: 0,
//!     over_quota_worth: 0.1,
//!     cross_zone_price: 0.0,
//!     cold_share: 0.2,
//!     warm_up: 20_000_000,
//!     overload_factor: 3.0,
//!     fall_window: 1_000_000,
//! };
//! let mut dispatcher = Dispatcher::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // Right after the start, and whenever an `Action::Wake` comes due.
//! dispatcher.handle(1_000, Event::Woken, &mut actions);
//!
//! // The list of workers, from wherever the node has it.
//! let worker = Listing {
//!     worker: WorkerId(7),
//!     zone: ZoneId(0),
//!     kind: KindId(0),
//!     cell: CellId(0),
//!     life: Life::Ready,
//!     started: 0,
//!     size: 1.0,
//! };
//! dispatcher.handle(2_000, Event::Listed { entries: &[worker], whole: true }, &mut actions);
//!
//! // A job comes in; the node carries out what it is told to.
//! let offer = Offer {
//!     job: JobId(1),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     deadline: 5_003_000,
//!     hint: Some(0.05),
//!     slots: 1.0,
//!     key: None,
//!     repeat: false,
//! };
//! dispatcher.handle(3_000, Event::Offered(offer), &mut actions);
//! let mut sent = Vec::new();
//! for action in actions.drain(..) {
//!     match action {
//!         Action::Send { job, worker, timeout, .. } => sent.push((job, worker, timeout)),
//!         Action::Wake { after } => println!("wake it in {after} microseconds"),
//!         other => println!("carry out {other:?}"),
//!     }
//! }
//! assert_eq!(sent, [(JobId(1), WorkerId(7), 5_000_000)]);
//!
//! // What became of it.
//! let (job, attempt) = (JobId(1), 0);
//! dispatcher.handle(3_500, Event::Started { job, attempt }, &mut actions);
//! let outcome = Outcome::Done;
//! dispatcher.handle(60_000, Event::Ended { job, attempt, outcome, settled: true }, &mut actions);
//! # Ok::<(), SettingsError>(())
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod dispatcher;
mod gossip;
mod interface;
mod policy;
mod poll_schedule;
mod snapshot;
mod state;

pub use dispatcher::Dispatcher;
pub use interface::*;
pub use snapshot::{MigratedJob, StateSnapshot};
