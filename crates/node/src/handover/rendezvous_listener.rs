//! Listener on the rendezvous socket. It publishes the socket, accepts the connections of successors and
//! reads their hellos.

use std::fs;
use std::io::{self, ErrorKind};
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UnixListener;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use crate::handover::error::HandoverError;
use crate::handover::handshake::{HELLO_TIMEOUT, SuccessorHello};
use crate::handover::rendezvous::Rendezvous;
use crate::telemetry::logging::NODE;

/// Maximum number of open connections whose hello has not been read yet. Further connections wait in the
/// accept queue.
const MAX_PENDING_HELLOS: usize = 4;
/// Delay after a failed accept. Without a delay, accepting fails again immediately while no descriptor is
/// free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Permissions of the socket file: access for its user only.
const SOCKET_MODE: u32 = 0o600;

/// Device and inode of a file.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileId {
    device: u64,
    inode: u64,
}

impl FileId {
    fn of_path(path: &Path) -> io::Result<FileId> {
        let metadata = fs::symlink_metadata(path)?;
        Ok(FileId { device: metadata.dev(), inode: metadata.ino() })
    }
}

/// Listener on the rendezvous socket. Dropping it stops listening, but only `close` removes the socket file.
pub struct RendezvousListener {
    path: PathBuf,
    file_id: FileId,
    accept_task: JoinHandle<()>,
}

impl RendezvousListener {
    /// Binds the rendezvous socket, and replaces the socket of any previous process. Sends hellos to
    /// `hello_queue`; a hello that arrives while the queue is full is rejected as busy.
    pub fn bind(
        rendezvous: &Rendezvous,
        hello_queue: mpsc::Sender<SuccessorHello>,
    ) -> Result<RendezvousListener, HandoverError> {
        let path = rendezvous.path();
        let file_error = |error| HandoverError::from_file_error(&path, error);
        // The socket is bound under another name first. Renaming it replaces the previous socket atomically,
        // so that there is always a listening process.
        let unpublished = rendezvous.unpublished_path();
        remove_if_exists(&unpublished).map_err(file_error)?;
        let socket_path = rendezvous.short_unpublished_path().map_err(file_error)?;
        let listener = UnixListener::bind(&socket_path.path).map_err(file_error)?;
        let file_id = publish(&unpublished, &path).map_err(|error| {
            // The error of `publish` is returned. If the removal fails, the next start replaces the file.
            let _ = fs::remove_file(&unpublished);
            file_error(error)
        })?;
        let accept_task = spawn_local(accept_successors(listener, rendezvous.clone(), hello_queue));
        Ok(RendezvousListener { path, file_id, accept_task })
    }

    /// Stops listening and removes the socket file, unless another process has replaced it.
    pub fn close(self) {
        if FileId::of_path(&self.path).is_ok_and(|file_id| file_id == self.file_id) {
            // If the removal fails, the file is stale and the next process replaces it.
            let _ = fs::remove_file(&self.path);
        }
    }
}

impl Drop for RendezvousListener {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

fn remove_if_exists(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Restricts access to the socket at `unpublished` to its user, and renames the socket to `path`.
fn publish(unpublished: &Path, path: &Path) -> io::Result<FileId> {
    fs::set_permissions(unpublished, fs::Permissions::from_mode(SOCKET_MODE))?;
    let file_id = FileId::of_path(unpublished)?;
    fs::rename(unpublished, path)?;
    Ok(file_id)
}

async fn accept_successors(
    listener: UnixListener,
    rendezvous: Rendezvous,
    hello_queue: mpsc::Sender<SuccessorHello>,
) {
    let pending_hellos = Arc::new(Semaphore::new(MAX_PENDING_HELLOS));
    while let Ok(permit) = pending_hellos.clone().acquire_owned().await {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                debug!(target: NODE, %error, "successor accept failed");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (rendezvous, hello_queue) = (rendezvous.clone(), hello_queue.clone());
        spawn_local(async move {
            let _permit = permit;
            let received = timeout(HELLO_TIMEOUT, SuccessorHello::receive(stream, &rendezvous)).await;
            match received.unwrap_or(Err(HandoverError::TimedOut)) {
                Ok(hello) => hello.enqueue_or_reject(&hello_queue).await,
                Err(error) => warn!(target: NODE, %error, "successor hello rejected"),
            }
        });
    }
}

#[cfg(test)]
#[path = "../../tests/unit/handover/rendezvous.rs"]
mod tests;
