//! Events: reports of the embedder to the dispatcher.

use super::{
    Endpoint, EndpointUpdate, JobId, JobSubmission, ListEvidence, Outcome, TimeSpan, Timestamp, WorkerId,
};

/// Report of the embedder to the dispatcher. Pass each event to
/// [`Dispatcher::handle`](crate::Dispatcher::handle) with its time.
///
/// Attempts of a job are numbered from 0, in the order of its
/// [`Action::SendAttempt`](crate::Action::SendAttempt). Events about unknown or removed jobs and attempts are
/// ignored.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The endpoint list or changes to it arrived, from a poll, a watch or a push.
    EndpointsChanged {
        /// Entries of the message.
        endpoints: &'a [Endpoint],
        /// Whether the entries are the whole list or changes to it.
        update: EndpointUpdate,
    },
    /// Discovery confirmed the endpoint list of this node, by the answer to a poll or a heartbeat.
    EndpointsConfirmed {
        /// Message that confirms the list. A time later than that of the event is treated as the time of the
        /// event.
        evidence: ListEvidence,
    },
    /// Discovery answered a poll. The endpoint list of the answer follows.
    PollAnswered {
        /// Time from the request to the response.
        duration: TimeSpan,
    },
    /// Discovery sent a message that could not be parsed as an endpoint list.
    EndpointsMalformed,
    /// The address of discovery was changed: from now on the endpoint list comes from another service.
    DiscoveryAddressChanged,
    /// A poll failed, or the open watch ended.
    WatchFailed,
    /// A client submitted a job.
    JobSubmitted(JobSubmission),
    /// A worker has accepted an attempt, but has not necessarily started it.
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
    /// The reused connection of an attempt broke before the first byte of a response: it was probably closed
    /// while it was idle. The end of the attempt is reported next and does not count against its worker.
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
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Whether the client has its response, so that the job needs no further attempt.
        job_answered: bool,
    },
    /// The client has disconnected: the job no longer needs a response.
    ClientDisconnected {
        /// Job of the client.
        job: JobId,
    },
    /// Gossip arrived that another node sent by [`Action::SendGossip`](crate::Action::SendGossip).
    GossipReceived {
        /// Index of the sending node.
        from: u32,
        /// Received message.
        data: &'a [u8],
    },
    /// An operator disabled a worker for maintenance: it gets no jobs, regardless of the endpoint list. No
    /// effect on a worker that is already disabled.
    WorkerDisabled {
        /// Disabled worker.
        worker: WorkerId,
    },
    /// An operator enabled a worker again. No effect on a worker that is not disabled.
    WorkerEnabled {
        /// Enabled worker.
        worker: WorkerId,
    },
    /// The successor of this process has taken over, or has exited again. While it is active, only the
    /// successor sends jobs to workers that are warming up.
    SuccessorActive {
        /// Whether the successor is active.
        active: bool,
    },
    /// A graceful shutdown of this node has begun.
    ShutdownStarted {
        /// Time by which all submitted jobs must be answered.
        deadline: Timestamp,
    },
    /// The timer of [`Action::SetTimer`](crate::Action::SetTimer) expired. Send this event also once right
    /// after the start.
    TimerExpired,
}
