//! The nodes under test as processes. The testbed configures, starts, signals and measures them, and requests what every
//! client may request; it never reads their state in another way.
//!
//! | module | job |
//! | --- | --- |
//! | `process` | start, signals and reload of a process |
//! | `spec` | what a process is started with |
//! | `config` | the configuration file |
//! | `log_tail` | the log of a process |
//! | `http_client` | readiness checks and metrics |
//! | `cost` | processor time, memory and descriptors |

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
