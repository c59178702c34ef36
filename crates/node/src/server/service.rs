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

/// The server for one connection. Handlers of requests are in the modules of their concern.
#[derive(Clone)]
pub struct ConnectionService {
    pub(super) state: Rc<ServerState>,
    pub(super) connection: Rc<Connection>,
    /// What hyper reads the connection through.
    read_filter: Weak<RefCell<ReadFilter>>,
}

/// Who closes a connection on which HTTP has ended.
#[derive(PartialEq, Eq)]
enum CloseBy {
    /// This process, with a lingering close.
    LingeringClose,
    /// Nobody any more: the peer has closed, the other process of this node has the connection, or the peer
    /// reads nothing.
    Drop,
}

/// Serves an accepted connection until it is closed.
pub async fn serve_connection(state: Rc<ServerState>, connection: Rc<Connection>, stream: TcpStream) {
    // Without it a response could wait for the peer's delayed acknowledgement, but would arrive.
    let _ = stream.set_nodelay(true);
    let read_filter =
        ReadFilter::new(stream, connection.clone(), state.metrics.clone(), state.intake_closed.clone());
    let read_filter = Rc::new(RefCell::new(read_filter));
    let service =
        ConnectionService { state, connection: connection.clone(), read_filter: Rc::downgrade(&read_filter) };
    let close_by = service.run_http(&connection, &read_filter).await;
    if close_by == CloseBy::LingeringClose
        && let Ok(read_filter) = Rc::try_unwrap(read_filter)
    {
        lingering_close(read_filter.into_inner().into_stream(), &connection).await;
    }
}

impl ConnectionService {
    /// Has hyper serve the requests of the connection.
    async fn run_http(self, connection: &Connection, read_filter: &Rc<RefCell<ReadFilter>>) -> CloseBy {
        let stream = TokioIo::new(FilteredStream::new(read_filter.clone()));
        let http = http1::Builder::new()
            // Timeouts are kept by `Connection`: that of a head begins with its first byte.
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(stream, TowerToHyperService::new(self));
        let mut http = pin!(http);
        loop {
            tokio::select! {
                biased;
                // Whether it ended well makes no difference here: an open job reports its end by its drop.
                _ = http.as_mut() => {
                    let (connection, state) = (connection.number(), connection.state());
                    trace!(target: SERVER, connection, ?state, "connection carries no more requests");
                    return CloseBy::LingeringClose;
                },
                () = connection.close_requested() => {
                    if connection.is_aborted() {
                        return CloseBy::Drop;
                    }
                    if connection.state() == ConnectionState::Reading
                        || read_filter.borrow().has_pending_input()
                    {
                        // hyper, which does not see half a head, would close over a request that has just
                        // begun. It is read to its end and is the last one.
                        connection.mark_last_request();
                        let (connection, state) = (connection.number(), connection.state());
                        debug!(target: SERVER, connection, ?state, "connection close deferred");
                    } else if !connection.is_read_expired() {
                        // An expired connection ends by what the filter returns when it is next polled.
                        http.as_mut().graceful_shutdown();
                    }
                },
                // Last, because a peer that floods the connection uses up the task's budget here.
                () = poll_fn(|context| read_filter.borrow_mut().poll_disconnected(context)) => return CloseBy::Drop,
            }
        }
    }

    /// Answers a request.
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

    /// The response to a request that is not served; its connection is closed to free its descriptor.
    fn reject_request(&self, error: &RequestError) -> HttpResponse {
        self.state.metrics.add(Counter::RequestsMalformed);
        debug!(target: SERVER, status = error.status().as_u16(), reason = %error, "request rejected");
        let mut response = response::from_error(error);
        response::set_connection_close(&mut response);
        response
    }

    /// A duplicate of the connection's descriptor, for the migration of its job.
    pub(super) fn duplicate_socket(&self) -> Option<OwnedFd> {
        self.read_filter.upgrade()?.borrow().duplicate_socket()
    }

    /// A function that looks whether the peer has disconnected. Once HTTP has ended on the connection it tells
    /// nothing: the server reports the disconnection, or another process has the connection.
    pub(super) fn disconnect_probe(&self) -> impl Fn() -> bool + 'static {
        let read_filter = self.read_filter.clone();
        move || {
            let read_filter = read_filter.upgrade();
            read_filter.is_some_and(|filter| filter.try_borrow().is_ok_and(|filter| filter.is_disconnected()))
        }
    }

    /// Whether the connection closes after the response that is made now.
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

/// The resource that a request names.
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
