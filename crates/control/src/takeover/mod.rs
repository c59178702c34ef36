//! Division of new connections, file descriptors, jobs and callbacks between two processes of one node while
//! the successor takes over from the predecessor. This module makes only the decisions; the node executes
//! them and connects the processes.
//!
//! - [`Takeover`] is the state machine of one process;
//! - [`JobClaims`] prevents both processes from accepting the same job;
//! - [`route_callback`] selects the process to which a callback is delivered.

mod callback_route;
mod job_claims;
mod state_machine;

pub use callback_route::{CallbackRoute, ForwardTarget, route_callback};
pub use job_claims::{JobClaims, LinkRole, LocalOwnership};
pub use state_machine::{DescriptorShare, RejectReason, Role, Takeover, TakeoverCommand, TakeoverEvent};
