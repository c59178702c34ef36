//! The requests of this process to the other one, each with its timeout.

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

/// How long a callback that is forwarded waits; its worker waits for the answer.
const CALLBACK_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the claim of a job id waits; the job's client waits for it.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an operator's command waits; the operator waits up to 1 s for its answer.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a job's migration waits; meanwhile neither process can act on the job.
pub const MIGRATION_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the successor waits until its predecessor has handed over new connections.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// The request id of frames that belong to the handshake.
const HANDSHAKE_REQUEST_ID: u64 = 0;

/// The outcome of forwarding a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardResult {
    /// The other process holds its job and has handled it.
    Handled,
    /// The other process does not hold its job.
    NotHeld,
    /// The other process did not answer.
    NoAnswer,
}

impl PeerLink {
    /// Forwards a callback's body. Takes 300 ms at most.
    pub async fn forward_callback(&self, body: Bytes) -> ForwardResult {
        match self.request(&Frame::Callback(body), None, CALLBACK_TIMEOUT).await {
            Some(Frame::CallbackResult(true)) => ForwardResult::Handled,
            Some(Frame::CallbackResult(false)) => ForwardResult::NotHeld,
            _ => ForwardResult::NoAnswer,
        }
    }

    /// Claims the id of a job that this process is about to accept. None where the other process holds the id,
    /// or another copy of the job is being claimed here. The claim also succeeds where the other process does
    /// not answer within 300 ms or has ended. The guard must be dropped only once the job is in the queue of
    /// whoever answers [`super::PeerRequest::ClaimJob`].
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

    /// Has the other process carry out an operator's command as well. None where it does not answer within
    /// 700 ms.
    pub async fn forward_command(&self, command: &AdminCommand) -> Option<CommandResult> {
        match self.request(&Frame::Command(command.clone()), None, COMMAND_TIMEOUT).await {
            Some(Frame::CommandResult(result)) => Some(result),
            _ => None,
        }
    }

    /// Migrates a job to the other process, with its client's socket. Returns whether the other process holds
    /// it now. Where it does not answer within 2 s the link is closed, after which it can no longer answer:
    /// the two processes never both hold the job.
    pub async fn migrate_job(&self, job: Bytes, client: OwnedFd) -> bool {
        let descriptor = Some(Rc::new(client));
        let Some(mut pending) = self.state.send_request(&Frame::MigrateJob(job), None, descriptor) else {
            return false;
        };
        let response = if let Ok(response) = timeout(MIGRATION_TIMEOUT, &mut pending.receiver).await {
            response
        } else {
            self.close();
            (&mut pending.receiver).await
        };
        if let Ok(Frame::MigrationResult(is_held)) = response {
            is_held
        } else {
            self.close();
            false
        }
    }

    /// Leaves the cancellation of an attempt to the other process.
    pub fn transfer_cancellation(&self, worker: SocketAddr, job_id: &str) {
        self.state.send_one_way(&Frame::CancelAttempt { worker, job_id: job_id.to_owned() });
    }

    /// Requests new connections and the latest state snapshot from the predecessor. Where it does not answer within
    /// 1 s the link is closed: it may have handed over, and takes back when it sees the link lost.
    pub async fn request_takeover(&self) -> Option<Bytes> {
        if let Some(Frame::TakeoverGranted(snapshot)) =
            self.request(&Frame::TakeoverRequest, None, TAKEOVER_TIMEOUT).await
        {
            Some(snapshot)
        } else {
            self.close();
            None
        }
    }

    /// Has the predecessor take new connections back.
    pub fn hand_back(&self) {
        self.state.send_one_way(&Frame::HandBack);
    }

    /// Completes the handshake: the other process is the successor.
    pub(in crate::handover) fn send_acceptance(&self, snapshot: Bytes) {
        self.state.send_response(HANDSHAKE_REQUEST_ID, &Frame::Accepted(snapshot));
    }

    /// Sends a request and waits for its response. None where none arrives in time or the link is lost.
    async fn request(&self, frame: &Frame, claimed_job: Option<Rc<str>>, within: Duration) -> Option<Frame> {
        let mut pending = self.state.send_request(frame, claimed_job, None)?;
        timeout(within, &mut pending.receiver).await.ok()?.ok()
    }
}

/// The claim of a job id. Until it is dropped the other process's claims of that id are rejected.
pub struct JobClaimGuard {
    state: Rc<LinkState>,
    job_id: Rc<str>,
}

impl Drop for JobClaimGuard {
    fn drop(&mut self) {
        self.state.claims.borrow_mut().release(&self.job_id);
    }
}
