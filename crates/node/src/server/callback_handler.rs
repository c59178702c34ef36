//! Handles callbacks of workers: delivers them to the dispatch task, or forwards them to the other process of
//! this node where that may hold the job.

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

/// Whether a worker needs to repeat a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallbackDelivery {
    /// It was delivered to the process that owns its job, or no process owns it.
    Settled,
    /// It may be that another process owns its job and has not received it.
    Unsettled,
}

impl Server {
    /// Delivers a callback that the other process of this node has forwarded. The owner of its job; None once
    /// the dispatch task has ended.
    pub async fn handle_forwarded_callback(&self, body: Bytes) -> Option<JobOwner> {
        deliver_forwarded_callback(&self.state, &body).await
    }
}

impl ConnectionService {
    /// Serves a worker's callback. It is acknowledged only once the process that owns its job has it; until then the
    /// worker is to repeat it.
    pub(super) async fn handle_callback(
        &self,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, RequestError> {
        self.connection.mark_as_worker();
        let body = read_body(request.into_body(), &self.connection).await?;
        let report = CallbackReport::parse(&body)?;
        Ok(match self.deliver_callback(report, &body).await? {
            CallbackDelivery::Settled => response::with_status(StatusCode::NO_CONTENT, ""),
            CallbackDelivery::Unsettled => {
                response::with_status(StatusCode::SERVICE_UNAVAILABLE, "not handled; send it again\n")
            }
        })
    }

    /// Delivers a callback to the dispatch task and, where that does not hold its job, to the other process
    /// of this node.
    async fn deliver_callback(
        &self,
        report: CallbackReport,
        body: &Bytes,
    ) -> Result<CallbackDelivery, RequestError> {
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
            (JobOwner::Migrating, ..) => CallbackDelivery::Unsettled,
            (JobOwner::Local | JobOwner::Unknown, CallbackRoute::Forward, Some(link)) => {
                self.forward_callback(&link, body).await
            }
            // A process may hold it that this one cannot reach: the repeated callback may find it.
            (JobOwner::Unknown, ..) if may_have_unknown_peer => CallbackDelivery::Unsettled,
            (JobOwner::Local | JobOwner::Unknown, ..) => CallbackDelivery::Settled,
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

    /// Forwards a callback to the other process of this node.
    async fn forward_callback(&self, link: &PeerLink, body: &Bytes) -> CallbackDelivery {
        match link.forward_callback(body.clone()).await {
            ForwardResult::Handled => CallbackDelivery::Settled,
            // Its job may have migrated here since it was looked for here.
            ForwardResult::NotHeld => match deliver_forwarded_callback(&self.state, body).await {
                Some(JobOwner::Local | JobOwner::Unknown) => CallbackDelivery::Settled,
                Some(JobOwner::Migrating) | None => CallbackDelivery::Unsettled,
            },
            ForwardResult::NoAnswer => CallbackDelivery::Unsettled,
        }
    }
}

/// Delivers a callback whose job the other process does not hold. The owner of its job; None once the
/// dispatch task has ended.
async fn deliver_forwarded_callback(state: &ServerState, body: &Bytes) -> Option<JobOwner> {
    let Ok(report) = CallbackReport::parse(body) else { return Some(JobOwner::Unknown) };
    let (owner_channel, owner) = oneshot::channel();
    state.queue.send(dispatch_message(report, Some(owner_channel))).await.ok()?;
    owner.await.ok()
}

/// The message for the dispatch task; `owner_channel` is given where the owner of the job is queried.
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
