//! Callbacks of workers: those for this process end its attempts, the others are forwarded to the node's other process.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};

use super::http_response::respond;
use super::node::ScriptedNode;
use super::pending_attempts::Callback;

/// Where workers send callbacks.
pub(super) const CALLBACK_PATH: &str = "/callback";
/// Where another process of the node forwards them.
pub(super) const FORWARDED_CALLBACK_PATH: &str = "/passed-on";

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
}
