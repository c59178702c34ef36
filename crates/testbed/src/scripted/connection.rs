//! Connections of clients and of workers' callbacks. While the node is drained or shutting down, responses
//! have the header `connection: close`, and idle connections are closed.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::flaw::Flaw;
use super::node::ScriptedNode;

/// Interval at which the shared folder is polled for the drain, and at which a starting process checks
/// whether it has received an endpoint list.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl ScriptedNode {
    /// Polls whether the node is drained, and closes clients' connections while it is.
    pub(super) async fn close_connections_while_drained(self: Arc<Self>) {
        let mut was_drained = false;
        loop {
            let is_drained = self.shared.is_drained();
            if is_drained != was_drained && self.flaw != Flaw::KeepsConnections {
                self.closes_connections.send_replace(is_drained);
            }
            was_drained = is_drained;
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Accepts connections for callbacks that another process of this node forwards.
    pub(super) async fn serve_forwarded_callbacks(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    /// Serves one connection until it closes. Once the node closes connections, a connection that has had a
    /// request is shut down gracefully. A connection without a request stays open, because its first request
    /// may be in transit.
    pub(super) async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        // If the option cannot be set, the connection is only slower.
        let _ = stream.set_nodelay(true);
        let is_used = Arc::new(AtomicBool::new(false));
        let mut closes_connections = self.closes_connections.subscribe();
        let (node, used) = (self, is_used.clone());
        let service = service_fn(move |request| {
            let (node, used) = (node.clone(), used.clone());
            async move {
                let closes_connections = node.closes_connections.subscribe();
                let mut response = node.handle_request(request).await;
                if *closes_connections.borrow() {
                    set_connection_close(&mut response);
                }
                used.store(true, Ordering::Relaxed);
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        loop {
            tokio::select! {
                _ = connection.as_mut() => return,
                changed = closes_connections.changed() => {
                    let closes = changed.is_ok() && *closes_connections.borrow_and_update();
                    if closes && is_used.load(Ordering::Relaxed) {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }
}

/// Sets the header `connection: close` in a response.
fn set_connection_close(response: &mut Response<Full<Bytes>>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
