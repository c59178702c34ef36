//! How long a node may act on the endpoint list that it has.
//!
//! Where the list is sent on request only, a node counts as notified of a change
//! [`Settings::assumed_notified_after`] after the change was available to it, whether its polls succeeded or not, and
//! nothing may be sent to a draining worker later than 0.75 s after that. So the node keeps the moment up to which its
//! list is known to be current, and derives two limits from it:
//!
//! | time since the list was known to be current | the node |
//! | --- | --- |
//! | up to `assumed_notified_after` + 0.2 s | sends by the list |
//! | from then on ([`EndpointFreshness::is_stale`]) | decides on no new attempts: jobs wait in the queue |
//! | up to `assumed_notified_after` + 0.65 s ([`EndpointFreshness::send_by`]) | still writes attempts decided on earlier |

use crate::{Micros, Settings};

/// New attempts stop this long, in microseconds, after an unknown change would count as notified; the attempts
/// decided on before are on their way by [`SEND_GRACE`].
const DECISION_GRACE: Micros = 200_000;
/// No attempt is written later than this, in microseconds, after an unknown change would count as notified. The rule
/// is 0.75 s.
const SEND_GRACE: Micros = 650_000;
/// The service that discovery moved to counts as having had a change this much earlier, in microseconds.
const MOVE_ALLOWANCE: Micros = 2_000_000;

/// The moment up to which the endpoint list is known to be current, and the limits that follow from it.
pub(crate) struct EndpointFreshness {
    /// Whether the list is sent on request only and a change counts as notified without an answer.
    is_limited: bool,
    /// See [`Settings::assumed_notified_after`].
    assumed_notified_after: Micros,
    /// No change that this node does not know was available to it before this moment. None before the first
    /// event.
    current_as_of: Option<Micros>,
}

impl EndpointFreshness {
    pub(crate) fn new(settings: &Settings) -> Self {
        EndpointFreshness {
            is_limited: settings.endpoints_on_request && settings.assumed_notified_after > 0,
            assumed_notified_after: settings.assumed_notified_after,
            current_as_of: None,
        }
    }

    /// Takes the saved list that a process starts with as current; no effect after the first event.
    pub(crate) fn record_start(&mut self, now: Micros) {
        self.current_as_of.get_or_insert(now);
    }

    /// The list is current: the open watch says so.
    pub(crate) fn confirm(&mut self, now: Micros) {
        self.current_as_of = Some(now);
    }

    /// The list was current at least until then, because discovery was unavailable from then on.
    pub(crate) fn extend_to(&mut self, moment: Micros) {
        self.current_as_of = self.current_as_of.map(|at| at.max(moment));
    }

    /// A list that could not be parsed may contain any change, so every change counts as notified now.
    pub(crate) fn record_unreadable(&mut self, now: Micros) {
        self.limit_to(now.saturating_sub(self.assumed_notified_after));
    }

    /// Discovery moved: the new service may have had changes for [`MOVE_ALLOWANCE`].
    pub(crate) fn record_move(&mut self, now: Micros) {
        self.limit_to(now.saturating_sub(MOVE_ALLOWANCE));
    }

    /// Whether the list was known to be current less than `span` before `now`.
    pub(crate) fn was_current_within(&self, span: Micros, now: Micros) -> bool {
        self.current_as_of.is_some_and(|at| now < at + span)
    }

    /// Whether the list may be so old that nothing new may be sent by it.
    pub(crate) fn is_stale(&self, now: Micros) -> bool {
        let limit = |at| at + self.assumed_notified_after + DECISION_GRACE;
        self.is_limited && self.current_as_of.is_some_and(|at| now >= limit(at))
    }

    /// The moment before which an attempt decided on by the list must be written; a newer list moves it.
    pub(crate) fn send_by(&self) -> Option<Micros> {
        let at = self.current_as_of.filter(|_| self.is_limited)?;
        Some(at + self.assumed_notified_after + SEND_GRACE)
    }

    fn limit_to(&mut self, latest: Micros) {
        self.current_as_of = self.current_as_of.map(|at| at.min(latest));
    }
}
