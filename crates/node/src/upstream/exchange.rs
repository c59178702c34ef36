//! One request to a worker and its response, over a pooled connection.
//!
//! A request is sent once. It is sent over another connection only if its connection closed before a byte of it
//! was written. If it may have arrived without a response, the outcome states that, and the caller
//! decides what that means.

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
use crate::upstream::payload::{UpstreamRequest, set_time_left};
use crate::upstream::pool::connection::{ConnectError, Connection, ConnectionOrigin, RequestError};
use crate::upstream::pool::{ConnectionChoice, ConnectionPool};

/// In a rejection: `1` if the worker has not run the job and never will.
const X_NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// How long a response is waited for after the attempt was cancelled. It may be under way, and with it the
/// connection can be kept.
const RESPONSE_GRACE_AFTER_CANCEL: Duration = Duration::from_millis(20);

/// A request to be sent.
pub struct Exchange<'a> {
    /// The worker.
    pub address: SocketAddr,
    /// The request.
    pub request: UpstreamRequest,
    /// Which connections may carry it.
    pub connection_choice: ConnectionChoice,
    /// When the client stops waiting, which the request states as the time that is left when it is sent. None: the
    /// request states nothing.
    pub client_deadline: Option<Instant>,
    /// Checked once there is a connection, which is kept if the permit is no longer valid, and once more
    /// by the socket before the first byte.
    pub send_permit: &'a Rc<SendPermit>,
    /// Ends the exchange early.
    pub cancel: &'a mut CancelSignal,
    /// How long the response is waited for once there is a connection.
    pub response_timeout: Duration,
    /// What becomes of bytes that the system still holds when the exchange ends without a response.
    pub unsent_bytes: UnsentBytes,
}

/// What becomes of the bytes of a request that the worker's system has not received when its exchange ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsentBytes {
    /// The system continues to deliver them: the request may still be of use.
    Deliver,
    /// They are discarded, and the connection is reset: another attempt may follow, beside which this one must not arrive.
    Discard,
}

/// Whether a request may have arrived at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// No byte of it was written.
    NotWritten,
    /// At least one byte of it was written.
    MayHaveArrived,
}

/// How an exchange ended.
pub enum ExchangeOutcome {
    /// A response, whose connection returns to the pool.
    Response {
        /// Its status.
        status: StatusCode,
        /// Whether it states that the job was not run.
        not_run: bool,
    },
    /// The worker refused the connection.
    Refused,
    /// There was no connection, and nothing was sent.
    Unreachable,
    /// The send permit became invalid before a byte was written.
    PermitInvalid,
    /// The connection broke before a byte of a response; the request may have arrived.
    ConnectionLost {
        /// Origin of the connection.
        connection: ConnectionOrigin,
    },
    /// The bytes received are no HTTP response or a part of one; the connection was closed. The worker may have accepted
    /// the request.
    MalformedResponse,
    /// No response in time; the connection was closed.
    TimedOut {
        /// Origin of the connection.
        connection: ConnectionOrigin,
    },
    /// Cancelled before a response; the connection was closed if there was one.
    Cancelled {
        /// Whether the request may have arrived.
        delivery: Delivery,
    },
}

/// How a request on one connection ended.
enum SendOutcome {
    Response(Response<Incoming>),
    Failed(RequestError),
    TimedOut,
    Cancelled,
}

impl Exchange<'_> {
    /// Sends the request and waits for its response.
    pub async fn run(mut self, pool: &Rc<ConnectionPool>) -> ExchangeOutcome {
        loop {
            if let Some(outcome) = self.try_once(pool).await {
                return outcome;
            }
        }
    }

    /// `None` if a reused connection had closed and nothing was written, so that the request may be sent
    /// over another.
    async fn try_once(&mut self, pool: &Rc<ConnectionPool>) -> Option<ExchangeOutcome> {
        let mut connection = match self.obtain_connection(pool).await {
            Ok(connection) => connection,
            Err(outcome) => return Some(outcome),
        };
        let origin = connection.origin();
        let traffic = connection.traffic();
        match self.send(&mut connection).await {
            SendOutcome::Response(response) => {
                Some(keep_connection(pool, self.address, connection, response))
            }
            SendOutcome::TimedOut => {
                self.end_connection(connection).await;
                Some(ExchangeOutcome::TimedOut { connection: origin })
            }
            SendOutcome::Cancelled => {
                self.end_connection(connection).await;
                let delivery =
                    if traffic.request_written() { Delivery::MayHaveArrived } else { Delivery::NotWritten };
                Some(ExchangeOutcome::Cancelled { delivery })
            }
            SendOutcome::Failed(error) => {
                self.end_connection(connection).await;
                if error.is_malformed_response(&traffic) {
                    pool.record_malformed_response(self.address, &error.to_string());
                    return Some(ExchangeOutcome::MalformedResponse);
                }
                self.classify_failure(&error, origin)
            }
        }
    }

    async fn end_connection(&self, connection: Connection) {
        match self.unsent_bytes {
            UnsentBytes::Deliver => connection.close().await,
            UnsentBytes::Discard => connection.reset().await,
        }
    }

    async fn obtain_connection(&mut self, pool: &ConnectionPool) -> Result<Connection, ExchangeOutcome> {
        tokio::select! {
            biased;
            () = self.cancel.received() => Err(ExchangeOutcome::Cancelled { delivery: Delivery::NotWritten }),
            // Ends a dial that is under way, which returns its connection permit.
            () = self.send_permit.invalidated() => Err(ExchangeOutcome::PermitInvalid),
            connection = pool.obtain(self.address, self.connection_choice) => connection.map_err(|error| match error {
                ConnectError::Refused(_) => ExchangeOutcome::Refused,
                ConnectError::Unreachable(_) => ExchangeOutcome::Unreachable,
            }),
        }
    }

    async fn send(&mut self, connection: &mut Connection) -> SendOutcome {
        let traffic = connection.traffic();
        let mut request = self.request.clone();
        if let Some(deadline) = self.client_deadline {
            set_time_left(&mut request, deadline.saturating_duration_since(Instant::now()));
        }
        let response = connection.send(request, self.send_permit.clone());
        let mut response = pin!(timeout(self.response_timeout, response));
        let result = tokio::select! {
            biased;
            () = self.cancel.received() => {
                // What has not been written by now never is.
                if !traffic.request_written() {
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

    fn classify_failure(
        &self,
        error: &RequestError,
        connection: ConnectionOrigin,
    ) -> Option<ExchangeOutcome> {
        match error {
            RequestError::NothingWritten(_) if self.cancel.is_received() => {
                Some(ExchangeOutcome::Cancelled { delivery: Delivery::NotWritten })
            }
            RequestError::NothingWritten(_) if !self.send_permit.is_valid() => {
                Some(ExchangeOutcome::PermitInvalid)
            }
            RequestError::NothingWritten(_) if connection == ConnectionOrigin::Dialled => {
                Some(ExchangeOutcome::Unreachable)
            }
            RequestError::NothingWritten(_) => None,
            RequestError::ConnectionLost(_) => Some(ExchangeOutcome::ConnectionLost { connection }),
            RequestError::MalformedResponse(_) => Some(ExchangeOutcome::MalformedResponse),
        }
    }
}

/// Reads the rest of the response in a task of its own, which returns the connection to the pool.
fn keep_connection(
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
