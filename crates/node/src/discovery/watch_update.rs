//! Updates of the endpoint watch that its state machine reports: lists, heartbeats and failures, and the effects
//! of requests and failures on the polls.

use tokio::time::Instant;

use crate::discovery::endpoint_list::EndpointListMessage;
use crate::discovery::endpoint_watch::WatchError;
use crate::dispatch::AnsweredPoll;

/// Update that the caller reports to the dispatch task.
pub enum WatchUpdate {
    /// A list, or a change to it.
    List(ListUpdate),
    /// A heartbeat of the watch of the current address was read at this time.
    Heartbeat(Instant),
    /// A watch or a poll has failed. The caller reports the failure and calls [`WatchState::record_failure`](super::watch_state::WatchState::record_failure).
    Failed(WatchFailure),
}

/// A list or a change that has been read.
pub struct ListUpdate {
    /// Content of the message.
    pub list: EndpointListMessage,
    /// Poll that the list answers; `None` for later lists of the watch.
    pub answered_poll: Option<AnsweredPoll>,
}

/// Failure of a watch or a poll.
pub struct WatchFailure {
    /// Reason for the failure.
    pub error: WatchError,
    /// Whether the watch or poll was of the current address.
    pub is_current: bool,
    /// Whether a poll failed and not an open watch. A poll has already waited for the slot of this node.
    pub is_poll: bool,
}

/// Effect of a request for a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestedPoll {
    /// A poll is pending or scheduled, and no other one was started.
    AlreadyPending,
    /// A poll was started, and no watch of the current address is open.
    WithoutWatch,
    /// A poll was started that renews the open watch.
    BesideOpenWatch,
}

/// Source of the next poll after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPoll {
    /// The poll is scheduled, or the dispatch task has already been notified of an earlier failure.
    Pending,
    /// No poll is pending or scheduled any more, and either the state is idle, or the failed poll was to renew
    /// the open watch. The dispatch task must be notified, and then requests the poll.
    OnRequest,
}
