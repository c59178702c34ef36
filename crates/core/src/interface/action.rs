//! Actions: requests of the dispatcher to its embedder.

use super::{JobId, TimeSpan, Timestamp, WorkerId};

/// Request of the dispatcher to its embedder. Perform the actions of one event in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the job to the worker, and report its end as
    /// [`Event::AttemptEnded`](crate::Event::AttemptEnded).
    SendAttempt {
        /// Job of the attempt.
        job: JobId,
        /// Worker that receives the attempt.
        worker: WorkerId,
        /// Time from now after which the embedder must end the attempt with
        /// [`Outcome::TimedOut`](crate::Outcome::TimedOut).
        timeout: TimeSpan,
        /// Time before which the first byte must be written; otherwise the attempt ends with
        /// [`Outcome::NotSent`](crate::Outcome::NotSent). `None`: only the timeout applies.
        send_deadline: Option<Timestamp>,
        /// Whether the attempt must be sent over a new connection. An idle connection may have been closed
        /// unnoticed, and a retry could not make up for the loss of this attempt.
        needs_new_connection: bool,
    },
    /// End the job without a result. The job has not run, so the client may safely retry.
    Reject {
        /// Job to end.
        job: JobId,
        /// Minimum delay before a client retry, as advice to the client. Zero: no advice.
        retry_after: TimeSpan,
    },
    /// End the job with an error. The job may have run, so a client retry may run it twice.
    Fail {
        /// Job to end.
        job: JobId,
    },
    /// Do not send this attempt, because its worker accepts no new jobs any more. If no byte of the attempt
    /// has been written, it ends with [`Outcome::NotSent`](crate::Outcome::NotSent); otherwise it continues
    /// unaffected. An embedder that writes an attempt at once on [`Action::SendAttempt`] can ignore this.
    RevokeAttempt {
        /// Job of the attempt.
        job: JobId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Cancel an attempt that is in flight: its response is not needed.
    CancelAttempt {
        /// Job of the attempt.
        job: JobId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Send a message of at most 256 bytes to another node, which receives it as
    /// [`Event::GossipReceived`](crate::Event::GossipReceived).
    SendGossip {
        /// Index of the receiving node.
        to: u32,
        /// Message to send.
        data: Vec<u8>,
    },
    /// Send [`Event::TimerExpired`](crate::Event::TimerExpired) after this delay. The timer replaces an
    /// earlier one that expires later. An earlier timer that still expires does no harm.
    SetTimer {
        /// Delay from now.
        after: TimeSpan,
    },
    /// Poll discovery for the endpoint list and watch it for changes.
    WatchEndpoints,
}
