//! The search for a predecessor when the process starts.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use tracing::{info, warn};

use crate::handover::error::HandoverError;
use crate::handover::handshake::{Predecessor, contact_predecessor};
use crate::handover::rendezvous::{Rendezvous, StartLock};
use crate::telemetry::logging::NODE;

/// How long a start retries while the predecessor is busy with another takeover.
const BUSY_RETRY_LIMIT: Duration = Duration::from_secs(5);
/// Pause between these retries.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How a process starts: where successors will find it, and its predecessor if there is one.
#[derive(Default)]
pub struct StartupHandover {
    /// None where successors cannot find this process.
    pub(super) rendezvous: Option<Rendezvous>,
    pub(super) start_lock: Option<StartLock>,
    pub(super) predecessor: Option<Predecessor>,
    /// The search failed: another process may serve unknown to this one.
    pub(super) may_have_unknown_peer: bool,
}

/// The result of one search.
enum SearchResult {
    /// There is a predecessor that has accepted this process, or none.
    Completed { start_lock: StartLock, predecessor: Option<Predecessor> },
    /// The start lock's file cannot be used, so neither can the rendezvous socket.
    LockUnusable(HandoverError),
    /// The other process does not answer, or rejects this one.
    Failed(HandoverError),
}

impl StartupHandover {
    /// Looks in `directory` for another process of this node. Any error is logged, and the process starts as
    /// though it were alone. Without a directory it does not look.
    pub async fn find_predecessor(
        directory: Option<PathBuf>,
        node: &str,
        listen: SocketAddr,
    ) -> StartupHandover {
        let Some(directory) = directory else { return StartupHandover::default() };
        let rendezvous = Rendezvous::new(&directory, listen);
        let search_start = Instant::now();
        loop {
            match search(&rendezvous, node, listen).await {
                SearchResult::Completed { start_lock, predecessor } => {
                    if predecessor.is_some() {
                        info!(target: NODE, %node, "predecessor linked");
                    }
                    return StartupHandover {
                        rendezvous: Some(rendezvous),
                        start_lock: Some(start_lock),
                        predecessor,
                        may_have_unknown_peer: false,
                    };
                }
                SearchResult::LockUnusable(error) => {
                    warn!(target: NODE, %node, %error, "predecessor search failed");
                    // Binding the socket would fail for the same reason, which is logged once.
                    return StartupHandover::without_predecessor(None);
                }
                SearchResult::Failed(error)
                    if error.is_busy() && search_start.elapsed() < BUSY_RETRY_LIMIT =>
                {
                    sleep(BUSY_RETRY_DELAY).await;
                }
                SearchResult::Failed(error) => {
                    warn!(target: NODE, %node, %error, "predecessor search failed");
                    return StartupHandover::without_predecessor(Some(rendezvous));
                }
            }
        }
    }

    /// The listener for clients that the predecessor has passed on.
    pub fn listener(&self) -> Option<io::Result<TcpListener>> {
        self.predecessor.as_ref().map(|predecessor| predecessor.listener.try_clone())
    }

    /// Whether another process of this node serves.
    pub fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    fn without_predecessor(rendezvous: Option<Rendezvous>) -> StartupHandover {
        StartupHandover { rendezvous, may_have_unknown_peer: true, ..StartupHandover::default() }
    }
}

/// Takes the start lock and contacts the predecessor. On an error the lock is released.
async fn search(rendezvous: &Rendezvous, node: &str, listen: SocketAddr) -> SearchResult {
    let start_lock = match rendezvous.lock_start().await {
        Ok(start_lock) => start_lock,
        Err(error @ HandoverError::LockTimedOut { .. }) => return SearchResult::Failed(error),
        Err(error) => return SearchResult::LockUnusable(error),
    };
    match contact_predecessor(rendezvous, node, listen).await {
        Ok(predecessor) => SearchResult::Completed { start_lock, predecessor },
        Err(error) => SearchResult::Failed(error),
    }
}
