//! The body of a worker's callback: a JSON object that reports the progress or the end of a delivery attempt.
//! Parsing does not look for the job that it reports on.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

use crate::dispatch::CallbackState;

/// Why a callback cannot be used; the worker's own log shows what it sent.
#[derive(Debug, Error)]
pub enum CallbackError {
    /// The body is not JSON, or a field is missing, unknown in its value or of another type.
    #[error("the call cannot be read: {0}")]
    Unreadable(#[source] serde_json::Error),
    /// State `running` comes with the share of the work that is done, from 0 to 1.
    #[error("field share is missing or no share")]
    InvalidShare,
    /// State `done` comes with a result.
    #[error("field result is missing")]
    MissingResult,
    /// The result is a JSON string with an invalid escape.
    #[error("field result: {0}")]
    InvalidResult(#[source] serde_json::Error),
}

/// A worker's report on a job.
pub struct CallbackReport {
    /// X-Request-Id of the job.
    pub request_id: String,
    /// Name of the worker, as in the endpoint list.
    pub worker_name: String,
    /// What the worker reports.
    pub state: CallbackState,
}

/// The JSON form of a callback. serde's errors name this type, and they are part of the 400 answer.
#[derive(Deserialize)]
struct Callback<'a> {
    id: String,
    from: String,
    state: State,
    share: Option<f64>,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
}

/// The states that a callback can name.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Started,
    Running,
    Done,
    Failed,
    Returned,
    Lost,
}

impl CallbackReport {
    /// Parses the body of a callback. A result without escapes shares the memory of the body.
    pub fn parse(body: &Bytes) -> Result<CallbackReport, CallbackError> {
        let fields: Callback = serde_json::from_slice(body).map_err(CallbackError::Unreadable)?;
        let state = match fields.state {
            State::Started => CallbackState::Started,
            State::Running => CallbackState::Running(parse_share(fields.share)?),
            State::Done => CallbackState::Done(parse_result(body, fields.result)?),
            State::Failed => CallbackState::Failed,
            State::Returned => CallbackState::Returned,
            State::Lost => CallbackState::Lost,
        };
        Ok(CallbackReport { request_id: fields.id, worker_name: fields.from, state })
    }
}

/// The share of the work that is done, from 0 to 1.
fn parse_share(share: Option<f64>) -> Result<f64, CallbackError> {
    share.filter(|share| (0.0..=1.0).contains(share)).ok_or(CallbackError::InvalidShare)
}

/// The bytes that the client gets: the text of a JSON string, any other value as it stands.
fn parse_result(body: &Bytes, result: Option<&RawValue>) -> Result<Bytes, CallbackError> {
    let json = result.ok_or(CallbackError::MissingResult)?.get();
    match json.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')) {
        Some(text) if !text.contains('\\') => Ok(body.slice_ref(text.as_bytes())),
        Some(_) => {
            serde_json::from_str::<String>(json).map(Bytes::from).map_err(CallbackError::InvalidResult)
        }
        None => Ok(body.slice_ref(json.as_bytes())),
    }
}
