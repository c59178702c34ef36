//! The listener of the admin address. It has a thread and a runtime of its own, so that a command does not wait behind
//! the node's clients. The number of connections is limited: an operator gets through however many others are stuck.

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

/// Most connections at once. One more takes the place of the oldest: a command that is carried out takes
/// milliseconds.
const MAX_CONNECTIONS: usize = 24;
/// Descriptors that the admin address needs: its connections, its listener, and its runtime's event queue.
pub const MAX_ADMIN_DESCRIPTORS: usize = MAX_CONNECTIONS + 4;
/// Most commands that wait for [`AdminService`](crate::admin::service::AdminService).
const MAX_PENDING_COMMANDS: usize = 64;
/// Wait before accepting again after a failure, such as a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why the admin address cannot be used.
#[derive(Debug, Error)]
pub enum AdminListenerError {
    /// The address cannot be listened on.
    #[error(
        "console: {address}: {source}; give `console` an address of this machine that no other program has"
    )]
    Address {
        /// The configured address.
        address: SocketAddr,
        /// What the system answered.
        source: io::Error,
    },
    /// The system denies a thread.
    #[error("console: no thread: {0}; raise the limit on processes, or leave `console` out")]
    Thread(#[source] io::Error),
}

/// The admin address, open until the program ends.
pub struct AdminListener {
    /// Where it listens.
    pub address: SocketAddr,
    /// Commands that operators send; closed if the thread ends.
    pub commands: mpsc::Receiver<PendingCommand>,
}

impl AdminListener {
    /// Listens at this address, and starts the thread that serves it.
    pub fn open(address: SocketAddr, lifecycle: Lifecycle) -> Result<AdminListener, AdminListenerError> {
        let listener = bind(address).map_err(|source| AdminListenerError::Address { address, source })?;
        let address =
            listener.local_addr().map_err(|source| AdminListenerError::Address { address, source })?;
        let (command_queue, commands) = mpsc::channel(MAX_PENDING_COMMANDS);
        let handler = CommandHandler { lifecycle, command_queue };
        let serve = move || {
            // Dropping the handler closes the channel of commands, which ends the program.
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

/// The runtime is built on the thread that uses it: where there is no thread it would have to be dropped within the
/// node's own runtime, which panics.
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

/// Open connections, the oldest first. Those that have ended may still be among them.
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
