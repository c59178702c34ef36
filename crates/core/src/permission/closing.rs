//! Permission to close a client connection without losing a request.

use std::time::Duration;

use super::Denial;

/// Time within which a request must be complete after its first byte, and within which a new connection must
/// have sent its first byte after it was accepted. Ordinary clients take up to 2 s to write a request. A
/// request that cannot be read must be answered, or its connection closed, within 3 s.
pub const READ_TIMEOUT: Duration = Duration::from_millis(2700);
/// Minimum age at which a new connection may be closed for any reason but a timeout: its first request may be
/// on its way.
const MIN_NEW_CONNECTION_AGE: Duration = Duration::from_millis(50);
/// Minimum time since its last response after which an idle connection may be evicted or redirected.
const MIN_IDLE_AGE: Duration = Duration::from_millis(200);
/// Time without progress after which a client counts as stalled: it has neither sent a byte of its request
/// nor read a byte of its response.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Present use of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// This process has sent its last byte and discards all further input of the client.
    Lingering,
    /// Nothing has arrived yet.
    New {
        /// Time since the connection was accepted, or was last chosen for eviction.
        age: Duration,
        /// Time since the connection was accepted.
        request_age: Duration,
    },
    /// A request has begun and is not complete.
    Reading {
        /// Time since the request began.
        request_age: Duration,
        /// Time since the last byte of the request.
        stalled_for: Duration,
    },
    /// The connection is between two requests.
    Idle {
        /// Time since the last response, or since the connection was last chosen for eviction.
        age: Duration,
    },
    /// A request is complete and has not been answered.
    Busy,
}

/// Reason for closing a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The time limit for a request, or between two requests, has passed.
    Timeout {
        /// Maximum time for which a connection may be idle.
        idle_timeout: Duration,
    },
    /// The descriptor of the connection is needed.
    Eviction,
    /// The client is redirected to another node.
    Redirection,
    /// The process shuts down and still accepts jobs: only connections without a request are closed.
    Drain,
    /// The process shuts down and accepts no jobs any more.
    Shutdown,
}

/// Checks whether a connection may be closed now without losing a request. No request on it may be read but
/// unanswered, and none may be likely to be on its way.
///
/// # Errors
/// Returns the reason for which the connection has to stay open.
pub fn may_close_connection(connection_use: ConnectionUse, reason: CloseReason) -> Result<(), Denial> {
    match (connection_use, reason) {
        (ConnectionUse::Busy, _) => Err(Denial::RequestUnanswered),
        (ConnectionUse::Lingering, CloseReason::Eviction) => Ok(()),
        (ConnectionUse::Lingering, _) => Err(Denial::RequestUnanswered),
        (ConnectionUse::New { request_age, .. }, CloseReason::Timeout { .. }) => {
            require_min_age(request_age, READ_TIMEOUT, Denial::RequestMayArrive)
        }
        (ConnectionUse::Reading { request_age, .. }, CloseReason::Timeout { .. }) => {
            require_min_age(request_age, READ_TIMEOUT, Denial::RequestUnanswered)
        }
        (ConnectionUse::Idle { age }, CloseReason::Timeout { idle_timeout }) => {
            require_min_age(age, idle_timeout, Denial::RequestMayArrive)
        }
        (ConnectionUse::New { age, .. }, _) => {
            require_min_age(age, MIN_NEW_CONNECTION_AGE, Denial::RequestMayArrive)
        }
        // A request that makes progress comes from a slow client. A request that has stalled is abandoned.
        (ConnectionUse::Reading { stalled_for, .. }, CloseReason::Eviction | CloseReason::Shutdown) => {
            require_min_age(stalled_for, STALL_TIMEOUT, Denial::RequestUnanswered)
        }
        (ConnectionUse::Reading { .. }, CloseReason::Redirection | CloseReason::Drain) => {
            Err(Denial::RequestUnanswered)
        }
        // Clients that find a used connection closed by a shutdown send their request to another node.
        (ConnectionUse::Idle { .. }, CloseReason::Drain | CloseReason::Shutdown) => Ok(()),
        (ConnectionUse::Idle { age }, _) => require_min_age(age, MIN_IDLE_AGE, Denial::RequestMayArrive),
    }
}

fn require_min_age(age: Duration, min_age: Duration, denial: Denial) -> Result<(), Denial> {
    if age >= min_age { Ok(()) } else { Err(denial) }
}
