//! Task that reads the frames of a link. Responses complete their requests; requests of the peer are queued
//! for the takeover task.

use std::io::ErrorKind;
use std::os::fd::OwnedFd;
use std::rc::Rc;

use bytes::Bytes;
use curlewusher_control::frame::{Decoder, Frame, ReceivedFrame};
use curlewusher_control::takeover::LocalOwnership;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tracing::warn;

use super::outbound::limit_snapshot;
use super::peer_request::PeerRequest;
use super::state::LinkState;
use crate::handover::descriptor_stream::{PendingDescriptors, StreamState, read_chunk};
use crate::handover::error::HandoverError;
use crate::telemetry::logging::NODE;

/// Reader of the frames of a link.
pub(super) struct FrameReader {
    state: Rc<LinkState>,
    request_queue: mpsc::Sender<PeerRequest>,
}

impl FrameReader {
    /// Creates a reader that sends the peer's requests to `request_queue`.
    pub(super) fn new(state: Rc<LinkState>, request_queue: mpsc::Sender<PeerRequest>) -> FrameReader {
        FrameReader { state, request_queue }
    }

    /// Reads until the link is lost. Then closes the link, ends the pending requests and reports the loss.
    ///
    /// If the frames of the peer cannot be decoded, this process keeps its end open until the peer closes its
    /// own: the loss of the link proves to either process that the other one has ended.
    pub(super) async fn run(
        self,
        decoder: Decoder,
        link_lost_permit: Option<mpsc::OwnedPermit<PeerRequest>>,
    ) {
        if let Err(error) = self.read_frames(decoder).await {
            warn!(target: NODE, %error, "peer link failed");
            self.state.fail();
            self.discard_until_closed().await;
        }
        self.state.close();
        self.state.abandon_pending_requests();
        if let Some(permit) = link_lost_permit {
            permit.send(PeerRequest::LinkLost);
        }
    }

    async fn read_frames(&self, mut decoder: Decoder) -> Result<(), HandoverError> {
        // Each descriptor arrives with the first byte of its frame, so descriptors and frames are in the same
        // order.
        let mut descriptors = PendingDescriptors::new();
        loop {
            while let Some(ReceivedFrame { sequence: request_id, frame }) = decoder.next_frame()? {
                if !self.state.is_connected() && !frame.is_response() {
                    // Requests that arrive after the loss are ignored, because the peer relies on receiving
                    // no response.
                    continue;
                }
                self.handle_frame(request_id, frame, &mut descriptors).await?;
            }
            match read_chunk(&self.state.stream, &mut decoder, &mut descriptors).await {
                Ok(StreamState::Open) => {}
                Ok(StreamState::Closed) => return Ok(decoder.finish()?),
                // The peer closed the connection before it had read all frames.
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return Ok(()),
                Err(error) => return Err(HandoverError::Disconnected(error)),
            }
        }
    }

    /// Reads and discards everything that the peer still sends.
    async fn discard_until_closed(&self) {
        loop {
            let (mut unused_decoder, mut unused_descriptors) =
                (Decoder::default(), PendingDescriptors::new());
            let read = read_chunk(&self.state.stream, &mut unused_decoder, &mut unused_descriptors).await;
            if !matches!(read, Ok(StreamState::Open)) {
                return;
            }
        }
    }

    async fn handle_frame(
        &self,
        request_id: u64,
        frame: Frame,
        descriptors: &mut PendingDescriptors,
    ) -> Result<(), HandoverError> {
        match frame {
            Frame::TakeoverGranted(_)
            | Frame::CallbackResult(_)
            | Frame::ClaimResult(_)
            | Frame::CommandResult(_)
            | Frame::MigrationResult(_) => self.state.complete_request(request_id, frame),
            Frame::Callback(body) => {
                let request = |is_handled| PeerRequest::Callback { body, is_handled };
                let response = |_: &_, is_handled| Frame::CallbackResult(is_handled);
                self.enqueue_and_respond(request_id, request, response).await;
            }
            Frame::ClaimJob(job_id) => self.handle_claim(request_id, job_id).await,
            Frame::Command(command) => {
                let request = |result| PeerRequest::Command { command, result };
                let response = |_: &_, result| Frame::CommandResult(result);
                self.enqueue_and_respond(request_id, request, response).await;
            }
            Frame::TakeoverRequest => {
                let request = |snapshot| PeerRequest::Takeover { snapshot };
                let response = |_: &_, snapshot| Frame::TakeoverGranted(limit_snapshot(snapshot));
                self.enqueue_and_respond(request_id, request, response).await;
            }
            Frame::MigrateJob(job) => {
                let client = descriptors.pop_front().ok_or(HandoverError::UnexpectedFrame)?;
                self.handle_migration(request_id, job, client).await;
            }
            Frame::CancelAttempt { worker, job_id } => {
                self.enqueue_request(PeerRequest::CancelAttempt { worker, job_id }).await;
            }
            Frame::HandBack => self.enqueue_request(PeerRequest::HandBack).await,
            Frame::Hello { .. } | Frame::Accepted(_) | Frame::Rejected(_) => {
                return Err(HandoverError::UnexpectedFrame);
            }
        }
        Ok(())
    }

    /// Rejects a claim that conflicts with a claim of this process. Otherwise queries whether this process
    /// holds a job with this id, and responds accordingly.
    async fn handle_claim(&self, request_id: u64, job_id: String) {
        if !self.state.claims.borrow().allows_peer_claim(&job_id, LocalOwnership::NotOwned) {
            return self.state.send_response(request_id, &Frame::ClaimResult(false));
        }
        let claimed_id = job_id.clone();
        // The claims are checked again with the result, because this process may have claimed the id in the
        // meantime.
        let respond = move |state: &LinkState, is_unheld: bool| {
            let ownership = if is_unheld { LocalOwnership::NotOwned } else { LocalOwnership::Owned };
            Frame::ClaimResult(state.claims.borrow().allows_peer_claim(&claimed_id, ownership))
        };
        let request = |is_unheld| PeerRequest::ClaimJob { job_id, is_unheld };
        self.enqueue_and_respond(request_id, request, respond).await;
    }

    /// Queues a migrated job for the takeover task, and notifies the receiver when the response is written. The
    /// peer keeps the job if this process had no free descriptor for the client's socket.
    async fn handle_migration(&self, request_id: u64, job: Bytes, client: Option<OwnedFd>) {
        let Some(client) = client else {
            return self.state.send_response(request_id, &Frame::MigrationResult(false));
        };
        let (is_adopted, adoption) = oneshot::channel();
        let (written, response_written) = oneshot::channel();
        self.enqueue_request(PeerRequest::MigrateJob { job, client, is_adopted, response_written }).await;
        let state = Rc::clone(&self.state);
        spawn_local(async move {
            // The peer waits for the response. Without a decision this process has not adopted the job.
            let response = Frame::MigrationResult(adoption.await.unwrap_or(false));
            state.send_response_and_notify(request_id, &response, written);
        });
    }

    /// Queues a request for the takeover task. When the result is available, converts it to a response and
    /// sends it.
    async fn enqueue_and_respond<T: 'static>(
        &self,
        request_id: u64,
        request: impl FnOnce(oneshot::Sender<T>) -> PeerRequest,
        response: impl FnOnce(&LinkState, T) -> Frame + 'static,
    ) {
        let (result_channel, result) = oneshot::channel();
        self.enqueue_request(request(result_channel)).await;
        let state = Rc::clone(&self.state);
        spawn_local(async move {
            if let Ok(result) = result.await {
                state.send_response(request_id, &response(&state, result));
            }
        });
    }

    /// Queues a request for the takeover task. While the queue is full, nothing is read from the peer, whose
    /// requests then wait for capacity.
    async fn enqueue_request(&self, request: PeerRequest) {
        // Sending fails only if the takeover task has ended, which makes the process exit.
        let _ = self.request_queue.send(request).await;
    }
}
