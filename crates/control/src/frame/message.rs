//! The messages that two processes of a node exchange.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::command::{AdminCommand, CommandResult};
use crate::takeover::RejectReason;

/// A message from one process of a node to the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A new process requests to be the successor; answered by `Accepted` or `Rejected`.
    Hello {
        /// Name of its node.
        node: String,
        /// Address at which clients reach its node.
        listen: String,
    },
    /// The receiver is the successor; with the predecessor's state so far.
    Accepted(Bytes),
    /// The receiver is not the successor, for this reason.
    Rejected(RejectReason),
    /// The successor is ready and requests the new connections; answered by `TakeoverGranted`.
    TakeoverRequest,
    /// The new connections are the successor's; with the predecessor's state up to now.
    TakeoverGranted(Bytes),
    /// The successor terminates, and the predecessor is to take the node back; has no response.
    HandBack,
    /// The body of a callback for a job that the requesting process does not own; answered by
    /// `CallbackResult`.
    Callback(Bytes),
    /// Whether the callback was for a job that the responding process owns.
    CallbackResult(bool),
    /// The requesting process is about to accept a job of this id; answered by `ClaimResult`.
    ClaimJob(String),
    /// Whether it may.
    ClaimResult(bool),
    /// A command of an operator that applies to both processes; answered by `CommandResult`.
    Command(AdminCommand),
    /// The outcome of the command at the responding process.
    CommandResult(CommandResult),
    /// A job that the requesting process owned; its client's socket is sent beside the bytes. Answered by
    /// `MigrationResult`.
    MigrateJob(Bytes),
    /// Whether the responding process owns the job now.
    MigrationResult(bool),
    /// A worker has not acknowledged a cancellation yet, and the receiver is to repeat it from now on; has no
    /// response.
    CancelAttempt {
        /// Address of the worker.
        worker: SocketAddr,
        /// The job's id.
        job_id: String,
    },
}

impl Frame {
    /// Whether it answers a request that was sent over an established link. The responses to `Hello` do not:
    /// they come before there is a link.
    pub fn is_response(&self) -> bool {
        match self {
            Frame::TakeoverGranted(_)
            | Frame::CallbackResult(_)
            | Frame::ClaimResult(_)
            | Frame::CommandResult(_)
            | Frame::MigrationResult(_) => true,
            Frame::Hello { .. }
            | Frame::Accepted(_)
            | Frame::Rejected(_)
            | Frame::TakeoverRequest
            | Frame::HandBack
            | Frame::Callback(_)
            | Frame::ClaimJob(_)
            | Frame::Command(_)
            | Frame::MigrateJob(_)
            | Frame::CancelAttempt { .. } => false,
        }
    }
}
