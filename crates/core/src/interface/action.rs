//! Actions: what the dispatcher asks the embedder to do.

use super::{JobId, TimeSpan, Timestamp, WorkerId};

/// Something to be done. Carry out the actions of one event in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the job to the worker; report its end by
    /// [`Event::AttemptEnded`](crate::Event::AttemptEnded).
    SendAttempt {
        /// Which job.
        job: JobId,
        /// Which worker.
        worker: WorkerId,
        /// End the attempt with [`Outcome::TimedOut`](crate::Outcome::TimedOut) after this long.
        timeout: TimeSpan,
        /// The first byte must be written before this moment, else the attempt ends with
        /// [`Outcome::NotSent`](crate::Outcome::NotSent). None: only the timeout applies.
        send_deadline: Option<Timestamp>,
        /// Send it over a new connection: one that was idle may have ended unnoticed, and the loss of this attempt could
        /// not be repaired by a retry.
        needs_new_connection: bool,
    },
    /// End the job without a result; it has not run, so the client may safely retry.
    Reject {
        /// Which job.
        job: JobId,
        /// Advise the client not to retry before this long; zero: no advice.
        retry_after: TimeSpan,
    },
    /// End the job with an error; it may have run, so a retry may run it twice.
    Fail {
        /// Which job.
        job: JobId,
    },
    /// Do not send this attempt, because its worker accepts no new jobs any more. If no byte of it has been
    /// written, it ends with [`Outcome::NotSent`](crate::Outcome::NotSent); otherwise it continues unaffected. An
    /// embedder that writes an attempt at once on [`Action::SendAttempt`] can ignore this.
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
    /// Send a message of at most 256 bytes to another node; it gets it by
    /// [`Event::GossipReceived`](crate::Event::GossipReceived).
    SendGossip {
        /// Index of the receiving node.
        to: u32,
        /// The message.
        data: Vec<u8>,
    },
    /// Send [`Event::TimerExpired`](crate::Event::TimerExpired) after this long. It replaces an earlier timer that
    /// expires later; an earlier timer that still expires does no harm.
    SetTimer {
        /// Time span from now.
        after: TimeSpan,
    },
    /// Poll discovery for the endpoint list and watch it for changes.
    WatchEndpoints,
}
