//! What the tasks of a link and its requests share: the connection, the outbound queue, the requests without a
//! response and the job ids being claimed.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::os::fd::OwnedFd;
use std::rc::Rc;

use curlewusher_control::frame::Frame;
use curlewusher_control::takeover::{JobClaims, LinkRole};
use rustix::net::{Shutdown, shutdown};
use tokio::net::UnixStream;
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;
use tracing::warn;

use super::outbound::{OutboundFrame, OutboundQueue};
use crate::telemetry::logging::NODE;

/// Id of the first request on a link; the frames of the handshake have 0.
const FIRST_REQUEST_ID: u64 = 1;

/// A request that the other process has not answered yet.
struct PendingRequest {
    response: oneshot::Sender<Frame>,
    /// The job id that it claims.
    claimed_job: Option<Rc<str>>,
}

/// The shared state of a link.
pub(super) struct LinkState {
    /// The connection to the other process.
    pub(super) stream: UnixStream,
    /// Ids of jobs that this process is claiming.
    pub(super) claims: RefCell<JobClaims>,
    /// Notified when a frame is queued or the link is lost.
    pub(super) outbound_changed: Notify,
    /// Notified when every frame is written or the link is lost.
    pub(super) outbound_written: Notify,
    /// Frames that wait to be written.
    pub(super) outbound: RefCell<OutboundQueue>,
    /// Cancelled once the link is lost.
    pub(super) lost: CancellationToken,
    next_request_id: Cell<u64>,
    /// By request id.
    pending_requests: RefCell<HashMap<u64, PendingRequest>>,
}

impl LinkState {
    /// The state of a new link.
    pub(super) fn new(stream: UnixStream, role: LinkRole) -> LinkState {
        LinkState {
            stream,
            claims: RefCell::new(JobClaims::new(role)),
            outbound_changed: Notify::new(),
            outbound_written: Notify::new(),
            outbound: RefCell::default(),
            lost: CancellationToken::new(),
            next_request_id: Cell::new(FIRST_REQUEST_ID),
            pending_requests: RefCell::default(),
        }
    }

    /// See [`super::PeerLink::is_connected`].
    pub(super) fn is_connected(&self) -> bool {
        !self.lost.is_cancelled()
    }

    /// See [`super::PeerLink::close`].
    pub(super) fn close(&self) {
        if !self.is_connected() {
            return;
        }
        self.lost.cancel();
        *self.outbound.borrow_mut() = OutboundQueue::default();
        // Fails where the other process has closed the connection already.
        let _ = shutdown(&self.stream, Shutdown::Both);
        self.outbound_changed.notify_one();
        self.outbound_written.notify_waiters();
    }

    /// See [`super::PeerLink::flush`].
    pub(super) async fn flush(&self) {
        while self.is_connected() && !self.outbound.borrow().is_empty() {
            self.outbound_written.notified().await;
        }
    }

    /// Sends a request. None where the link is lost or the frame is over its bound.
    pub(super) fn send_request(
        &self,
        frame: &Frame,
        claimed_job: Option<Rc<str>>,
        descriptor: Option<Rc<OwnedFd>>,
    ) -> Option<PendingResponse<'_>> {
        let request_id = self.take_request_id();
        let bytes = frame.encode(request_id).ok().filter(|_| self.is_connected())?;
        let (response, receiver) = oneshot::channel();
        self.pending_requests.borrow_mut().insert(request_id, PendingRequest { response, claimed_job });
        let pending = PendingResponse { state: self, request_id, receiver };
        self.enqueue(OutboundFrame { bytes, descriptor, written: None });
        Some(pending)
    }

    /// Sends a frame that has no response.
    pub(super) fn send_one_way(&self, frame: &Frame) {
        self.send_response(self.take_request_id(), frame);
    }

    /// Sends the response to a request.
    pub(super) fn send_response(&self, request_id: u64, frame: &Frame) {
        self.send_frame(request_id, frame, None);
    }

    /// Sends the response to a request, and notifies `written` once it is written.
    pub(super) fn send_response_and_notify(
        &self,
        request_id: u64,
        frame: &Frame,
        written: oneshot::Sender<()>,
    ) {
        self.send_frame(request_id, frame, Some(written));
    }

    /// Passes a response on to the request that waits for it, if one still does.
    pub(super) fn complete_request(&self, request_id: u64, response: Frame) {
        let Some(request) = self.pending_requests.borrow_mut().remove(&request_id) else { return };
        // A claim counts from here on, not from when its task next runs: the next frame may claim the same id.
        if let (Some(job_id), Frame::ClaimResult(true)) = (&request.claimed_job, &response) {
            self.claims.borrow_mut().confirm(job_id);
        }
        // A request that has timed out no longer needs its response.
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
            Ok(bytes) => self.enqueue(OutboundFrame { bytes, descriptor: None, written }),
            Err(error) => warn!(target: NODE, %error, "peer message not sent"),
        }
    }

    /// Queues a frame. A process that reads so little that the queue is over its limit counts as ended.
    fn enqueue(&self, frame: OutboundFrame) {
        if !self.is_connected() {
            return;
        }
        let mut outbound = self.outbound.borrow_mut();
        outbound.push(frame);
        let is_over_limit = outbound.is_over_limit();
        drop(outbound);
        if is_over_limit {
            warn!(target: NODE, "peer link stalled");
            return self.close();
        }
        self.outbound_changed.notify_one();
    }
}

/// The response to a request, once it arrives. Dropping it abandons the request; a late response is ignored.
pub(super) struct PendingResponse<'a> {
    state: &'a LinkState,
    request_id: u64,
    /// Fails where the link is lost before the response arrives.
    pub(super) receiver: oneshot::Receiver<Frame>,
}

impl Drop for PendingResponse<'_> {
    fn drop(&mut self) {
        self.state.pending_requests.borrow_mut().remove(&self.request_id);
    }
}
