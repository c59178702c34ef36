//! Admin commands: the worker that a command names, and checks of the content and time of its answer.

use curlewusher_model::{TimeSpan, Timestamp};

use super::violation::{Answer, OperationsViolation};
use crate::event_log::ExpectedAnswer;

/// Maximum time from the start of an admin command to its answer. It is also the latest time after a DISABLE
/// at which the worker counts as disabled.
pub(super) const ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// Admin command that was answered or failed.
#[derive(Debug)]
pub(super) struct AdminCommand<'log> {
    pub(super) node: usize,
    /// Text of the command.
    pub(super) line: &'log str,
    pub(super) expected: ExpectedAnswer,
    /// Answer of the node, or `None` if the command failed.
    pub(super) answer: Option<&'log str>,
    pub(super) begun_at: Timestamp,
    pub(super) ended_at: Timestamp,
}

impl<'log> AdminCommand<'log> {
    /// Returns the first word of the command.
    pub(super) fn verb(&self) -> &'log str {
        self.line.split_whitespace().next().unwrap_or_default()
    }

    /// Returns the number of the worker that the command names, if its name is one that the testbed gives to
    /// workers.
    pub(super) fn worker(&self) -> Option<usize> {
        self.line.split_whitespace().nth(1)?.strip_prefix("w-")?.parse().ok()
    }

    /// Returns the time from the start of the command to its end.
    pub(super) fn duration(&self) -> TimeSpan {
        self.ended_at - self.begun_at
    }

    /// Returns whether the node answered `+OK`.
    pub(super) fn is_confirmed(&self) -> bool {
        self.answer.is_some_and(|answer| answer.starts_with("+OK"))
    }

    /// Returns whether the node answered `-ERR`.
    pub(super) fn is_rejected(&self) -> bool {
        self.answer.is_some_and(|answer| answer.starts_with("-ERR"))
    }

    fn has_expected_answer(&self) -> bool {
        match self.expected {
            ExpectedAnswer::Yes => self.is_confirmed(),
            ExpectedAnswer::No => self.is_rejected(),
            ExpectedAnswer::Either => self.is_confirmed() || self.is_rejected(),
        }
    }

    /// Returns a violation if the node answered too late.
    pub(super) fn check_answer_time(&self, tolerance: TimeSpan) -> Option<OperationsViolation<'log>> {
        let (node, command, took) = (self.node, self.line, self.duration());
        let is_late = self.answer.is_some() && took > ANSWER_TIMEOUT + tolerance;
        is_late.then_some(OperationsViolation::LateAnswer { node, command, took })
    }

    /// Returns a violation if the answer is missing or is not the expected one.
    pub(super) fn check_answer(&self) -> Option<OperationsViolation<'log>> {
        let AdminCommand { node, line: command, expected, answer, .. } = *self;
        let answer = Answer(answer);
        let violation = OperationsViolation::UnexpectedAnswer { node, command, answer, expected };
        (!self.has_expected_answer()).then_some(violation)
    }
}
