//! Server of one worker: its listener, its connections, and the requests on them. The worker pool decides on
//! the jobs, and the server sends the decisions to the nodes.

use std::convert::Infallible;
use std::time::Duration;

use curlewusher_model::worker_pool::WorkerIndex;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};
use tokio::time::sleep;

use super::http_response::{HttpResponse, respond};
use super::message::{Admission, AttemptArrival, FleetMessage};
use super::reserved_port::ReservedPort;
use super::sent_requests::SentRequests;
use crate::event_log::EventLog;

/// Header with the id of a request.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header of the rejection of a job that has not run.
const NOT_RUN_HEADER: &str = "x-not-run";
/// Delay before the next attempt to open a listener after a failure, for example a lack of file descriptors.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// State of a worker's process that its sockets show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerState {
    /// Connections and requests are served.
    Open,
    /// Connections are accepted and requests are read, but no responses are sent.
    Unresponsive,
    /// New connections are refused, and open connections are reset.
    Closed,
}

/// Server of one worker.
#[derive(Clone)]
pub(super) struct WorkerServer {
    pub(super) worker: WorkerIndex,
    pub(super) messages: UnboundedSender<FleetMessage>,
    pub(super) sent_requests: SentRequests,
    pub(super) log: EventLog,
    pub(super) state: watch::Receiver<ListenerState>,
}

impl WorkerServer {
    /// Listens at the worker's port while its process runs. Returns when the fleet has shut down.
    pub(super) async fn run(mut self, port: ReservedPort) {
        loop {
            if *self.state.borrow_and_update() == ListenerState::Closed {
                if self.state.changed().await.is_err() {
                    return;
                }
                continue;
            }
            match port.listen() {
                Ok(listener) => {
                    if self.accept_connections(listener).await.is_err() {
                        return;
                    }
                }
                Err(_) => sleep(LISTEN_RETRY_DELAY).await,
            }
        }
    }

    /// Accepts connections until the worker's process exits. Fails when the fleet has shut down.
    async fn accept_connections(&mut self, listener: TcpListener) -> Result<(), watch::error::RecvError> {
        while *self.state.borrow_and_update() != ListenerState::Closed {
            tokio::select! {
                changed = self.state.changed() => changed?,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    tokio::spawn(self.clone().serve_connection(stream));
                }
            }
        }
        Ok(())
    }

    /// Serves one connection until it closes or the worker's process exits.
    async fn serve_connection(self, stream: TcpStream) {
        // A failure to set the option is ignored: without it, the connection is only slower.
        let _ = stream.set_nodelay(true);
        // The exit of the process resets its connections. The option fails only on a closed connection.
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        let mut state = self.state.clone();
        let service = service_fn(move |request| {
            let server = self.clone();
            async move { Ok::<_, Infallible>(server.respond(request).await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let process_exit = async {
            // An error means that the fleet has shut down, which closes the connection too.
            let _ = state.wait_for(|state| *state == ListenerState::Closed).await;
        };
        tokio::select! {
            _ = connection => {}
            () = process_exit => {}
        }
    }

    async fn respond(self, request: Request<Incoming>) -> HttpResponse {
        match *request.method() {
            Method::DELETE => self.cancel_attempt(request).await,
            Method::POST => self.receive_attempt(request).await,
            _ => respond(StatusCode::NOT_FOUND, "nothing is here\n"),
        }
    }

    async fn cancel_attempt(self, request: Request<Incoming>) -> HttpResponse {
        let Some(request_id) = request.uri().path().strip_prefix("/jobs/").map(str::to_owned) else {
            return respond(StatusCode::NOT_FOUND, "nothing is here\n");
        };
        self.send(FleetMessage::CancelAttempt { worker: self.worker, request_id });
        self.delay_while_unresponsive(respond(StatusCode::NO_CONTENT, "")).await
    }

    async fn receive_attempt(self, request: Request<Incoming>) -> HttpResponse {
        let head_received_at = self.log.now();
        let id_header = request.headers().get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
        let Some(request_id) = id_header.map(str::to_owned) else {
            return respond(StatusCode::NOT_FOUND, "no id\n");
        };
        let Some(origin) = self.sent_requests.origin_of(&request_id) else {
            return respond(StatusCode::BAD_REQUEST, "no client sent this\n");
        };
        if request.into_body().collect().await.is_err() {
            return respond(StatusCode::BAD_REQUEST, "half a body\n");
        }
        let mut disconnect_guard = DisconnectGuard {
            worker: self.worker,
            request_id: Some(request_id.clone()),
            messages: self.messages.clone(),
        };
        let (admission, decision) = oneshot::channel();
        let worker = self.worker;
        self.send(FleetMessage::AttemptArrived(AttemptArrival {
            worker,
            request_id,
            origin,
            head_received_at,
            admission,
        }));
        let response = match decision.await.unwrap_or(Admission::Rejected) {
            Admission::Accepted => respond(StatusCode::ACCEPTED, ""),
            Admission::Rejected => rejection(),
        };
        let response = self.delay_while_unresponsive(response).await;
        disconnect_guard.disarm();
        response
    }

    /// Delays a response while the worker is unresponsive.
    async fn delay_while_unresponsive(mut self, response: HttpResponse) -> HttpResponse {
        // An error means that the fleet has shut down. No node waits for the response then.
        let _ = self.state.wait_for(|state| *state != ListenerState::Unresponsive).await;
        response
    }

    fn send(&self, message: FleetMessage) {
        // Fails only when the fleet has shut down, which closes its connections too.
        let _ = self.messages.send(message);
    }
}

fn rejection() -> HttpResponse {
    let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, "full\n");
    response.headers_mut().insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
    response
}

/// Guard that cancels an attempt if its connection closes before the response is ready.
struct DisconnectGuard {
    worker: WorkerIndex,
    /// Request id of the attempt. `None` once the response is ready.
    request_id: Option<String>,
    messages: UnboundedSender<FleetMessage>,
}

impl DisconnectGuard {
    fn disarm(&mut self) {
        self.request_id = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(request_id) = self.request_id.take() {
            // Fails only when the fleet has shut down.
            let _ = self.messages.send(FleetMessage::CancelAttempt { worker: self.worker, request_id });
        }
    }
}
