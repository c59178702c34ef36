//! Process of a scripted node: start, accepted connections and graceful shutdown.

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
/// Time for which connections collect in the accept queue before a node with the flaw
/// [`Flaw::ResetsAcceptQueue`] resets them.
const ACCEPT_QUEUE_FILL_TIME: Duration = Duration::from_millis(1500);
/// Maximum time for which the process waits for its connections to close before it exits.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3300);

/// Runs a scripted node until SIGTERM, and then shuts it down.
///
/// # Errors
///
/// Fails if the configuration is invalid, or one of its addresses cannot be bound.
pub async fn serve(flaw: Flaw) -> Result<(), ScriptedNodeError> {
    let config = Config::read()?;
    let node = Arc::new(ScriptedNode::new(flaw));
    let mut sigterms = signal(SignalKind::terminate())?;
    tokio::spawn(node.clone().watch_endpoints(config.discovery));
    // A successor without an endpoint list must not accept connections instead of a predecessor that has a
    // list.
    while node.workers.is_empty() {
        sleep(POLL_INTERVAL).await;
    }
    let listener = listen(config.listen)
        .map_err(|problem| ScriptedNodeError::Listen { address: config.listen, problem })?;
    start_background_tasks(&node, config.admin_address).await?;
    eprintln!("scripted node ({flaw}): serves on {}", listener.local_addr()?);
    let mut connections = JoinSet::new();
    accept_until_terminated(&node, &listener, &mut sigterms, &mut connections).await;
    if flaw != Flaw::DropsJobsOnSigterm {
        drain_connections(&node, listener, connections).await;
    }
    Ok(())
}

/// Listens on an address on which another process may listen at the same time.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Starts the tasks that serve forwarded callbacks, the drain and admin commands.
async fn start_background_tasks(
    node: &Arc<ScriptedNode>,
    admin_address: Option<SocketAddr>,
) -> Result<(), ScriptedNodeError> {
    let callbacks = TcpListener::bind("127.0.0.1:0").await?;
    node.shared.publish_callback_address(callbacks.local_addr()?)?;
    tokio::spawn(node.clone().serve_forwarded_callbacks(callbacks));
    tokio::spawn(node.clone().close_connections_while_drained());
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
    sigterms: &mut Signal,
    connections: &mut JoinSet<()>,
) {
    loop {
        tokio::select! {
            _ = sigterms.recv() => match node.flaw {
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

/// Accepts the connections in the accept queue, closes the listener and all connections, and waits until the
/// connections are closed or [`SHUTDOWN_TIMEOUT`] has passed.
async fn drain_connections(node: &Arc<ScriptedNode>, listener: TcpListener, mut connections: JoinSet<()>) {
    if node.flaw == Flaw::ResetsAcceptQueue {
        sleep(ACCEPT_QUEUE_FILL_TIME).await;
        // The listener stays open until the process exits, so that connections in its accept queue are reset
        // late.
        return close_connections(node, &mut connections).await;
    }
    // No other process can accept the connections in the accept queue of this one.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        connections.spawn(node.clone().serve_connection(stream));
    }
    drop(listener);
    close_connections(node, &mut connections).await;
}

/// Requests the close of all connections, and waits until they are closed or the timeout is reached.
async fn close_connections(node: &ScriptedNode, connections: &mut JoinSet<()>) {
    node.closes_connections.send_replace(true);
    let all_closed = async { while connections.join_next().await.is_some() {} };
    // Connections that are still open are reset when the process exits.
    let _ = timeout(SHUTDOWN_TIMEOUT, all_closed).await;
}
