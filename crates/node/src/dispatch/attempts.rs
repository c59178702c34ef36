//! Attempts as the dispatch task records them: where each stands and what its worker last reported.
//!
//! States of an attempt:
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `InFlight` | the dispatcher or a timer cancels it | `Cancelling` with the outcome that it will have |
//! | `InFlight`, `Cancelling` | the transport or a callback reports its end | `Ended` |
//! | `Cancelling` | the transport confirms that it was cancelled | `Ended` with the recorded outcome |
//! | `Ended` | anything | `Ended` |

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use curlewusher_core::{Outcome, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::attempt::SendPermit;

/// What a worker reports of a job in a callback.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallbackState {
    /// It has started to run.
    Started,
    /// This share of it is done, between 0 and 1.
    Running(f64),
    /// It is done, with this result.
    Done(Bytes),
    /// It failed; it may have run.
    Failed,
    /// The worker returns it without having run it.
    Returned,
    /// The worker has lost it; it may have run.
    Lost,
}

/// Where an attempt stands; see the table in the module's documentation.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptState {
    /// Handed to the transport.
    InFlight,
    /// Its cancellation has been requested and the transport has not yet confirmed it; it will end with this
    /// outcome.
    Cancelling(Outcome),
    /// Over. Nothing that is reported of it counts any more.
    Ended,
}

/// An attempt of a job at a worker.
pub(super) struct Attempt {
    /// The worker's name in the endpoint list; empty where the worker was not known any more.
    pub(super) worker_name: Rc<str>,
    /// None where the worker was not known any more.
    pub(super) address: Option<SocketAddr>,
    pub(super) state: AttemptState,
    /// Whether the worker has acknowledged it.
    pub(super) accepted: bool,
    /// Largest share done that the worker has reported, between 0 and 1.
    pub(super) progress: f64,
    /// The callback that ended it without a result.
    pub(super) last_callback: Option<CallbackState>,
    /// Requests its cancellation from the transport; dropped at its end.
    pub(super) cancel: Option<oneshot::Sender<()>>,
    /// Whether its first byte may still be written.
    pub(super) send_permit: Rc<SendPermit>,
    /// When it times out.
    pub(super) expires_at: Timestamp,
}

impl Attempt {
    /// Whether it is in flight and its cancellation has not been requested.
    pub(super) fn is_in_flight(&self) -> bool {
        self.state == AttemptState::InFlight
    }

    /// Whether it is over.
    pub(super) fn has_ended(&self) -> bool {
        self.state == AttemptState::Ended
    }

    /// Whether its cancellation has been requested and the transport has not yet confirmed it.
    pub(super) fn is_being_cancelled(&self) -> bool {
        matches!(self.state, AttemptState::Cancelling(_))
    }

    /// Requests its cancellation from the transport. It ends with that outcome once the transport confirms the
    /// cancellation.
    pub(super) fn request_cancellation(&mut self, outcome: Outcome) {
        self.state = AttemptState::Cancelling(outcome);
        self.send_permit.revoke();
        if let Some(cancel) = self.cancel.take() {
            // Where the transport does not listen any more, its report of the end is in the queue already.
            let _ = cancel.send(());
        }
    }

    /// Marks it as over. A callback can end an attempt that still waits for a connection, so that its permit
    /// to send is revoked as well.
    pub(super) fn end(&mut self) {
        self.state = AttemptState::Ended;
        self.cancel = None;
        self.send_permit.revoke();
    }
}
