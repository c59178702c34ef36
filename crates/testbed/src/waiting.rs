//! Waiting for an optional time, and for several futures at once.

use std::future::{pending, poll_fn};
use std::task::Poll;

use tokio::time::{Instant, sleep_until};

/// Waits until a time. Never returns if the time is `None`.
pub async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}

/// Runs futures concurrently until all are complete.
pub async fn join_all<F: Future>(futures: impl Iterator<Item = F>) {
    let mut running: Vec<_> = futures.map(Box::pin).collect();
    poll_fn(|context| {
        running.retain_mut(|future| future.as_mut().poll(context).is_pending());
        if running.is_empty() { Poll::Ready(()) } else { Poll::Pending }
    })
    .await;
}
