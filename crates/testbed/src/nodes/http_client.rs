//! Requests to a node's own endpoints: its readiness and its metrics.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::event_log::Readiness;

const READINESS_TIMEOUT: Duration = Duration::from_secs(1);
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);
const STATUS_OK: &[u8; 12] = b"HTTP/1.1 200";
const VIOLATION_SERIES: &str = "curlewusher_violations_total{";

/// Result of a readiness check of a node.
pub async fn check_readiness(address: SocketAddr) -> Readiness {
    let status = timeout(READINESS_TIMEOUT, read_status(address, "/ready")).await;
    match status.ok().flatten() {
        Some(status) if status == *STATUS_OK => Readiness::Yes,
        Some(_) => Readiness::No,
        None => Readiness::Nothing,
    }
}

/// The lines of a node's metrics that count violations of its own rules, where the count is not zero.
pub async fn nonzero_violation_counters(address: SocketAddr) -> Vec<String> {
    let text = timeout(METRICS_TIMEOUT, read_text(address, "/metrics")).await;
    let text = text.ok().flatten().unwrap_or_default();
    let is_violation = |line: &&str| line.starts_with(VIOLATION_SERIES) && !line.ends_with(" 0");
    text.lines().filter(is_violation).map(str::to_owned).collect()
}

/// The first bytes of a response, which hold the status.
async fn read_status(address: SocketAddr, path: &str) -> Option<[u8; STATUS_OK.len()]> {
    let mut stream = request(address, path).await?;
    let mut status = [0; STATUS_OK.len()];
    stream.read_exact(&mut status).await.ok()?;
    Some(status)
}

/// A response with its head.
async fn read_text(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = request(address, path).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok()?;
    Some(text)
}

async fn request(address: SocketAddr, path: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.ok()?;
    Some(stream)
}
