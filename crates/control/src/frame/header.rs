//! Header of a frame.
//!
//! | offset | bytes | field |
//! | --- | --- | --- |
//! | 0 | 4 | magic number `CWUS` |
//! | 4 | 1 | version of the encoding |
//! | 5 | 1 | number of the kind |
//! | 6 | 8 | sequence number; a response has the sequence number of its request |
//! | 14 | 4 | length of the payload in bytes |
//! | 18 | 4 | CRC-32 of the kind, the sequence number and the payload |
//!
//! The payload starts at offset 22. All integers are big-endian.

use bytes::{Buf, BufMut, BytesMut};

use crate::frame::error::FrameError;
use crate::frame::kind::max_payload_bytes;

/// Version of the encoding. Any change to the encoding of a header or a payload requires a new version.
pub const VERSION: u8 = 1;
/// Length of a header in bytes.
pub(super) const HEADER_BYTES: usize = MAGIC.len() + 1 + 1 + 8 + 4 + 4;

const MAGIC: &[u8; 4] = b"CWUS";
const KIND_OFFSET: usize = MAGIC.len() + 1;

/// Header fields that differ between frames.
#[derive(Clone, Copy, Debug)]
pub(super) struct FrameHeader {
    pub kind: u8,
    pub sequence: u64,
    pub payload_bytes: usize,
    pub checksum: u32,
}

impl FrameHeader {
    /// Returns the header for a payload, or `TooLong` if the payload exceeds the limit of its kind.
    pub(super) fn for_payload(kind: u8, sequence: u64, payload: &[u8]) -> Result<FrameHeader, FrameError> {
        check_payload_length(kind, payload.len())?;
        Ok(FrameHeader {
            kind,
            sequence,
            payload_bytes: payload.len(),
            checksum: checksum(kind, sequence, payload),
        })
    }

    /// Parses the header at the start of `bytes`. Returns `None` if the header is incomplete. A wrong magic
    /// number or version is an error as soon as its first wrong byte has arrived.
    pub(super) fn parse(bytes: &[u8]) -> Result<Option<FrameHeader>, FrameError> {
        check_magic(bytes)?;
        check_version(bytes)?;
        if bytes.len() < HEADER_BYTES {
            return Ok(None);
        }
        let mut fields = &bytes[KIND_OFFSET..HEADER_BYTES];
        let header = FrameHeader {
            kind: fields.get_u8(),
            sequence: fields.get_u64(),
            payload_bytes: fields.get_u32() as usize,
            checksum: fields.get_u32(),
        };
        check_payload_length(header.kind, header.payload_bytes)?;
        Ok(Some(header))
    }

    /// Appends the encoded header to `out`.
    pub(super) fn write(&self, out: &mut BytesMut) {
        out.put_slice(MAGIC);
        out.put_u8(VERSION);
        out.put_u8(self.kind);
        out.put_u64(self.sequence);
        out.put_u32(self.payload_bytes as u32);
        out.put_u32(self.checksum);
    }

    /// Returns whether the checksum in this header is correct for the payload.
    pub(super) fn checksum_matches(&self, payload: &[u8]) -> bool {
        checksum(self.kind, self.sequence, payload) == self.checksum
    }
}

fn check_magic(bytes: &[u8]) -> Result<(), FrameError> {
    let present = bytes.len().min(MAGIC.len());
    if bytes[..present] != MAGIC[..present] {
        return Err(FrameError::InvalidMagic);
    }
    Ok(())
}

fn check_version(bytes: &[u8]) -> Result<(), FrameError> {
    match bytes.get(MAGIC.len()) {
        Some(&theirs) if theirs != VERSION => Err(FrameError::OtherVersion { theirs, ours: VERSION }),
        Some(_) | None => Ok(()),
    }
}

fn check_payload_length(kind: u8, length: usize) -> Result<(), FrameError> {
    if length > max_payload_bytes(kind) {
        return Err(FrameError::TooLong { length });
    }
    Ok(())
}

/// Computes the checksum of a frame: the CRC-32 of its kind, its sequence number and its payload.
pub(super) fn checksum(kind: u8, sequence: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(&sequence.to_be_bytes());
    hasher.update(payload);
    hasher.finalize()
}
