//! Accepts connections within the connection budget, closes those that have timed out, and evicts connections
//! when the budget is exhausted.

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

/// Length of the kernel's queue of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// How often connections are checked for timeouts.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed accept, as when descriptors have run out; also how long a connection of the budget is
/// waited for before connections are evicted again.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Connections of the budget that are kept free for the next clients.
const SPARE_CONNECTIONS: usize = 4;
/// With this many lingering connections, eviction closes only those: at least one is left for the next
/// eviction.
const ENOUGH_LINGERING_CONNECTIONS: usize = 2;

/// Whether other processes may listen at the address of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortSharing {
    /// No other process may.
    Exclusive,
    /// Another process of this node may.
    Shared,
}

impl Server {
    /// Opens the listening socket.
    pub fn listen(address: SocketAddr, sharing: PortSharing) -> io::Result<std::net::TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // A restart must not wait until the kernel has forgotten the old connections.
        socket.set_reuseaddr(true)?;
        if sharing == PortSharing::Shared {
            socket.set_reuseport(true)?;
        }
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)?.into_std()
    }

    /// Accepts connections within the budget and closes those that have timed out. Returns once the listener is
    /// closed.
    pub async fn accept(self, listener: TcpListener) {
        tokio::select! {
            () = accept_connections(&self.state, listener) => {}
            never = close_timed_out_connections(&self.state) => match never {},
        }
    }
}

/// Closes connections that have timed out, and in a process that is superseded those whose clients can go
/// elsewhere.
async fn close_timed_out_connections(state: &ServerState) -> Infallible {
    loop {
        sleep(TIMEOUT_CHECK_INTERVAL).await;
        let idle_timeout = state.options.get().idle_timeout.duration();
        // A node that shuts down keeps idle connections a little longer: clients use them until then.
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

/// Accepts connections as the mode of the listener says, until it is closed.
async fn accept_connections(state: &Rc<ServerState>, listener: TcpListener) {
    let mut mode = state.listener_mode.subscribe();
    loop {
        let current = *mode.borrow_and_update();
        match current {
            ListenerMode::Paused => {
                // It fails only without a sender, which the state owns.
                let _ = mode.changed().await;
            }
            ListenerMode::Accepting => tokio::select! {
                biased;
                _ = mode.changed() => {}
                () = accept_connection(state, &listener) => {}
            },
            ListenerMode::AcceptingRest => return accept_rest(state, &listener),
            ListenerMode::Closed => return,
        }
    }
}

/// Waits for the next connection and serves it.
async fn accept_connection(state: &Rc<ServerState>, listener: &TcpListener) {
    let permit = acquire_connection(state).await;
    match listener.accept().await {
        Ok((stream, _)) => spawn_connection(state, stream, permit),
        // Descriptors have run out, or a client has closed at once: the listener must survive both.
        Err(error) => {
            warn!(target: SERVER, %error, "client accept failed");
            state.metrics.add(Counter::AcceptFailures);
            evict_connections(state);
            sleep(ACCEPT_RETRY_PAUSE).await;
        }
    }
}

/// Serves the connections that wait at the listener now, so that its close resets none of them. What the kernel
/// holds is read directly: the runtime may not know of it yet.
fn accept_rest(state: &Rc<ServerState>, listener: &TcpListener) {
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

/// Waits for a connection of the budget; it is free again once the permit is dropped.
async fn acquire_connection(state: &ServerState) -> Option<ConnectionPermit> {
    // All connections may be busy now and idle later: evicting once is not enough.
    loop {
        if state.connection_budget.free() <= SPARE_CONNECTIONS {
            evict_connections(state);
        }
        if let Ok(permit) = timeout(ACCEPT_RETRY_PAUSE, state.connection_budget.acquire()).await {
            return permit;
        }
    }
}

/// Serves a connection in a task of its own.
fn spawn_connection(state: &Rc<ServerState>, stream: TcpStream, permit: Option<ConnectionPermit>) {
    // It is registered here, not when its task first runs: a burst is accepted before that, and would exhaust
    // the budget with connections that cannot be evicted.
    let connection = Rc::new(Connection::new(state.number_connection()));
    state.connections.borrow_mut().push(Rc::downgrade(&connection));
    let state = state.clone();
    spawn_local(async move {
        serve_connection(state, connection, stream).await;
        drop(permit);
    });
}

/// Evicts the connection whose loss matters least: a client's before a worker's, then in the order of
/// [`ConnectionState`], then the one that has been longest in its state. It lingers first; of the lingering
/// connections the oldest is closed as well.
pub fn evict_connections(state: &ServerState) {
    let connections = state.live_connections();
    let new_connections =
        connections.iter().filter(|connection| connection.state() == ConnectionState::New).count();
    // Among many new connections one is about to be old enough for eviction: idle ones are spared until then.
    let spares_idle = new_connections > connections.len() / 4;
    let is_candidate = |connection: &Connection| {
        connection.is_evictable() && !(spares_idle && connection.state() == ConnectionState::Idle)
    };
    let (lingering, others): (Vec<_>, Vec<_>) = connections
        .iter()
        .filter(|connection| is_candidate(connection))
        .partition(|connection| connection.state() == ConnectionState::Lingering);
    // One always lingers for the next eviction, or every other eviction would free nothing.
    let least_missed = if lingering.len() < ENOUGH_LINGERING_CONNECTIONS {
        others
            .into_iter()
            .min_by_key(|connection| (connection.is_worker(), connection.state(), connection.state_since()))
    } else {
        None
    };
    let oldest_lingering = lingering.into_iter().min_by_key(|connection| connection.state_since());
    for connection in oldest_lingering.into_iter().chain(least_missed) {
        connection.evict();
    }
}
