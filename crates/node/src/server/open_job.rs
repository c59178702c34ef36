//! The guard of a job between its arrival and its response.

use std::rc::Rc;

use tokio::sync::mpsc::OwnedPermit;

use super::state::ServerState;
use crate::dispatch::{DispatchMessage, JobHandle};
use crate::upstream::RequestPayload;

/// Counts a job as open until it is dropped. Dropped with a disconnect message armed, as when hyper drops the
/// request of a client that has closed, it sends that message to the dispatch task.
pub struct OpenJob {
    disconnect_message: Option<DisconnectMessage>,
    state: Rc<ServerState>,
}

/// What the dispatch task gets when the client closes before its response.
struct DisconnectMessage {
    /// Capacity of the queue that is reserved for the message, since a drop cannot wait for any.
    permit: OwnedPermit<DispatchMessage<RequestPayload>>,
    job_handle: JobHandle,
}

impl OpenJob {
    /// Counts a job as open. The dispatch task does not know it yet.
    pub fn new(state: &Rc<ServerState>) -> OpenJob {
        state.open_jobs.set(state.open_jobs.get() + 1);
        OpenJob { disconnect_message: None, state: state.clone() }
    }

    /// From now on the drop of this guard sends the message that the client has closed.
    pub fn arm_disconnect_message(
        &mut self,
        permit: OwnedPermit<DispatchMessage<RequestPayload>>,
        job_handle: JobHandle,
    ) {
        self.disconnect_message = Some(DisconnectMessage { permit, job_handle });
    }

    /// The job is answered, or is no more this process's: the client may close.
    pub fn disarm_disconnect_message(&mut self) {
        self.disconnect_message = None;
    }
}

impl Drop for OpenJob {
    fn drop(&mut self) {
        self.state.open_jobs.set(self.state.open_jobs.get() - 1);
        self.state.job_closed.notify_waiters();
        if let Some(DisconnectMessage { permit, job_handle }) = self.disconnect_message.take() {
            // At once, for an attempt that is about to begin: the message may wait behind many others.
            job_handle.mark_client_gone();
            permit.send(DispatchMessage::ClientDisconnected(job_handle));
        }
    }
}
