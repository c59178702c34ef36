//! Client for a node's readiness and metrics endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::event_log::Readiness;

/// Timeout of a readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a request for the metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);
/// Beginning of a response with status 200.
const STATUS_OK: &[u8; 12] = b"HTTP/1.1 200";
/// Prefix of the metrics lines that count violations of a node's own invariants.
const VIOLATION_METRIC_PREFIX: &str = "curlewusher_violations_total{";

/// Checks the readiness of a node.
pub async fn check_readiness(address: SocketAddr) -> Readiness {
    let status = timeout(READINESS_TIMEOUT, read_status(address, "/ready")).await;
    match status.ok().flatten() {
        Some(status) if status == *STATUS_OK => Readiness::Yes,
        Some(_) => Readiness::No,
        None => Readiness::Nothing,
    }
}

/// Returns the lines of a node's metrics that count violations of its own invariants, except those with a
/// count of 0. Returns no lines if the metrics cannot be read.
pub async fn nonzero_violation_counters(address: SocketAddr) -> Vec<String> {
    let text = timeout(METRICS_TIMEOUT, read_response(address, "/metrics")).await;
    let text = text.ok().flatten().unwrap_or_default();
    let is_violation = |line: &&str| line.starts_with(VIOLATION_METRIC_PREFIX) && !line.ends_with(" 0");
    text.lines().filter(is_violation).map(str::to_owned).collect()
}

/// Sends a request and reads the first bytes of the response, which contain the status.
async fn read_status(address: SocketAddr, path: &str) -> Option<[u8; STATUS_OK.len()]> {
    let mut stream = send_request(address, path).await?;
    let mut status = [0; STATUS_OK.len()];
    stream.read_exact(&mut status).await.ok()?;
    Some(status)
}

/// Sends a request and reads the whole response, including its head.
async fn read_response(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = send_request(address, path).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok()?;
    Some(text)
}

/// Connects to a node and sends a request. Returns the connection for reading the response.
async fn send_request(address: SocketAddr, path: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.ok()?;
    Some(stream)
}
