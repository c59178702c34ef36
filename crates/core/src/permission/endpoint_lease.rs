//! Lease on the endpoint list: the time for which a node may act on its list.
//!
//! Settings may define that a node counts as notified of a change without an acknowledgement:
//! [`Settings::assumed_notified_after`] after the change was available to it, whether its polls succeeded or
//! not. Nothing may be sent to a draining worker later than 0.75 s after that. The list is therefore used on
//! a lease, which begins at the time up to which discovery has confirmed the list:
//!
//! | time since the list was confirmed | permitted to the node |
//! | --- | --- |
//! | never confirmed: only the saved list is available | no sends: the list may be of any age |
//! | up to `assumed_notified_after` + 0.1 s | new attempts based on the list |
//! | from then on ([`EndpointLease::check`]) | no new attempts: jobs wait in the queue |
//! | up to `assumed_notified_after` + 0.4 s ([`EndpointLease::write_deadline`]) | writes of attempts decided on earlier |
//!
//! Only a confirmation by discovery renews the lease ([`EndpointLease::renew`]), up to the time that the
//! confirmation proves ([`WatchProof`]) and not up to its arrival. A failed poll, the end of a watch, a start
//! of the process and the passing of time confirm nothing, since discovery may have been up in between or at
//! that time. Every other method can only shorten the lease.

use crate::permission::Denial;
use crate::permission::watch_proof::WatchProof;
use crate::{ListEvidence, Settings, TimeSpan, Timestamp};

/// Delay between the time at which an unknown change would count as notified and the time from which no new
/// attempts are decided on. Attempts decided on earlier are written within [`WRITE_GRACE`].
const DECISION_GRACE: TimeSpan = TimeSpan::from_millis(100);
/// Delay between the time at which an unknown change would count as notified and the time from which no
/// attempt is written. The rule allows 0.75 s. A node may be delayed by 0.15 s between reading its clock and
/// writing, and the confirmation of the list may have been on its way for 0.2 s.
const WRITE_GRACE: TimeSpan = TimeSpan::from_millis(400);
/// Time after its start for which a process without any confirmation holds jobs. From then on, clients are
/// better served by other nodes. The time exceeds the 5 s after which such a process reports that it is
/// ready.
const MAX_HOLD_BEFORE_CONFIRMATION: TimeSpan = TimeSpan::from_secs(7);
/// Time after the expiry of the lease from which clients are better served by other nodes. Jobs are held for
/// a shorter time than this.
const MAX_HOLD_AFTER_EXPIRY: TimeSpan = TimeSpan::from_secs(2);
/// Assumed age of the oldest unknown change at the new service when the address of discovery changes.
const ADDRESS_CHANGE_ALLOWANCE: TimeSpan = TimeSpan::from_secs(2);

/// Time up to which the endpoint list is known to be current, and the limits that follow from it.
pub(crate) struct EndpointLease {
    /// Duration from [`Settings::assumed_notified_after`]. `None` if changes count as notified by an event
    /// only, so that the list needs no lease.
    assumed_notified_after: Option<TimeSpan>,
    /// Time up to which this node has received every change that was available to it. `None` before the first
    /// confirmation.
    confirmed_at: Option<Timestamp>,
    proof: WatchProof,
    /// Time of the first event.
    started_at: Option<Timestamp>,
}

impl EndpointLease {
    /// Creates the lease of a process that has just started and whose list was never confirmed.
    pub(crate) fn new(settings: &Settings) -> Self {
        let limit = settings.assumed_notified_after;
        EndpointLease {
            assumed_notified_after: (!limit.is_zero()).then_some(limit),
            confirmed_at: None,
            proof: WatchProof::new(),
            started_at: None,
        }
    }

    /// Records that the process runs. No effect after the first event. A start does not renew the lease.
    pub(crate) fn record_start(&mut self, now: Timestamp) {
        self.started_at.get_or_insert(now);
    }

    /// Records a confirmation by discovery. Nothing else renews the lease.
    pub(crate) fn renew(&mut self, now: Timestamp, evidence: ListEvidence) {
        let Some(proven_at) = self.proof.record(evidence) else { return };
        let proven_at = proven_at.min(now);
        self.confirmed_at = Some(self.confirmed_at.map_or(proven_at, |previous| previous.max(proven_at)));
    }

    /// Records that a list could not be parsed. The list may contain any change, so the node counts as
    /// notified of every change now.
    pub(crate) fn record_malformed_list(&mut self, now: Timestamp) {
        self.cap_confirmation(now.saturating_sub(self.assumed_notified_after.unwrap_or_default()));
    }

    /// Records that the address of discovery has changed. The new service may have had changes for
    /// [`ADDRESS_CHANGE_ALLOWANCE`].
    pub(crate) fn record_discovery_address_change(&mut self, now: Timestamp) {
        self.cap_confirmation(now.saturating_sub(ADDRESS_CHANGE_ALLOWANCE));
    }

    /// Returns the time of the last confirmation; `None` without one, or if the list needs no lease.
    pub(crate) fn confirmed_at(&self) -> Option<Timestamp> {
        self.assumed_notified_after.and(self.confirmed_at)
    }

    /// Returns the time from a confirmation to the expiry for new attempts; `None` if the list needs no lease.
    pub(crate) fn duration(&self) -> Option<TimeSpan> {
        Some(self.assumed_notified_after? + DECISION_GRACE)
    }

    /// Returns the age of the confirmation that an open watch does not exceed while its heartbeats are on time.
    pub(crate) fn max_age_without_lateness(&self) -> TimeSpan {
        self.proof.max_age_without_lateness()
    }

    /// Checks whether new attempts may be decided on with this list.
    pub(crate) fn check(&self, now: Timestamp) -> Result<(), Denial> {
        let Some(duration) = self.duration() else { return Ok(()) };
        let confirmed_at = self.confirmed_at.ok_or(Denial::EndpointsUnconfirmed)?;
        if now < confirmed_at + duration { Ok(()) } else { Err(Denial::EndpointsExpired) }
    }

    /// Returns the time before which an attempt that was decided on with this list must be written. `None`:
    /// the lease does not bound it. Before the first confirmation, the result is [`Timestamp::ORIGIN`]:
    /// nothing may be written.
    pub(crate) fn write_deadline(&self) -> Option<Timestamp> {
        let limit = self.assumed_notified_after?;
        Some(self.confirmed_at.map_or(Timestamp::ORIGIN, |confirmed_at| confirmed_at + limit + WRITE_GRACE))
    }

    /// Returns whether jobs have been held for so long that clients are better served by other nodes, whose
    /// lists may have been confirmed.
    pub(crate) fn is_hold_limit_exceeded(&self, now: Timestamp) -> bool {
        let Some(duration) = self.duration() else { return false };
        let hold_limit_at = match self.confirmed_at {
            Some(at) => at + duration + MAX_HOLD_AFTER_EXPIRY,
            None => self.started_at.unwrap_or(now) + MAX_HOLD_BEFORE_CONFIRMATION,
        };
        now >= hold_limit_at
    }

    /// Limits the time of the confirmation to `latest`, and ends the proof of the open watch.
    fn cap_confirmation(&mut self, latest: Timestamp) {
        self.proof.end_watch();
        self.confirmed_at = self.confirmed_at.map(|previous| previous.min(latest));
    }
}
