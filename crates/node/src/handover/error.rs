//! Why two processes of one node fail to establish or keep a handover.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use curlewusher_control::frame::{FrameError, RejectReason};
use thiserror::Error;

/// Why a handover fails. Each text states what an operator can do; whatever the error, the newer process can
/// bind the client address itself and start without its predecessor's state.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// The user may not create files in `$TMPDIR`.
    #[error("{path}: {source}; let the node write to $TMPDIR, or its upgrades start cold")]
    Unwritable {
        /// The file that was to be created or used.
        path: PathBuf,
        /// The error of the system call.
        source: io::Error,
    },
    /// The file system of `$TMPDIR` is full, or the user's quota on it is used up.
    #[error("{path}: {source}; make room where $TMPDIR is, or the node's upgrades start cold")]
    Full {
        /// The file that was to be created.
        path: PathBuf,
        /// The error of the system call.
        source: io::Error,
    },
    /// Any other error about a file in `$TMPDIR`.
    #[error("{path}: {source}; look at what is there in $TMPDIR, or the node's upgrades start cold")]
    Rendezvous {
        /// The file that was to be created or used.
        path: PathBuf,
        /// The error of the system call.
        source: io::Error,
    },
    /// The process at the other end of the rendezvous socket runs as another user.
    #[error("{path} is of user {uid}; run both processes as one user, or give the node a $TMPDIR of its own")]
    OtherUser {
        /// Path of the rendezvous socket.
        path: PathBuf,
        /// Numeric id of that user.
        uid: u32,
    },
    /// The bytes received are not a valid frame.
    #[error(transparent)]
    Protocol(#[from] FrameError),
    /// A valid frame that is not allowed at this point of the protocol.
    #[error(
        "the other process sent an unexpected message; the new one starts cold, report it if it comes again"
    )]
    UnexpectedFrame,
    /// The descriptor received is missing, or is not a listener on this node's client address.
    #[error(
        "the other process does not listen on {listen}; the new one binds it itself, nothing is to be done"
    )]
    NoListener {
        /// The client address of this process.
        listen: SocketAddr,
    },
    /// The other process did not answer in time.
    #[error(
        "the older process does not answer; the new one starts cold, end the older one if it keeps running"
    )]
    TimedOut,
    /// The connection to the other process was closed or failed.
    #[error("the other process ended meanwhile ({0}); nothing is to be done")]
    Disconnected(#[source] io::Error),
    /// The other process rejected the hello.
    #[error(transparent)]
    Rejected(RejectReason),
    /// Another process of this node has held the start lock for too long.
    #[error("{path} is held by another start of this node; end that one if it hangs")]
    LockTimedOut {
        /// Path of the lock file.
        path: PathBuf,
    },
}

impl HandoverError {
    /// Whether the same hello may be accepted when it is retried later.
    pub fn is_busy(&self) -> bool {
        matches!(self, HandoverError::Rejected(RejectReason::Busy))
    }

    /// The error of a system call on a file in `$TMPDIR`.
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

    /// The other process closed the connection where a frame was expected.
    pub(super) fn closed_by_peer() -> HandoverError {
        HandoverError::Disconnected(ErrorKind::UnexpectedEof.into())
    }
}
