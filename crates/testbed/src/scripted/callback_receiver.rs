//! Callbacks of workers: those for this process end its attempts, the others are forwarded to the node's other process.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::node::{ScriptedNode, respond};

/// Where workers send callbacks.
pub(super) const CALLBACK_PATH: &str = "/callback";
/// Where another process of the node forwards them.
pub(super) const FORWARDED_CALLBACK_PATH: &str = "/passed-on";

#[derive(Deserialize)]
struct Callback {
    id: String,
    from: String,
    state: String,
    #[serde(default)]
    result: String,
}

/// How an attempt ended.
pub(super) enum AttemptEnd {
    Done { result: String },
    NeverRan,
    MayHaveRun,
}

/// The attempts whose end is awaited, by request id and worker.
#[derive(Default)]
pub(super) struct PendingAttempts(Mutex<HashMap<(String, String), oneshot::Sender<AttemptEnd>>>);

impl PendingAttempts {
    /// Registers an attempt before it is sent.
    pub(super) fn register(&self, request_id: String, worker: String) -> oneshot::Receiver<AttemptEnd> {
        let (ended, end) = oneshot::channel();
        self.0.lock().insert((request_id, worker), ended);
        end
    }

    /// Ends the attempt that a callback is on, if it reports an end. False if no such attempt is pending.
    fn handle(&self, callback: Callback) -> bool {
        let mut pending = self.0.lock();
        let key = (callback.id, callback.from);
        if !pending.contains_key(&key) {
            return false;
        }
        let end = match callback.state.as_str() {
            "started" | "running" => return true,
            "done" => AttemptEnd::Done { result: callback.result },
            "returned" => AttemptEnd::NeverRan,
            _ => AttemptEnd::MayHaveRun,
        };
        if let Some(ended) = pending.remove(&key) {
            // Fails if the job has ended at its deadline.
            let _ = ended.send(end);
        }
        true
    }
}

impl ScriptedNode {
    /// Handles a callback, whether a worker or another process of the node has sent it.
    pub(super) async fn receive_callback(&self, path: &str, body: Bytes) -> Response<Full<Bytes>> {
        let Ok(callback) = serde_json::from_slice::<Callback>(&body) else {
            return respond(StatusCode::BAD_REQUEST, "");
        };
        if !self.pending.handle(callback) && path == CALLBACK_PATH {
            self.forward_callback(body).await;
        }
        respond(StatusCode::NO_CONTENT, "")
    }

    /// Forwards a callback to the other processes of this node.
    async fn forward_callback(&self, body: Bytes) {
        for address in self.shared.callback_addresses_of_others() {
            let request = Request::post(format!("http://{address}{FORWARDED_CALLBACK_PATH}"))
                .body(Full::new(body.clone()));
            if let Ok(request) = request {
                // A process that has exited has no attempt that this could be on.
                let _ = self.client.request(request).await;
            }
        }
    }

    /// Serves callbacks that another process of this node forwards.
    pub(super) async fn serve_forwarded_callbacks(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }
}
