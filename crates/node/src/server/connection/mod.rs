//! An accepted downstream connection: its state, its timeouts and whether it may be evicted.
//!
//! A [`Connection`] knows nothing of the requests that it carries and answers none. The task that serves the
//! connection moves it through [`ConnectionState`]; the listener and the shutdown close it through the
//! methods here, which set a flag and wake that task. Each change of state and each reason for a close is logged
//! with the connection's number.
//!
//! | from | to | when |
//! | --- | --- | --- |
//! | (accepted) | New | the listener has accepted it |
//! | New, Idle | Reading | bytes of a request have arrived ([`ReadFilter`]) |
//! | Reading | Busy | the body of the request was read to its end |
//! | Reading, Busy | Idle | the response to the request is made |
//! | any | Lingering | HTTP on it has ended, and this process closes it ([`lingering_close()`]) |

mod filtered_stream;
mod lingering_close;
mod read_filter;

use std::cell::{Cell, RefCell};
use std::task::{Poll, Waker};
use std::time::Duration;

use curlewusher_core::permission::{CloseReason, ConnectionUse, Denial, STALL_TIMEOUT, may_close_connection};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;
use tracing::{debug, trace};

use crate::telemetry::logging::SERVER;

pub use filtered_stream::FilteredStream;
pub use lingering_close::{discard_and_close, lingering_close};
pub use read_filter::ReadFilter;

/// Bytes that are read from a connection's socket at once.
pub const READ_CHUNK_BYTES: usize = 4096;
/// Longest head of a request, in bytes; hyper's read buffer has the same bound.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// A peer that reads no byte of its response for this long is treated as disconnected.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// State of a connection, in the order in which connections are evicted when descriptors run low.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionState {
    /// This process has sent its last byte and discards what the peer still sends.
    Lingering,
    /// No byte has arrived yet.
    New,
    /// A request has begun and is not read to its end.
    Reading,
    /// Between two requests.
    Idle,
    /// A request was read to its end and is not answered.
    Busy,
}

/// Why a connection ends at once, with nothing more written.
#[derive(Clone, Copy, Debug)]
pub enum AbortReason {
    /// The other process of this node serves its client.
    JobMigrated,
    /// The peer reads nothing of what is written to it.
    PeerReadsNothing,
}

/// An accepted connection, shared by the task that serves it and those that may close it.
pub struct Connection {
    /// Its number in the log.
    number: u64,
    state: Cell<ConnectionState>,
    /// When it entered that state, or was last chosen for eviction.
    state_since: Cell<Instant>,
    /// When the request that is being read began; for the first request, when the connection was accepted.
    request_started: Cell<Instant>,
    /// When the request that is being read last got a byte.
    last_progress: Cell<Instant>,
    is_worker: Cell<bool>,
    /// The request that is being read has timed out or is evicted.
    read_expired: Cell<bool>,
    is_last_request: Cell<bool>,
    /// The request that hyper reads stands for half a request, which is rejected.
    is_request_rejected: Cell<bool>,
    /// Wakes the serving task after `aborted` or `read_expired` was set; with neither set, the connection is
    /// to close as soon as it carries no request.
    close_requested: Notify,
    /// The reader that waits for the request in progress to be answered.
    read_waker: RefCell<Option<Waker>>,
    /// Since when the peer has read nothing of what is written to it.
    write_blocked_since: Cell<Option<Instant>>,
    /// The connection ends at once, with nothing more written: the other process of this node serves its
    /// client, or the peer reads nothing.
    aborted: Cell<bool>,
}

impl Connection {
    /// A connection that was just accepted, with its number in the log.
    pub fn new(number: u64) -> Connection {
        Connection {
            number,
            state: Cell::new(ConnectionState::New),
            state_since: Cell::new(Instant::now()),
            request_started: Cell::new(Instant::now()),
            last_progress: Cell::new(Instant::now()),
            is_worker: Cell::new(false),
            read_expired: Cell::new(false),
            is_last_request: Cell::new(false),
            is_request_rejected: Cell::new(false),
            close_requested: Notify::new(),
            read_waker: RefCell::default(),
            write_blocked_since: Cell::default(),
            aborted: Cell::new(false),
        }
    }

    /// Its number in the log.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// State of the connection.
    pub fn state(&self) -> ConnectionState {
        self.state.get()
    }

    /// When it entered its state, or was last chosen for eviction.
    pub fn state_since(&self) -> Instant {
        self.state_since.get()
    }

    /// Enters a state and wakes the reader that waits for that.
    pub fn enter(&self, state: ConnectionState) {
        let (connection, from) = (self.number, self.state.get());
        trace!(target: SERVER, connection, ?from, to = ?state, "connection state changed");
        let now = Instant::now();
        if state == ConnectionState::Reading && self.state.get() != ConnectionState::New {
            self.request_started.set(now);
        }
        self.state.set(state);
        self.state_since.set(now);
        self.last_progress.set(now);
        if let Some(waker) = self.read_waker.take() {
            waker.wake();
        }
    }

    /// Time since the request that is being read began.
    pub fn request_age(&self) -> Duration {
        self.request_started.get().elapsed()
    }

    /// Marks the peer as a worker, which sends callbacks. Its connection stays open while this node drains,
    /// because the node waits for those callbacks.
    pub fn mark_as_worker(&self) {
        self.is_worker.set(true);
    }

    /// Whether the peer is a worker.
    pub fn is_worker(&self) -> bool {
        self.is_worker.get()
    }

    /// Closes the connection after the response to the current request.
    pub fn mark_last_request(&self) {
        self.is_last_request.set(true);
    }

    /// Whether the connection closes after the current request: where that one ends is known to hyper alone,
    /// or too much has arrived behind it.
    pub fn is_last_request(&self) -> bool {
        self.is_last_request.get()
    }

    /// Rejects the request that has begun to arrive and is not complete, and closes the connection after that.
    fn reject_request(&self) {
        self.is_request_rejected.set(true);
        self.is_last_request.set(true);
    }

    /// Whether the request that hyper has read stands for half a request, which is rejected.
    pub fn is_request_rejected(&self) -> bool {
        self.is_request_rejected.get()
    }

    /// Completes once a close was requested since it last completed.
    pub fn close_requested(&self) -> Notified<'_> {
        self.close_requested.notified()
    }

    /// Whether the connection is to end at once, with nothing more written.
    pub fn is_aborted(&self) -> bool {
        self.aborted.get()
    }

    /// Whether the request that is being read has timed out or is evicted.
    pub fn is_read_expired(&self) -> bool {
        self.read_expired.get()
    }

    /// Requests a graceful close, which is safe between two requests.
    pub fn close_gracefully(&self, reason: CloseReason) {
        let (connection, state) = (self.number, self.state.get());
        debug!(target: SERVER, connection, ?state, ?reason, "connection close requested");
        self.read_expired.set(self.state.get() < ConnectionState::Idle);
        self.close_requested.notify_one();
    }

    /// Requests an immediate end, with nothing more written.
    pub fn abort(&self, reason: AbortReason) {
        let (connection, state) = (self.number, self.state.get());
        debug!(target: SERVER, connection, ?state, ?reason, "connection aborted");
        self.aborted.set(true);
        self.close_requested.notify_one();
    }

    /// Whether the peer has read nothing of what is written to it for that long.
    pub fn is_write_blocked_for(&self, duration: Duration) -> bool {
        self.write_blocked_since.get().is_some_and(|since| since.elapsed() >= duration)
    }

    /// Closes the connection to free its descriptor.
    pub fn evict(&self) {
        // A graceful close would wait forever for a peer that reads nothing.
        if self.is_write_blocked_for(STALL_TIMEOUT) {
            self.abort(AbortReason::PeerReadsNothing);
        } else {
            self.close_gracefully(CloseReason::Eviction);
        }
        // It is not chosen again right away.
        self.state_since.set(Instant::now());
    }

    /// Records whether a write made progress, and passes its result through.
    fn track_write<T>(&self, written: Poll<T>) -> Poll<T> {
        let blocked_since = self.write_blocked_since.get().unwrap_or_else(Instant::now);
        self.write_blocked_since.set(written.is_pending().then_some(blocked_since));
        written
    }

    /// Whether its client can be redirected safely: it has sent no part of a request, for long enough
    /// that none is likely to be in transit. A client that is sending may finish.
    pub fn is_redirectable(&self) -> bool {
        !self.is_worker.get() && self.may_close(CloseReason::Redirection).is_ok()
    }

    /// Whether it may be evicted. A young connection may not: a request may have been sent that was not read
    /// yet.
    pub fn is_evictable(&self) -> bool {
        self.may_close(CloseReason::Eviction).is_ok()
    }

    /// Whether it may be closed for that reason without losing a request.
    ///
    /// # Errors
    /// The reason for which it has to stay open.
    pub fn may_close(&self, reason: CloseReason) -> Result<(), Denial> {
        may_close_connection(self.carries(), reason)
    }

    /// What the connection carries now, for the decision whether it may be closed.
    fn carries(&self) -> ConnectionUse {
        let age = self.state_since.get().elapsed();
        let request_age = self.request_age();
        match self.state.get() {
            ConnectionState::Lingering => ConnectionUse::Lingering,
            ConnectionState::New => ConnectionUse::New { age, request_age },
            ConnectionState::Reading => {
                ConnectionUse::Reading { request_age, stalled_for: self.last_progress.get().elapsed() }
            }
            ConnectionState::Idle => ConnectionUse::Idle { age },
            ConnectionState::Busy => ConnectionUse::Busy,
        }
    }
}
