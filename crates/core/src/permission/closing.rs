//! Permission to close a connection of a client, so that no request is lost by it.

use std::time::Duration;

use super::Denial;

/// A request must be complete this long after its first byte, and a new connection must have sent one by then. Ordinary
/// clients take up to 2 s to write a request; one that cannot be read must be answered or closed within 3 s.
pub const READ_TIMEOUT: Duration = Duration::from_millis(2700);
/// A new connection may be evicted after this: its first request may be on its way.
const MIN_NEW_AGE: Duration = Duration::from_millis(50);
/// An idle connection may be evicted this long after its last response.
const MIN_IDLE_AGE: Duration = Duration::from_millis(200);
/// A peer that has neither sent a byte of its request nor read one of its response for this long has
/// stalled.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// What a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// This process has sent its last byte and discards what the peer still sends.
    Lingering,
    /// Nothing has arrived yet.
    New {
        /// Since it was accepted, or was last chosen for eviction.
        age: Duration,
        /// Since it was accepted.
        request_age: Duration,
    },
    /// A request has begun and is not complete.
    Reading {
        /// Since the request began.
        request_age: Duration,
        /// Since its last byte.
        stalled_for: Duration,
    },
    /// Between two requests.
    Idle {
        /// Since the last response, or since it was last chosen for eviction.
        age: Duration,
    },
    /// A request is complete and is not answered.
    Busy,
}

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The time limit for a request, or between two requests, has passed.
    Timeout {
        /// How long a connection may be idle.
        idle_timeout: Duration,
    },
    /// Its descriptor is needed.
    Eviction,
    /// Its client is redirected to another node.
    Redirection,
    /// The process shuts down and still accepts jobs: only connections without a request are closed.
    Drain,
    /// The process shuts down and accepts no jobs any more.
    Shutdown,
}

/// Whether a connection may be closed now without losing a request: none may be read and unanswered on it, and none is
/// likely to be on its way.
///
/// # Errors
/// The reason for which it has to stay open.
pub fn may_close_connection(carries: ConnectionUse, reason: CloseReason) -> Result<(), Denial> {
    match (carries, reason) {
        (ConnectionUse::Busy, _) => Err(Denial::RequestUnanswered),
        (ConnectionUse::Lingering, CloseReason::Eviction) => Ok(()),
        (ConnectionUse::Lingering, _) => Err(Denial::RequestUnanswered),
        (ConnectionUse::New { request_age, .. }, CloseReason::Timeout { .. }) => {
            after(request_age, READ_TIMEOUT, Denial::RequestMayArrive)
        }
        (ConnectionUse::Reading { request_age, .. }, CloseReason::Timeout { .. }) => {
            after(request_age, READ_TIMEOUT, Denial::RequestUnanswered)
        }
        (ConnectionUse::Idle { age }, CloseReason::Timeout { idle_timeout }) => {
            after(age, idle_timeout, Denial::RequestMayArrive)
        }
        (ConnectionUse::New { age, .. }, _) => after(age, MIN_NEW_AGE, Denial::RequestMayArrive),
        // A request that makes progress is a slow client's; one that has stalled is abandoned.
        (ConnectionUse::Reading { stalled_for, .. }, CloseReason::Eviction | CloseReason::Shutdown) => {
            after(stalled_for, STALL_TIMEOUT, Denial::RequestUnanswered)
        }
        (ConnectionUse::Reading { .. }, CloseReason::Redirection | CloseReason::Drain) => {
            Err(Denial::RequestUnanswered)
        }
        // Clients that find a used connection closed by a shutdown send their request to another node.
        (ConnectionUse::Idle { .. }, CloseReason::Drain | CloseReason::Shutdown) => Ok(()),
        (ConnectionUse::Idle { age }, _) => after(age, MIN_IDLE_AGE, Denial::RequestMayArrive),
    }
}

fn after(age: Duration, least: Duration, otherwise: Denial) -> Result<(), Denial> {
    if age >= least { Ok(()) } else { Err(otherwise) }
}
