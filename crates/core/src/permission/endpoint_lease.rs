//! The lease on the endpoint list: how long a node may act on the list that it has.
//!
//! Where changes count as notified without an answer, a node counts as notified of a change
//! [`Settings::assumed_notified_after`] after the change was available to it, whether its polls succeeded or not, and
//! nothing may be sent to a draining worker later than 0.75 s after that. So the list is used on a lease, which begins
//! at the moment up to which discovery has confirmed it:
//!
//! | time since the list was confirmed | the node |
//! | --- | --- |
//! | never confirmed: only the saved list is there | sends nothing: the list may be of any age |
//! | up to `assumed_notified_after` + 0.1 s | sends by the list |
//! | from then on ([`EndpointLease::check`]) | decides on no new attempts: jobs wait in the queue |
//! | up to `assumed_notified_after` + 0.4 s ([`EndpointLease::write_deadline`]) | still writes attempts decided on earlier |
//!
//! Only a confirmation by discovery renews the lease ([`EndpointLease::renew`]). A failed poll, the end of a watch, a
//! start of the process and the passing of time confirm nothing, since discovery may have been up in between or at
//! that moment; every other method can only shorten the lease.

use crate::permission::Denial;
use crate::{Settings, TimeSpan, Timestamp};

/// New attempts stop this long after an unknown change would count as notified; the attempts
/// decided on before are on their way by [`SEND_GRACE`].
const DECISION_GRACE: TimeSpan = TimeSpan::from_millis(100);
/// No attempt is written later than this after an unknown change would count as notified. The rule
/// is 0.75 s; a node may be held up for 0.15 s between reading its clock and writing, and what confirms the list may
/// have been on its way for 0.2 s.
const SEND_GRACE: TimeSpan = TimeSpan::from_millis(400);
/// How long a process without any confirmation holds jobs before clients are better off at other nodes: it reports that it
/// is ready after 5 s.
const MAX_HOLD_BEFORE_CONFIRMATION: TimeSpan = TimeSpan::from_secs(7);
/// The same once the lease has expired. Jobs are held for a shorter time than this.
const MAX_HOLD_AFTER_EXPIRY: TimeSpan = TimeSpan::from_secs(2);
/// The service that discovery moved to counts as having had a change this much earlier.
const ADDRESS_CHANGE_ALLOWANCE: TimeSpan = TimeSpan::from_secs(2);

/// The moment up to which the endpoint list is known to be current, and the limits that follow from it.
pub(crate) struct EndpointLease {
    /// See [`Settings::assumed_notified_after`]; none where changes count as notified by an event only, so that the
    /// list needs no lease.
    assumed_notified_after: Option<TimeSpan>,
    /// No change that this node does not know was available to it before this moment. None before the first
    /// confirmation.
    confirmed_at: Option<Timestamp>,
    /// The moment of the first event.
    started_at: Option<Timestamp>,
}

impl EndpointLease {
    /// The lease of a process that has just started: the list was never confirmed.
    pub(crate) fn new(settings: &Settings) -> Self {
        let limit = settings.assumed_notified_after;
        EndpointLease {
            assumed_notified_after: (!limit.is_zero()).then_some(limit),
            confirmed_at: None,
            started_at: None,
        }
    }

    /// The process runs; no effect after the first event. A start does not renew the lease.
    pub(crate) fn record_start(&mut self, now: Timestamp) {
        self.started_at.get_or_insert(now);
    }

    /// Discovery has confirmed that the list was current at this moment. Nothing else renews the lease.
    pub(crate) fn renew(&mut self, confirmed_at: Timestamp) {
        self.confirmed_at = Some(self.confirmed_at.map_or(confirmed_at, |known| known.max(confirmed_at)));
    }

    /// A list that could not be parsed may contain any change, so every change counts as notified now.
    pub(crate) fn record_malformed_list(&mut self, now: Timestamp) {
        self.limit_to(now.saturating_sub(self.assumed_notified_after.unwrap_or_default()));
    }

    /// Discovery moved: the new service may have had changes for [`ADDRESS_CHANGE_ALLOWANCE`].
    pub(crate) fn record_discovery_address_change(&mut self, now: Timestamp) {
        self.limit_to(now.saturating_sub(ADDRESS_CHANGE_ALLOWANCE));
    }

    /// Whether new attempts may be decided on by the list.
    pub(crate) fn check(&self, now: Timestamp) -> Result<(), Denial> {
        let Some(limit) = self.assumed_notified_after else { return Ok(()) };
        let confirmed_at = self.confirmed_at.ok_or(Denial::EndpointsUnconfirmed)?;
        if now < confirmed_at + limit + DECISION_GRACE { Ok(()) } else { Err(Denial::EndpointsExpired) }
    }

    /// The moment before which an attempt decided on by the list must be written. None: the lease does not bound it.
    pub(crate) fn write_deadline(&self) -> Option<Timestamp> {
        let limit = self.assumed_notified_after?;
        Some(self.confirmed_at.map_or(Timestamp::ORIGIN, |confirmed_at| confirmed_at + limit + SEND_GRACE))
    }

    /// Whether jobs have been held for so long that clients are better off at other nodes, which may have been confirmed.
    pub(crate) fn is_hold_limit_exceeded(&self, now: Timestamp) -> bool {
        let Some(limit) = self.assumed_notified_after else { return false };
        let long_at = match self.confirmed_at {
            Some(at) => at + limit + DECISION_GRACE + MAX_HOLD_AFTER_EXPIRY,
            None => self.started_at.unwrap_or(now) + MAX_HOLD_BEFORE_CONFIRMATION,
        };
        now >= long_at
    }

    fn limit_to(&mut self, latest: Timestamp) {
        self.confirmed_at = self.confirmed_at.map(|known| known.min(latest));
    }
}
