//! Encoder of frames, and an incremental decoder that accepts bytes in chunks of any size.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::frame::error::FrameError;
use crate::frame::header::{FrameHeader, HEADER_BYTES};
use crate::frame::kind::FrameKind;
use crate::frame::message::Frame;

impl Frame {
    /// Encodes the frame with a sequence number. A response has the sequence number of its request.
    ///
    /// # Errors
    /// Returns [`FrameError::TooLong`] if the payload exceeds the limit of its kind.
    pub fn encode(&self, sequence: u64) -> Result<Bytes, FrameError> {
        let payload = self.encode_payload();
        let header = FrameHeader::for_payload(self.kind().number(), sequence, &payload)?;
        let mut out = BytesMut::with_capacity(HEADER_BYTES + payload.len());
        header.write(&mut out);
        out.put_slice(&payload);
        Ok(out.freeze())
    }
}

/// Frame received from the peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedFrame {
    /// Sequence number of the frame. A response has the sequence number of its request.
    pub sequence: u64,
    /// Decoded message.
    pub frame: Frame,
}

/// Incremental decoder of frames. After an error, it keeps returning the same error, because it cannot find
/// the start of the next frame.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Appends received bytes. The caller removes all complete frames before it appends more bytes, which
    /// bounds the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next frame. Returns `None` if the next frame is incomplete.
    ///
    /// # Errors
    /// Returns the reason for which the bytes are not a valid frame. Every later call returns the same error.
    pub fn next_frame(&mut self) -> Result<Option<ReceivedFrame>, FrameError> {
        let Some(header) = FrameHeader::parse(&self.buffer)? else { return Ok(None) };
        let frame_bytes = HEADER_BYTES + header.payload_bytes;
        let Some(payload) = self.buffer.get(HEADER_BYTES..frame_bytes) else {
            // Reserve the whole frame at once, so that a long snapshot is not copied repeatedly while it
            // arrives.
            self.buffer.reserve(frame_bytes - self.buffer.len());
            return Ok(None);
        };
        let frame = decode_frame(&header, payload)?;
        self.buffer.advance(frame_bytes);
        Ok(Some(ReceivedFrame { sequence: header.sequence, frame }))
    }

    /// Checks at the end of the input that no frame is incomplete.
    ///
    /// # Errors
    /// Returns [`FrameError::Truncated`] if the input ends within a frame.
    pub fn finish(&self) -> Result<(), FrameError> {
        if self.buffer.is_empty() { Ok(()) } else { Err(FrameError::Truncated) }
    }
}

fn decode_frame(header: &FrameHeader, payload: &[u8]) -> Result<Frame, FrameError> {
    if !header.checksum_matches(payload) {
        return Err(FrameError::ChecksumMismatch);
    }
    FrameKind::from_number(header.kind)
        .and_then(|kind| Frame::decode_payload(kind, Bytes::copy_from_slice(payload)))
        .ok_or(FrameError::Malformed { kind: header.kind })
}

#[cfg(test)]
#[path = "../../tests/unit/frame_codec.rs"]
mod tests;
