//! Idle clients that use up the file descriptors of a node.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::FaultInjection;
use crate::event_log::Event;

/// Delay of a client's reconnection after the node has closed its connection, or has not accepted one.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Bytes that clients send before they become idle. Consecutive clients use consecutive entries: no bytes, a
/// complete request, and the beginning of a request.
const FIRST_BYTES: [&str; 3] = ["", "GET /ready HTTP/1.1\r\nhost: idle\r\n\r\n", "POST /api/set-1 HT"];

impl FaultInjection<'_> {
    /// Connects as many clients to each target as a node has file descriptors, all at the same time, until
    /// the end of the fault.
    pub(super) async fn connect_idle_clients(&self) {
        let mut clients = JoinSet::new();
        for node in self.targets.iter().copied() {
            let Some(address) = self.environment.address_of(node) else { continue };
            self.environment.log.record(Event::IdleClients { node, present: true });
            for client in 0..self.environment.scenario.nodes.descriptors {
                clients.spawn(hold_idle_connection(address, FIRST_BYTES[client % FIRST_BYTES.len()]));
            }
        }
        self.wait_for_end().await;
        clients.shutdown().await;
        for node in self.targets.iter().copied() {
            self.environment.log.record(Event::IdleClients { node, present: false });
        }
    }
}

/// Connects, sends `first_bytes` and reads until the node closes the connection, in an endless loop.
async fn hold_idle_connection(address: SocketAddr, first_bytes: &str) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(address).await {
            // If the node has closed the connection already, the read returns the error.
            let _ = stream.write_all(first_bytes.as_bytes()).await;
            while stream.read(&mut [0; 512]).await.is_ok_and(|read| read > 0) {}
        }
        sleep(RECONNECT_DELAY).await;
    }
}
