//! The process of a scripted node from its start to its exit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::config::Config;
use super::connection::POLL_INTERVAL;
use super::error::ScriptedNodeError;
use super::flaw::Flaw;
use super::node::ScriptedNode;

const LISTEN_BACKLOG: u32 = 1024;
/// Connections gather in an accept queue that is to be reset for this long.
const ACCEPT_QUEUE_FILL_TIME: Duration = Duration::from_millis(1500);
/// The process exits this long after SIGTERM, whatever connections are open.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3300);

/// Runs a scripted node until it is killed or terminated.
///
/// # Errors
///
/// Fails if the configuration cannot be used, or an address of it cannot be bound.
pub async fn serve(flaw: Flaw) -> Result<(), ScriptedNodeError> {
    let config = Config::read()?;
    let node = Arc::new(ScriptedNode::new(flaw));
    let mut terminations = signal(SignalKind::terminate())?;
    tokio::spawn(node.clone().follow_endpoints(config.discovery));
    // A process without an endpoint list must not accept clients of one that has it.
    while node.workers.is_empty() {
        sleep(POLL_INTERVAL).await;
    }
    let listener = listen(config.listen)
        .map_err(|problem| ScriptedNodeError::Listen { address: config.listen, problem })?;
    start_services(&node, config.admin_address).await?;
    eprintln!("scripted node ({flaw}): serves on {}", listener.local_addr()?);
    let mut connections = JoinSet::new();
    accept_until_terminated(&node, &listener, &mut terminations, &mut connections).await;
    if flaw != Flaw::DropsJobsOnSigterm {
        shut_down(&node, listener, connections).await;
    }
    Ok(())
}

/// Listens at an address beside another process that listens there.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Starts what a node needs beside its clients' connections.
async fn start_services(
    node: &Arc<ScriptedNode>,
    admin_address: Option<SocketAddr>,
) -> Result<(), ScriptedNodeError> {
    let callbacks = TcpListener::bind("127.0.0.1:0").await?;
    node.shared.publish_callback_address(callbacks.local_addr()?)?;
    tokio::spawn(node.clone().serve_forwarded_callbacks(callbacks));
    tokio::spawn(node.clone().follow_drain());
    if let Some(address) = admin_address {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|problem| ScriptedNodeError::Listen { address, problem })?;
        tokio::spawn(node.clone().serve_admin(listener));
    }
    Ok(())
}

/// Accepts connections until SIGTERM.
async fn accept_until_terminated(
    node: &Arc<ScriptedNode>,
    listener: &TcpListener,
    terminations: &mut Signal,
    connections: &mut JoinSet<()>,
) {
    loop {
        tokio::select! {
            _ = terminations.recv() => match node.flaw {
                Flaw::IgnoresSigterm => continue,
                _ => return,
            },
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(node.clone().serve_connection(stream));
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

/// Lets the open connections end, within a limit.
async fn shut_down(node: &Arc<ScriptedNode>, listener: TcpListener, mut connections: JoinSet<()>) {
    if node.flaw == Flaw::ResetsAcceptQueue {
        sleep(ACCEPT_QUEUE_FILL_TIME).await;
        // The listener stays open to the end, so that connections in its queue are reset late.
        return close_connections(node, &mut connections).await;
    }
    // The accept queue belongs to this process.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        connections.spawn(node.clone().serve_connection(stream));
    }
    drop(listener);
    close_connections(node, &mut connections).await;
}

async fn close_connections(node: &ScriptedNode, connections: &mut JoinSet<()>) {
    node.closes_connections.send_replace(true);
    let all_closed = async { while connections.join_next().await.is_some() {} };
    // Connections that are still open are reset when the process exits.
    let _ = timeout(SHUTDOWN_TIMEOUT, all_closed).await;
}
