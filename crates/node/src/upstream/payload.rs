//! What passes through from a client to a worker unchanged, and the headers of the request that carries it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};

/// The client's id of the job.
pub const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How long the sender waits for the result, in seconds.
pub const X_DEADLINE: HeaderName = HeaderName::from_static("x-deadline");
/// By which a worker recognises another attempt of the same job.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A request to a worker, which may be sent several times.
pub type UpstreamRequest = Request<Full<Bytes>>;

/// A client's request as it is sent to workers.
pub struct RequestPayload {
    /// The method.
    pub method: Method,
    /// Path and query, without scheme and host.
    pub path: Uri,
    /// The client's id of the job.
    pub request_id: HeaderValue,
    /// The client's `Idempotency-Key`.
    pub idempotency_key: Option<HeaderValue>,
    /// The type of the body.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

impl RequestPayload {
    /// The request of an attempt at the worker at `address`. [`set_time_left`] completes it when it is sent.
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

/// States in a request how long its sender will wait. To be called when there is a connection: until then time passes.
pub fn set_time_left(request: &mut UpstreamRequest, time_left: Duration) {
    // Whole milliseconds, rounded down: never more than is left.
    let milliseconds = time_left.as_millis();
    let seconds = format!("{}.{:03}", milliseconds / 1000, milliseconds % 1000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        request.headers_mut().insert(X_DEADLINE, value);
    }
}
