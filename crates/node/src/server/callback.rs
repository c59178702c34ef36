//! Body of a worker's callback: a JSON object that reports the progress or the end of an attempt. Parsing
//! does not look up the job of the callback.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

use crate::dispatch::CallbackState;

/// Errors of [`CallbackReport::parse`]. The messages do not repeat the callback, since the worker's own log
/// shows what it sent.
#[derive(Debug, Error)]
pub enum CallbackError {
    /// The body is not valid JSON, a field is missing or has the wrong type, or the state is unknown.
    #[error("the call cannot be read: {0}")]
    Unreadable(#[source] serde_json::Error),
    /// State `running` requires the completed fraction of the work in the field `share`, from 0 to 1.
    #[error("field share is missing or no share")]
    InvalidShare,
    /// State `done` requires a result.
    #[error("field result is missing")]
    MissingResult,
    /// The result is a JSON string with an invalid escape sequence.
    #[error("field result: {0}")]
    InvalidResult(#[source] serde_json::Error),
}

/// A worker's report on an attempt.
pub struct CallbackReport {
    /// X-Request-Id of the job.
    pub request_id: String,
    /// Name of the worker in the endpoint list.
    pub worker_name: String,
    /// Reported state of the attempt.
    pub state: CallbackState,
}

/// JSON representation of a callback. The name of this type is part of serde's error messages, which are sent
/// in the response with status 400.
#[derive(Deserialize)]
struct Callback<'a> {
    id: String,
    from: String,
    state: State,
    share: Option<f64>,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
}

/// Values of the field `state` of a callback.
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
    /// Parses the body of a callback. A result without escape sequences shares the memory of the body.
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

/// Returns the completed fraction of the work, from 0 to 1.
fn parse_share(share: Option<f64>) -> Result<f64, CallbackError> {
    share.filter(|share| (0.0..=1.0).contains(share)).ok_or(CallbackError::InvalidShare)
}

/// Returns the body of the client's response: the content of a JSON string, or the JSON text of any other
/// value.
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
