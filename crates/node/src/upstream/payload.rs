//! Parts of a client's request that reach the worker unchanged, and the headers of the request that carries
//! them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};

/// Header with the client's id of the job.
pub const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the time for which the sender waits for the result, in seconds.
pub const X_DEADLINE: HeaderName = HeaderName::from_static("x-deadline");
/// Header by which a worker recognises another attempt of the same job.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A request to a worker. Clones share the body, so that the request can be passed to another connection if
/// the first one closes before a byte was written.
pub type UpstreamRequest = Request<Full<Bytes>>;

/// A client's request as it is sent to workers.
pub struct RequestPayload {
    /// HTTP method of the client's request.
    pub method: Method,
    /// Path and query, without scheme and host.
    pub path: Uri,
    /// The client's id of the job.
    pub request_id: HeaderValue,
    /// `Idempotency-Key` of the client's request.
    pub idempotency_key: Option<HeaderValue>,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// Body of the client's request.
    pub body: Bytes,
}

impl RequestPayload {
    /// Builds the request of an attempt at the worker at `address`. [`set_deadline_header`] completes the
    /// request when it is sent.
    pub fn to_request(&self, address: SocketAddr) -> Result<UpstreamRequest, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.clone())
            .header(HOST, address.to_string())
            .header(X_REQUEST_ID, self.request_id.clone());
        if let Some(key) = &self.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY, key.clone());
        }
        if let Some(content_type) = &self.content_type {
            request = request.header(CONTENT_TYPE, content_type.clone());
        }
        request.body(Full::new(self.body.clone()))
    }
}

/// Sets the [`X_DEADLINE`] header to the time for which the sender will wait. Must be called only once there
/// is a connection, because time passes until then.
pub fn set_deadline_header(request: &mut UpstreamRequest, time_left: Duration) {
    // Rounds down to whole milliseconds: the header never states more than the time left.
    let milliseconds = time_left.as_millis();
    let seconds = format!("{}.{:03}", milliseconds / 1000, milliseconds % 1000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        request.headers_mut().insert(X_DEADLINE, value);
    }
}
