//! Encoding of frames, and a decoder for bytes that arrive in pieces of any size.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::frame::error::FrameError;
use crate::frame::header::{FrameHeader, HEADER_BYTES};
use crate::frame::kind::FrameKind;
use crate::frame::message::Frame;

impl Frame {
    /// Encodes the frame under a sequence number, for a response that of its request.
    ///
    /// # Errors
    /// `TooLong` if the payload is longer than its kind allows.
    pub fn encode(&self, sequence: u64) -> Result<Bytes, FrameError> {
        let payload = self.encode_payload();
        let header = FrameHeader::for_payload(self.kind().number(), sequence, &payload)?;
        let mut out = BytesMut::with_capacity(HEADER_BYTES + payload.len());
        header.write(&mut out);
        out.put_slice(&payload);
        Ok(out.freeze())
    }
}

/// A frame that was received from the other process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedFrame {
    /// Sequence number of the request; a response carries that of the request it answers.
    pub sequence: u64,
    /// The message.
    pub frame: Frame,
}

/// Decodes frames. After an error it returns the same error again, since what follows has no known beginning.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Appends bytes that have arrived. The caller removes all frames before it feeds more, which bounds
    /// the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next frame; `None` if more bytes must arrive first.
    ///
    /// # Errors
    /// Says why the bytes are no frame, and the same again on every later call.
    pub fn next_frame(&mut self) -> Result<Option<ReceivedFrame>, FrameError> {
        let Some(header) = FrameHeader::parse(&self.buffer)? else { return Ok(None) };
        let frame_bytes = HEADER_BYTES + header.payload_bytes;
        let Some(payload) = self.buffer.get(HEADER_BYTES..frame_bytes) else {
            // Reserved at once, so that a long snapshot is not moved again and again while it arrives.
            self.buffer.reserve(frame_bytes - self.buffer.len());
            return Ok(None);
        };
        let frame = decode_frame(&header, payload)?;
        self.buffer.advance(frame_bytes);
        Ok(Some(ReceivedFrame { sequence: header.sequence, frame }))
    }

    /// Ends the input.
    ///
    /// # Errors
    /// `Truncated` if that is within a frame.
    pub fn finish(&self) -> Result<(), FrameError> {
        if self.buffer.is_empty() { Ok(()) } else { Err(FrameError::Truncated) }
    }
}

fn decode_frame(header: &FrameHeader, payload: &[u8]) -> Result<Frame, FrameError> {
    if !header.matches(payload) {
        return Err(FrameError::ChecksumMismatch);
    }
    FrameKind::from_number(header.kind)
        .and_then(|kind| Frame::decode_payload(kind, Bytes::copy_from_slice(payload)))
        .ok_or(FrameError::Malformed { kind: header.kind })
}

#[cfg(test)]
#[path = "../../tests/unit/frame_codec.rs"]
mod tests;
