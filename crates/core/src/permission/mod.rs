//! Permission: whether something may be sent, repeated, closed or started now.
//!
//! The modules of `policy` decide what is worth doing; whatever they choose has to be permitted here as well. Every send,
//! every rejection, the readiness of a process, and the closing of a client's connection by timeout, eviction or
//! redirection ask this module. Not asked yet are closings at shutdown, at a job's migration and of a peer that reads
//! nothing, which the embedder's server decides.
//!
//!
//! | question | asked by | answered by |
//! | --- | --- | --- |
//! | may a job be sent to a worker, first, again or as a hedged request? | placement, retries, and each send at last | `Dispatcher::may_send`, `Dispatcher::check_send` |
//! | may anything be decided by the endpoint list? | pending queue, hedging, relocation | `Dispatcher::check_endpoint_lease` |
//! | until when may the first byte of an attempt be written? | the embedder's transport, by [`Action::SendAttempt`](crate::Action::SendAttempt) and `Dispatcher::endpoints_write_by` | `endpoint_lease`, `sending` |
//! | may a job be rejected, so that its client may repeat it? | deadlines, retries, admission | `Dispatcher::may_reject` |
//! | may a client's connection be closed? | the embedder's server | [`may_close_connection`] |
//! | may a process say that it is ready? | the embedder's start | [`ServingPermission`] |
//!
//! A limit that runs out unless something positive is learned is renewed by that only: never by a failure, an end, a
//! start or the passing of time. What is decided without permission all the same is a violation: it is not carried out,
//! and [`Violations`] counts it.
mod answering;
mod closing;
mod denial;
mod endpoint_lease;
mod sending;
mod serving;
mod slow_start;
mod violations;

pub(crate) use answering::{answer_unserved, redirect};
pub use closing::{CloseReason, ConnectionUse, READ_TIMEOUT, STALLED_AFTER, may_close_connection};
pub use denial::Denial;
pub(crate) use endpoint_lease::EndpointLease;
pub(crate) use sending::{SendRules, max_attempts};
pub use serving::ServingPermission;
pub(crate) use slow_start::{SlowStart, window as slow_start_window};
pub use violations::Violations;
