//! Reads HTTP bodies. The memory that a body occupies is bounded by its length, regardless of the pieces in
//! which it arrives.
//!
//! A frame of a [`Body`] keeps the whole read buffer alive from which it was cut, even if the frame has a
//! single byte. No frame may therefore outlive its own poll: each is copied or dropped before the next one is
//! read. For this reason `BodyExt::collect`, which keeps all frames, is not allowed in this crate
//! (`clippy.toml`).

use std::error::Error;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Reason for which a body could not be read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than the maximum.
    #[error("the body is over {max_bytes} bytes")]
    TooLong {
        /// Maximum length, in bytes.
        max_bytes: usize,
    },
    /// The connection failed, or the transfer encoding of the body is invalid.
    #[error(transparent)]
    Unreadable(Box<dyn Error + Send + Sync>),
}

/// Reads a body of up to `max_bytes` to its end. The result occupies as much memory as it has bytes.
///
/// # Errors
/// The body is longer, or it cannot be read.
pub async fn read_to_end<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    // An exact allocation leaves nothing unused, and its pages use no memory before their bytes arrive.
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut received = Vec::with_capacity(announced_bytes.min(max_bytes));
    for_each_piece(body, max_bytes, |piece| received.extend_from_slice(piece)).await?;
    Ok(Bytes::from(received.into_boxed_slice()))
}

/// Reads a body of up to `max_bytes` to its end and discards it.
///
/// # Errors
/// The body is longer, or it cannot be read.
pub async fn discard<B>(body: B, max_bytes: usize) -> Result<(), BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    for_each_piece(body, max_bytes, |_| ()).await
}

async fn for_each_piece<B>(
    mut body: B,
    max_bytes: usize,
    mut handle_piece: impl FnMut(&[u8]),
) -> Result<(), BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut bytes_left = max_bytes;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Unreadable(error.into()))?;
        // Trailers are dropped.
        let Ok(piece) = frame.into_data() else { continue };
        bytes_left = bytes_left.checked_sub(piece.len()).ok_or(BodyError::TooLong { max_bytes })?;
        handle_piece(&piece);
    }
    Ok(())
}
