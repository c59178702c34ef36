//! What the dispatch task asks of whatever carries attempts to workers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use curlewusher_core::JobId;
use tokio::sync::oneshot;

use crate::upstream::send_permit::SendPermit;

/// Identifies an attempt of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    pub(super) job: JobId,
    /// Position among the job's attempts, from 0 in the order of sends.
    pub(super) number: u32,
}

/// An attempt that the transport is to make, or to take over.
pub struct AttemptRequest<P> {
    /// Identifies the attempt in the transport's reports.
    pub id: AttemptId,
    /// The client's id of the job.
    pub request_id: Rc<str>,
    /// The worker.
    pub address: SocketAddr,
    /// What is sent.
    pub payload: Rc<P>,
    /// The time that is left for the attempt.
    pub timeout: Duration,
    /// Receives a value where the attempt is to be cancelled. Once the sending half is dropped, the attempt
    /// has ended and only its connection is left to be cleaned up.
    pub cancel: oneshot::Receiver<()>,
    /// Checked before the first byte is written: where it has been revoked, nothing is written and the
    /// attempt ends as not sent.
    pub send_permit: Rc<SendPermit>,
}

/// Carries attempts to workers. It reports by [`DispatchMessage`](super::DispatchMessage): either
/// `AttemptAccepted`, followed by `AttemptCancelled` or nothing; or `AttemptCancelled`; or `AttemptEnded`.
pub trait AttemptTransport {
    /// What is sent to workers; the dispatch task never reads it.
    type Payload;

    /// Sends an attempt.
    fn start_attempt(&self, attempt: AttemptRequest<Self::Payload>);

    /// Takes over an attempt that a worker has accepted from another process of this node.
    fn resume_attempt(&self, attempt: AttemptRequest<Self::Payload>);

    /// Closes the idle connections to a worker: the process that they lead to is gone.
    fn discard_connections(&self, address: SocketAddr);
}
