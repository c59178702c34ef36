//! Daily operation as decisions: what a call of an operator means, which phase of a node follows which, which workers
//! are out, and who owns what while two processes of one node run beside each other. No I/O, no clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod command;
pub mod frame;
pub mod maintenance;
pub mod phase;
pub mod takeover;
