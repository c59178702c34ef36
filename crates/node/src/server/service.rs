//! Runs HTTP on one connection and routes its requests to their handlers.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::os::fd::OwnedFd;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpStream;
use tracing::{debug, trace};

use super::connection::{
    Connection, ConnectionState, FilteredStream, MAX_HEAD_BYTES, ReadFilter, lingering_close,
};
use super::error::RequestError;
use super::request::is_job_path;
use super::response::{self, HttpResponse};
use super::state::ServerState;
use crate::telemetry::logging::SERVER;
use crate::telemetry::metrics::Counter;

/// HTTP service of one connection. The modules `job_handler` and `callback_handler` implement the handlers of
/// jobs and callbacks.
#[derive(Clone)]
pub struct ConnectionService {
    pub(super) state: Rc<ServerState>,
    pub(super) connection: Rc<Connection>,
    /// Filter through which hyper reads from the connection. Dropped once HTTP has ended on the connection.
    read_filter: Weak<RefCell<ReadFilter>>,
}

/// Method of closing a connection on which HTTP has ended.
#[derive(PartialEq, Eq)]
enum CloseMode {
    /// This process shuts the write side down and lingers.
    Linger,
    /// The socket is dropped at once: the remote end has closed the connection, the peer process of this node
    /// has adopted it, or the remote end reads nothing.
    Immediate,
}

/// Serves an accepted connection until it is closed.
pub async fn serve_connection(state: Rc<ServerState>, connection: Rc<Connection>, stream: TcpStream) {
    // If this fails, responses may be delayed by the delayed acknowledgements of the remote end, but they
    // still arrive.
    let _ = stream.set_nodelay(true);
    let read_filter =
        ReadFilter::new(stream, connection.clone(), state.metrics.clone(), state.intake_closed.clone());
    let read_filter = Rc::new(RefCell::new(read_filter));
    let service =
        ConnectionService { state, connection: connection.clone(), read_filter: Rc::downgrade(&read_filter) };
    let close_mode = service.run_http(&connection, &read_filter).await;
    if close_mode == CloseMode::Linger
        && let Ok(read_filter) = Rc::try_unwrap(read_filter)
    {
        lingering_close(read_filter.into_inner().into_stream(), &connection).await;
    }
}

impl ConnectionService {
    /// Serves the requests of the connection with hyper.
    async fn run_http(self, connection: &Connection, read_filter: &Rc<RefCell<ReadFilter>>) -> CloseMode {
        let stream = TokioIo::new(FilteredStream::new(read_filter.clone()));
        let http = http1::Builder::new()
            // The server enforces the timeouts itself. The timeout of a head starts with its first byte.
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(stream, TowerToHyperService::new(self));
        let mut http = pin!(http);
        loop {
            tokio::select! {
                biased;
                // The result makes no difference here: an open job reports its end when it is dropped.
                _ = http.as_mut() => {
                    let (connection, state) = (connection.number(), connection.state());
                    trace!(target: SERVER, connection, ?state, "connection carries no more requests");
                    return CloseMode::Linger;
                },
                () = connection.close_requested() => {
                    if connection.is_aborted() {
                        return CloseMode::Immediate;
                    }
                    if connection.state() == ConnectionState::Reading
                        || read_filter.borrow().has_pending_input()
                    {
                        // hyper does not see an incomplete head and would close the connection although a
                        // request has just begun. That request is read to its end and is the last one.
                        connection.mark_last_request();
                        let (connection, state) = (connection.number(), connection.state());
                        debug!(target: SERVER, connection, ?state, "connection close deferred");
                    } else if !connection.is_read_expired() {
                        // An expired connection ends with the result of the filter's next poll.
                        http.as_mut().graceful_shutdown();
                    }
                },
                // Polled last, because a remote end that floods the connection uses up the task's budget
                // here.
                () = poll_fn(|context| read_filter.borrow_mut().poll_disconnected(context)) =>
                    return CloseMode::Immediate,
            }
        }
    }

    /// Handles a request and returns its response.
    async fn respond(self, request: Request<Incoming>) -> HttpResponse {
        let mut response = if self.connection.is_request_rejected() {
            self.state.reject_job()
        } else {
            self.handle(request).await
        };
        self.connection.enter(ConnectionState::Idle);
        if self.closes_after_response() {
            response::set_connection_close(&mut response);
        }
        response
    }

    /// Routes a request to its handler.
    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        let outcome = match Route::of(request.method(), request.uri().path()) {
            Route::Job => self.handle_job(request).await,
            Route::Callback => self.handle_callback(request).await,
            Route::Readiness => Ok(response::readiness(self.state.lifecycle.phase())),
            Route::Metrics => Ok(response::metrics(self.state.metrics.encode())),
            Route::MethodNotAllowed { allowed } => Ok(response::method_not_allowed(allowed)),
            Route::NotFound => Err(RequestError::NotFound),
        };
        outcome.unwrap_or_else(|error| self.reject_request(&error))
    }

    /// Builds the response to a request that is not served. The connection is closed afterwards, to free its
    /// descriptor.
    fn reject_request(&self, error: &RequestError) -> HttpResponse {
        self.state.metrics.add(Counter::RequestsMalformed);
        debug!(target: SERVER, status = error.status().as_u16(), reason = %error, "request rejected");
        let mut response = response::from_error(error);
        response::set_connection_close(&mut response);
        response
    }

    /// Duplicates the connection's descriptor for the migration of its job.
    pub(super) fn duplicate_socket(&self) -> Option<OwnedFd> {
        self.read_filter.upgrade()?.borrow().duplicate_socket()
    }

    /// Returns a function that checks whether the remote end has disconnected. Once HTTP has ended on the
    /// connection, the function returns false: the server then reports the disconnection itself, or another
    /// process owns the connection.
    pub(super) fn disconnect_probe(&self) -> impl Fn() -> bool + 'static {
        let read_filter = self.read_filter.clone();
        move || {
            let read_filter = read_filter.upgrade();
            read_filter.is_some_and(|filter| filter.try_borrow().is_ok_and(|filter| filter.is_disconnected()))
        }
    }

    /// Returns whether the connection closes after the response that is being built.
    fn closes_after_response(&self) -> bool {
        let redirects = self.state.lifecycle.phase().redirects_clients() && !self.connection.is_worker();
        redirects || self.connection.is_last_request() || self.state.intake_closed.get()
    }
}

impl tower::Service<Request<Incoming>> for ConnectionService {
    type Response = HttpResponse;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let respond = self.clone().respond(request);
        Box::pin(async { Ok(respond.await) })
    }
}

/// Route of a request: its handler, or the reason for which it is not served.
enum Route {
    Job,
    Callback,
    Readiness,
    Metrics,
    MethodNotAllowed { allowed: &'static str },
    NotFound,
}

impl Route {
    fn of(method: &Method, path: &str) -> Route {
        const GET: &str = "GET";
        const POST: &str = "POST";
        let (route, allowed) = match path {
            "/callback" => (Route::Callback, POST),
            "/ready" => (Route::Readiness, GET),
            "/metrics" => (Route::Metrics, GET),
            _ if is_job_path(path) => (Route::Job, POST),
            _ => return Route::NotFound,
        };
        if method.as_str() == allowed { route } else { Route::MethodNotAllowed { allowed } }
    }
}
