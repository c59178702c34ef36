//! Whoever ends a clearance, who looks sees it at once and who waits is woken. Time is the test's.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use super::{Clearance, Flag};

const LONG: Duration = Duration::from_secs(3600);

#[tokio::test(start_paused = true)]
async fn each_of_three_ends_a_clearance_for_who_looks_and_for_who_waits() {
    let end: [fn(&Clearance, &Flag); 3] = [|c, _| c.revoke(), |_, client| client.raise(), |_, _| {}];
    for (which, end) in end.into_iter().enumerate() {
        let client_gone = Rc::<Flag>::default();
        let leave_by = Instant::now() + Duration::from_secs(1);
        let clearance = Clearance::new(client_gone.clone(), (which == 2).then_some(leave_by));
        let ends = async {
            tokio::time::sleep(Duration::from_millis(999)).await;
            assert!(clearance.holds());
            end(&clearance, &client_gone);
            assert_eq!(clearance.holds(), which == 2, "it ends in that moment");
        };
        let (woken, ()) = tokio::join!(timeout(LONG, clearance.ended()), ends);
        assert!(woken.is_ok() && !clearance.holds(), "{which}");
        // Who waits only now has nothing to wait for.
        assert!(timeout(LONG, clearance.ended()).await.is_ok(), "{which}");
    }
    let lasting = Clearance::default();
    assert!(timeout(LONG, lasting.ended()).await.is_err() && lasting.holds());
}
