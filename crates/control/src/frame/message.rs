//! Messages that the two processes of a node exchange.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::command::{AdminCommand, CommandResult};
use crate::takeover::RejectReason;

/// Message from one process of a node to its peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A new process requests to become the successor. The response is `Accepted` or `Rejected`.
    Hello {
        /// Name of the node of the new process.
        node: String,
        /// Address at which clients reach the node of the new process.
        listen: String,
    },
    /// The receiver becomes the successor. Contains the current state snapshot of the predecessor.
    Accepted(Bytes),
    /// The receiver does not become the successor, for this reason.
    Rejected(RejectReason),
    /// The successor is ready and requests the new connections. The response is `TakeoverGranted`.
    TakeoverRequest,
    /// The successor accepts the new connections from now on. Contains a state snapshot of the predecessor at
    /// the time of the takeover.
    TakeoverGranted(Bytes),
    /// The successor is terminating and requests a rollback: the predecessor serves again. There is no
    /// response.
    HandBack,
    /// Body of a callback for a job that the requesting process does not own. The response is
    /// `CallbackResult`.
    Callback(Bytes),
    /// Whether the responding process owns the job of the callback.
    CallbackResult(bool),
    /// Id of a job that the requesting process is about to accept. The response is `ClaimResult`.
    ClaimJob(String),
    /// Whether the requesting process may accept the job.
    ClaimResult(bool),
    /// Command of an operator that applies to both processes. The response is `CommandResult`.
    Command(AdminCommand),
    /// Outcome of the command at the responding process.
    CommandResult(CommandResult),
    /// Job that migrates from the requesting process, which owned it until now. The socket of the job's
    /// client is sent together with these bytes. The response is `MigrationResult`.
    MigrateJob(Bytes),
    /// Whether the responding process now owns the job.
    MigrationResult(bool),
    /// Cancellation that a worker has not acknowledged yet. The receiver retries it from now on. There is no
    /// response.
    CancelAttempt {
        /// Address of the worker.
        worker: SocketAddr,
        /// Id of the job.
        job_id: String,
    },
}

impl Frame {
    /// Returns whether this frame is the response to a request over an established link. The responses to
    /// `Hello` are excluded, because they are sent before the link is established.
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
