//! Owns the reading of next hops' call-backs. It must never know which job one is for.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

use crate::dispatch::CallbackState;

/// Why a call-back cannot be used; the next hop's own log shows what it sent.
#[derive(Debug, Error)]
pub enum CallbackError {
    #[error("the call cannot be read: {0}")]
    Unreadable(serde_json::Error),
    #[error("field share is missing or no share")]
    DescriptorShare,
    #[error("field result is missing")]
    NoResult,
    #[error("field result: {0}")]
    Result(serde_json::Error),
}

/// What a next hop tells of a job.
#[derive(Deserialize)]
pub struct Callback<'a> {
    id: String,
    from: String,
    state: State,
    share: Option<f64>,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
}

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

impl Callback<'_> {
    /// The job's id, the next hop's name, and what it says.
    pub fn read(body: &Bytes) -> Result<(String, String, CallbackState), CallbackError> {
        let call: Callback = serde_json::from_slice(body).map_err(CallbackError::Unreadable)?;
        let word = match call.state {
            State::Started => CallbackState::Started,
            State::Running => match call.share.filter(|share| (0.0..=1.0).contains(share)) {
                Some(share) => CallbackState::Running(share),
                None => return Err(CallbackError::DescriptorShare),
            },
            State::Done => CallbackState::Done(unquoted(body, call.result.ok_or(CallbackError::NoResult)?)?),
            State::Failed => CallbackState::Failed,
            State::Returned => CallbackState::Returned,
            State::Lost => CallbackState::Lost,
        };
        Ok((call.id, call.from, word))
    }
}

/// The text of a result, as a part of the body that it came in where that has it without escapes.
fn unquoted(body: &Bytes, result: &RawValue) -> Result<Bytes, CallbackError> {
    let raw = result.get();
    match raw.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')) {
        Some(text) if !text.contains('\\') => Ok(body.slice_ref(text.as_bytes())),
        Some(_) => serde_json::from_str::<String>(raw).map(Bytes::from).map_err(CallbackError::Result),
        // A result that is no text is passed on as it stands.
        None => Ok(body.slice_ref(raw.as_bytes())),
    }
}
