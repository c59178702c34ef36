//! Tests that each cause invalidates a send permit at once and wakes its waiters. The tests control the
//! clock.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use super::{ClientPresence, Denial, SendLease, SendPermit, SendPermitParts};

const LONG_TIMEOUT: Duration = Duration::from_hours(1);
const PERMIT_DURATION: Duration = Duration::from_secs(1);
const JUST_BEFORE_DEADLINE: Duration = Duration::from_millis(999);

/// Cause that invalidates a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cause {
    Revoked,
    ClientGone,
    Deadline,
}

#[tokio::test(start_paused = true)]
async fn when_revoked_or_client_gone_or_expired_then_invalid_at_once_and_waiters_woken() {
    for cause in [Cause::Revoked, Cause::ClientGone, Cause::Deadline] {
        let client = Rc::<ClientPresence>::default();
        let deadline = (cause == Cause::Deadline).then(|| Instant::now() + PERMIT_DURATION);
        let lease = Rc::<SendLease>::default();
        let send_permit = SendPermit::new(SendPermitParts {
            client: client.clone(),
            deadline,
            lease: lease.clone(),
            ..SendPermitParts::default()
        });
        let end_permit = async {
            tokio::time::sleep(JUST_BEFORE_DEADLINE).await;
            assert!(send_permit.is_valid());
            match cause {
                Cause::Revoked => send_permit.revoke(),
                Cause::ClientGone => client.mark_disconnected(),
                Cause::Deadline => {}
            }
            assert_eq!(
                send_permit.is_valid(),
                cause == Cause::Deadline,
                "{cause:?} did not take effect at once"
            );
        };
        let (woken, ()) = tokio::join!(timeout(LONG_TIMEOUT, send_permit.invalidated()), end_permit);
        assert!(woken.is_ok() && !send_permit.is_valid(), "{cause:?}");
        let woken_later = timeout(LONG_TIMEOUT, send_permit.invalidated()).await;
        assert!(woken_later.is_ok(), "{cause:?}: a later waiter did not return at once");
    }
}

#[tokio::test(start_paused = true)]
async fn when_nothing_ends_the_permit_then_it_stays_valid() {
    let send_permit = SendPermit::default();
    assert!(timeout(LONG_TIMEOUT, send_permit.invalidated()).await.is_err() && send_permit.is_valid());
}

#[tokio::test(start_paused = true)]
async fn when_the_lease_is_shortened_then_earlier_permits_end_with_it() {
    let lease = Rc::<SendLease>::default();
    lease.set_deadline(Some(Instant::now() + PERMIT_DURATION));
    let parts = SendPermitParts { lease: lease.clone(), ..SendPermitParts::default() };
    let send_permit = SendPermit::new(parts);
    assert!(send_permit.is_valid());
    lease.set_deadline(Some(Instant::now()));
    assert_eq!(send_permit.check(Instant::now()), Err(Denial::EndpointsExpired));
}

#[tokio::test(start_paused = true)]
async fn when_the_first_byte_is_sent_too_late_then_the_later_check_returns_the_reason() {
    let (now, over_max_stall) = (Instant::now(), Duration::from_millis(151));
    let client = Rc::<ClientPresence>::default();
    client.mark_disconnected();
    let lease = Rc::<SendLease>::default();
    lease.set_deadline(Some(now));
    let cases = [
        (SendPermitParts { client, ..SendPermitParts::default() }, Denial::ClientGone),
        (SendPermitParts { deadline: Some(now), ..SendPermitParts::default() }, Denial::WriteTooLate),
        (SendPermitParts { lease, ..SendPermitParts::default() }, Denial::EndpointsExpired),
    ];
    for (parts, reason) in cases {
        let send_permit = SendPermit::new(parts);
        assert_eq!(send_permit.check(now), Err(reason));
        assert_eq!(
            send_permit.check_sent(now),
            Ok(()),
            "{reason}: a write within the limits was not allowed"
        );
        assert_eq!(send_permit.check_sent(now + over_max_stall), Err(reason));
    }
    let send_permit = SendPermit::default();
    send_permit.revoke();
    assert_eq!(send_permit.check_sent(now + over_max_stall), Err(Denial::WorkerUnavailable));
}
