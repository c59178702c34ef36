//! Reads the body of a request, within its bounds of size and time.

use std::time::Duration;

use bytes::Bytes;
use curlewusher_core::permission::READ_TIMEOUT;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::connection::{Connection, ConnectionState};
use super::error::RequestError;

/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// A body must be complete this long before the read timeout of its connection, which leaves time for the 408.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Reads a body to its end; the connection is busy from then on.
pub async fn read_body(incoming: Incoming, connection: &Connection) -> Result<Bytes, RequestError> {
    if incoming.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    let time_left = (READ_TIMEOUT - RESPONSE_MARGIN).saturating_sub(connection.request_age());
    match timeout(time_left, Limited::new(incoming, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(body)) => {
            connection.enter(ConnectionState::Busy);
            Ok(body.to_bytes())
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RequestError::BodyTooLarge),
        Ok(Err(error)) => Err(RequestError::UnreadableBody(error)),
        Err(_) => Err(RequestError::BodyTimedOut),
    }
}
