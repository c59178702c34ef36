//! Whether the first byte of an attempt may still be sent.
//!
//! The party that withdraws the permit and the socket that is about to write look at the same value, in one
//! thread, so that a permit is never withdrawn too late. Once the first byte of an attempt has been sent, its
//! permit has no meaning any more.

use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use curlewusher_core::permission::Denial;
use tokio::time::{Instant, sleep_until};

use super::cancel_flag::CancelFlag;
use super::client_presence::ClientPresence;

/// A node may be stalled for this long between reading its clock and writing; the limits of permits allow for it.
const MAX_HOLD: Duration = Duration::from_millis(150);
/// A first byte that is written later than this after the client's disconnection counts as a violation.
const MAX_WRITE_AFTER_CLIENT: Duration = Duration::from_millis(100);

/// The lease on the endpoint list, as the permits of all attempts see it. The dispatch task alone changes it.
#[derive(Default)]
pub struct SendLease(Cell<Option<Instant>>);

impl SendLease {
    /// Attempts that were decided on so far may be written before this moment; None: at any time.
    pub fn set_deadline(&self, deadline: Option<Instant>) {
        self.0.set(deadline);
    }

    fn has_expired(&self, now: Instant) -> bool {
        self.0.get().is_some_and(|deadline| now >= deadline)
    }
}

/// Whether the first byte of one attempt may still be sent. It ends by the first of four:
///
/// - the dispatch task, which alone creates and revokes permits, revokes it;
/// - the client disconnects: its socket is looked at, and the job's server task reports it directly, since in
///   the queue of the dispatch task it might wait behind others;
/// - a deadline passes, which was fixed when the attempt was decided on;
/// - the lease on the endpoint list expires, which may have been shortened since.
#[derive(Default)]
pub struct SendPermit {
    parts: SendPermitParts,
    revoked: CancelFlag,
}

/// What a [`SendPermit`] is made of.
#[derive(Default)]
pub struct SendPermitParts {
    /// The client's id of the job, for the log.
    pub request_id: Rc<str>,
    /// Whether the client is still connected.
    pub client: Rc<ClientPresence>,
    /// The first byte must be sent before this moment.
    pub deadline: Option<Instant>,
    /// The lease on the endpoint list.
    pub lease: Rc<SendLease>,
}

impl SendPermit {
    /// A permit that nothing has ended yet.
    pub fn new(parts: SendPermitParts) -> Rc<SendPermit> {
        Rc::new(SendPermit { parts, revoked: CancelFlag::default() })
    }

    /// The client's id of the job.
    pub fn request_id(&self) -> &str {
        &self.parts.request_id
    }

    /// Ends the permit.
    pub fn revoke(&self) {
        self.revoked.raise();
    }

    /// Whether the first byte may be sent now.
    pub fn is_valid(&self) -> bool {
        self.check(Instant::now()).is_ok()
    }

    /// Whether the first byte may be sent at this moment.
    pub fn check(&self, now: Instant) -> Result<(), Denial> {
        self.check_with_delay(now, Duration::ZERO, Duration::ZERO)
    }

    /// Checks a first byte that was sent by this moment, with the delays that the rules allow for.
    pub fn check_sent(&self, now: Instant) -> Result<(), Denial> {
        self.check_with_delay(now, MAX_HOLD, MAX_WRITE_AFTER_CLIENT)
    }

    fn check_with_delay(&self, now: Instant, hold: Duration, after_client: Duration) -> Result<(), Denial> {
        if self.revoked.is_raised() && (hold.is_zero() || self.revoked.was_raised_before(now, hold)) {
            return Err(Denial::WorkerUnavailable);
        }
        let client = &self.parts.client;
        let is_client_gone =
            if hold.is_zero() { client.is_gone() } else { client.was_gone_before(now, after_client) };
        if is_client_gone {
            return Err(Denial::ClientGone);
        }
        let latest = now.checked_sub(hold).unwrap_or(now);
        if self.parts.deadline.is_some_and(|deadline| latest >= deadline) {
            return Err(Denial::WriteTooLate);
        }
        if self.parts.lease.has_expired(latest) {
            return Err(Denial::EndpointsExpired);
        }
        Ok(())
    }

    /// Returns once the permit is not valid any more, but for a lease that was shortened.
    pub async fn invalidated(&self) {
        tokio::select! {
            biased;
            () = self.revoked.wait() => {}
            () = self.parts.client.wait_until_gone() => {}
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
