//! Each cause that ends a send permit is seen at once and wakes whoever waits. Time is the test's.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use super::{ClientPresence, Denial, SendLease, SendPermit, SendPermitParts};

const LONG: Duration = Duration::from_hours(1);
const PERMIT_TIME: Duration = Duration::from_secs(1);
const JUST_BEFORE_DEADLINE: Duration = Duration::from_millis(999);

/// What ends a permit.
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
        let deadline = (cause == Cause::Deadline).then(|| Instant::now() + PERMIT_TIME);
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
                Cause::ClientGone => client.mark_gone(),
                Cause::Deadline => {}
            }
            assert_eq!(send_permit.is_valid(), cause == Cause::Deadline, "{cause:?} ends it in that moment");
        };
        let (woken, ()) = tokio::join!(timeout(LONG, send_permit.invalidated()), end_permit);
        assert!(woken.is_ok() && !send_permit.is_valid(), "{cause:?}");
        let woken_later = timeout(LONG, send_permit.invalidated()).await;
        assert!(woken_later.is_ok(), "{cause:?}: who waits only now is not held up");
    }
}

#[tokio::test(start_paused = true)]
async fn when_nothing_ends_it_then_permit_stays_valid() {
    let send_permit = SendPermit::default();
    assert!(timeout(LONG, send_permit.invalidated()).await.is_err() && send_permit.is_valid());
}

#[tokio::test(start_paused = true)]
async fn when_the_lease_is_shortened_then_a_permit_given_before_ends_with_it() {
    let lease = Rc::<SendLease>::default();
    lease.set_deadline(Some(Instant::now() + PERMIT_TIME));
    let parts = SendPermitParts { lease: lease.clone(), ..SendPermitParts::default() };
    let send_permit = SendPermit::new(parts);
    assert!(send_permit.is_valid());
    lease.set_deadline(Some(Instant::now()));
    assert_eq!(send_permit.check(Instant::now()), Err(Denial::EndpointsExpired));
}

#[tokio::test(start_paused = true)]
async fn when_a_byte_is_sent_too_late_then_the_check_after_it_says_why() {
    let (now, held_up) = (Instant::now(), Duration::from_millis(151));
    let client = Rc::<ClientPresence>::default();
    client.mark_gone();
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
        assert_eq!(send_permit.check_sent(now), Ok(()), "{reason}: the limits allow for a hold");
        assert_eq!(send_permit.check_sent(now + held_up), Err(reason));
    }
    let send_permit = SendPermit::default();
    send_permit.revoke();
    assert_eq!(send_permit.check_sent(now + held_up), Err(Denial::WorkerUnavailable));
}
