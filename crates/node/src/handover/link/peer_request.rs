//! The requests of the other process, as the takeover task receives them.

use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use bytes::Bytes;
use curlewusher_control::command::{AdminCommand, CommandResult};
use tokio::sync::oneshot;

/// A request or message of the other process. A request whose sender is dropped gets no response: the other
/// process's timeout ends it.
pub enum PeerRequest {
    /// A callback for a job that the other process does not hold.
    Callback {
        /// The body as the worker sent it.
        body: Bytes,
        /// Whether its job is held here; sent once the callback has been handled.
        is_handled: oneshot::Sender<bool>,
    },
    /// The other process is about to accept a job. The link itself knows which ids are being claimed here.
    ClaimJob {
        /// The job's id.
        job_id: String,
        /// Whether no job of that id is held here.
        is_unheld: oneshot::Sender<bool>,
    },
    /// An operator's command.
    Command {
        /// The command.
        command: AdminCommand,
        /// Its result.
        result: oneshot::Sender<CommandResult>,
    },
    /// A job that the other process held, whose attempts continue.
    MigrateJob {
        /// The job's record.
        job: Bytes,
        /// Its client's socket.
        client: OwnedFd,
        /// Whether the job is held here now.
        is_adopted: oneshot::Sender<bool>,
        /// Notified once that response is written and therefore valid: the other process will have read it, or
        /// has ended. Fails where it was not written: the other process keeps the job.
        response_written: oneshot::Receiver<()>,
    },
    /// The cancellation of an attempt, which this process takes over.
    CancelAttempt {
        /// Address of the worker that has not acknowledged it.
        worker: SocketAddr,
        /// The job's id.
        job_id: String,
    },
    /// The successor is ready for new connections.
    Takeover {
        /// The latest state snapshot; sent once this process accepts no more connections.
        snapshot: oneshot::Sender<Bytes>,
    },
    /// The successor is shutting down: this process is to take new connections back.
    HandBack,
    /// The link is lost; nothing follows.
    LinkLost,
}
