//! An accepted downstream connection: its state, its timeouts and whether it may be evicted.
//!
//! A [`Connection`] does not handle the requests that it carries and sends no responses. The task that serves
//! the connection moves it through [`ConnectionState`]. The listener and the shutdown close it through the
//! methods here, which set a flag and wake that task. Each change of state and each reason for a close is
//! logged with the connection's number.
//!
//! In this module, the remote end is the client or the worker at the other end of the connection.
//!
//! | from | to | transition |
//! | --- | --- | --- |
//! | (accepted) | New | the listener has accepted the connection |
//! | New, Idle | Reading | bytes of a request have arrived ([`ReadFilter`]) |
//! | Reading | Busy | the body of the request was read to its end |
//! | Reading, Busy | Idle | the response to the request is built |
//! | any | Lingering | HTTP on the connection has ended, and this process closes it ([`lingering_close()`]) |

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

/// Maximum number of bytes that are read from a connection's socket at once.
pub const READ_CHUNK_BYTES: usize = 4096;
/// Maximum size of the head of a request, in bytes. hyper's read buffer has the same limit.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum time without progress in writing a response. A remote end that reads no byte for this long is
/// treated as disconnected.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// State of a connection, in the order in which connections are evicted when descriptors run low.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionState {
    /// This process has sent its last byte and discards all data that the remote end still sends.
    Lingering,
    /// No byte has arrived yet.
    New,
    /// A request has begun to arrive and is not read to its end.
    Reading,
    /// The connection is between two requests.
    Idle,
    /// A request was read to its end and is not answered.
    Busy,
}

/// Reason for which a connection ends immediately, without further writes.
#[derive(Clone, Copy, Debug)]
pub enum AbortReason {
    /// The peer process of this node serves the client of the connection.
    JobMigrated,
    /// The remote end reads nothing of the data that is written to it.
    PeerReadsNothing,
}

/// An accepted connection, shared by the task that serves it and the tasks that may close it.
pub struct Connection {
    /// Number of the connection in the log.
    number: u64,
    state: Cell<ConnectionState>,
    /// Time at which the connection entered its state, or was last chosen for eviction.
    state_since: Cell<Instant>,
    /// Time at which the request that is being read began. For the first request, the time at which the
    /// connection was accepted.
    request_started_at: Cell<Instant>,
    /// Time at which the last byte of the request that is being read arrived.
    last_progress_at: Cell<Instant>,
    is_worker: Cell<bool>,
    /// Whether a graceful close was requested in a state before [`ConnectionState::Idle`], for example
    /// because a request has timed out or the connection is evicted. The read then ends, and an incomplete
    /// request is not served, unless data has arrived that was not read yet.
    read_expired: Cell<bool>,
    is_last_request: Cell<bool>,
    /// Whether hyper reads a substitute for an incomplete request, so that the service rejects that request.
    is_request_rejected: Cell<bool>,
    /// Notification that wakes the serving task after `aborted` or `read_expired` was set. If neither is set,
    /// the connection closes as soon as it carries no request.
    close_requested: Notify,
    /// Waker of the reader that waits until the current request is answered.
    read_waker: RefCell<Option<Waker>>,
    /// Time since which the remote end has read nothing of the data that is written to it. `None` if no write
    /// is blocked.
    write_blocked_since: Cell<Option<Instant>>,
    /// Whether the connection ends immediately, without further writes, for one of the reasons in
    /// [`AbortReason`].
    aborted: Cell<bool>,
}

impl Connection {
    /// Creates a connection that was just accepted. `number` identifies it in the log.
    pub fn new(number: u64) -> Connection {
        Connection {
            number,
            state: Cell::new(ConnectionState::New),
            state_since: Cell::new(Instant::now()),
            request_started_at: Cell::new(Instant::now()),
            last_progress_at: Cell::new(Instant::now()),
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

    /// Returns the number of the connection in the log.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the state of the connection.
    pub fn state(&self) -> ConnectionState {
        self.state.get()
    }

    /// Returns the time at which the connection entered its state, or was last chosen for eviction.
    pub fn state_since(&self) -> Instant {
        self.state_since.get()
    }

    /// Enters a state and wakes the reader that waits for a change of state.
    pub fn enter(&self, state: ConnectionState) {
        let (connection, from) = (self.number, self.state.get());
        trace!(target: SERVER, connection, ?from, to = ?state, "connection state changed");
        let now = Instant::now();
        if state == ConnectionState::Reading && self.state.get() != ConnectionState::New {
            self.request_started_at.set(now);
        }
        self.state.set(state);
        self.state_since.set(now);
        self.last_progress_at.set(now);
        if let Some(waker) = self.read_waker.take() {
            waker.wake();
        }
    }

    /// Returns the time since the request that is being read began.
    pub fn request_age(&self) -> Duration {
        self.request_started_at.get().elapsed()
    }

    /// Marks the remote end as a worker, which sends callbacks. The connection stays open while this node
    /// drains, because the node waits for those callbacks.
    pub fn mark_as_worker(&self) {
        self.is_worker.set(true);
    }

    /// Returns whether the remote end is a worker.
    pub fn is_worker(&self) -> bool {
        self.is_worker.get()
    }

    /// Marks the current request as the last one: the connection closes after its response.
    pub fn mark_last_request(&self) {
        self.is_last_request.set(true);
    }

    /// Returns whether the connection closes after the current request. This is the case if only hyper can
    /// determine the end of the request, if too much data has arrived after it, if a close was requested
    /// while it was arriving, or if it is rejected as incomplete.
    pub fn is_last_request(&self) -> bool {
        self.is_last_request.get()
    }

    /// Marks the incomplete request that is arriving as rejected: it is answered with a rejection, and the
    /// connection closes after that response.
    fn mark_request_rejected(&self) {
        self.is_request_rejected.set(true);
        self.is_last_request.set(true);
    }

    /// Returns whether the request that hyper has read is a substitute for an incomplete request, which is
    /// rejected.
    pub fn is_request_rejected(&self) -> bool {
        self.is_request_rejected.get()
    }

    /// Completes once a close has been requested after the last completion.
    pub fn close_requested(&self) -> Notified<'_> {
        self.close_requested.notified()
    }

    /// Returns whether the connection must end immediately, without further writes.
    pub fn is_aborted(&self) -> bool {
        self.aborted.get()
    }

    /// Returns whether a graceful close was requested in a state before [`ConnectionState::Idle`], and its
    /// effect on the read is still pending.
    pub fn is_read_expired(&self) -> bool {
        self.read_expired.get()
    }

    /// Requests a graceful close, which is safe between two requests. In a state before
    /// [`ConnectionState::Idle`], also ends the read; see `read_expired`.
    pub fn close_gracefully(&self, reason: CloseReason) {
        let (connection, state) = (self.number, self.state.get());
        debug!(target: SERVER, connection, ?state, ?reason, "connection close requested");
        self.read_expired.set(self.state.get() < ConnectionState::Idle);
        self.close_requested.notify_one();
    }

    /// Requests an immediate end, without further writes.
    pub fn abort(&self, reason: AbortReason) {
        let (connection, state) = (self.number, self.state.get());
        debug!(target: SERVER, connection, ?state, ?reason, "connection aborted");
        self.aborted.set(true);
        self.close_requested.notify_one();
    }

    /// Returns whether the remote end has read nothing of the data that is written to it for at least
    /// `duration`.
    pub fn is_write_blocked_for(&self, duration: Duration) -> bool {
        self.write_blocked_since.get().is_some_and(|since| since.elapsed() >= duration)
    }

    /// Requests the close of the connection, to free its descriptor. Aborts the connection if the remote end
    /// reads nothing.
    pub fn evict(&self) {
        // A graceful close would wait forever for a remote end that reads nothing.
        if self.is_write_blocked_for(STALL_TIMEOUT) {
            self.abort(AbortReason::PeerReadsNothing);
        } else {
            self.close_gracefully(CloseReason::Eviction);
        }
        // This prevents the connection from being chosen again immediately.
        self.state_since.set(Instant::now());
    }

    /// Records whether a write made progress, and returns its result unchanged.
    fn track_write<T>(&self, written: Poll<T>) -> Poll<T> {
        let blocked_since = self.write_blocked_since.get().unwrap_or_else(Instant::now);
        self.write_blocked_since.set(written.is_pending().then_some(blocked_since));
        written
    }

    /// Returns whether the client can be redirected safely: no part of a request has arrived, for long enough
    /// that none is likely to be in transit. A client that is sending a request may complete it.
    pub fn is_redirectable(&self) -> bool {
        !self.is_worker.get() && self.may_close(CloseReason::Redirection).is_ok()
    }

    /// Returns whether the connection may be evicted. A new connection may not be evicted for a short time,
    /// because a request may have been sent that has not been read yet.
    pub fn is_evictable(&self) -> bool {
        self.may_close(CloseReason::Eviction).is_ok()
    }

    /// Returns whether the connection may be closed for this reason without losing a request.
    ///
    /// # Errors
    /// The reason for which the connection has to stay open.
    pub fn may_close(&self, reason: CloseReason) -> Result<(), Denial> {
        may_close_connection(self.current_use(), reason)
    }

    /// Returns the current use of the connection, which determines whether the connection may be closed.
    fn current_use(&self) -> ConnectionUse {
        let age = self.state_since.get().elapsed();
        let request_age = self.request_age();
        match self.state.get() {
            ConnectionState::Lingering => ConnectionUse::Lingering,
            ConnectionState::New => ConnectionUse::New { age, request_age },
            ConnectionState::Reading => {
                ConnectionUse::Reading { request_age, stalled_for: self.last_progress_at.get().elapsed() }
            }
            ConnectionState::Idle => ConnectionUse::Idle { age },
            ConnectionState::Busy => ConnectionUse::Busy,
        }
    }
}
