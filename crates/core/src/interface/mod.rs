//! Interface between a [`Dispatcher`](crate::Dispatcher) and its embedder: identifiers, settings, events and
//! actions.
//!
//! All times are those of one clock that never goes backwards. Work is in seconds on a core of speed 1.

mod action;
mod endpoint;
mod event;
mod ids;
mod job;
mod settings;
mod time;

pub use action::Action;
pub use endpoint::{Endpoint, EndpointUpdate, ListEvidence, WorkerStatus};
pub use event::Event;
pub use ids::{CellId, ClassId, JobId, KindId, TenantId, WorkerId, ZoneId, stable_hash};
pub use job::{JobSubmission, Outcome};
pub use settings::{DeduplicationScope, Idempotency, JobClass, Settings, SettingsError};
pub use time::{TimeSpan, Timestamp};
