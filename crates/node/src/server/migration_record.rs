//! Serialized form in which a job migrates from one process of a node to the other: the length of the record
//! in four bytes, big-endian; the record in JSON; the body of the request.
//!
//! The peer process may run another version, so the format must not change.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::header::HeaderValue;
use serde::{Deserialize, Serialize};

use crate::dispatch::JobMigration;
use crate::upstream::RequestPayload;

/// Size in bytes of the length field in front of the record.
const LENGTH_PREFIX_BYTES: usize = 4;

/// A job and the head of its request.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct MigrationRecord {
    #[serde(rename = "moved")]
    migration: JobMigration,
    method: String,
    path: String,
    #[serde(rename = "key")]
    idempotency_key: Option<String>,
    content_type: Option<String>,
}

/// Encodes a job and its request. Returns `None` if a header is not ASCII text, since such a header cannot be
/// represented in the record.
pub fn encode(migration: &JobMigration, payload: &RequestPayload) -> Option<Bytes> {
    let record = MigrationRecord {
        migration: migration.clone(),
        method: payload.method.to_string(),
        path: payload.path.to_string(),
        idempotency_key: header_to_text(payload.idempotency_key.as_ref())?,
        content_type: header_to_text(payload.content_type.as_ref())?,
    };
    let record = serde_json::to_vec(&record).ok()?;
    let mut bytes = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + record.len() + payload.body.len());
    bytes.put_u32(u32::try_from(record.len()).ok()?);
    bytes.put_slice(&record);
    bytes.put_slice(&payload.body);
    Some(bytes.freeze())
}

/// Decodes a job and its request. The body shares the memory of `bytes`. Returns `None` if `bytes` are
/// malformed.
pub fn decode(bytes: &Bytes) -> Option<(JobMigration, RequestPayload)> {
    let mut rest = bytes.clone();
    let record_bytes = rest.try_get_u32().ok()? as usize;
    if record_bytes > rest.len() {
        return None;
    }
    let record: MigrationRecord = serde_json::from_slice(&rest.split_to(record_bytes)).ok()?;
    let payload = RequestPayload {
        method: record.method.parse().ok()?,
        path: record.path.parse().ok()?,
        request_id: HeaderValue::from_str(record.migration.request_id()).ok()?,
        idempotency_key: text_to_header(record.idempotency_key)?,
        content_type: text_to_header(record.content_type)?,
        body: rest,
    };
    Some((record.migration, payload))
}

/// Converts an optional header to text. Returns `None` if the header is present but not ASCII text.
fn header_to_text(value: Option<&HeaderValue>) -> Option<Option<String>> {
    value.map(|value| value.to_str().map(str::to_owned)).transpose().ok()
}

/// Converts an optional text to a header. Returns `None` if the text is present but not a valid header value.
fn text_to_header(text: Option<String>) -> Option<Option<HeaderValue>> {
    text.map(|text| HeaderValue::from_str(&text)).transpose().ok()
}
