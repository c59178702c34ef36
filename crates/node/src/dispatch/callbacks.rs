//! Which attempt a worker's callback concerns, and what it means for that attempt.
//!
//! Workers repeat a callback until they read an answer to it. A repeat of the callback that ended an earlier
//! attempt at the same worker must not end a later attempt there that the worker has not yet accepted.

use curlewusher_core::Outcome;

use super::attempts::{Attempt, CallbackState};

/// Whether a callback may repeat an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Repetition {
    /// No equal callback has ended an earlier attempt.
    Excluded,
    /// An equal callback has ended an earlier attempt at the same worker.
    Possible,
}

/// The attempt that a callback concerns.
pub(super) struct CallbackTarget {
    /// Position among the job's attempts.
    pub(super) number: u32,
    /// Whether the callback may repeat the one that ended an earlier attempt at the same worker.
    pub(super) repetition: Repetition,
}

/// What a callback means for its attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CallbackEffect {
    /// Nothing: it is a repeat, or has arrived too late.
    Ignored,
    /// The attempt has started to run.
    Started,
    /// This share of the attempt is done.
    Progressed(f64),
    /// Either this attempt has ended or the callback repeats the one that ended the attempt before it at this
    /// worker. Since this attempt may be running, it is cancelled before its job is sent anywhere else.
    Ambiguous,
    /// The attempt is over.
    Ended(Outcome),
}

/// Finds the attempt that a callback concerns: the latest at that worker that has not ended. None where there
/// is no such attempt, or where the callback can only be a repeat of one for an earlier attempt.
pub(super) fn find_target(
    attempts: &[Attempt],
    worker_name: &str,
    callback: &CallbackState,
) -> Option<CallbackTarget> {
    let position =
        attempts.iter().rposition(|attempt| &*attempt.worker_name == worker_name && !attempt.has_ended())?;
    let may_be_repeat = attempts[..position].iter().any(|earlier| {
        &*earlier.worker_name == worker_name && earlier.last_callback.as_ref() == Some(callback)
    });
    let repetition = if may_be_repeat { Repetition::Possible } else { Repetition::Excluded };
    let is_stale = may_be_repeat && !attempts[position].accepted;
    (!is_stale).then_some(CallbackTarget { number: position as u32, repetition })
}

/// What a callback means for the attempt that [`find_target`] has found.
pub(super) fn interpret(
    attempt: &Attempt,
    callback: &CallbackState,
    repetition: Repetition,
) -> CallbackEffect {
    match callback {
        // A start of an attempt that is being cancelled must not lead to the cancellation of the one that
        // replaces it.
        CallbackState::Started | CallbackState::Running(_) if attempt.is_being_cancelled() => {
            CallbackEffect::Ignored
        }
        CallbackState::Failed | CallbackState::Returned | CallbackState::Lost
            if repetition == Repetition::Possible =>
        {
            CallbackEffect::Ambiguous
        }
        CallbackState::Started => CallbackEffect::Started,
        // A repeat that arrives late must not make the attempt look slower than it is.
        CallbackState::Running(share) if *share <= attempt.progress => CallbackEffect::Ignored,
        CallbackState::Running(share) => CallbackEffect::Progressed(*share),
        CallbackState::Done(_) => CallbackEffect::Ended(Outcome::Done),
        CallbackState::Failed => CallbackEffect::Ended(Outcome::Error),
        CallbackState::Returned => CallbackEffect::Ended(Outcome::Rejected),
        CallbackState::Lost => CallbackEffect::Ended(Outcome::Lost),
    }
}
