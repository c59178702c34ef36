//! Models of what a node works with: the workers, the archive that they fetch data sets from, the registry behind the
//! discovery service, and the workload that clients submit.
//!
//! The models do no I/O and read no clock. Their driver passes in each event with its [`Timestamp`] on a
//! monotonic clock, and gets back what follows and when to call again. The testbed drives them by sockets and real time.
//! The same inputs give the same effects.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod endpoint_registry;
pub mod processor_sharing;
mod time;
pub mod worker_pool;
pub mod workload;

pub use time::{TimeSpan, Timestamp};
