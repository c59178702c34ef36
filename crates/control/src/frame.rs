//! Owns the form of what two processes of one node say to each other: frames, with their version and
//! checksum. It must never wait, and never take in more than the bounds here, whatever the other end sends.
//!
//! A frame is a header and a payload. The header has the magic, the version of the form, the kind, the number
//! of the request (an answer carries that of its request), the payload's length, and a checksum of kind,
//! number and payload.

use std::net::SocketAddr;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::command::{AdminCommand, CommandResult};
pub use crate::takeover::RejectReason;

const MAGIC: &[u8; 4] = b"CWUS";
/// Any change to the form of a frame or of a payload has a new version.
pub const VERSION: u8 = 1;
const HEADER: usize = 4 + 1 + 1 + 8 + 4 + 4;
/// No record of what was learned is longer, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 4 << 20;
/// No other payload is longer, in bytes: a request with its body is the longest that is sent.
pub const MAX_PAYLOAD_BYTES: usize = 128 << 10;

/// What one process says to the other. A request has the answer that is named with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// The newer one wants to be the successor; answered by `Welcome` or `TurnedAway`.
    Hello {
        /// The node's name.
        node: String,
        /// Where clients reach the node.
        listen: String,
    },
    /// It is the successor, and this is what the older one has learned so far.
    Welcome(Bytes),
    /// It is not.
    Rejected(RejectReason),
    /// The newer one is ready; answered by `Yours`.
    TakeoverRequest,
    /// New connections are the newer one's, and this is what the older one has learned since.
    TakeoverGranted(Bytes),
    /// The newer one is ending and the older one is to take the node back; has no answer.
    HandBack,
    /// The body of a call-back for a job that the sender does not hold; answered by `Heard`.
    Callback(Bytes),
    /// Whether the call-back was for a job held there.
    CallbackResult(bool),
    /// The sender is about to take a job of this id; answered by `Claimed`.
    ClaimJob(String),
    /// Whether it may.
    ClaimResult(bool),
    /// An operator's call that holds for both; answered by `Done`.
    Command(AdminCommand),
    /// What the other process says to the call.
    CommandResult(CommandResult),
    /// A job that the sender held, with its client's socket beside the bytes; answered by `Moved`.
    MigrateJob(Bytes),
    /// Whether the receiver holds it now.
    MigrationResult(bool),
    /// A next hop that has not yet heard of a withdrawal, which is the receiver's from now on; has no answer.
    CancelAttempt {
        /// Address of the worker.
        worker: SocketAddr,
        /// The job's id.
        job_id: String,
    },
}

/// Bytes that are no frame, or a frame that cannot be sent. Each says what an operator can do.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// Another program speaks there.
    #[error(
        "what speaks on the node's socket in $TMPDIR is no curlewusher; give the node a $TMPDIR of its own"
    )]
    NotAFrame,
    /// A version of this program with another form of frames.
    #[error(
        "the other process speaks form {theirs}, not {ours}; the new one starts cold, nothing is to be done"
    )]
    OtherVersion {
        /// The form of the other.
        theirs: u8,
        /// The form of this one.
        ours: u8,
    },
    /// The bytes end within a frame.
    #[error("the other process ended in the middle of a message; each goes on alone, nothing is to be done")]
    Truncated,
    /// The checksum is that of other bytes.
    #[error("a message between both processes is damaged; each goes on alone, report it if it comes again")]
    ChecksumMismatch,
    /// A payload over the bound of its kind.
    #[error("a message of {length} bytes between both processes is over the bound; the new one starts cold")]
    TooLong {
        /// In bytes.
        length: usize,
    },
    /// A whole frame that says nothing known.
    #[error("a message of kind {kind} from the other process cannot be read; each goes on alone, report it")]
    Malformed {
        /// The kind's number.
        kind: u8,
    },
}

fn json<T: Serialize>(value: &T) -> Bytes {
    // These types have no form that cannot be written; an empty payload would be Malformed at the other end.
    serde_json::to_vec(value).unwrap_or_default().into()
}

fn from_json<T: DeserializeOwned>(payload: &[u8]) -> Option<T> {
    serde_json::from_slice(payload).ok()
}

fn text(payload: &[u8]) -> Option<String> {
    String::from_utf8(payload.to_vec()).ok()
}

impl Frame {
    /// Whether it answers something that was asked over the link.
    pub fn is_response(&self) -> bool {
        use Frame::{CallbackResult, ClaimResult, CommandResult, MigrationResult, TakeoverGranted};
        matches!(
            self,
            TakeoverGranted(_) | CallbackResult(_) | ClaimResult(_) | CommandResult(_) | MigrationResult(_)
        )
    }

    fn kind(&self) -> u8 {
        match self {
            Frame::Hello { .. } => 1,
            Frame::Welcome(_) => 2,
            Frame::Rejected(_) => 3,
            Frame::TakeoverRequest => 4,
            Frame::TakeoverGranted(_) => 5,
            Frame::HandBack => 6,
            Frame::Callback(_) => 7,
            Frame::CallbackResult(_) => 8,
            Frame::ClaimJob(_) => 9,
            Frame::ClaimResult(_) => 10,
            Frame::Command(_) => 11,
            Frame::CommandResult(_) => 12,
            Frame::CancelAttempt { .. } => 13,
            Frame::MigrateJob(_) => 14,
            Frame::MigrationResult(_) => 15,
        }
    }

    fn payload(&self) -> Bytes {
        match self {
            Frame::Hello { node, listen } => json(&(node, listen)),
            Frame::Welcome(bytes)
            | Frame::TakeoverGranted(bytes)
            | Frame::Callback(bytes)
            | Frame::MigrateJob(bytes) => bytes.clone(),
            Frame::Rejected(why) => json(why),
            Frame::TakeoverRequest | Frame::HandBack => Bytes::new(),
            Frame::CallbackResult(yes) | Frame::ClaimResult(yes) | Frame::MigrationResult(yes) => json(yes),
            Frame::ClaimJob(id) => Bytes::copy_from_slice(id.as_bytes()),
            // As an operator would write it: it is read again by the same rules.
            Frame::Command(call) => call.to_string().into(),
            Frame::CommandResult(verdict) => json(verdict),
            Frame::CancelAttempt { worker, job_id } => json(&(worker, job_id)),
        }
    }

    fn read(kind: u8, payload: Bytes) -> Option<Frame> {
        Some(match kind {
            1 => from_json(&payload).map(|(node, listen)| Frame::Hello { node, listen })?,
            2 => Frame::Welcome(payload),
            3 => Frame::Rejected(from_json(&payload)?),
            4 if payload.is_empty() => Frame::TakeoverRequest,
            5 => Frame::TakeoverGranted(payload),
            6 if payload.is_empty() => Frame::HandBack,
            7 => Frame::Callback(payload),
            8 => Frame::CallbackResult(from_json(&payload)?),
            9 => Frame::ClaimJob(text(&payload)?),
            10 => Frame::ClaimResult(from_json(&payload)?),
            11 => Frame::Command(AdminCommand::parse(&payload).ok()?),
            12 => Frame::CommandResult(from_json(&payload)?),
            13 => from_json(&payload).map(|(worker, job_id)| Frame::CancelAttempt { worker, job_id })?,
            14 => Frame::MigrateJob(payload),
            15 => Frame::MigrationResult(from_json(&payload)?),
            _ => return None,
        })
    }

    /// The frame as bytes, under the number of its request; `TooLong` where the payload is over its bound.
    pub fn encode(&self, seq: u64) -> Result<Bytes, FrameError> {
        let (kind, payload) = (self.kind(), self.payload());
        let length = payload.len();
        if length > longest(kind) {
            return Err(FrameError::TooLong { length });
        }
        let mut out = BytesMut::with_capacity(HEADER + length);
        out.put_slice(MAGIC);
        out.put_u8(VERSION);
        out.put_u8(kind);
        out.put_u64(seq);
        out.put_u32(length as u32);
        out.put_u32(sum(kind, seq, &payload));
        out.put_slice(&payload);
        Ok(out.freeze())
    }
}

fn longest(kind: u8) -> usize {
    match kind {
        2 | 5 => MAX_SNAPSHOT_BYTES,
        _ => MAX_PAYLOAD_BYTES,
    }
}

fn sum(kind: u8, seq: u64, payload: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&[kind]);
    sum.update(&seq.to_be_bytes());
    sum.update(payload);
    sum.finalize()
}

/// A frame that came from the other process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedFrame {
    /// Number of the request; a response carries that of the request it answers.
    pub sequence: u64,
    /// The message.
    pub frame: Frame,
}

/// Reads frames from bytes that come in pieces of any size. After an error it gives the same error again:
/// what follows has no known beginning.
#[derive(Debug, Default)]
pub struct Decoder {
    held: BytesMut,
}

impl Decoder {
    /// Takes in what has come. The caller reads all frames out before it feeds more, which bounds what is
    /// held.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole frame and its number; none where more must come first.
    pub fn next_frame(&mut self) -> Result<Option<ReceivedFrame>, FrameError> {
        let begin = self.held.len().min(MAGIC.len());
        if self.held[..begin] != MAGIC[..begin] {
            return Err(FrameError::NotAFrame);
        }
        if let Some(&theirs) = self.held.get(MAGIC.len()).filter(|theirs| **theirs != VERSION) {
            return Err(FrameError::OtherVersion { theirs, ours: VERSION });
        }
        if self.held.len() < HEADER {
            return Ok(None);
        }
        let mut header = &self.held[MAGIC.len() + 1..HEADER];
        let (kind, seq) = (header.get_u8(), header.get_u64());
        let (length, told) = (header.get_u32() as usize, header.get_u32());
        if length > longest(kind) {
            return Err(FrameError::TooLong { length });
        }
        let Some(payload) = self.held.get(HEADER..HEADER + length) else {
            // Known once: a heritage is not moved again and again while it comes.
            self.held.reserve(HEADER + length - self.held.len());
            return Ok(None);
        };
        if sum(kind, seq, payload) != told {
            return Err(FrameError::ChecksumMismatch);
        }
        let frame = Frame::read(kind, Bytes::copy_from_slice(payload));
        let frame = frame.ok_or(FrameError::Malformed { kind })?;
        self.held.advance(HEADER + length);
        Ok(Some(ReceivedFrame { sequence: seq, frame }))
    }

    /// Nothing more comes; `Torn` where that is within a frame.
    pub fn finish(&self) -> Result<(), FrameError> {
        match self.held.is_empty() {
            true => Ok(()),
            false => Err(FrameError::Truncated),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/frame.rs"]
mod tests;
