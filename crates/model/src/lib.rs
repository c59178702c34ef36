//! Models of a node's environment: the workers, the archive that they fetch data sets from, the registry
//! behind the discovery service, and the workload that clients submit.
//!
//! The models do no I/O and read no clock. The driver passes in each event with its [`Timestamp`] on a
//! monotonic clock. A model returns the resulting effects and the time of the next call. The testbed drives
//! the models with sockets and real time. The models are deterministic: the same inputs produce the same
//! effects.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod endpoint_registry;
pub mod processor_sharing;
mod time;
pub mod worker_pool;
pub mod workload;

pub use time::{TimeSpan, Timestamp};
