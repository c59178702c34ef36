//! Requests of this process to the peer, with their timeouts.

use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use curlewusher_control::command::{AdminCommand, CommandResult};
use curlewusher_control::frame::Frame;
use tokio::time::timeout;

use super::PeerLink;
use super::state::LinkState;

/// Maximum time to wait for the result of a forwarded callback. The worker that sent it waits for the
/// response.
const CALLBACK_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time to wait for the result of the claim of a job id. The client of the job waits for it.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time to wait for the result of a forwarded command. The operator waits up to 1 s for the response.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(700);
/// Time that a job must have left for its migration. While the job migrates neither process can act on it.
pub const MIN_TIME_FOR_MIGRATION: Duration = Duration::from_secs(2);
/// Request id of the frames of the handshake.
const HANDSHAKE_REQUEST_ID: u64 = 0;

/// Outcome of forwarding a callback to the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardResult {
    /// The peer holds the job and has handled the callback.
    Handled,
    /// The peer does not hold the job.
    NotHeld,
    /// The peer did not respond.
    NoAnswer,
}

impl PeerLink {
    /// Forwards the body of a callback to the peer. Takes 300 ms at most.
    pub async fn forward_callback(&self, body: Bytes) -> ForwardResult {
        match self.request(&Frame::Callback(body), None, CALLBACK_TIMEOUT).await {
            Some(Frame::CallbackResult(true)) => ForwardResult::Handled,
            Some(Frame::CallbackResult(false)) => ForwardResult::NotHeld,
            _ => ForwardResult::NoAnswer,
        }
    }

    /// Claims the id of a job that this process is about to accept. Returns `None` if the peer rejects the
    /// claim, for example because it holds the id, or if this process is already claiming the id for another
    /// submission of the job. The claim also succeeds if the peer does not respond within 300 ms or has
    /// ended. The caller must not drop the guard before the job is in the queue of the part that answers
    /// [`super::PeerRequest::ClaimJob`].
    pub async fn claim_job(&self, job_id: &str) -> Option<JobClaimGuard> {
        if !self.state.claims.borrow_mut().try_claim(job_id) {
            return None;
        }
        let claim = JobClaimGuard { state: Rc::clone(&self.state), job_id: job_id.into() };
        let claimed_job = Some(Rc::clone(&claim.job_id));
        let response = self.request(&Frame::ClaimJob(job_id.to_owned()), claimed_job, CLAIM_TIMEOUT).await;
        if matches!(response, Some(Frame::ClaimResult(false))) {
            return None;
        }
        self.state.claims.borrow_mut().confirm(job_id);
        Some(claim)
    }

    /// Forwards an operator's command to the peer, which executes it as well. Returns `None` if the peer does
    /// not respond within 700 ms.
    pub async fn forward_command(&self, command: &AdminCommand) -> Option<CommandResult> {
        match self.request(&Frame::Command(command.clone()), None, COMMAND_TIMEOUT).await {
            Some(Frame::CommandResult(result)) => Some(result),
            _ => None,
        }
    }

    /// Migrates a job to the peer, with the socket of its client. Returns whether the peer now holds the job.
    /// Waits until the peer responds or the link is lost: until then the peer may hold the job, and this
    /// process must not act on it.
    pub async fn migrate_job(&self, job: Bytes, client: OwnedFd) -> bool {
        let descriptor = Some(Rc::new(client));
        let sent = self.state.send_request(&Frame::MigrateJob(job), None, descriptor).await;
        let Some(mut pending) = sent else { return false };
        matches!((&mut pending.receiver).await, Ok(Frame::MigrationResult(true)))
    }

    /// Transfers the cancellation of an attempt to the peer.
    pub fn transfer_cancellation(&self, worker: SocketAddr, job_id: &str) {
        self.state.send_one_way(&Frame::CancelAttempt { worker, job_id: job_id.to_owned() });
    }

    /// Requests the takeover of new connections and the latest state snapshot from the predecessor. Waits as
    /// long as the predecessor does not respond, since the predecessor serves until it does. Returns `None` if
    /// the link is lost.
    pub async fn request_takeover(&self) -> Option<Bytes> {
        let mut pending = self.state.send_request(&Frame::TakeoverRequest, None, None).await?;
        match (&mut pending.receiver).await {
            Ok(Frame::TakeoverGranted(snapshot)) => Some(snapshot),
            _ => None,
        }
    }

    /// Rolls back the takeover: the predecessor accepts new connections again.
    pub fn hand_back(&self) {
        self.state.send_one_way(&Frame::HandBack);
    }

    /// Completes the handshake by accepting the peer as the successor.
    pub(in crate::handover) fn send_acceptance(&self, snapshot: Bytes) {
        self.state.send_response(HANDSHAKE_REQUEST_ID, &Frame::Accepted(snapshot));
    }

    /// Sends a request and waits for its response. Returns `None` if no response arrives within
    /// `response_timeout` or the link is lost.
    async fn request(
        &self,
        frame: &Frame,
        claimed_job: Option<Rc<str>>,
        response_timeout: Duration,
    ) -> Option<Frame> {
        let exchange = async {
            let mut pending = self.state.send_request(frame, claimed_job, None).await?;
            (&mut pending.receiver).await.ok()
        };
        timeout(response_timeout, exchange).await.ok()?
    }
}

/// Guard of the claim of a job id. The peer's claims of this id are rejected until the guard is dropped.
pub struct JobClaimGuard {
    state: Rc<LinkState>,
    job_id: Rc<str>,
}

impl Drop for JobClaimGuard {
    fn drop(&mut self) {
        self.state.claims.borrow_mut().release(&self.job_id);
    }
}
