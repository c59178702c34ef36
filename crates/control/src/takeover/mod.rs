//! What each of two processes of one node owns while a new process takes over from an old one: new
//! connections, file descriptors, jobs and callbacks. Decisions only: the node carries them out and connects
//! the processes.
//!
//! - [`Takeover`] is the state machine of one process;
//! - [`JobClaims`] keeps a job id from being accepted by both processes;
//! - [`route_callback`] finds the process that a callback is for.

mod callback_route;
mod job_claims;
mod state_machine;

pub use callback_route::{CallbackRoute, ForwardingPeer, route_callback};
pub use job_claims::{JobClaims, LinkRole, LocalOwnership};
pub use state_machine::{DescriptorShare, RejectReason, Role, Takeover, TakeoverCommand, TakeoverEvent};
