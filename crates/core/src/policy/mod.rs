//! The decisions of a dispatcher: each module takes one kind of them, as functions of the records in `state`. A function's
//! parameters are all that the decision depends on, and its result is what was decided; the dispatcher carries it out.
//! `docs/design/decisions.md` shows the order of the calls.
//!
//! | module | what it decides |
//! | --- | --- |
//! | `admission` | what a submitted job may claim, and whether it is taken |
//! | `pending_queue` | when a job is sent, and in which order |
//! | `placement` | which worker gets it: the lowest `x + w/(1-r)` |
//! | `ejection` | which workers are avoided after failures |
//! | `retries`, `hedging` | what follows an attempt that failed, or that does not start |
//! | `deadlines` | when a job is shed or answered unserved |
//! | `unsent_attempts` | what becomes of an attempt of which nothing was sent |
//!
//! What is allowed at all stands in [`crate::permission`]: every send and every final answer passes it.

pub(crate) mod admission;
pub(crate) mod deadlines;
pub(crate) mod ejection;
pub(crate) mod hedging;
pub(crate) mod pending_queue;
pub(crate) mod placement;
pub(crate) mod retries;
pub(crate) mod unsent_attempts;
