//! Why bytes from the other process are not a frame, or a frame cannot be sent.

use thiserror::Error;

/// Why a frame could not be decoded or encoded. Each text states what an operator can do.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The bytes do not begin as a frame does: another program is at the other end.
    #[error(
        "what speaks on the node's socket in $TMPDIR is no curlewusher; give the node a $TMPDIR of its own"
    )]
    NotAFrame,
    /// The other process uses another version of the encoding.
    #[error(
        "the other process speaks form {theirs}, not {ours}; the new one starts cold, nothing is to be done"
    )]
    OtherVersion {
        /// Version of the other process.
        theirs: u8,
        /// Version of this process.
        ours: u8,
    },
    /// The bytes end within a frame.
    #[error("the other process ended in the middle of a message; each goes on alone, nothing is to be done")]
    Truncated,
    /// The checksum does not match the bytes.
    #[error("a message between both processes is damaged; each goes on alone, report it if it comes again")]
    ChecksumMismatch,
    /// The payload is longer than its kind allows.
    #[error("a message of {length} bytes between both processes is over the bound; the new one starts cold")]
    TooLong {
        /// Length of the payload in bytes.
        length: usize,
    },
    /// The frame is intact, but its kind is unknown or its payload is not one of that kind.
    #[error("a message of kind {kind} from the other process cannot be read; each goes on alone, report it")]
    Malformed {
        /// Number of the kind.
        kind: u8,
    },
}
