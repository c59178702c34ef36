//! Reads the body of a request, within limits on its size and on the time to receive it.

use std::time::Duration;

use bytes::Bytes;
use curlewusher_core::permission::READ_TIMEOUT;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::connection::{Connection, ConnectionState};
use super::error::RequestError;
use crate::http_body::{BodyError, read_to_end};

/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Time between the limit for a complete body and the read timeout of its connection. It leaves time to send
/// the response with status 408.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Reads a body to its end. The connection then enters the state [`ConnectionState::Busy`].
pub async fn read_body(incoming: Incoming, connection: &Connection) -> Result<Bytes, RequestError> {
    if incoming.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    let time_left = (READ_TIMEOUT - RESPONSE_MARGIN).saturating_sub(connection.request_age());
    match timeout(time_left, read_to_end(incoming, MAX_BODY_BYTES)).await {
        Ok(Ok(body)) => {
            connection.enter(ConnectionState::Busy);
            Ok(body)
        }
        Ok(Err(BodyError::TooLong { .. })) => Err(RequestError::BodyTooLarge),
        Ok(Err(BodyError::Unreadable(error))) => Err(RequestError::UnreadableBody(error)),
        Err(_) => Err(RequestError::BodyTimedOut),
    }
}
