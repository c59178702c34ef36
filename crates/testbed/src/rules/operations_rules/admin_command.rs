//! Admin commands: the worker that a command names, and checks of the content and time of its response.

use curlewusher_model::{TimeSpan, Timestamp};

use super::violation::{CommandResponse, OperationsViolation};
use crate::event_log::ExpectedResponse;

/// Maximum time from the start of an admin command to its response. It is also the latest time after a
/// DISABLE at which the worker counts as disabled.
pub(super) const RESPONSE_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// Admin command that was answered or failed.
#[derive(Debug)]
pub(super) struct AdminCommand<'log> {
    pub(super) node: usize,
    /// Text of the command.
    pub(super) line: &'log str,
    pub(super) expected: ExpectedResponse,
    /// Response of the node, or `None` if the command failed.
    pub(super) response: Option<&'log str>,
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
        self.response.is_some_and(|response| response.starts_with("+OK"))
    }

    /// Returns whether the node answered `-ERR`.
    pub(super) fn is_rejected(&self) -> bool {
        self.response.is_some_and(|response| response.starts_with("-ERR"))
    }

    fn has_expected_response(&self) -> bool {
        match self.expected {
            ExpectedResponse::Yes => self.is_confirmed(),
            ExpectedResponse::No => self.is_rejected(),
            ExpectedResponse::Either => self.is_confirmed() || self.is_rejected(),
        }
    }

    /// Returns a violation if the node answered too late.
    pub(super) fn check_response_time(&self, tolerance: TimeSpan) -> Option<OperationsViolation<'log>> {
        let (node, command, took) = (self.node, self.line, self.duration());
        let is_late = self.response.is_some() && took > RESPONSE_TIMEOUT + tolerance;
        is_late.then_some(OperationsViolation::LateResponse { node, command, took })
    }

    /// Returns a violation if the response is missing or is not the expected one.
    pub(super) fn check_response(&self) -> Option<OperationsViolation<'log>> {
        let AdminCommand { node, line: command, expected, response, .. } = *self;
        let response = CommandResponse(response);
        let violation = OperationsViolation::UnexpectedResponse { node, command, response, expected };
        (!self.has_expected_response()).then_some(violation)
    }
}
