//! Scripted node: a minimal node, built into the testbed, that keeps all rules or breaks one of them on
//! purpose. It shows that the rule checker detects each flaw, and which load the testbed itself sustains.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `server` | start, connections and graceful shutdown of the process |
//! | `node` | state of the process |
//! | `request_handler` | readiness checks, callbacks and jobs |
//! | `job`, `pending_attempts` | attempts of a client's job |
//! | `callback_receiver` | callbacks of workers |
//! | `connection` | clients' connections, and their close during a drain |
//! | `endpoint_watch`, `worker_list` | endpoint list, and selection of a worker |
//! | `admin` | admin commands |
//! | `shared_folder` | state that two processes of a node share |
//!
//! The node is deliberately simple: it selects workers by round-robin, and retries a job only if no attempt
//! of it has run.

mod admin;
mod callback_receiver;
mod config;
mod connection;
mod endpoint_watch;
mod error;
mod flaw;
mod http_response;
mod job;
mod node;
mod pending_attempts;
mod request_handler;
mod server;
mod shared_folder;
mod worker_list;

pub use self::error::ScriptedNodeError;
pub use self::flaw::Flaw;
pub use self::server::serve;
