//! Errors of the handover between two processes of one node.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use curlewusher_control::frame::{FrameError, RejectReason};
use thiserror::Error;

/// Errors of the handover. Each message states what an operator can do. After each of these errors the
/// successor can still bind the client address itself and start cold, that is, without the state of its
/// predecessor.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// The user is not allowed to create files in `$TMPDIR`.
    #[error("{path}: {source}; let the node write to $TMPDIR, or its upgrades start cold")]
    Unwritable {
        /// Path of the file to create or to use.
        path: PathBuf,
        /// Error of the system call.
        source: io::Error,
    },
    /// The file system of `$TMPDIR` is full, or the user's quota on it is used up.
    #[error("{path}: {source}; free space in $TMPDIR, or the node's upgrades start cold")]
    Full {
        /// Path of the file to create.
        path: PathBuf,
        /// Error of the system call.
        source: io::Error,
    },
    /// Another error occurred with a file in `$TMPDIR`.
    #[error("{path}: {source}; look at what is there in $TMPDIR, or the node's upgrades start cold")]
    Rendezvous {
        /// Path of the file to create or to use.
        path: PathBuf,
        /// Error of the system call.
        source: io::Error,
    },
    /// The process at the other end of the rendezvous socket runs as another user.
    #[error(
        "{path} belongs to user {uid}; run both processes as one user, or give the node a $TMPDIR of its own"
    )]
    OtherUser {
        /// Path of the rendezvous socket.
        path: PathBuf,
        /// Numeric id of the user that runs the process at the other end.
        uid: u32,
    },
    /// The received bytes are not a valid frame.
    #[error(transparent)]
    Protocol(#[from] FrameError),
    /// The received frame is valid, but not allowed at this point of the protocol.
    #[error("unexpected message from the other process; the successor starts cold, report it if repeated")]
    UnexpectedFrame,
    /// The received descriptor is missing, or is not a listener on the client address of this node.
    #[error(
        "the predecessor does not listen on {listen}; the successor binds it itself, no action is needed"
    )]
    NoListener {
        /// Client address of this process.
        listen: SocketAddr,
    },
    /// The peer did not answer or read in time.
    #[error(
        "the other process did not answer or read in time; end it if it hangs, the successor starts cold"
    )]
    TimedOut,
    /// The connection to the peer was closed or failed.
    #[error("the connection to the other process was lost ({0}); no action is needed")]
    Disconnected(#[source] io::Error),
    /// The peer rejected the hello.
    #[error(transparent)]
    Rejected(RejectReason),
    /// Another starting process of this node has held the start lock for too long.
    #[error("{path} is locked by another starting process of this node; end that process if it hangs")]
    LockTimedOut {
        /// Path of the lock file.
        path: PathBuf,
    },
}

impl HandoverError {
    /// Returns whether another process of the node is starting or serves, and may accept a later hello.
    pub fn is_busy(&self) -> bool {
        matches!(self, HandoverError::Rejected(RejectReason::Busy) | HandoverError::LockTimedOut { .. })
    }

    /// Converts the error of a system call on a file in `$TMPDIR`.
    pub(super) fn from_file_error(path: &Path, source: io::Error) -> HandoverError {
        let path = path.to_owned();
        match source.kind() {
            ErrorKind::PermissionDenied | ErrorKind::ReadOnlyFilesystem => {
                HandoverError::Unwritable { path, source }
            }
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded => HandoverError::Full { path, source },
            _ => HandoverError::Rendezvous { path, source },
        }
    }

    /// Returns the error for a connection that the peer closed while a frame was expected.
    pub(super) fn closed_by_peer() -> HandoverError {
        HandoverError::Disconnected(ErrorKind::UnexpectedEof.into())
    }
}
