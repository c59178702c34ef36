//! Errors of requests, with the status and the text of each response.

use hyper::StatusCode;
use hyper::header::HeaderName;
use thiserror::Error;

use super::callback::CallbackError;

/// Reason for which a request is not served. The message is the body of the response, so that the sender can
/// correct the request.
#[derive(Debug, Error)]
pub enum RequestError {
    /// A required header is missing.
    #[error("header {0} is missing")]
    MissingHeader(HeaderName),
    /// The value of a header is not ASCII text or is out of range.
    #[error("header {0} is malformed")]
    MalformedHeader(HeaderName),
    /// A header that must appear at most once is repeated. Another server might use the other value.
    #[error("header {0} is repeated")]
    RepeatedHeader(HeaderName),
    /// X-Class names a class that is not configured.
    #[error("header x-class names no class: {0}")]
    UnknownClass(String),
    /// X-Tenant names a tenant that is not configured.
    #[error("header x-tenant names no tenant: {0}")]
    UnknownTenant(String),
    /// X-Extras requests less than one slot or more slots than the maximum of a job.
    #[error("header x-extras asks for an impossible number of slots")]
    SlotsOutOfRange,
    /// The path is missing or contains non-ASCII characters.
    #[error("the path is malformed")]
    MalformedPath,
    /// The path with its query is longer than the maximum that is forwarded to a worker.
    #[error("the path is too long")]
    PathTooLong,
    /// The body is larger than the maximum that is forwarded to a worker.
    #[error("the body is over 64 KiB")]
    BodyTooLarge,
    /// The connection failed, or the transfer encoding of the body is invalid.
    #[error("the body cannot be read: {0}")]
    UnreadableBody(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The client did not send the complete body in time.
    #[error("the body did not come in time")]
    BodyTimedOut,
    /// The body is not a valid callback.
    #[error(transparent)]
    Callback(#[from] CallbackError),
    /// No resource has the requested path.
    #[error("nothing is here")]
    NotFound,
    /// A job with the same id is still open, in this process or in the peer process of this node.
    #[error("a job of this x-request-id is in hand")]
    DuplicateJob,
    /// The dispatch task finished before it answered the job.
    #[error("this node has ended")]
    JobAbandoned,
    /// The dispatch task finished before it received the callback.
    #[error("this node has ended")]
    CallbackUndelivered,
}

impl RequestError {
    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::MissingHeader(_)
            | RequestError::MalformedHeader(_)
            | RequestError::RepeatedHeader(_)
            | RequestError::UnknownClass(_)
            | RequestError::UnknownTenant(_)
            | RequestError::SlotsOutOfRange
            | RequestError::MalformedPath
            | RequestError::UnreadableBody(_)
            | RequestError::Callback(_) => StatusCode::BAD_REQUEST,
            RequestError::PathTooLong => StatusCode::URI_TOO_LONG,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            RequestError::NotFound => StatusCode::NOT_FOUND,
            RequestError::DuplicateJob => StatusCode::CONFLICT,
            RequestError::JobAbandoned => StatusCode::BAD_GATEWAY,
            RequestError::CallbackUndelivered => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
