//! Builders for the HTTP responses of this node.

use std::io::{self, Write};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ALLOW, CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::error::RequestError;
use crate::dispatch::JobResponse;
use crate::http_body::read_to_end;
use crate::lifecycle::Phase;

/// Media type of the metrics.
const OPENMETRICS_MEDIA_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// A response with its complete body.
pub type HttpResponse = Response<Full<Bytes>>;

/// Builds a response with this status and body.
pub fn with_status(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Builds a response with status 503 and Retry-After. If the duration is 0, there is no advice, and the
/// header is omitted because it would request an immediate retry.
pub fn rejected(retry_after: Duration) -> HttpResponse {
    let mut response = with_status(StatusCode::SERVICE_UNAVAILABLE, "deferred: come again later\n");
    if !retry_after.is_zero()
        && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
    {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Builds the response to a job. Returns an error if the client should not have sent the request.
pub fn from_job_response(job_response: JobResponse) -> Result<HttpResponse, RequestError> {
    match job_response {
        JobResponse::Served(result) => Ok(with_status(StatusCode::OK, result)),
        JobResponse::Rejected { retry_after } => Ok(rejected(retry_after)),
        JobResponse::Failed => Ok(with_status(StatusCode::BAD_GATEWAY, "failed: it may have run\n")),
        JobResponse::Duplicate => Err(RequestError::DuplicateJob),
    }
}

/// Builds the response to a request that is not served. The body is the error message on one line.
pub fn from_error(error: &RequestError) -> HttpResponse {
    with_status(error.status(), format!("{error}\n"))
}

/// Builds the response to a readiness check of the load balancer: whether this node accepts new clients.
pub fn readiness(phase: Phase) -> HttpResponse {
    if phase.accepts_new_clients() {
        with_status(StatusCode::OK, "ready\n")
    } else {
        with_status(StatusCode::SERVICE_UNAVAILABLE, format!("{phase}\n"))
    }
}

/// Builds the response with all metrics, given in their text format.
pub fn metrics(text: String) -> HttpResponse {
    let mut response = with_status(StatusCode::OK, text);
    response.headers_mut().insert(CONTENT_TYPE, OPENMETRICS_MEDIA_TYPE);
    response
}

/// Builds a response with status 405 that names the allowed method of the path.
pub fn method_not_allowed(allowed: &'static str) -> HttpResponse {
    let mut response = with_status(StatusCode::METHOD_NOT_ALLOWED, "not by this method\n");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

/// Tells the client to close the connection after this response.
pub fn set_connection_close(response: &mut HttpResponse) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Writes the response to a request whose socket was sent by the peer process of this node. It is the last
/// response on that connection.
pub async fn write_last_response(stream: &mut TcpStream, response: HttpResponse) -> io::Result<()> {
    let (parts, body) = response.into_parts();
    let body = read_to_end(body, usize::MAX).await.map_err(io::Error::other)?;
    let mut message = Vec::new();
    write!(message, "HTTP/1.1 {}\r\n", parts.status)?;
    for (name, value) in &parts.headers {
        write!(message, "{name}: {}\r\n", value.to_str().unwrap_or_default())?;
    }
    write!(message, "content-length: {}\r\nconnection: close\r\n\r\n", body.len())?;
    message.extend_from_slice(&body);
    stream.write_all(&message).await
}
