//! Whoever ends a clearance, who looks sees it at once and who waits is woken. Time is the test's.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use super::{CancelFlag, SendPermit};

const LONG: Duration = Duration::from_secs(3600);

#[tokio::test(start_paused = true)]
async fn each_of_three_ends_a_clearance_for_who_looks_and_for_who_waits() {
    let end: [fn(&SendPermit, &CancelFlag); 3] = [|c, _| c.revoke(), |_, client| client.raise(), |_, _| {}];
    for (which, end) in end.into_iter().enumerate() {
        let client_gone = Rc::<CancelFlag>::default();
        let leave_by = Instant::now() + Duration::from_secs(1);
        let send_permit = SendPermit::new(client_gone.clone(), (which == 2).then_some(leave_by));
        let ends = async {
            tokio::time::sleep(Duration::from_millis(999)).await;
            assert!(send_permit.is_valid());
            end(&send_permit, &client_gone);
            assert_eq!(send_permit.is_valid(), which == 2, "it ends in that moment");
        };
        let (woken, ()) = tokio::join!(timeout(LONG, send_permit.invalidated()), ends);
        assert!(woken.is_ok() && !send_permit.is_valid(), "{which}");
        // Who waits only now has nothing to wait for.
        assert!(timeout(LONG, send_permit.invalidated()).await.is_ok(), "{which}");
    }
    let lasting = SendPermit::default();
    assert!(timeout(LONG, lasting.invalidated()).await.is_err() && lasting.is_valid());
}
