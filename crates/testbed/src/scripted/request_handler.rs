//! What a scripted node does with a request: readiness checks, callbacks and clients' jobs.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use super::callback_receiver::{CALLBACK_PATH, FORWARDED_CALLBACK_PATH};
use super::flaw::Flaw;
use super::http_response::respond;
use super::job::JobRequest;
use super::node::ScriptedNode;

const READINESS_PATH: &str = "/ready";

impl ScriptedNode {
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
