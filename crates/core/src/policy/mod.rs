//! Decisions of a dispatcher. Each module makes one kind of decision, as functions of the records in `state`.
//! A function takes as parameters all that the decision depends on and returns the decision, which the
//! dispatcher applies. `docs/design/decisions.md` shows the order of the calls.
//!
//! | module | decision |
//! | --- | --- |
//! | `admission` | the weight, quota and objective of a submitted job, and whether the job is accepted |
//! | `pending_queue` | the time at which a job is sent, and the order of jobs |
//! | `placement` | the worker for a job: the one with the lowest `x + w/(1-r)` |
//! | `ejection` | the workers that are avoided after failures |
//! | `retries`, `hedging` | the reaction to an attempt that failed, or that does not start |
//! | `deadlines` | the time at which a job is shed, or answered without being served |
//! | `unsent_attempts` | the reaction to an attempt of which nothing was sent |
//!
//! The rules in [`crate::permission`] determine what is allowed at all: every send and every final response
//! is checked there.

pub(crate) mod admission;
pub(crate) mod deadlines;
pub(crate) mod ejection;
pub(crate) mod hedging;
pub(crate) mod pending_queue;
pub(crate) mod placement;
pub(crate) mod retries;
pub(crate) mod unsent_attempts;
