//! Discovery servers, one for each node: their listeners, the duration of polls, and the streams of the
//! endpoint watches. `DiscoveryState` determines the content of the watches.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::error::FleetError;
use super::http_response::{HttpResponse, respond, stream};
use super::message::{DiscoveryServerId, EndpointPoll, FleetMessage};

/// Path of the endpoint list.
const ENDPOINTS_PATH: &str = "/v1/endpoints";
/// Maximum time that a poll may take, including its wait for earlier polls. A poll that takes longer fails.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the watches of a replaced server stay open.
const REPLACED_WATCH_LIFETIME: Duration = Duration::from_millis(1500);

/// Discovery servers of all nodes.
pub(super) struct DiscoveryServers {
    messages: UnboundedSender<FleetMessage>,
    running: Mutex<Vec<RunningServer>>,
    last_generation: Mutex<u64>,
    poll_turn: Arc<tokio::sync::Mutex<()>>,
    poll_duration: watch::Sender<Duration>,
}

struct RunningServer {
    id: DiscoveryServerId,
    task: JoinHandle<()>,
}

impl Drop for DiscoveryServers {
    fn drop(&mut self) {
        self.running.lock().iter().for_each(|server| server.task.abort());
    }
}

impl DiscoveryServers {
    /// Creates an empty set of servers. Each poll of a server takes `poll_duration`, after its wait for
    /// earlier polls.
    pub(super) fn new(messages: UnboundedSender<FleetMessage>, poll_duration: Duration) -> Self {
        DiscoveryServers {
            messages,
            running: Mutex::default(),
            last_generation: Mutex::default(),
            poll_turn: Arc::default(),
            poll_duration: watch::Sender::new(poll_duration),
        }
    }

    /// Sets the duration of each poll from now on.
    pub(super) fn set_poll_duration(&self, poll_duration: Duration) {
        self.poll_duration.send_replace(poll_duration);
    }

    /// Starts a server for a node. The node's earlier server accepts no more polls, and its watches close
    /// after [`REPLACED_WATCH_LIFETIME`].
    pub(super) async fn start(&self, node: usize) -> Result<SocketAddr, FleetError> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(FleetError::DiscoveryPort)?;
        let address = listener.local_addr().map_err(FleetError::DiscoveryPort)?;
        let generation = {
            let mut last_generation = self.last_generation.lock();
            *last_generation += 1;
            *last_generation
        };
        let server = DiscoveryServer {
            id: DiscoveryServerId { node, generation },
            messages: self.messages.clone(),
            poll_turn: self.poll_turn.clone(),
            poll_duration: self.poll_duration.subscribe(),
        };
        self.replace(RunningServer { id: server.id, task: tokio::spawn(server.run(listener)) });
        Ok(address)
    }

    /// Adds a running server and stops the earlier server of its node.
    fn replace(&self, server: RunningServer) {
        let mut running = self.running.lock();
        for replaced in running.extract_if(.., |other| other.id.node == server.id.node) {
            replaced.task.abort();
            let messages = self.messages.clone();
            tokio::spawn(async move {
                sleep(REPLACED_WATCH_LIFETIME).await;
                // Fails only when the fleet has shut down.
                let _ = messages.send(FleetMessage::CloseWatches(replaced.id));
            });
        }
        running.push(server);
    }
}

/// Discovery server of one node.
#[derive(Clone)]
struct DiscoveryServer {
    id: DiscoveryServerId,
    messages: UnboundedSender<FleetMessage>,
    /// Lock that a poll holds for its duration, because polls of all nodes are served one after another.
    poll_turn: Arc<tokio::sync::Mutex<()>>,
    poll_duration: watch::Receiver<Duration>,
}

impl DiscoveryServer {
    async fn run(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let server = self.clone();
            let service = service_fn(move |request| {
                let server = server.clone();
                async move { Ok::<_, Infallible>(server.respond(request).await) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    }

    async fn respond(self, request: Request<Incoming>) -> HttpResponse {
        if request.uri().path() != ENDPOINTS_PATH {
            return respond(StatusCode::NOT_FOUND, "nothing is here\n");
        }
        if timeout(POLL_TIMEOUT, self.wait_for_turn()).await.is_err() {
            return unavailable();
        }
        let (lines, mut watch) = unbounded_channel();
        let since = query_number(request.uri(), "since").unwrap_or(0);
        let poll = EndpointPoll { server: self.id, since, lines };
        // Fails only when the fleet has shut down, which closes the watch too.
        let _ = self.messages.send(FleetMessage::EndpointsPolled(poll));
        // If discovery is down, the watch is closed before its first message.
        let Some(first) = watch.recv().await else { return unavailable() };
        if query_number(request.uri(), "follow") == Some(1) {
            stream(prepend(first, watch))
        } else {
            respond(StatusCode::OK, first)
        }
    }

    /// Waits until earlier polls are done, and then for the duration of a poll.
    async fn wait_for_turn(&self) {
        let _turn = self.poll_turn.lock().await;
        let poll_duration = *self.poll_duration.borrow();
        sleep(poll_duration).await;
    }
}

fn unavailable() -> HttpResponse {
    respond(StatusCode::SERVICE_UNAVAILABLE, "not now\n")
}

/// Returns a number from the query part of a URI.
fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    let query = uri.query().unwrap_or_default();
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// Returns a receiver of a message that was already received and of the messages that follow it.
fn prepend(first: Bytes, mut rest: UnboundedReceiver<Bytes>) -> UnboundedReceiver<Bytes> {
    let (message_queue, body) = unbounded_channel();
    // Cannot fail: the receiver is not dropped yet.
    let _ = message_queue.send(first);
    tokio::spawn(async move {
        while let Some(message) = rest.recv().await {
            if message_queue.send(message).is_err() {
                return;
            }
        }
    });
    body
}
