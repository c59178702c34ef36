//! The interface between the dispatch task, which decides on attempts, and the transport, which carries them to
//! workers.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use curlewusher_core::{JobId, Outcome};
use tokio::sync::oneshot;

use super::send_permit::SendPermit;

/// Identifies an attempt of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The job.
    pub job: JobId,
    /// Position among the job's attempts, from 0 in the order of sends.
    pub number: u32,
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
    /// Whether it must be sent over a new connection: its loss over one that has ended unnoticed could not be repaired.
    pub needs_new_connection: bool,
    /// Receives a value where the attempt is to be cancelled. Once the sending half is dropped, the attempt
    /// has ended and only its connection is left to be cleaned up.
    pub cancel: oneshot::Receiver<()>,
    /// Checked before the first byte is written: where it has been revoked, nothing is written and the
    /// attempt ends as not sent.
    pub send_permit: Rc<SendPermit>,
}

/// What the transport reports on an attempt: either `Accepted`, followed by `Cancelled` or nothing; or
/// `Cancelled`; or `Ended`; or `LostWithReusedConnection`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReport {
    /// The worker has accepted the attempt.
    Accepted(AttemptId),
    /// The attempt has ended with this outcome.
    Ended(AttemptId, Outcome),
    /// The attempt was to be cancelled and has been cancelled.
    Cancelled(AttemptId),
    /// The attempt has ended as lost: its connection, which had carried an earlier request, broke before a byte of a
    /// response.
    LostWithReusedConnection(AttemptId),
}

/// The future of a report; see [`AttemptReporter::report`].
pub type ReportFuture<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// Receives the transport's reports on attempts.
pub trait AttemptReporter {
    /// Reports on an attempt. The future completes once the report is queued; a receiver that has ended ignores it.
    fn report(&self, report: AttemptReport) -> ReportFuture<'_>;
}

/// Carries attempts to workers, and reports on each to an [`AttemptReporter`].
pub trait AttemptTransport {
    /// What is sent to workers; the dispatch task never reads it.
    type Payload;

    /// Sends an attempt.
    fn start_attempt(&self, attempt: AttemptRequest<Self::Payload>);

    /// Takes over an attempt that a worker has accepted from another process of this node.
    fn resume_attempt(&self, attempt: AttemptRequest<Self::Payload>);

    /// Closes the idle connections to a worker: the process that they lead to has ended.
    fn discard_connections(&self, address: SocketAddr);
}
