//! Guard of a job from the end of its request to its response.

use std::rc::Rc;

use tokio::sync::mpsc::OwnedPermit;

use super::state::ServerState;
use crate::dispatch::{DispatchMessage, JobHandle};
use crate::upstream::RequestPayload;

/// Guard that counts a job as open until it is dropped. If the disconnect message is armed, the drop also
/// sends that message to the dispatch task, for example when hyper drops the request of a client that has
/// closed its connection.
pub struct OpenJob {
    disconnect_message: Option<DisconnectMessage>,
    state: Rc<ServerState>,
}

/// Message to the dispatch task that the client has closed its connection before the response.
struct DisconnectMessage {
    /// Reserved capacity of the queue for the message, since a drop cannot wait for capacity.
    permit: OwnedPermit<DispatchMessage<RequestPayload>>,
    job_handle: JobHandle,
}

impl OpenJob {
    /// Counts a job as open. The job has not been submitted to the dispatch task yet.
    pub fn new(state: &Rc<ServerState>) -> OpenJob {
        state.open_jobs.set(state.open_jobs.get() + 1);
        OpenJob { disconnect_message: None, state: state.clone() }
    }

    /// Arms the disconnect message: dropping this guard notifies the dispatch task that the client has closed
    /// its connection.
    pub fn arm_disconnect_message(
        &mut self,
        permit: OwnedPermit<DispatchMessage<RequestPayload>>,
        job_handle: JobHandle,
    ) {
        self.disconnect_message = Some(DisconnectMessage { permit, job_handle });
    }

    /// Disarms the disconnect message, because the job is answered or another process owns it now. The client
    /// may then close its connection.
    pub fn disarm_disconnect_message(&mut self) {
        self.disconnect_message = None;
    }
}

impl Drop for OpenJob {
    fn drop(&mut self) {
        self.state.open_jobs.set(self.state.open_jobs.get() - 1);
        self.state.job_closed.notify_waiters();
        if let Some(DisconnectMessage { permit, job_handle }) = self.disconnect_message.take() {
            // Set immediately for an attempt that is about to begin, since the message may be queued behind
            // many others.
            job_handle.mark_client_disconnected();
            permit.send(DispatchMessage::ClientDisconnected(job_handle));
        }
    }
}
