//! Callbacks of workers. A callback for an attempt of this process ends the attempt. Others are forwarded to
//! the peer, the node's other process.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};

use super::http_response::build_response;
use super::node::ScriptedNode;
use super::pending_attempts::Callback;

/// Path of callbacks from workers.
pub(super) const CALLBACK_PATH: &str = "/callback";
/// Path of callbacks that another process of the node forwards.
pub(super) const FORWARDED_CALLBACK_PATH: &str = "/passed-on";

impl ScriptedNode {
    /// Handles a callback from a worker or from another process of the node.
    pub(super) async fn receive_callback(&self, path: &str, body: Bytes) -> Response<Full<Bytes>> {
        let Ok(callback) = serde_json::from_slice::<Callback>(&body) else {
            return build_response(StatusCode::BAD_REQUEST, "");
        };
        if !self.pending.handle_callback(callback) && path == CALLBACK_PATH {
            self.forward_callback(body).await;
        }
        build_response(StatusCode::NO_CONTENT, "")
    }

    /// Forwards a callback to all other processes of this node.
    async fn forward_callback(&self, body: Bytes) {
        for address in self.shared.peer_callback_addresses() {
            let request = Request::post(format!("http://{address}{FORWARDED_CALLBACK_PATH}"))
                .body(Full::new(body.clone()));
            if let Ok(request) = request {
                // A process that has exited has no attempts, so its callbacks need no delivery.
                let _ = self.client.request(request).await;
            }
        }
    }
}
