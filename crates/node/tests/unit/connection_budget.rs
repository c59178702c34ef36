//! Tests of a connection budget that is halved and restored while permits are in use, on a paused clock.

use std::cell::Cell;
use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

use super::{ConnectionBudget, DescriptorShare, SHRINK_CHECK_INTERVAL};

#[tokio::test(start_paused = true)]
async fn permits_are_in_use_then_a_halved_budget_shrinks_as_they_are_returned() {
    let test = async {
        let (budget, evictions) = (ConnectionBudget::new(4, 2), Cell::new(0));
        let mut permits: Vec<_> = std::iter::from_fn(|| budget.try_acquire()).collect();
        assert_eq!((permits.len(), budget.free(), budget.target()), (4, 0, 4));

        budget.set_share(DescriptorShare::Half, || evictions.set(evictions.get() + 1));
        assert_eq!((evictions.get(), budget.target()), (1, 2));
        permits.truncate(2);
        sleep(2 * SHRINK_CHECK_INTERVAL).await;
        assert_eq!(budget.free(), 0, "a returned permit was not removed");
        permits.truncate(1);
        sleep(2 * SHRINK_CHECK_INTERVAL).await;
        assert_eq!(budget.free(), 1, "the budget missed its target");

        budget.set_share(DescriptorShare::All, || panic!("a growing budget requested an eviction"));
        assert_eq!((budget.free(), budget.target()), (3, 4));
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn the_full_size_is_restored_while_the_budget_shrinks_then_no_permit_is_lost() {
    let test = async {
        let budget = ConnectionBudget::new(3, 1);
        let permits: Vec<_> = std::iter::from_fn(|| budget.try_acquire()).collect();
        budget.set_share(DescriptorShare::Half, || {});
        budget.set_share(DescriptorShare::All, || panic!("a growing budget requested an eviction"));
        drop(permits);
        sleep(Duration::from_secs(1)).await;
        assert_eq!((budget.free(), budget.target()), (3, 3));
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn no_permit_is_free_then_a_caller_waits_until_one_is_returned() {
    let budget = ConnectionBudget::new(1, 1);
    let permit = budget.try_acquire().expect("no permit is free");
    let since = Instant::now();
    let hold_permit = async {
        sleep(Duration::from_secs(5)).await;
        drop(permit);
    };
    let (next_permit, ()) = tokio::join!(budget.acquire(), hold_permit);
    assert!(next_permit.is_some() && since.elapsed() == Duration::from_secs(5));
}
