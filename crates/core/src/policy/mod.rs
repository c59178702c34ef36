//! The decisions of a dispatcher: each module takes one kind of them, as methods of [`Dispatcher`] that read
//! the records in `state`.
//!
//! | module | what it decides |
//! | --- | --- |
//! | `admission` | what a submitted job may claim, and whether it is taken |
//! | `pending_queue` | when a job goes out, and in which order |
//! | `placement` | which worker gets it: the lowest `x + w/(1-r)`, see [`Dispatcher::cost`] |
//! | `slow_start` | how much work a worker that is warming up gets |
//! | `ejection` | which workers are avoided after failures |
//! | `retries`, `hedging` | what follows an attempt that failed, or that does not start |
//! | `deadlines` | when a job is given up |
//! | `unsent_attempts` | what becomes of an attempt that has not left |
//!
//! What is allowed at all stands in [`crate::permission`]: every send and every final answer passes it.
//!
//! [`Dispatcher`]: crate::Dispatcher
//! [`Dispatcher::cost`]: crate::Dispatcher::cost

mod admission;
mod deadlines;
mod ejection;
mod hedging;
mod pending_queue;
mod placement;
mod retries;
mod slow_start;
mod unsent_attempts;

pub(crate) use deadlines::SWEEP_INTERVAL;
