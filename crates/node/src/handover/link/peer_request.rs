//! Requests of the peer, as the takeover task receives them.

use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use bytes::Bytes;
use curlewusher_control::command::{AdminCommand, CommandResult};
use tokio::sync::oneshot;

/// Request or one-way message of the peer. A request whose reply sender is dropped gets no response and times
/// out at the peer.
pub enum PeerRequest {
    /// The peer forwards a callback for a job that it does not hold.
    Callback {
        /// Body as the worker sent it.
        body: Bytes,
        /// Sender of whether this process holds the job. Used after the callback has been handled.
        is_handled: oneshot::Sender<bool>,
    },
    /// The peer is about to accept a job. The link itself checks the ids that this process is claiming.
    ClaimJob {
        /// Id of the job.
        job_id: String,
        /// Sender of whether this process holds no job with this id.
        is_unheld: oneshot::Sender<bool>,
    },
    /// The peer forwards an operator's command.
    Command {
        /// Command of the operator.
        command: AdminCommand,
        /// Sender of the result of the command.
        result: oneshot::Sender<CommandResult>,
    },
    /// The peer migrates a job to this process. The attempts of the job continue.
    MigrateJob {
        /// Record of the job.
        job: Bytes,
        /// Socket of the client of the job.
        client: OwnedFd,
        /// Sender of whether this process has adopted the job.
        is_adopted: oneshot::Sender<bool>,
        /// Receiver that is notified when the response is written. From then on the response is valid: the
        /// peer reads it, or has ended. Receiving fails if the response was not written; the peer then keeps
        /// the job.
        response_written: oneshot::Receiver<()>,
    },
    /// The peer transfers the cancellation of an attempt to this process.
    CancelAttempt {
        /// Address of the worker that has not acknowledged the cancellation.
        worker: SocketAddr,
        /// Id of the job.
        job_id: String,
    },
    /// The successor is ready to accept new connections, and requests the takeover.
    Takeover {
        /// Sender of the latest state snapshot. Used after this process has stopped accepting connections.
        snapshot: oneshot::Sender<Bytes>,
    },
    /// The successor is shutting down and rolls back the takeover: this process accepts new connections
    /// again.
    HandBack,
    /// The link is lost. No further request follows.
    LinkLost,
}
