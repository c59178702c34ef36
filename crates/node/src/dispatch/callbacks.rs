//! Matching of worker callbacks to attempts, and interpretation of callbacks.
//!
//! Workers redeliver a callback until they read a response to it. A redelivery of the callback that ended an
//! earlier attempt at the same worker must not end a later attempt there that the worker has not yet
//! accepted.

use curlewusher_core::Outcome;

use super::attempts::{Attempt, CallbackState};

/// Possibility that a callback is a redelivery of an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Redelivery {
    /// No equal callback has ended an earlier attempt at the same worker.
    Excluded,
    /// An equal callback has ended an earlier attempt at the same worker.
    Possible,
}

/// Attempt to which a callback applies.
pub(super) struct CallbackTarget {
    /// Position among the attempts of the job.
    pub(super) number: u32,
    /// Possibility that the callback is a redelivery of the one that ended an earlier attempt at the same
    /// worker.
    pub(super) redelivery: Redelivery,
}

/// Effect of a callback on its attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CallbackEffect {
    /// No effect: the callback is a redelivery or has arrived too late.
    Ignored,
    /// The attempt has started to run.
    Started,
    /// This fraction of the attempt is done.
    Progressed(f64),
    /// Either this attempt has ended, or the callback is a redelivery of the one that ended an earlier
    /// attempt at this worker. Since this attempt may be running, it is cancelled before its job is sent
    /// elsewhere.
    Ambiguous,
    /// The attempt has ended with this outcome.
    Ended(Outcome),
}

/// Finds the attempt to which a callback applies: the latest attempt at that worker that has not ended.
/// Returns `None` if there is no such attempt, or if the callback can only be a redelivery of one for an
/// earlier attempt.
pub(super) fn find_target(
    attempts: &[Attempt],
    worker_name: &str,
    callback: &CallbackState,
) -> Option<CallbackTarget> {
    let position =
        attempts.iter().rposition(|attempt| &*attempt.worker_name == worker_name && !attempt.has_ended())?;
    let may_be_redelivery = attempts[..position].iter().any(|earlier| {
        &*earlier.worker_name == worker_name && earlier.last_callback.as_ref() == Some(callback)
    });
    let redelivery = if may_be_redelivery { Redelivery::Possible } else { Redelivery::Excluded };
    let is_stale = may_be_redelivery && !attempts[position].accepted;
    (!is_stale).then_some(CallbackTarget { number: position as u32, redelivery })
}

/// Interprets a callback for the attempt that [`find_target`] has found.
pub(super) fn interpret(
    attempt: &Attempt,
    callback: &CallbackState,
    redelivery: Redelivery,
) -> CallbackEffect {
    match callback {
        // A start of an attempt that is being cancelled must not lead to the cancellation of its replacement.
        CallbackState::Started | CallbackState::Running(_) if attempt.is_being_cancelled() => {
            CallbackEffect::Ignored
        }
        CallbackState::Failed | CallbackState::Returned | CallbackState::Lost
            if redelivery == Redelivery::Possible =>
        {
            CallbackEffect::Ambiguous
        }
        CallbackState::Started => CallbackEffect::Started,
        // A late redelivery must not make the attempt look slower than it is.
        CallbackState::Running(fraction) if *fraction <= attempt.progress => CallbackEffect::Ignored,
        CallbackState::Running(fraction) => CallbackEffect::Progressed(*fraction),
        CallbackState::Done(_) => CallbackEffect::Ended(Outcome::Done),
        CallbackState::Failed => CallbackEffect::Ended(Outcome::Error),
        CallbackState::Returned => CallbackEffect::Ended(Outcome::Rejected),
        CallbackState::Lost => CallbackEffect::Ended(Outcome::Lost),
    }
}
