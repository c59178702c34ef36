//! Handles callbacks of workers: delivers them to the dispatch task, or forwards them to the peer process of
//! this node if that process may own the job.

use bytes::Bytes;
use curlewusher_control::takeover::{CallbackRoute, ForwardTarget, LocalOwnership, route_callback};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use tokio::sync::oneshot;

use super::Server;
use super::callback::CallbackReport;
use super::error::RequestError;
use super::request_body::read_body;
use super::response::{self, HttpResponse};
use super::service::ConnectionService;
use super::state::ServerState;
use crate::dispatch::{DispatchMessage, JobOwner};
use crate::handover::{ForwardResult, PeerLink};

/// Reply to a callback of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallbackReply {
    /// The callback was delivered to the process that owns the job, or no process owns the job.
    Acknowledge,
    /// The worker has to send the callback again, because another process may own the job and may not have
    /// received the callback.
    RequestResend,
}

impl Server {
    /// Delivers a callback that the peer process of this node has forwarded. Returns the owner of the job, or
    /// `None` if the dispatch task has finished.
    pub async fn handle_forwarded_callback(&self, body: Bytes) -> Option<JobOwner> {
        deliver_forwarded_callback(&self.state, &body).await
    }
}

impl ConnectionService {
    /// Serves a worker's callback. Acknowledges it only once the process that owns the job has received it;
    /// until then the worker is expected to send it again.
    pub(super) async fn handle_callback(
        &self,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, RequestError> {
        self.connection.mark_as_worker();
        let body = read_body(request.into_body(), &self.connection).await?;
        let report = CallbackReport::parse(&body)?;
        Ok(match self.deliver_callback(report, &body).await? {
            CallbackReply::Acknowledge => response::with_status(StatusCode::NO_CONTENT, ""),
            CallbackReply::RequestResend => {
                response::with_status(StatusCode::SERVICE_UNAVAILABLE, "not handled; send it again\n")
            }
        })
    }

    /// Delivers a callback to the dispatch task and, if the dispatch task does not own the job, to the peer
    /// process of this node.
    async fn deliver_callback(
        &self,
        report: CallbackReport,
        body: &Bytes,
    ) -> Result<CallbackReply, RequestError> {
        let peer = &self.state.peer;
        let link = peer.link();
        let may_have_unknown_peer = peer.may_have_unknown_peer();
        let owner = if link.is_some() || may_have_unknown_peer {
            let (owner_channel, owner) = oneshot::channel();
            self.send_to_dispatch(report, Some(owner_channel)).await?;
            owner.await.unwrap_or(JobOwner::Local)
        } else {
            self.send_to_dispatch(report, None).await?;
            JobOwner::Local
        };
        let ownership = match owner {
            JobOwner::Local => LocalOwnership::Owned,
            JobOwner::Migrating | JobOwner::Unknown => LocalOwnership::NotOwned,
        };
        let forward_target = match &link {
            Some(link) if link.is_connected() => ForwardTarget::Peer,
            _ => ForwardTarget::None,
        };
        Ok(match (owner, route_callback(ownership, forward_target), link) {
            (JobOwner::Migrating, ..) => CallbackReply::RequestResend,
            (JobOwner::Local | JobOwner::Unknown, CallbackRoute::Forward, Some(link)) => {
                self.forward_callback(&link, body).await
            }
            // A process to which this one has no link may own the job. The worker's redelivery of the
            // callback may reach that process.
            (JobOwner::Unknown, ..) if may_have_unknown_peer => CallbackReply::RequestResend,
            (JobOwner::Local | JobOwner::Unknown, ..) => CallbackReply::Acknowledge,
        })
    }

    async fn send_to_dispatch(
        &self,
        report: CallbackReport,
        owner_channel: Option<oneshot::Sender<JobOwner>>,
    ) -> Result<(), RequestError> {
        let message = dispatch_message(report, owner_channel);
        self.state.queue.send(message).await.map_err(|_| RequestError::CallbackUndelivered)
    }

    /// Forwards a callback to the peer process of this node.
    async fn forward_callback(&self, link: &PeerLink, body: &Bytes) -> CallbackReply {
        match link.forward_callback(body.clone()).await {
            ForwardResult::Handled => CallbackReply::Acknowledge,
            // The job may have migrated to this process after the lookup in this process.
            ForwardResult::NotHeld => match deliver_forwarded_callback(&self.state, body).await {
                Some(JobOwner::Local | JobOwner::Unknown) => CallbackReply::Acknowledge,
                Some(JobOwner::Migrating) | None => CallbackReply::RequestResend,
            },
            ForwardResult::NoAnswer => CallbackReply::RequestResend,
        }
    }
}

/// Delivers a callback whose job the peer process does not own. Returns the owner of the job, which is
/// [`JobOwner::Unknown`] for a malformed callback, or `None` if the dispatch task has finished.
async fn deliver_forwarded_callback(state: &ServerState, body: &Bytes) -> Option<JobOwner> {
    let Ok(report) = CallbackReport::parse(body) else { return Some(JobOwner::Unknown) };
    let (owner_channel, owner) = oneshot::channel();
    state.queue.send(dispatch_message(report, Some(owner_channel))).await.ok()?;
    owner.await.ok()
}

/// Builds the message for the dispatch task. `owner_channel` receives the owner of the job and is set only if
/// the caller needs the owner.
fn dispatch_message<P>(
    report: CallbackReport,
    owner_channel: Option<oneshot::Sender<JobOwner>>,
) -> DispatchMessage<P> {
    DispatchMessage::Callback {
        request_id: report.request_id,
        worker_name: report.worker_name,
        state: report.state,
        owner: owner_channel,
    }
}
