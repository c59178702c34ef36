//! Idle clients that fill the descriptors of a node.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::FaultInjection;
use crate::event_log::Event;

/// A client connects again this long after the node has closed its connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// What the clients send before they are silent, in turn.
const FIRST_BYTES: [&str; 3] = ["", "GET /ready HTTP/1.1\r\nhost: idle\r\n\r\n", "POST /api/set-1 HT"];

impl FaultInjection<'_> {
    /// As many clients as a node has descriptors connect to each target, all at once, and stay until the end.
    pub(super) async fn connect_idle_clients(&self) {
        let mut clients = JoinSet::new();
        for node in self.targets.iter().copied() {
            let Some(address) = self.environment.address_of(node) else { continue };
            self.environment.log.record(Event::IdleClients { node, present: true });
            for client in 0..self.environment.scenario.nodes.descriptors {
                clients.spawn(stay_connected(address, FIRST_BYTES[client % FIRST_BYTES.len()]));
            }
        }
        self.wait_for_end().await;
        clients.shutdown().await;
        for node in self.targets.iter().copied() {
            self.environment.log.record(Event::IdleClients { node, present: false });
        }
    }
}

/// A client that connects, sends a few bytes and reads until it is closed, over and over.
async fn stay_connected(address: SocketAddr, first_bytes: &str) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(address).await {
            // The node may have closed it at once; that is found out by the read.
            let _ = stream.write_all(first_bytes.as_bytes()).await;
            while stream.read(&mut [0; 512]).await.is_ok_and(|read| read > 0) {}
        }
        sleep(RECONNECT_DELAY).await;
    }
}
