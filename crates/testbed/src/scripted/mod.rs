//! A node of the testbed's own that keeps all rules in the simplest way, or breaks one of them on purpose. It shows that
//! the rule checker finds each fault, and what the testbed itself can bear.
//!
//! | module | job |
//! | --- | --- |
//! | `server` | the process from its start to its exit |
//! | `node` | state of the process |
//! | `request_handler` | readiness checks, callbacks and jobs |
//! | `job`, `pending_attempts` | attempts of a client's job |
//! | `callback_receiver` | callbacks of workers |
//! | `connection` | clients' connections, and their close in a drain |
//! | `endpoint_watch`, `worker_list` | the endpoint list and the choice of a worker |
//! | `admin` | admin commands |
//! | `shared_folder` | state that two processes of a node share |
//!
//! The node stays simple: workers in turn, and a retry only of what never ran.

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
