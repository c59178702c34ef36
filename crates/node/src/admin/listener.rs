//! Listener of the admin address. It runs on a separate thread with its own runtime, so that a command does
//! not wait behind the clients of the node. The number of connections is limited, and a new connection evicts
//! the oldest one, so that an operator is served even if many other connections are stuck.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::sleep;
use tracing::{error, warn};

use crate::admin::connection::{CommandHandler, PendingCommand};
use crate::lifecycle::Lifecycle;
use crate::telemetry::logging::NODE;

/// Maximum number of open connections. A further connection replaces the oldest one, which is probably stuck:
/// the execution of a command takes milliseconds.
const MAX_CONNECTIONS: usize = 24;
/// Maximum number of descriptors that the admin address uses: for its connections, its listener, and the
/// event queue of its runtime.
pub const MAX_ADMIN_DESCRIPTORS: usize = MAX_CONNECTIONS + 4;
/// Maximum number of commands that wait for [`AdminService`](crate::admin::service::AdminService).
const MAX_PENDING_COMMANDS: usize = 64;
/// Delay before the next accept after an accept failed, for example for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Errors of [`AdminListener::open`].
#[derive(Debug, Error)]
pub enum AdminListenerError {
    /// The listener cannot be opened on the address.
    #[error(
        "console: {address}: {source}; give `console` an address of this machine that no other program has"
    )]
    Address {
        /// Configured address.
        address: SocketAddr,
        /// Error of the system call.
        source: io::Error,
    },
    /// The system refused to create a thread.
    #[error("console: no thread: {0}; raise the limit on processes, or leave `console` out")]
    Thread(#[source] io::Error),
}

/// Admin address, open until the process exits.
pub struct AdminListener {
    /// Address on which the listener is open.
    pub address: SocketAddr,
    /// Receiver of the commands that operators send. The channel is closed if the thread ends.
    pub commands: mpsc::Receiver<PendingCommand>,
}

impl AdminListener {
    /// Listens on this address, and starts the thread that serves it.
    pub fn open(address: SocketAddr, lifecycle: Lifecycle) -> Result<AdminListener, AdminListenerError> {
        let listener = bind(address).map_err(|source| AdminListenerError::Address { address, source })?;
        let address =
            listener.local_addr().map_err(|source| AdminListenerError::Address { address, source })?;
        let (command_queue, commands) = mpsc::channel(MAX_PENDING_COMMANDS);
        let handler = CommandHandler { lifecycle, command_queue };
        let serve = move || {
            // Dropping the handler closes the channel of commands, which makes the process exit.
            if let Err(error) = serve_on_this_thread(listener, handler) {
                error!(target: NODE, %address, %error, "admin listener failed");
            }
        };
        std::thread::Builder::new()
            .name("console".into())
            .spawn(serve)
            .map_err(AdminListenerError::Thread)?;
        Ok(AdminListener { address, commands })
    }
}

fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Accepts and serves connections. The runtime is built on the thread that uses it: if it were built before,
/// and the thread could not be created, the runtime would be dropped within the main runtime of the node,
/// which panics.
fn serve_on_this_thread(listener: std::net::TcpListener, handler: CommandHandler) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(accept_connections(listener, handler))
}

async fn accept_connections(listener: std::net::TcpListener, handler: CommandHandler) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let mut connections = Connections::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => connections.serve(stream, handler.clone()),
            Err(error) => {
                warn!(target: NODE, %error, "admin accept failed");
                connections.abort_oldest();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Tasks of the open connections, the oldest first. Tasks that have finished may still be among them.
#[derive(Default)]
struct Connections(VecDeque<AbortHandle>);

impl Connections {
    fn serve(&mut self, stream: TcpStream, handler: CommandHandler) {
        self.0.retain(|connection| !connection.is_finished());
        if self.0.len() >= MAX_CONNECTIONS {
            self.abort_oldest();
        }
        let connection = tokio::spawn(handler.serve_connection(stream));
        self.0.push_back(connection.abort_handle());
    }

    fn abort_oldest(&mut self) {
        if let Some(oldest) = self.0.pop_front() {
            oldest.abort();
        }
    }
}
