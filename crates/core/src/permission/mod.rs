//! Permission rules: checks whether something may be sent, retried, closed or started now.
//!
//! The modules of `policy` decide what is useful; their choices must also be permitted here. Every send,
//! every rejection, the readiness of a process, and the closing of a client connection by timeout, eviction,
//! redirection or shutdown is checked here. The closing of a connection at the migration of a job, or of one
//! whose client reads nothing, is not checked yet; the server of the embedder decides on those.
//!
//! | question | asked by | answered by |
//! | --- | --- | --- |
//! | may a job be sent to a worker: first attempt, retry or hedged request? | placement, retries, and each send itself | `SendRules::may_send`, `SendRules::check_send` |
//! | how much work may be sent to a worker that is warming up? | placement, retries, and each send itself | `SlowStart::budget` |
//! | may the endpoint list be used? | pending queue, hedging, relocation | `EndpointLease::check` |
//! | as of when does a message of discovery prove the endpoint list? | the lease | `WatchProof::record` |
//! | until when may the first byte of an attempt be written? | the transport of the embedder, by [`Action::SendAttempt`](crate::Action::SendAttempt) and [`Dispatcher::endpoint_write_deadline`](crate::Dispatcher::endpoint_write_deadline) | `EndpointLease::write_deadline`, `SendRules::send_deadline` |
//! | may a job be rejected, so that its client may retry it? | deadlines, retries, admission | `answering` |
//! | may a client connection be closed? | the server of the embedder | [`may_close_connection`] |
//! | may a process report that it is ready? | the start of the embedder | [`ServingPermission`] |
//!
//! Comments refer to four rules by their numbers:
//!
//! 1. Every job has exactly one final response. No attempt is sent after that response or after the deadline.
//! 2. The effect of a job must not happen twice, neither by a retry of this node nor by one of the client.
//! 3. No new job is sent to a worker that is draining or was removed, or that operators have disabled.
//! 4. A worker that is warming up is sent no more work than it can take.
//!
//! Some permissions expire unless a positive confirmation arrives. Only that confirmation renews such a
//! permission; a failure, an end, a start or the passing of time never does. A decision without permission is
//! a violation: the dispatcher does not apply it, and [`Violations`] counts it.

mod answering;
mod closing;
mod denial;
mod endpoint_lease;
mod sending;
mod serving;
mod slow_start;
mod violations;
mod watch_proof;

pub(crate) use answering::{redirect, reject_or_fail};
pub use closing::{CloseReason, ConnectionUse, READ_TIMEOUT, STALL_TIMEOUT, may_close_connection};
pub use denial::Denial;
pub(crate) use endpoint_lease::EndpointLease;
pub(crate) use sending::{SendRules, max_attempts};
pub use serving::ServingPermission;
pub(crate) use slow_start::{SlowStart, window as slow_start_window};
pub use violations::Violations;
