//! Cancellation request from the dispatch task to an attempt.

use std::future::pending;

use tokio::sync::oneshot;

/// State of the cancellation request for an attempt. The dispatch task sends the request at most once.
///
/// This type replaces `tokio_util::sync::CancellationToken` because a token cannot represent the third state:
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
    /// Creates a signal that is never received.
    pub fn never() -> Self {
        CancelSignal::Closed
    }

    /// Returns whether the signal has been received.
    pub fn is_received(&self) -> bool {
        matches!(self, CancelSignal::Received)
    }

    /// Waits until the signal is received. Never returns if the signal is closed without being received.
    /// Cancel-safe.
    pub async fn received(&mut self) {
        if let CancelSignal::Waiting(receiver) = self {
            let received = receiver.await.is_ok();
            *self = if received { CancelSignal::Received } else { CancelSignal::Closed };
        }
        if !self.is_received() {
            pending::<()>().await;
        }
    }

    /// Waits until the signal is received or closed. Returns whether it was received.
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
