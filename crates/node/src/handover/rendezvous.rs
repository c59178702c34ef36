//! Rendezvous at which the processes of one node find each other. It consists of a Unix socket in `$TMPDIR`,
//! whose name is derived from the client address of the node, and a lock file in the same directory, which
//! ensures that processes start one after the other.

use std::fs::{File, TryLockError};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::net::UnixStream;
use tokio::time::{sleep, timeout};

use crate::handover::error::HandoverError;

/// Maximum time for which a starting process waits for the start lock. The process that holds the lock waits
/// up to `handshake::HELLO_RESPONSE_TIMEOUT` (1.5 s) for its predecessor.
const START_LOCK_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between attempts to acquire the start lock.
const START_LOCK_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum length of the path in a Unix socket address, in bytes, without the terminating zero byte
/// (`sun_path` has 108 bytes).
const MAX_SOCKET_PATH_BYTES: usize = 107;

/// Paths of a node's rendezvous socket and start lock.
#[derive(Clone, Debug)]
pub struct Rendezvous {
    directory: PathBuf,
    socket_name: String,
}

/// Exclusive lock on the start of a process of this node. A process holds it from before its hello until it
/// listens for successors itself. Dropping it releases the lock.
pub struct StartLock {
    _file: File,
}

/// Path that fits into a socket address.
pub(super) struct SocketPath {
    /// Path to bind or connect to.
    pub(super) path: PathBuf,
    /// Directory to which `path` refers by its descriptor. Must stay open while `path` is used.
    _directory: Option<File>,
}

impl Rendezvous {
    /// Creates the rendezvous in `directory` for the node with the client address `listen`.
    pub fn new(directory: &Path, listen: SocketAddr) -> Rendezvous {
        let socket_name = format!("curlewusher-{}-{}.sock", listen.ip(), listen.port());
        Rendezvous { directory: directory.to_owned(), socket_name }
    }

    /// Returns the path of the socket.
    pub fn path(&self) -> PathBuf {
        self.directory.join(&self.socket_name)
    }

    /// Returns the path under which this process binds its socket, before it renames the socket to `path`.
    pub(super) fn unpublished_path(&self) -> PathBuf {
        self.directory.join(self.unpublished_name())
    }

    /// Waits up to 2 s for the start lock. The lock file is never removed: otherwise two starting processes
    /// could each hold a lock on a different file with this name.
    pub async fn lock_start(&self) -> Result<StartLock, HandoverError> {
        let path = self.directory.join(format!("{}.lock", self.socket_name));
        let opened = File::options().create(true).append(true).open(&path);
        let file = opened.map_err(|error| HandoverError::from_file_error(&path, error))?;
        match timeout(START_LOCK_TIMEOUT, poll_lock(&file)).await {
            Ok(Ok(())) => Ok(StartLock { _file: file }),
            Ok(Err(error)) => Err(HandoverError::from_file_error(&path, error)),
            Err(_) => Err(HandoverError::LockTimedOut { path }),
        }
    }

    /// Connects to the process that listens on the socket. Returns `None` if the file does not exist or no
    /// process listens on it any more.
    pub(super) async fn connect(&self) -> Result<Option<UnixStream>, HandoverError> {
        let file_error = |error| HandoverError::from_file_error(&self.path(), error);
        let socket_path = match self.short_path(&self.socket_name) {
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            socket_path => socket_path.map_err(file_error)?,
        };
        match UnixStream::connect(&socket_path.path).await {
            Ok(stream) => Ok(Some(stream)),
            Err(error) if matches!(error.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
                Ok(None)
            }
            // The accept queue is full, because the listening process has stopped accepting connections.
            Err(error) if error.kind() == ErrorKind::WouldBlock => Err(HandoverError::TimedOut),
            Err(error) => Err(file_error(error)),
        }
    }

    /// Returns the path for `unpublished_path` that fits into a socket address.
    pub(super) fn short_unpublished_path(&self) -> io::Result<SocketPath> {
        self.short_path(&self.unpublished_name())
    }

    /// Returns an error unless the process at the other end runs as the same user. A process of another user
    /// never belongs to this node.
    pub(super) fn verify_same_user(&self, stream: &UnixStream) -> Result<(), HandoverError> {
        let uid = stream.peer_cred().map_err(HandoverError::Disconnected)?.uid();
        if uid == rustix::process::geteuid().as_raw() {
            Ok(())
        } else {
            Err(HandoverError::OtherUser { path: self.path(), uid })
        }
    }

    fn unpublished_name(&self) -> String {
        format!("{}.{}", self.socket_name, std::process::id())
    }

    /// Returns a path of the file `name` in the directory that fits into a socket address. If the plain path
    /// is too long, the returned path leads through `/proc`.
    fn short_path(&self, name: &str) -> io::Result<SocketPath> {
        let path = self.directory.join(name);
        if path.as_os_str().len() <= MAX_SOCKET_PATH_BYTES {
            return Ok(SocketPath { path, _directory: None });
        }
        let directory = File::open(&self.directory)?;
        let path = PathBuf::from(format!("/proc/self/fd/{}", directory.as_raw_fd())).join(name);
        Ok(SocketPath { path, _directory: Some(directory) })
    }
}

async fn poll_lock(file: &File) -> io::Result<()> {
    loop {
        match file.try_lock() {
            Ok(()) => return Ok(()),
            Err(TryLockError::WouldBlock) => sleep(START_LOCK_POLL_INTERVAL).await,
            Err(TryLockError::Error(error)) => return Err(error),
        }
    }
}
