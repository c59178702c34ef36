//! Processes of the nodes under test. The testbed configures, starts, signals and measures them, and sends
//! requests that any client may send. It has no other access to their state.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `process` | start, signals and configuration reload of a process |
//! | `spec` | parameters of a process |
//! | `config` | configuration file |
//! | `log_tail` | log of a process |
//! | `http_client` | readiness checks and metrics |
//!
//! [`process_cost`](crate::process_cost) measures processor time, memory and file descriptors of the
//! processes.

mod config;
mod error;
mod http_client;
mod log_tail;
mod process;
mod spec;

pub use self::error::{NodeError, NodeFailure};
pub use self::http_client::{check_readiness, nonzero_violation_counters};
pub use self::process::Node;
pub use self::spec::{ProcessSpec, Program};
