//! Why a request is answered with an error: the status and the text of each answer.

use hyper::StatusCode;
use hyper::header::HeaderName;
use thiserror::Error;

use super::callback::CallbackError;

/// Why a request is not served. The text is the body of the answer, so that the sender of the request can correct
/// it.
#[derive(Debug, Error)]
pub enum RequestError {
    /// A header that the request needs.
    #[error("header {0} is missing")]
    MissingHeader(HeaderName),
    /// A header whose value is not text or out of its bounds.
    #[error("header {0} is malformed")]
    MalformedHeader(HeaderName),
    /// A header that may appear once; another server might use the other value.
    #[error("header {0} is repeated")]
    RepeatedHeader(HeaderName),
    /// X-Class names a class that the configuration does not have.
    #[error("header x-class names no class: {0}")]
    UnknownClass(String),
    /// X-Tenant names a tenant that the configuration does not have.
    #[error("header x-tenant names no tenant: {0}")]
    UnknownTenant(String),
    /// X-Extras requests fewer slots than one or more than any job can have.
    #[error("header x-extras asks for an impossible number of slots")]
    ImpossibleSlots,
    /// The path is missing or not ASCII.
    #[error("the path is malformed")]
    MalformedPath,
    /// The path and its query are longer than what is passed on.
    #[error("the path is too long")]
    PathTooLong,
    /// The body is longer than what is passed on.
    #[error("the body is over 64 KiB")]
    BodyTooLarge,
    /// The connection broke, or the body's encoding is invalid.
    #[error("the body cannot be read: {0}")]
    UnreadableBody(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The client was too slow.
    #[error("the body did not come in time")]
    BodyTimedOut,
    /// The body is no callback.
    #[error(transparent)]
    Callback(#[from] CallbackError),
    /// No resource has this path.
    #[error("nothing is here")]
    NotFound,
    /// A job of this id is not finished yet, here or at the other process of this node.
    #[error("a job of this x-request-id is in hand")]
    DuplicateJob,
    /// The dispatch task has ended before it answered the job.
    #[error("this node has ended")]
    JobAbandoned,
    /// The dispatch task has ended before it took the callback.
    #[error("this node has ended")]
    CallbackUndelivered,
}

impl RequestError {
    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::MissingHeader(_)
            | RequestError::MalformedHeader(_)
            | RequestError::RepeatedHeader(_)
            | RequestError::UnknownClass(_)
            | RequestError::UnknownTenant(_)
            | RequestError::ImpossibleSlots
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
