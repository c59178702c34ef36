//! Interface between the dispatch task, which decides on attempts, and the transport, which sends them to
//! workers.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use curlewusher_core::{JobId, Outcome};
use tokio::sync::oneshot;

use super::send_permit::SendPermit;

/// Identifier of an attempt of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Job of the attempt.
    pub job: JobId,
    /// Position among the attempts of the job, counted from 0 in the order of sending.
    pub number: u32,
}

/// A request to the transport to send an attempt, or to resume an attempt of another process.
pub struct AttemptRequest<P> {
    /// Identifier of the attempt in the reports of the transport.
    pub id: AttemptId,
    /// Request id that the client gave the job.
    pub request_id: Rc<str>,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Payload that is sent to the worker.
    pub payload: Rc<P>,
    /// Remaining duration until the attempt times out.
    pub timeout: Duration,
    /// Whether the attempt must be sent over a new connection: if it were lost because a reused connection
    /// had closed unnoticed, it could not be retried.
    pub needs_new_connection: bool,
    /// Channel that receives a value as the request to cancel the attempt. Once the sender is dropped, the
    /// attempt has ended, and only its connection remains to be cleaned up.
    pub cancel: oneshot::Receiver<()>,
    /// Permit that is checked before the first byte is written. If it has been revoked, nothing is written,
    /// and the attempt ends as not sent.
    pub send_permit: Rc<SendPermit>,
}

/// Report of the transport on an attempt. The possible sequences for an attempt that was started are
/// `Accepted`, optionally followed by `Cancelled`; `Cancelled` alone; `Ended` alone; and
/// `LostWithReusedConnection` alone. An attempt that was resumed has at most the report `Cancelled`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReport {
    /// The worker has accepted the attempt.
    Accepted(AttemptId),
    /// The attempt has ended with this outcome.
    Ended(AttemptId, Outcome),
    /// The requested cancellation of the attempt is complete.
    Cancelled(AttemptId),
    /// The attempt has ended as lost: its connection, which had served an earlier request, broke before the
    /// first byte of a response.
    LostWithReusedConnection(AttemptId),
}

/// Future of a report; see [`AttemptReporter::report`].
pub type ReportFuture<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// Receiver of the reports of the transport on attempts.
pub trait AttemptReporter {
    /// Reports on an attempt. The future completes once the report is queued. If the receiver has finished,
    /// the report is dropped.
    fn report(&self, report: AttemptReport) -> ReportFuture<'_>;
}

/// Transport that sends attempts to workers, and reports on each attempt to an [`AttemptReporter`].
pub trait AttemptTransport {
    /// Payload that is sent to workers. The dispatch task never reads it.
    type Payload;

    /// Sends an attempt.
    fn start_attempt(&self, attempt: AttemptRequest<Self::Payload>);

    /// Resumes an attempt that a worker has accepted from another process of this node.
    fn resume_attempt(&self, attempt: AttemptRequest<Self::Payload>);

    /// Closes the idle connections to a worker whose process has exited.
    fn discard_connections(&self, address: SocketAddr);
}
