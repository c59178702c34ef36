//! How a node is controlled: operators' commands, the phases of a process, workers disabled for maintenance,
//! and the takeover between two processes of one node. Decisions and encodings only, without I/O and without
//! a clock.
//!
//! - [`command`]: commands of the admin address and their responses;
//! - [`maintenance`]: workers that operators have disabled;
//! - [`phase`]: the phases of a process and their transitions;
//! - [`takeover`]: what each of two processes of a node owns;
//! - [`frame`]: the messages between them.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod command;
pub mod frame;
pub mod maintenance;
pub mod phase;
pub mod takeover;
