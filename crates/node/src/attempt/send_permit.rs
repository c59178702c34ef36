//! Permit to send the first byte of an attempt.
//!
//! The task that revokes the permit and the socket that is about to write read the same value in one thread,
//! so a revocation always takes effect before the write. Once the first byte of an attempt has been sent, its
//! permit has no further effect.

use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use curlewusher_core::permission::Denial;
use tokio::time::{Instant, sleep_until};

use super::cancel_flag::CancelFlag;
use super::client_presence::ClientPresence;

/// Maximum stall of the node between reading its clock and writing. The limits of permits allow for it.
const MAX_STALL: Duration = Duration::from_millis(150);
/// Maximum delay of the first byte after the disconnection of the client. A later write counts as a
/// violation.
const MAX_WRITE_DELAY_AFTER_DISCONNECT: Duration = Duration::from_millis(100);

/// Deadline of the lease on the endpoint list, shared by the permits of all attempts. Only the dispatch task
/// changes it.
#[derive(Default)]
pub struct SendLease(Cell<Option<Instant>>);

impl SendLease {
    /// Sets the time before which attempts that have been decided on may be written; `None` for no limit.
    pub fn set_deadline(&self, deadline: Option<Instant>) {
        self.0.set(deadline);
    }

    fn has_expired(&self, now: Instant) -> bool {
        self.0.get().is_some_and(|deadline| now >= deadline)
    }
}

/// Permit to send the first byte of one attempt. The first of these events ends it:
///
/// - The dispatch task, which alone creates and revokes permits, revokes it.
/// - The client disconnects. The client socket is checked, and the server task of the job reports the
///   disconnection directly, because in the queue of the dispatch task the report might wait behind others.
/// - The deadline that was set when the attempt was decided on is reached.
/// - The lease on the endpoint list expires. The lease may have been shortened since the decision.
#[derive(Default)]
pub struct SendPermit {
    parts: SendPermitParts,
    revoked: CancelFlag,
}

/// Parts of a [`SendPermit`].
#[derive(Default)]
pub struct SendPermitParts {
    /// Request id that the client gave the job, for the log.
    pub request_id: Rc<str>,
    /// Connection state of the client.
    pub client: Rc<ClientPresence>,
    /// Time before which the first byte must be sent; `None` if only the other parts limit it.
    pub deadline: Option<Instant>,
    /// Lease on the endpoint list.
    pub lease: Rc<SendLease>,
}

impl SendPermit {
    /// Creates a valid permit.
    pub fn new(parts: SendPermitParts) -> Rc<SendPermit> {
        Rc::new(SendPermit { parts, revoked: CancelFlag::default() })
    }

    /// Returns the request id that the client gave the job.
    pub fn request_id(&self) -> &str {
        &self.parts.request_id
    }

    /// Revokes the permit.
    pub fn revoke(&self) {
        self.revoked.raise();
    }

    /// Returns whether the first byte may be sent now.
    pub fn is_valid(&self) -> bool {
        self.check(Instant::now()).is_ok()
    }

    /// Checks whether the first byte may be sent at the time `now`.
    pub fn check(&self, now: Instant) -> Result<(), Denial> {
        self.check_with_tolerances(now, Duration::ZERO, Duration::ZERO)
    }

    /// Checks a first byte that had been sent by the time `now`, with the delays that the rules allow.
    pub fn check_sent(&self, now: Instant) -> Result<(), Denial> {
        self.check_with_tolerances(now, MAX_STALL, MAX_WRITE_DELAY_AFTER_DISCONNECT)
    }

    fn check_with_tolerances(
        &self,
        now: Instant,
        max_stall: Duration,
        max_delay_after_disconnect: Duration,
    ) -> Result<(), Denial> {
        if self.revoked.is_raised() && (max_stall.is_zero() || self.revoked.was_raised_before(now, max_stall))
        {
            return Err(Denial::WorkerUnavailable);
        }
        let client = &self.parts.client;
        let is_client_disconnected = if max_stall.is_zero() {
            client.is_disconnected()
        } else {
            client.was_disconnected_before(now, max_delay_after_disconnect)
        };
        if is_client_disconnected {
            return Err(Denial::ClientGone);
        }
        let earliest_check = now.checked_sub(max_stall).unwrap_or(now);
        if self.parts.deadline.is_some_and(|deadline| earliest_check >= deadline) {
            return Err(Denial::WriteTooLate);
        }
        if self.parts.lease.has_expired(earliest_check) {
            return Err(Denial::EndpointsExpired);
        }
        Ok(())
    }

    /// Waits until the permit is revoked, the client disconnects or the deadline is reached. The deadline
    /// includes the lease on the endpoint list as of the decision. The earlier expiry of a lease that was
    /// shortened since then does not end the wait.
    pub async fn invalidated(&self) {
        tokio::select! {
            biased;
            () = self.revoked.wait() => {}
            () = self.parts.client.wait_until_disconnected() => {}
            () = self.expired() => {}
        }
    }

    async fn expired(&self) {
        match self.parts.deadline {
            Some(deadline) => sleep_until(deadline).await,
            None => pending().await,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/send_permit.rs"]
mod tests;
