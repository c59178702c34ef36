//! Events: what the embedder reports to the dispatcher.

use super::{Endpoint, EndpointUpdate, JobId, JobSubmission, Outcome, TimeSpan, Timestamp, WorkerId};

/// Something that has happened. Pass each to [`Dispatcher::handle`](crate::Dispatcher::handle) with its time.
///
/// Attempts of a job are numbered from 0, in the order of its
/// [`Action::SendAttempt`](crate::Action::SendAttempt). Events about jobs and attempts that the dispatcher does
/// not know (any more) are ignored.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The endpoint list or changes to it arrived, from a poll, a watch or a push.
    EndpointsChanged {
        /// The entries.
        endpoints: &'a [Endpoint],
        /// Whether these are all entries or changes.
        update: EndpointUpdate,
    },
    /// Discovery confirmed the known endpoint list, by an answer to a poll, a change or a heartbeat.
    EndpointsConfirmed {
        /// The list is known to have been current at this moment: when the line of the watch was read, or when the
        /// poll was sent. A moment after that of the event counts as that of the event.
        as_of: Timestamp,
    },
    /// Discovery answered a poll.
    PollAnswered {
        /// Time from the request to the answer.
        duration: TimeSpan,
    },
    /// Discovery sent something that could not be parsed as an endpoint list.
    EndpointsMalformed,
    /// The address of discovery was changed: from now on the endpoint list comes from another service.
    DiscoveryAddressChanged,
    /// A poll failed, or the open watch ended.
    WatchFailed,
    /// A client submitted a job.
    JobSubmitted(JobSubmission),
    /// A worker has accepted an attempt, and has not necessarily started it.
    AttemptAccepted {
        /// Job of the attempt.
        job: JobId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// A worker has started to run an attempt.
    AttemptStarted {
        /// Job of the attempt.
        job: JobId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// A worker reported the progress of an attempt.
    AttemptProgressed {
        /// Job of the attempt.
        job: JobId,
        /// Number of the attempt.
        attempt: u32,
        /// Completed fraction of its work, from 0 to 1.
        fraction_done: f64,
    },
    /// The response has begun to stream to the client: the job is bound to this attempt, and its deadline no
    /// longer applies.
    AttemptStreaming {
        /// Job of the attempt.
        job: JobId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The reused connection of an attempt broke before a byte of a response: it is likely to have ended while it was
    /// idle. The end of the attempt follows, and does not count against its worker.
    ReusedConnectionLost {
        /// Job of the attempt.
        job: JobId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Job of the attempt.
        job: JobId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// The client has its response: the job needs no further attempt.
        job_answered: bool,
    },
    /// The client has disconnected: the job needs no response any more.
    ClientDisconnected {
        /// Its job.
        job: JobId,
    },
    /// The gossip that another node sent by [`Action::SendGossip`](crate::Action::SendGossip) arrived.
    GossipReceived {
        /// Index of the sending node.
        from: u32,
        /// The message.
        data: &'a [u8],
    },
    /// An operator disabled a worker for maintenance, so that it gets no jobs whatever the endpoint list says. No effect
    /// on a worker that is disabled already.
    WorkerDisabled {
        /// Which worker.
        worker: WorkerId,
    },
    /// An operator enabled a worker again. No effect on a worker that is not disabled.
    WorkerEnabled {
        /// Which worker.
        worker: WorkerId,
    },
    /// Another process of this node has taken over, or has exited again. While it is active, filling the workers
    /// that are warming up is left to it.
    SuccessorActive {
        /// Whether the other process is the active one.
        active: bool,
    },
    /// A graceful shutdown of this node has begun.
    ShutdownStarted {
        /// The moment by which all submitted jobs must be answered.
        deadline: Timestamp,
    },
    /// The timer of [`Action::SetTimer`](crate::Action::SetTimer) expired. Send it once right after the start
    /// too.
    TimerExpired,
}
