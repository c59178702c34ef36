//! Records of attempts in the dispatch task: state of each attempt, and last report of its worker.
//!
//! States of an attempt:
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `InFlight` | the dispatcher, a timer or an ambiguous callback cancels the attempt | `Cancelling` with the final outcome |
//! | `InFlight` | the attempt could not be passed to the transport | `Ended` |
//! | `InFlight`, `Cancelling` | the transport or a callback reports the end of the attempt | `Ended` |
//! | `Cancelling` | the transport confirms the cancellation | `Ended` with the recorded outcome |
//! | `Ended` | any | `Ended` |

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use curlewusher_core::{Outcome, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::attempt::SendPermit;

/// State of a job that a worker reports in a callback.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallbackState {
    /// The job has started to run.
    Started,
    /// This fraction of the job is done, from 0 to 1.
    Running(f64),
    /// The job is done, with this result.
    Done(Bytes),
    /// The job failed and may have run.
    Failed,
    /// The worker returns the job without having run it.
    Returned,
    /// The worker has lost the job, which may have run.
    Lost,
}

/// State of an attempt; see the table in the module documentation.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptState {
    /// The attempt is passed to the transport, and its cancellation has not been requested.
    InFlight,
    /// The cancellation has been requested and the transport has not yet confirmed it. The attempt will end
    /// with this outcome.
    Cancelling(Outcome),
    /// The attempt has ended. Later reports on it are ignored.
    Ended,
}

/// An attempt of a job at a worker.
pub(super) struct Attempt {
    /// Name of the worker in the endpoint list; empty if the worker was no longer listed when the attempt was
    /// recorded.
    pub(super) worker_name: Rc<str>,
    /// Address of the worker; `None` if the worker was no longer listed when the attempt was recorded.
    pub(super) address: Option<SocketAddr>,
    /// State of the attempt.
    pub(super) state: AttemptState,
    /// Whether the worker has accepted the attempt.
    pub(super) accepted: bool,
    /// Largest completed fraction that the worker has reported, from 0 to 1.
    pub(super) progress: f64,
    /// Callback that ended the attempt without a result.
    pub(super) last_callback: Option<CallbackState>,
    /// Sender that requests the cancellation from the transport; dropped when the attempt ends.
    pub(super) cancel: Option<oneshot::Sender<()>>,
    /// Permit to write the first byte.
    pub(super) send_permit: Rc<SendPermit>,
    /// Time at which the attempt times out.
    pub(super) expires_at: Timestamp,
}

impl Attempt {
    /// Returns whether the attempt is in flight and its cancellation has not been requested.
    pub(super) fn is_in_flight(&self) -> bool {
        self.state == AttemptState::InFlight
    }

    /// Returns whether the attempt has ended.
    pub(super) fn has_ended(&self) -> bool {
        self.state == AttemptState::Ended
    }

    /// Returns whether the cancellation has been requested and the transport has not yet confirmed it.
    pub(super) fn is_being_cancelled(&self) -> bool {
        matches!(self.state, AttemptState::Cancelling(_))
    }

    /// Requests the cancellation of the attempt from the transport. The attempt ends with `outcome` once the
    /// transport confirms the cancellation.
    pub(super) fn request_cancellation(&mut self, outcome: Outcome) {
        self.state = AttemptState::Cancelling(outcome);
        self.send_permit.revoke();
        if let Some(cancel) = self.cancel.take() {
            // If the transport has dropped the receiver, its report of the end is already in the queue.
            let _ = cancel.send(());
        }
    }

    /// Marks the attempt as ended. A callback can end an attempt that still waits for a connection, so the
    /// send permit is revoked as well.
    pub(super) fn end(&mut self) {
        self.state = AttemptState::Ended;
        self.cancel = None;
        self.send_permit.revoke();
    }
}
