//! Accepts connections within the connection budget, closes connections that have timed out, and evicts
//! connections when the budget is exhausted.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use curlewusher_core::permission::CloseReason;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::warn;

use super::Server;
use super::connection::{AbortReason, Connection, ConnectionState, WRITE_TIMEOUT};
use super::listener_mode::ListenerMode;
use super::service::serve_connection;
use super::state::ServerState;
use crate::connection_budget::ConnectionPermit;
use crate::telemetry::logging::SERVER;
use crate::telemetry::metrics::Counter;

/// Length of the kernel's accept queue, in connections.
const LISTEN_BACKLOG: u32 = 1024;
/// Interval between two checks of the connections for timeouts.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before the next accept after a failed one, for example when file descriptors are exhausted. Also the
/// maximum wait for a free permit of the connection budget before connections are evicted again.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Minimum number of free connections in the budget, kept for the next clients.
const MIN_FREE_CONNECTIONS: usize = 4;
/// Minimum number of lingering connections for an eviction that closes only lingering ones. At least one of
/// them remains for the next eviction.
const MIN_LINGERING_CONNECTIONS: usize = 2;

/// Sharing of a listener's address with other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortSharing {
    /// No other process may listen at the address.
    Exclusive,
    /// Another process of this node may listen at the address.
    Shared,
}

impl Server {
    /// Opens the listening socket.
    pub fn listen(address: SocketAddr, sharing: PortSharing) -> io::Result<std::net::TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // Without SO_REUSEADDR a restart would fail until the kernel has removed the connections in
        // TIME_WAIT.
        socket.set_reuseaddr(true)?;
        if sharing == PortSharing::Shared {
            socket.set_reuseport(true)?;
        }
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)?.into_std()
    }

    /// Accepts connections within the budget and closes those that have timed out. Returns once the listener
    /// is closed.
    pub async fn accept(self, listener: TcpListener) {
        tokio::select! {
            () = accept_connections(&self.state, listener) => {}
            never = close_timed_out_connections(&self.state) => match never {},
        }
    }
}

/// Closes connections that have timed out. In a superseded process, also closes those whose clients can
/// safely be redirected.
async fn close_timed_out_connections(state: &ServerState) -> Infallible {
    loop {
        sleep(TIMEOUT_CHECK_INTERVAL).await;
        let idle_timeout = state.options.get().idle_timeout.duration();
        // A node that shuts down keeps idle connections open a little longer, because clients use them until
        // then.
        let phase = state.lifecycle.phase();
        let redirects = phase.redirects_clients() && !phase.is_shutting_down();
        let timed_out = CloseReason::Timeout { idle_timeout };
        for connection in state.live_connections() {
            if connection.is_write_blocked_for(WRITE_TIMEOUT) {
                connection.abort(AbortReason::PeerReadsNothing);
            } else if connection.may_close(timed_out).is_ok() {
                connection.close_gracefully(timed_out);
            } else if redirects && connection.is_redirectable() {
                connection.close_gracefully(CloseReason::Redirection);
            }
        }
    }
}

/// Accepts connections according to the mode of the listener, until the listener is closed.
async fn accept_connections(state: &Rc<ServerState>, listener: TcpListener) {
    let mut mode = state.listener_mode.subscribe();
    loop {
        let current = *mode.borrow_and_update();
        match current {
            ListenerMode::Paused => {
                // This fails only if the sender has been dropped, but the state owns the sender.
                let _ = mode.changed().await;
            }
            ListenerMode::Accepting => tokio::select! {
                biased;
                _ = mode.changed() => {}
                () = accept_next(state, &listener) => {}
            },
            ListenerMode::AcceptingBacklog => return accept_backlog(state, &listener),
            ListenerMode::Closed => return,
        }
    }
}

/// Accepts the next connection and serves it.
async fn accept_next(state: &Rc<ServerState>, listener: &TcpListener) {
    let permit = acquire_permit(state).await;
    match listener.accept().await {
        Ok((stream, _)) => spawn_connection(state, stream, permit),
        // File descriptors are exhausted, or a client closed its connection before the accept. The listener
        // must survive both.
        Err(error) => {
            warn!(target: SERVER, %error, "client accept failed");
            state.metrics.add(Counter::AcceptFailures);
            evict_connections(state);
            sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
}

/// Serves the connections that are in the accept queue, within the budget, so that closing the listener does
/// not reset them. Accepts from the socket directly, since the runtime may not have received its readiness
/// event yet.
fn accept_backlog(state: &Rc<ServerState>, listener: &TcpListener) {
    let listener = SockRef::from(listener);
    while let Some(permit) = state.connection_budget.try_acquire()
        && let Ok((socket, _)) = listener.accept()
    {
        let stream = std::net::TcpStream::from(socket);
        if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
            spawn_connection(state, stream, Some(permit));
        }
    }
}

/// Waits for a permit to open a connection. The connection counts against the budget until the permit is
/// dropped.
async fn acquire_permit(state: &ServerState) -> Option<ConnectionPermit> {
    // All connections may be busy now and idle later, so that evicting once is not sufficient.
    loop {
        if state.connection_budget.free() <= MIN_FREE_CONNECTIONS {
            evict_connections(state);
        }
        if let Ok(permit) = timeout(ACCEPT_RETRY_DELAY, state.connection_budget.acquire()).await {
            return permit;
        }
    }
}

/// Spawns a task that serves a connection.
fn spawn_connection(state: &Rc<ServerState>, stream: TcpStream, permit: Option<ConnectionPermit>) {
    // The connection is registered here rather than by its task. A burst of connections is accepted before
    // their tasks first run, and unregistered connections would exhaust the budget without being evictable.
    let connection = Rc::new(Connection::new(state.next_connection_number()));
    state.connections.borrow_mut().push(Rc::downgrade(&connection));
    let state = state.clone();
    spawn_local(async move {
        serve_connection(state, connection, stream).await;
        drop(permit);
    });
}

/// Closes the oldest of the lingering connections. If fewer than [`MIN_LINGERING_CONNECTIONS`] are lingering,
/// also evicts the least valuable other connection: connections of clients before those of workers, then in
/// the order of [`ConnectionState`], then the one that has been in its state for longest. That connection
/// lingers before it is closed.
pub fn evict_connections(state: &ServerState) {
    let connections = state.live_connections();
    let new_connections =
        connections.iter().filter(|connection| connection.state() == ConnectionState::New).count();
    // With many new connections, one of them will soon be old enough for eviction. Until then, idle
    // connections are not evicted.
    let keeps_idle = new_connections > connections.len() / 4;
    let is_candidate = |connection: &Connection| {
        connection.is_evictable() && !(keeps_idle && connection.state() == ConnectionState::Idle)
    };
    let (lingering, others): (Vec<_>, Vec<_>) = connections
        .iter()
        .filter(|connection| is_candidate(connection))
        .partition(|connection| connection.state() == ConnectionState::Lingering);
    // One connection must always remain lingering for the next eviction, otherwise every second eviction
    // would free no connection.
    let least_valuable = if lingering.len() < MIN_LINGERING_CONNECTIONS {
        others
            .into_iter()
            .min_by_key(|connection| (connection.is_worker(), connection.state(), connection.state_since()))
    } else {
        None
    };
    let oldest_lingering = lingering.into_iter().min_by_key(|connection| connection.state_since());
    for connection in oldest_lingering.into_iter().chain(least_valuable) {
        connection.evict();
    }
}
