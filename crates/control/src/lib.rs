//! Control of a node: commands of operators, phases of a process, workers disabled for maintenance, and the
//! takeover between two processes of one node. The crate contains decisions and encodings only. It performs
//! no I/O and reads no clock.
//!
//! - [`command`]: commands of the admin address and their responses;
//! - [`maintenance`]: workers that operators have disabled;
//! - [`phase`]: phases of a process and their transitions;
//! - [`takeover`]: division of connections, descriptors, jobs and callbacks between two processes;
//! - [`frame`]: messages between the two processes.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod command;
pub mod frame;
pub mod maintenance;
pub mod phase;
pub mod takeover;
