//! Encoding of payloads, as listed in the table of [`crate::frame`].

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::command::AdminCommand;
use crate::frame::kind::FrameKind;
use crate::frame::message::Frame;

impl Frame {
    /// Encodes the payload of this frame.
    pub(super) fn encode_payload(&self) -> Bytes {
        match self {
            Frame::Hello { node, listen } => to_json(&(node, listen)),
            Frame::Accepted(bytes)
            | Frame::TakeoverGranted(bytes)
            | Frame::Callback(bytes)
            | Frame::MigrateJob(bytes) => bytes.clone(),
            Frame::Rejected(reason) => to_json(reason),
            Frame::TakeoverRequest | Frame::HandBack => Bytes::new(),
            Frame::CallbackResult(result) | Frame::ClaimResult(result) | Frame::MigrationResult(result) => {
                to_json(result)
            }
            Frame::ClaimJob(id) => Bytes::copy_from_slice(id.as_bytes()),
            // The peer reads this payload with the parser of operator lines.
            Frame::Command(command) => command.to_string().into(),
            Frame::CommandResult(result) => to_json(result),
            Frame::CancelAttempt { worker, job_id } => to_json(&(worker, job_id)),
        }
    }

    /// Decodes the payload of a frame of this kind. Returns `None` if the payload does not match the kind.
    pub(super) fn decode_payload(kind: FrameKind, payload: Bytes) -> Option<Frame> {
        match kind {
            FrameKind::Hello => from_json(&payload).map(|(node, listen)| Frame::Hello { node, listen }),
            FrameKind::Accepted => Some(Frame::Accepted(payload)),
            FrameKind::Rejected => from_json(&payload).map(Frame::Rejected),
            FrameKind::TakeoverRequest => payload.is_empty().then_some(Frame::TakeoverRequest),
            FrameKind::TakeoverGranted => Some(Frame::TakeoverGranted(payload)),
            FrameKind::HandBack => payload.is_empty().then_some(Frame::HandBack),
            FrameKind::Callback => Some(Frame::Callback(payload)),
            FrameKind::CallbackResult => from_json(&payload).map(Frame::CallbackResult),
            FrameKind::ClaimJob => from_utf8(&payload).map(Frame::ClaimJob),
            FrameKind::ClaimResult => from_json(&payload).map(Frame::ClaimResult),
            FrameKind::Command => AdminCommand::parse(&payload).ok().map(Frame::Command),
            FrameKind::CommandResult => from_json(&payload).map(Frame::CommandResult),
            FrameKind::CancelAttempt => {
                from_json(&payload).map(|(worker, job_id)| Frame::CancelAttempt { worker, job_id })
            }
            FrameKind::MigrateJob => Some(Frame::MigrateJob(payload)),
            FrameKind::MigrationResult => from_json(&payload).map(Frame::MigrationResult),
        }
    }
}

fn to_json<T: Serialize>(value: &T) -> Bytes {
    // Serialization of these types cannot fail. The peer would reject an empty payload as `Malformed`.
    serde_json::to_vec(value).unwrap_or_default().into()
}

fn from_json<T: DeserializeOwned>(payload: &[u8]) -> Option<T> {
    serde_json::from_slice(payload).ok()
}

fn from_utf8(payload: &[u8]) -> Option<String> {
    String::from_utf8(payload.to_vec()).ok()
}
