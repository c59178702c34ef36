//! State that the tasks and the requests of a link share: the connection, the outbound queue, the pending
//! requests and the job ids that are being claimed.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::sync::Arc;

use curlewusher_control::frame::Frame;
use curlewusher_control::takeover::{JobClaims, LinkRole};
use rustix::net::{Shutdown, shutdown};
use tokio::net::UnixStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, oneshot};
use tokio_util::sync::CancellationToken;
use tracing::warn;

use super::outbound::{MAX_OUTBOUND_REQUEST_BYTES, OutboundFrame, OutboundQueue};
use crate::telemetry::logging::NODE;

/// Id of the first request on a link. The frames of the handshake have the id 0.
const FIRST_REQUEST_ID: u64 = 1;

/// Request that the peer has not answered yet.
struct PendingRequest {
    response: oneshot::Sender<Frame>,
    /// Job id that the request claims, if it is a claim.
    claimed_job: Option<Rc<str>>,
}

/// Shared state of a link.
pub(super) struct LinkState {
    /// Connection to the peer.
    pub(super) stream: UnixStream,
    /// Job ids that this process is claiming.
    pub(super) claims: RefCell<JobClaims>,
    /// Notification that a frame is queued or the link is lost.
    pub(super) outbound_changed: Notify,
    /// Notification that every frame is written or the link is lost.
    pub(super) outbound_written: Notify,
    /// Frames that wait to be written.
    pub(super) outbound: RefCell<OutboundQueue>,
    /// Free capacity of the outbound queue for requests, in bytes.
    request_capacity: Arc<Semaphore>,
    /// Token that is cancelled when the link is lost or has failed.
    pub(super) lost: CancellationToken,
    /// Whether frames of the peer cannot be decoded, while the peer still holds its end.
    failed: Cell<bool>,
    next_request_id: Cell<u64>,
    /// Pending requests by request id.
    pending_requests: RefCell<HashMap<u64, PendingRequest>>,
}

impl LinkState {
    /// Creates the state of a new link.
    pub(super) fn new(stream: UnixStream, role: LinkRole) -> LinkState {
        LinkState {
            stream,
            claims: RefCell::new(JobClaims::new(role)),
            outbound_changed: Notify::new(),
            outbound_written: Notify::new(),
            outbound: RefCell::default(),
            request_capacity: Arc::new(Semaphore::new(MAX_OUTBOUND_REQUEST_BYTES)),
            lost: CancellationToken::new(),
            failed: Cell::new(false),
            next_request_id: Cell::new(FIRST_REQUEST_ID),
            pending_requests: RefCell::default(),
        }
    }

    /// Implements [`super::PeerLink::is_connected`].
    pub(super) fn is_connected(&self) -> bool {
        !self.lost.is_cancelled()
    }

    /// Implements [`super::PeerLink::has_failed`].
    pub(super) fn has_failed(&self) -> bool {
        self.failed.get()
    }

    /// Stops the use of the link without closing it, because the peer would take a close for the end of this
    /// process. Pending requests stay pending: the peer may have executed them.
    pub(super) fn fail(&self) {
        self.failed.set(true);
        self.disconnect();
    }

    /// Implements [`super::PeerLink::close`].
    pub(super) fn close(&self) {
        self.failed.set(false);
        self.disconnect();
        // The call fails if the peer has already closed the connection.
        let _ = shutdown(&self.stream, Shutdown::Both);
    }

    fn disconnect(&self) {
        self.lost.cancel();
        self.request_capacity.close();
        *self.outbound.borrow_mut() = OutboundQueue::default();
        self.outbound_changed.notify_one();
        self.outbound_written.notify_waiters();
    }

    /// Implements [`super::PeerLink::flush`].
    pub(super) async fn flush(&self) {
        while self.is_connected() && !self.outbound.borrow().is_empty() {
            self.outbound_written.notified().await;
        }
    }

    /// Sends a request, once the outbound queue has capacity for it. Returns `None` if the link is lost or the
    /// frame exceeds its limit.
    pub(super) async fn send_request(
        &self,
        frame: &Frame,
        claimed_job: Option<Rc<str>>,
        descriptor: Option<Rc<OwnedFd>>,
    ) -> Option<PendingResponse<'_>> {
        let request_id = self.take_request_id();
        let bytes = frame.encode(request_id).ok()?;
        let capacity = self.reserve_capacity(bytes.len()).await?;
        let (response, receiver) = oneshot::channel();
        self.pending_requests.borrow_mut().insert(request_id, PendingRequest { response, claimed_job });
        let pending = PendingResponse { state: self, request_id, receiver };
        self.enqueue(OutboundFrame { bytes, descriptor, written: None, _capacity: Some(capacity) });
        Some(pending)
    }

    /// Waits until the outbound queue has capacity for a request. Returns `None` if the link is lost.
    async fn reserve_capacity(&self, request_bytes: usize) -> Option<OwnedSemaphorePermit> {
        let permits = u32::try_from(request_bytes).ok()?;
        self.request_capacity.clone().acquire_many_owned(permits).await.ok()
    }

    /// Sends a frame that expects no response.
    pub(super) fn send_one_way(&self, frame: &Frame) {
        self.send_response(self.take_request_id(), frame);
    }

    /// Sends the response to a request.
    pub(super) fn send_response(&self, request_id: u64, frame: &Frame) {
        self.send_frame(request_id, frame, None);
    }

    /// Sends the response to a request, and notifies `written` when the response is written.
    pub(super) fn send_response_and_notify(
        &self,
        request_id: u64,
        frame: &Frame,
        written: oneshot::Sender<()>,
    ) {
        self.send_frame(request_id, frame, Some(written));
    }

    /// Completes the request that waits for this response, if it is still pending.
    pub(super) fn complete_request(&self, request_id: u64, response: Frame) {
        let Some(request) = self.pending_requests.borrow_mut().remove(&request_id) else { return };
        // The claim is confirmed here, not when its task next runs, because the next frame may claim the same
        // id.
        if let (Some(job_id), Frame::ClaimResult(true)) = (&request.claimed_job, &response) {
            self.claims.borrow_mut().confirm(job_id);
        }
        // Sending fails if the request has timed out and no longer needs its response.
        let _ = request.response.send(response);
    }

    /// Ends every pending request without a response.
    pub(super) fn abandon_pending_requests(&self) {
        self.pending_requests.borrow_mut().clear();
    }

    fn take_request_id(&self) -> u64 {
        self.next_request_id.replace(self.next_request_id.get() + 1)
    }

    fn send_frame(&self, request_id: u64, frame: &Frame, written: Option<oneshot::Sender<()>>) {
        match frame.encode(request_id) {
            Ok(bytes) => {
                self.enqueue(OutboundFrame { bytes, descriptor: None, written, _capacity: None });
            }
            Err(error) => warn!(target: NODE, %error, "peer message not sent"),
        }
    }

    fn enqueue(&self, frame: OutboundFrame) {
        if !self.is_connected() {
            return;
        }
        self.outbound.borrow_mut().push(frame);
        self.outbound_changed.notify_one();
    }
}

/// Response that is still awaited. Dropping it abandons the request; a late response is ignored.
pub(super) struct PendingResponse<'a> {
    state: &'a LinkState,
    request_id: u64,
    /// Receiver of the response. Fails if the link is lost before the response arrives.
    pub(super) receiver: oneshot::Receiver<Frame>,
}

impl Drop for PendingResponse<'_> {
    fn drop(&mut self) {
        self.state.pending_requests.borrow_mut().remove(&self.request_id);
    }
}
