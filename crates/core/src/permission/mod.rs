//! Permission: whether something may be sent, retried, closed or started now.
//!
//! The modules of `policy` decide what is useful; what they choose must be permitted here as well. Every send, every
//! rejection, the readiness of a process, and the closing of a client's connection by timeout, eviction, redirection or
//! shutdown is checked here. Not checked yet are closings at a job's migration, and of a peer that reads nothing; the
//! embedder's server decides on those.
//!
//! | question | asked by | answered by |
//! | --- | --- | --- |
//! | may a job be sent to a worker: first attempt, retry or hedged request? | placement, retries, and each send itself | `SendRules::may_send`, `SendRules::check_send` |
//! | how much work may a worker that is warming up get? | the same | `SlowStart::budget` |
//! | may the endpoint list be used? | pending queue, hedging, relocation | `EndpointLease::check` |
//! | until when may the first byte of an attempt be written? | the embedder's transport, by [`Action::SendAttempt`](crate::Action::SendAttempt) and [`Dispatcher::endpoint_write_deadline`](crate::Dispatcher::endpoint_write_deadline) | `EndpointLease::write_deadline`, `SendRules::send_deadline` |
//! | may a job be rejected, so that its client may retry it? | deadlines, retries, admission | `answering` |
//! | may a client's connection be closed? | the embedder's server | [`may_close_connection`] |
//! | may a process report that it is ready? | the embedder's start | [`ServingPermission`] |
//!
//! A limit that expires unless something positive is learned is renewed by that alone: never by a failure, an end, a
//! start or the passing of time. Something that was decided without permission is a violation: it is not carried out,
//! and [`Violations`] counts it.

mod answering;
mod closing;
mod denial;
mod endpoint_lease;
mod sending;
mod serving;
mod slow_start;
mod violations;

pub(crate) use answering::{redirect, reject_or_fail};
pub use closing::{CloseReason, ConnectionUse, READ_TIMEOUT, STALL_TIMEOUT, may_close_connection};
pub use denial::Denial;
pub(crate) use endpoint_lease::EndpointLease;
pub(crate) use sending::{SendRules, max_attempts};
pub use serving::ServingPermission;
pub(crate) use slow_start::{SlowStart, window as slow_start_window};
pub use violations::Violations;
