//! Errors of encoding and decoding frames.

use thiserror::Error;

/// Reason for which a frame could not be encoded or decoded. Each message states what an operator can do.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The bytes do not start with the magic number of a frame: another program is at the other end of the
    /// link.
    #[error(
        "what speaks on the node's socket in $TMPDIR is no curlewusher; give the node a $TMPDIR of its own"
    )]
    InvalidMagic,
    /// The peer uses another version of the encoding.
    #[error(
        "the other process speaks form {theirs}, not {ours}; the new one starts cold, nothing is to be done"
    )]
    OtherVersion {
        /// Version of the peer.
        theirs: u8,
        /// Version of this process.
        ours: u8,
    },
    /// The input ends within a frame.
    #[error("the other process ended in the middle of a message; each goes on alone, nothing is to be done")]
    Truncated,
    /// The checksum does not match the frame.
    #[error("a message between both processes is damaged; each goes on alone, report it if it comes again")]
    ChecksumMismatch,
    /// The payload exceeds the limit of its kind.
    #[error("a message of {length} bytes between both processes is over the bound; the new one starts cold")]
    TooLong {
        /// Length of the payload in bytes.
        length: usize,
    },
    /// The frame is intact, but its kind is unknown or its payload does not match its kind.
    #[error("a message of kind {kind} from the other process cannot be read; each goes on alone, report it")]
    Malformed {
        /// Number of the kind in the header.
        kind: u8,
    },
}
