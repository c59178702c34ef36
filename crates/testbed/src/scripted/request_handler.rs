//! Handling of requests to a scripted node: readiness checks, callbacks and clients' jobs.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use super::callback_receiver::{CALLBACK_PATH, FORWARDED_CALLBACK_PATH};
use super::flaw::Flaw;
use super::http_response::build_response;
use super::job::JobRequest;
use super::node::ScriptedNode;

const READINESS_PATH: &str = "/ready";

impl ScriptedNode {
    /// Handles a request of a client, a worker, the load balancer or another process of the node.
    pub(super) async fn handle_request(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET {
            return self.handle_readiness_check(&path);
        }
        let headers = request.headers().clone();
        let Ok(body) = request.into_body().collect().await else {
            return build_response(StatusCode::BAD_REQUEST, "");
        };
        let body = body.to_bytes();
        if path == CALLBACK_PATH || path == FORWARDED_CALLBACK_PATH {
            return self.receive_callback(&path, body).await;
        }
        self.run_job(JobRequest { path, headers, body }).await
    }

    /// Responds to a readiness check.
    fn handle_readiness_check(&self, path: &str) -> Response<Full<Bytes>> {
        let is_drained = self.shared.is_drained() && self.flaw != Flaw::ReadyWhileDrained;
        let is_ready = path == READINESS_PATH && !self.workers.is_empty() && !is_drained;
        build_response(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
    }
}
