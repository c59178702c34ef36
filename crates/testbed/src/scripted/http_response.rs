//! Responses of a scripted node.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};

/// Builds a response whose body is `text`.
pub(super) fn build_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
