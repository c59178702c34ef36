//! The state of a scripted node's process, and what it does with a request.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::watch;

use super::callback_receiver::{CALLBACK_PATH, FORWARDED_CALLBACK_PATH, PendingAttempts};
use super::flaw::Flaw;
use super::job::JobRequest;
use super::shared_folder::SharedFolder;
use super::worker_list::WorkerList;

const READINESS_PATH: &str = "/ready";

/// A scripted node's process.
pub(super) struct ScriptedNode {
    pub(super) flaw: Flaw,
    pub(super) workers: WorkerList,
    pub(super) pending: PendingAttempts,
    /// Whether clients have to close their connections.
    pub(super) closes_connections: watch::Sender<bool>,
    pub(super) shared: SharedFolder,
    pub(super) client: Client<HttpConnector, Full<Bytes>>,
}

impl ScriptedNode {
    /// A process without an endpoint list.
    pub(super) fn new(flaw: Flaw) -> Self {
        ScriptedNode {
            flaw,
            workers: WorkerList::new(flaw),
            pending: PendingAttempts::default(),
            closes_connections: watch::Sender::new(false),
            shared: SharedFolder::of_process(),
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
        }
    }

    /// Handles a request of a client, a worker or the load balancer.
    pub(super) async fn handle_request(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET {
            return self.answer_readiness(&path);
        }
        let headers = request.headers().clone();
        let Ok(body) = request.into_body().collect().await else {
            return respond(StatusCode::BAD_REQUEST, "");
        };
        let body = body.to_bytes();
        if path == CALLBACK_PATH || path == FORWARDED_CALLBACK_PATH {
            return self.receive_callback(&path, body).await;
        }
        self.run_job(JobRequest { path, headers, body }).await
    }

    fn answer_readiness(&self, path: &str) -> Response<Full<Bytes>> {
        let is_drained = self.shared.is_drained() && self.flaw != Flaw::ReadyWhileDrained;
        let is_ready = path == READINESS_PATH && !self.workers.is_empty() && !is_drained;
        respond(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
    }
}

/// A response with a complete body.
pub(super) fn respond(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
