//! Search for a predecessor when the process starts.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use tokio::time::sleep;
use tracing::{info, warn};

use crate::handover::error::HandoverError;
use crate::handover::handshake::{Predecessor, contact_predecessor};
use crate::handover::rendezvous::{Rendezvous, StartLock};
use crate::telemetry::logging::NODE;

/// Delay between retries while the predecessor is busy with another takeover.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Result of the search for a predecessor, and the rendezvous at which successors will find this process.
#[derive(Default)]
pub struct StartupHandover {
    /// Rendezvous of the node. `None` if successors cannot find this process.
    pub(super) rendezvous: Option<Rendezvous>,
    /// Start lock, which is held until this process listens for successors.
    pub(super) start_lock: Option<StartLock>,
    /// Predecessor that has accepted this process, if there is one.
    pub(super) predecessor: Option<Predecessor>,
    /// Whether the search failed, so that another process of the node may serve without a link to this
    /// process.
    pub(super) may_have_unknown_peer: bool,
}

/// Result of one search.
enum SearchResult {
    /// The search is complete: a predecessor has accepted this process, or there is none.
    Completed { start_lock: StartLock, predecessor: Option<Predecessor> },
    /// The file of the start lock cannot be used, so the rendezvous socket cannot be used either.
    LockUnusable(HandoverError),
    /// The search failed for another reason: for example, the predecessor does not answer or rejects this
    /// process, or the start lock stays held.
    Failed(HandoverError),
}

impl StartupHandover {
    /// Searches for a predecessor in `directory`. Retries as long as another process of the node is starting or
    /// the predecessor is busy, because that process serves. Any other error is logged, and the process then
    /// starts as if there were no predecessor. Without a directory there is no search.
    pub async fn find_predecessor(
        directory: Option<PathBuf>,
        node: &str,
        listen: SocketAddr,
    ) -> StartupHandover {
        let Some(directory) = directory else { return StartupHandover::default() };
        let rendezvous = Rendezvous::new(&directory, listen);
        let mut is_waiting = false;
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
                    // Binding the socket would fail for the same reason, so it is not attempted and the
                    // reason is logged only once.
                    return StartupHandover::without_predecessor(None);
                }
                SearchResult::Failed(error) if error.is_busy() => {
                    if !std::mem::replace(&mut is_waiting, true) {
                        info!(target: NODE, %node, %error, "predecessor busy");
                    }
                    sleep(BUSY_RETRY_DELAY).await;
                }
                SearchResult::Failed(error) => {
                    warn!(target: NODE, %node, %error, "predecessor search failed");
                    return StartupHandover::without_predecessor(Some(rendezvous));
                }
            }
        }
    }

    /// Returns a duplicate of the client listener of the predecessor, if there is one.
    pub fn listener(&self) -> Option<io::Result<TcpListener>> {
        self.predecessor.as_ref().map(|predecessor| predecessor.listener.try_clone())
    }

    /// Returns whether a predecessor has accepted this process.
    pub fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    fn without_predecessor(rendezvous: Option<Rendezvous>) -> StartupHandover {
        StartupHandover { rendezvous, may_have_unknown_peer: true, ..StartupHandover::default() }
    }
}

/// Acquires the start lock and contacts the predecessor. Releases the lock on an error.
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
