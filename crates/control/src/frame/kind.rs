//! Kinds of frames: their numbers in the header and the length limits of their payloads.

use crate::frame::message::Frame;

/// Maximum length of a state snapshot in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 4 << 20;
/// Maximum length of any other payload in bytes. The longest of these payloads is a migrated job, which
/// contains the body of its request.
pub const MAX_PAYLOAD_BYTES: usize = 128 << 10;

/// Kind of a frame. The numbers are part of the encoding: a change requires a new
/// [`VERSION`](crate::frame::VERSION).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum FrameKind {
    Hello = 1,
    Accepted = 2,
    Rejected = 3,
    TakeoverRequest = 4,
    TakeoverGranted = 5,
    HandBack = 6,
    Callback = 7,
    CallbackResult = 8,
    ClaimJob = 9,
    ClaimResult = 10,
    Command = 11,
    CommandResult = 12,
    CancelAttempt = 13,
    MigrateJob = 14,
    MigrationResult = 15,
}

impl FrameKind {
    const ALL: [FrameKind; 15] = [
        FrameKind::Hello,
        FrameKind::Accepted,
        FrameKind::Rejected,
        FrameKind::TakeoverRequest,
        FrameKind::TakeoverGranted,
        FrameKind::HandBack,
        FrameKind::Callback,
        FrameKind::CallbackResult,
        FrameKind::ClaimJob,
        FrameKind::ClaimResult,
        FrameKind::Command,
        FrameKind::CommandResult,
        FrameKind::CancelAttempt,
        FrameKind::MigrateJob,
        FrameKind::MigrationResult,
    ];

    /// Returns the kind with this number, or `None` if the number is unknown.
    pub(super) fn from_number(number: u8) -> Option<FrameKind> {
        FrameKind::ALL.into_iter().find(|kind| kind.number() == number)
    }

    /// Returns the number of this kind in the header.
    pub(super) fn number(self) -> u8 {
        self as u8
    }

    fn max_payload_bytes(self) -> usize {
        match self {
            FrameKind::Accepted | FrameKind::TakeoverGranted => MAX_SNAPSHOT_BYTES,
            FrameKind::Hello
            | FrameKind::Rejected
            | FrameKind::TakeoverRequest
            | FrameKind::HandBack
            | FrameKind::Callback
            | FrameKind::CallbackResult
            | FrameKind::ClaimJob
            | FrameKind::ClaimResult
            | FrameKind::Command
            | FrameKind::CommandResult
            | FrameKind::CancelAttempt
            | FrameKind::MigrateJob
            | FrameKind::MigrationResult => MAX_PAYLOAD_BYTES,
        }
    }
}

/// Returns the maximum payload length in bytes for the kind with this number. An unknown kind has the limit
/// [`MAX_PAYLOAD_BYTES`].
pub(super) fn max_payload_bytes(number: u8) -> usize {
    FrameKind::from_number(number).map_or(MAX_PAYLOAD_BYTES, FrameKind::max_payload_bytes)
}

impl Frame {
    /// Returns the kind of this frame.
    pub(super) fn kind(&self) -> FrameKind {
        match self {
            Frame::Hello { .. } => FrameKind::Hello,
            Frame::Accepted(_) => FrameKind::Accepted,
            Frame::Rejected(_) => FrameKind::Rejected,
            Frame::TakeoverRequest => FrameKind::TakeoverRequest,
            Frame::TakeoverGranted(_) => FrameKind::TakeoverGranted,
            Frame::HandBack => FrameKind::HandBack,
            Frame::Callback(_) => FrameKind::Callback,
            Frame::CallbackResult(_) => FrameKind::CallbackResult,
            Frame::ClaimJob(_) => FrameKind::ClaimJob,
            Frame::ClaimResult(_) => FrameKind::ClaimResult,
            Frame::Command(_) => FrameKind::Command,
            Frame::CommandResult(_) => FrameKind::CommandResult,
            Frame::CancelAttempt { .. } => FrameKind::CancelAttempt,
            Frame::MigrateJob(_) => FrameKind::MigrateJob,
            Frame::MigrationResult(_) => FrameKind::MigrationResult,
        }
    }
}
