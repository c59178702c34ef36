//! Endpoint watch of a scripted node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use tokio::time::sleep;

use super::node::ScriptedNode;

/// Delay before a new watch after the previous one has ended or could not be opened.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(50);

impl ScriptedNode {
    /// Keeps a watch of discovery's endpoint list open and applies its messages.
    pub(super) async fn watch_endpoints(self: Arc<Self>, discovery: SocketAddr) {
        loop {
            let request = Request::get(format!("http://{discovery}/v1/endpoints?follow=1&since=0"))
                .body(Full::default());
            let Ok(request) = request else { return };
            if let Ok(response) = self.client.request(request).await {
                self.read_watch(response.into_body()).await;
            }
            sleep(WATCH_RETRY_DELAY).await;
        }
    }

    /// Applies the messages of one watch until the watch ends.
    async fn read_watch(&self, mut body: Incoming) {
        let mut unread = Vec::new();
        while let Some(Ok(frame)) = body.frame().await {
            unread.extend_from_slice(&frame.into_data().unwrap_or_default());
            while let Some(end) = unread.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = unread.drain(..=end).collect();
                // Heartbeats are empty lines.
                if let Ok(message) = serde_json::from_slice(&line) {
                    self.workers.apply(message);
                }
            }
        }
    }
}
