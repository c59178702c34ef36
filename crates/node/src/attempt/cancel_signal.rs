//! The request of the dispatch task to cancel an attempt, as the attempt sees it.

use std::future::pending;

use tokio::sync::oneshot;

/// Whether the dispatch task has requested the cancellation of an attempt. It does so at most once.
///
/// It stands in place of `tokio_util::sync::CancellationToken`, because a token cannot represent the third state:
/// the attempt has ended, and no cancellation will be requested any more.
pub enum CancelSignal {
    /// A cancellation may still be requested.
    Waiting(oneshot::Receiver<()>),
    /// The cancellation has been requested.
    Received,
    /// No cancellation will be requested: the attempt has ended.
    Closed,
}

impl CancelSignal {
    /// A signal that is never received.
    pub fn never() -> Self {
        CancelSignal::Closed
    }

    /// Whether it has been received.
    pub fn is_received(&self) -> bool {
        matches!(self, CancelSignal::Received)
    }

    /// Returns once it is received; never returns if it will not be. Cancel-safe.
    pub async fn received(&mut self) {
        if let CancelSignal::Waiting(receiver) = self {
            let received = receiver.await.is_ok();
            *self = if received { CancelSignal::Received } else { CancelSignal::Closed };
        }
        if !self.is_received() {
            pending::<()>().await;
        }
    }

    /// Waits until it is received or will not be any more. Returns whether it was received.
    pub async fn received_before_close(self) -> bool {
        match self {
            CancelSignal::Waiting(receiver) => receiver.await.is_ok(),
            CancelSignal::Received => true,
            CancelSignal::Closed => false,
        }
    }
}

impl From<oneshot::Receiver<()>> for CancelSignal {
    fn from(receiver: oneshot::Receiver<()>) -> Self {
        CancelSignal::Waiting(receiver)
    }
}
