//! One request to a worker and its response, over a pooled connection.
//!
//! A request is sent once. It is sent over another connection only if the first one closed before a byte of
//! the request was written. If the request may have arrived without a response, the outcome states that, and
//! the caller decides how to proceed.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::{Response, StatusCode};
use tokio::time::{Instant, timeout};

use crate::attempt::CancelSignal;
use crate::attempt::SendPermit;
use crate::upstream::payload::{UpstreamRequest, set_deadline_header};
use crate::upstream::pool::connection::{ConnectError, Connection, ConnectionOrigin, RequestError};
use crate::upstream::pool::{ConnectionChoice, ConnectionPool};

/// Header of a rejection: `1` if the worker has not run the job and never will.
const X_NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Time for which a response is awaited after a request was cancelled of which at least one byte was written.
/// The response may be in transit, and once it is received, the connection can be reused.
const RESPONSE_GRACE_AFTER_CANCEL: Duration = Duration::from_millis(20);

/// One request to a worker, and the conditions for sending it.
pub struct Exchange<'a> {
    /// Address of the worker.
    pub address: SocketAddr,
    /// Request to be sent.
    pub request: UpstreamRequest,
    /// Connections that may carry the request.
    pub connection_choice: ConnectionChoice,
    /// Time at which the client stops waiting. The request states the time that is left when it is sent. If
    /// `None`, the request states no deadline.
    pub client_deadline: Option<Instant>,
    /// Permit for the first byte. If it becomes invalid before there is a connection, the exchange ends: a
    /// reserved idle connection returns to the pool, and a dial is aborted. The socket checks the permit once
    /// more before the first byte.
    pub send_permit: &'a Rc<SendPermit>,
    /// Signal that ends the exchange early.
    pub cancel: &'a mut CancelSignal,
    /// Maximum time to wait for the response once there is a connection.
    pub response_timeout: Duration,
    /// Handling of the bytes that the operating system still holds when the exchange ends without a response.
    pub unsent_bytes: UnsentBytes,
}

/// Handling of the bytes of a request that the worker's system has not received when the exchange ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsentBytes {
    /// The operating system continues to deliver the bytes, because the request may still be of use.
    Deliver,
    /// The bytes are discarded and the connection is reset. Another attempt may follow, and the request must
    /// not arrive in addition to it.
    Discard,
}

/// Delivery state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// No byte of the request was written.
    NotWritten,
    /// At least one byte of the request was written, so that it may have arrived at the worker.
    MayHaveArrived,
}

/// Outcome of an exchange.
pub enum ExchangeOutcome {
    /// A response was received. Its connection returns to the pool.
    Response {
        /// Status of the response.
        status: StatusCode,
        /// Whether the response states that the job was not run.
        not_run: bool,
    },
    /// The worker refused the connection.
    Refused,
    /// No connection was established, or a new connection closed before a byte of the request was written.
    /// Nothing was sent.
    Unreachable,
    /// The send permit became invalid before a byte was written.
    PermitInvalid,
    /// The connection broke before a byte of a response was received. The request may have arrived.
    ConnectionLost {
        /// Origin of the connection.
        origin: ConnectionOrigin,
    },
    /// The received bytes are a malformed or partial HTTP response, and the connection was closed. The worker
    /// may have accepted the request.
    MalformedResponse,
    /// No response arrived in time, and the connection was closed.
    TimedOut {
        /// Origin of the connection.
        origin: ConnectionOrigin,
    },
    /// The exchange was cancelled before a response. The connection, if there was one, was closed.
    Cancelled {
        /// Delivery state of the request.
        delivery: Delivery,
    },
}

/// Outcome of a request on one connection.
enum SendOutcome {
    Response(Response<Incoming>),
    Failed(RequestError),
    TimedOut,
    Cancelled,
}

impl Exchange<'_> {
    /// Sends the request and waits for its response. Sends the request again over another connection as
    /// long as a reused connection closes before a byte was written.
    pub async fn run(mut self, pool: &Rc<ConnectionPool>) -> ExchangeOutcome {
        loop {
            if let Some(outcome) = self.try_once(pool).await {
                return outcome;
            }
        }
    }

    /// Sends the request over one connection. Returns `None` if a reused connection had closed and nothing
    /// was written, so that the request may be sent over another connection.
    async fn try_once(&mut self, pool: &Rc<ConnectionPool>) -> Option<ExchangeOutcome> {
        let mut connection = match self.obtain_connection(pool).await {
            Ok(connection) => connection,
            Err(outcome) => return Some(outcome),
        };
        let origin = connection.origin();
        let socket_state = connection.socket_state();
        match self.send(&mut connection).await {
            SendOutcome::Response(response) => {
                Some(recycle_connection(pool, self.address, connection, response))
            }
            SendOutcome::TimedOut => {
                self.close_or_reset(connection).await;
                Some(ExchangeOutcome::TimedOut { origin })
            }
            SendOutcome::Cancelled => {
                self.close_or_reset(connection).await;
                let delivery = if socket_state.has_written_request_byte() {
                    Delivery::MayHaveArrived
                } else {
                    Delivery::NotWritten
                };
                Some(ExchangeOutcome::Cancelled { delivery })
            }
            SendOutcome::Failed(error) => {
                self.close_or_reset(connection).await;
                if error.is_malformed_response(&socket_state) {
                    pool.record_malformed_response(self.address, &error.to_string());
                    return Some(ExchangeOutcome::MalformedResponse);
                }
                self.classify_failure(&error, origin)
            }
        }
    }

    async fn close_or_reset(&self, connection: Connection) {
        match self.unsent_bytes {
            UnsentBytes::Deliver => connection.close().await,
            UnsentBytes::Discard => connection.reset().await,
        }
    }

    async fn obtain_connection(&mut self, pool: &ConnectionPool) -> Result<Connection, ExchangeOutcome> {
        tokio::select! {
            biased;
            () = self.cancel.received() => Err(ExchangeOutcome::Cancelled { delivery: Delivery::NotWritten }),
            // Ends a dial in progress, which releases its connection permit.
            () = self.send_permit.invalidated() => Err(ExchangeOutcome::PermitInvalid),
            connection = pool.obtain(self.address, self.connection_choice) => connection.map_err(|error| match error {
                ConnectError::Refused(_) => ExchangeOutcome::Refused,
                ConnectError::Unreachable(_) => ExchangeOutcome::Unreachable,
            }),
        }
    }

    async fn send(&mut self, connection: &mut Connection) -> SendOutcome {
        let socket_state = connection.socket_state();
        let mut request = self.request.clone();
        if let Some(deadline) = self.client_deadline {
            set_deadline_header(&mut request, deadline.saturating_duration_since(Instant::now()));
        }
        let response = connection.send(request, self.send_permit.clone());
        let mut response = pin!(timeout(self.response_timeout, response));
        let result = tokio::select! {
            biased;
            () = self.cancel.received() => {
                // A request of which no byte was written by now is never sent.
                if !socket_state.has_written_request_byte() {
                    return SendOutcome::Cancelled;
                }
                match timeout(RESPONSE_GRACE_AFTER_CANCEL, response.as_mut()).await {
                    Ok(result) => result,
                    Err(_) => return SendOutcome::Cancelled,
                }
            }
            result = response.as_mut() => result,
        };
        match result {
            Ok(Ok(response)) => SendOutcome::Response(response),
            Ok(Err(error)) => SendOutcome::Failed(error),
            Err(_) => SendOutcome::TimedOut,
        }
    }

    fn classify_failure(&self, error: &RequestError, origin: ConnectionOrigin) -> Option<ExchangeOutcome> {
        match error {
            RequestError::NothingWritten(_) if self.cancel.is_received() => {
                Some(ExchangeOutcome::Cancelled { delivery: Delivery::NotWritten })
            }
            RequestError::NothingWritten(_) if !self.send_permit.is_valid() => {
                Some(ExchangeOutcome::PermitInvalid)
            }
            RequestError::NothingWritten(_) if origin == ConnectionOrigin::Dialled => {
                Some(ExchangeOutcome::Unreachable)
            }
            RequestError::NothingWritten(_) => None,
            RequestError::ConnectionLost(_) => Some(ExchangeOutcome::ConnectionLost { origin }),
            RequestError::MalformedResponse(_) => Some(ExchangeOutcome::MalformedResponse),
        }
    }
}

/// Spawns a task that reads the rest of the response and returns the connection to the pool. Returns the
/// outcome of the exchange.
fn recycle_connection(
    pool: &Rc<ConnectionPool>,
    address: SocketAddr,
    connection: Connection,
    response: Response<Incoming>,
) -> ExchangeOutcome {
    let status = response.status();
    let not_run = response.headers().get(X_NOT_RUN).is_some_and(|value| value == "1");
    let pool = pool.clone();
    tokio::task::spawn_local(async move { pool.recycle(address, connection, response).await });
    ExchangeOutcome::Response { status, not_run }
}
