//! Admin commands: what they name, and whether their answers are right and in time.

use curlewusher_model::{TimeSpan, Timestamp};

use super::violation::{Answer, OperationsViolation};
use crate::event_log::ExpectedAnswer;

/// An admin command is answered within this; a disabled worker is out of use this long after the command at the latest.
pub(super) const ANSWER_WITHIN: TimeSpan = TimeSpan::from_secs(1);

/// An admin command that has ended.
#[derive(Debug)]
pub(super) struct AdminCommand<'log> {
    pub(super) node: usize,
    pub(super) line: &'log str,
    pub(super) expected: ExpectedAnswer,
    pub(super) answer: Option<&'log str>,
    pub(super) begun_at: Timestamp,
    pub(super) ended_at: Timestamp,
}

impl<'log> AdminCommand<'log> {
    /// The first word of the command.
    pub(super) fn verb(&self) -> &'log str {
        self.line.split_whitespace().next().unwrap_or_default()
    }

    /// The worker that the command names, if it is one of the testbed's.
    pub(super) fn worker(&self) -> Option<usize> {
        self.line.split_whitespace().nth(1)?.strip_prefix("w-")?.parse().ok()
    }

    pub(super) fn took(&self) -> TimeSpan {
        self.ended_at - self.begun_at
    }

    pub(super) fn is_confirmed(&self) -> bool {
        self.answer.is_some_and(|answer| answer.starts_with("+OK"))
    }

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

    /// What is wrong with the time of the answer, if anything.
    pub(super) fn late_answer(&self, slack: TimeSpan) -> Option<OperationsViolation<'log>> {
        let (node, command, took) = (self.node, self.line, self.took());
        let is_late = self.answer.is_some() && took > ANSWER_WITHIN + slack;
        is_late.then_some(OperationsViolation::LateAnswer { node, command, took })
    }

    /// What is wrong with the answer itself, if anything.
    pub(super) fn unexpected_answer(&self) -> Option<OperationsViolation<'log>> {
        let AdminCommand { node, line: command, expected, answer, .. } = *self;
        let answer = Answer(answer);
        let violation = OperationsViolation::UnexpectedAnswer { node, command, answer, expected };
        (!self.has_expected_answer()).then_some(violation)
    }
}
