//! Start of the node, in these steps:
//!
//! 1. [`SharedState`] is created, from which several parts are built.
//! 2. [`NodeParts`] is built: the parts themselves and the channels between them. Only the thread of the
//!    admin address runs already, so that the start fails at this step if the admin address cannot be used.
//! 3. The predecessor, if there is one, is contacted, and passes the descriptor of its client listener to
//!    this process. If there is no predecessor, a listener is opened.
//! 4. All tasks are spawned, and the addresses on which the node serves are logged.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use curlewusher_core::{Dispatcher, TimeSpan};
use curlewusher_settings::Site;
use curlewusher_settings::operator::{OperatorFile, ServerOptions, UpstreamOptions};
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tracing::info;

use crate::admin::listener::{AdminListener, AdminListenerError};
use crate::admin::service::AdminService;
use crate::config::Config;
use crate::discovery::endpoint_list::{EndpointResolver, NO_LIST_INDEX};
use crate::discovery::{EndpointWatcher, WatchTiming};
use crate::dispatch::{
    self, Clock, DispatchCommand, DispatchMessage, DispatchParts, DispatchQueue, DispatchTask,
    EndpointPollRequest, NamedEndpoint,
};
use crate::handover::takeover::{TakeoverParts, TakeoverTask};
use crate::handover::{MIN_TIME_FOR_MIGRATION, Peer, StartupHandover};
use crate::lifecycle::Lifecycle;
use crate::runtime::descriptor_budget::{AdminAddress, DescriptorBudget};
use crate::runtime::error::ServeError;
use crate::runtime::reload::ConfigReloader;
use crate::runtime::shutdown::{GracefulShutdown, final_response_delay};
use crate::runtime::supervision::{RunningNode, TaskHandles};
use crate::server::{PortSharing, Server, ServerParts};
use crate::telemetry::logging::{Logging, NODE};
use crate::telemetry::metrics::Metrics;
use crate::upstream::{RequestPayload, UpstreamClient, UpstreamConfig};

/// Maximum time in which a healthy worker responds to an attempt on an open connection, with a wide margin.
const ACCEPT_RESPONSE_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);
/// Time after which this node counts as notified of an endpoint change. It begins when discovery has received
/// the change and is reachable.
const ENDPOINT_NOTIFICATION_TIMEOUT: TimeSpan = TimeSpan::from_secs(6);
/// Maximum number of commands that wait for the dispatch task. The execution of each takes microseconds.
const MAX_PENDING_DISPATCH_COMMANDS: usize = 64;

/// Builds the node and spawns its tasks. Returns `None` if SIGTERM arrives while the predecessor is being
/// contacted.
pub async fn start_node(
    config: Config,
    logging: &Logging,
    terminate: &mut Signal,
) -> Result<Option<RunningNode>, ServeError> {
    let parts = NodeParts::build(config, logging)?;
    let handover = tokio::select! {
        handover = parts.find_predecessor() => handover,
        _ = terminate.recv() => return Ok(None),
    };
    let listener = parts.open_client_listener(&handover)?;
    Ok(Some(parts.spawn(handover, listener)))
}

/// Values from which several parts of the node are built.
struct SharedState {
    clock: Clock,
    lifecycle: Lifecycle,
    metrics: Metrics,
    /// Peer of this process, if there is one.
    peer: Peer,
    descriptors: DescriptorBudget,
    dispatch_queue: DispatchQueue<RequestPayload>,
    /// Options of the server, which a reload can change.
    server_options: Rc<Cell<ServerOptions>>,
    /// Options of upstream, which a reload can change.
    upstream_options: Rc<Cell<UpstreamOptions>>,
}

impl SharedState {
    /// Creates the shared state. Also returns the receiver of the dispatch queue.
    fn create(
        metrics: Metrics,
        descriptors: DescriptorBudget,
        operator: &OperatorFile,
    ) -> (Self, mpsc::Receiver<DispatchMessage<RequestPayload>>) {
        let (dispatch_queue, messages) = dispatch::create_queue(descriptors.max_connections());
        let shared = SharedState {
            clock: Clock::new(),
            lifecycle: Lifecycle::new(),
            metrics,
            peer: Peer::default(),
            descriptors,
            dispatch_queue,
            server_options: Rc::new(Cell::new(operator.server)),
            upstream_options: Rc::new(Cell::new(operator.upstream)),
        };
        (shared, messages)
    }

    fn create_upstream(&self, site: &Site) -> UpstreamClient {
        let config = UpstreamConfig {
            connect_timeout: site.connect_timeout.into(),
            keepalive: site.keepalive.into(),
            options: self.upstream_options.clone(),
            budget: self.descriptors.upstream_connections(),
        };
        UpstreamClient::new(self.dispatch_queue.clone(), self.metrics.clone(), config)
    }

    fn create_server(&self, site: &Site) -> Server {
        Server::new(ServerParts {
            queue: self.dispatch_queue.clone(),
            clock: self.clock,
            site,
            lifecycle: self.lifecycle.clone(),
            metrics: self.metrics.clone(),
            peer: self.peer.clone(),
            connection_budget: self.descriptors.client_connections(),
            options: self.server_options.clone(),
        })
    }

    fn open_admin_listener(
        &self,
        address: Option<SocketAddr>,
    ) -> Result<Option<AdminListener>, AdminListenerError> {
        address.map(|address| AdminListener::open(address, self.lifecycle.clone())).transpose()
    }

    fn create_reloader(&self, name: String, discovery: watch::Sender<SocketAddr>) -> ConfigReloader {
        ConfigReloader {
            name,
            metrics: self.metrics.clone(),
            server_options: self.server_options.clone(),
            upstream_options: self.upstream_options.clone(),
            discovery,
        }
    }
}

/// Parts of the node, connected to each other, before any of their tasks runs.
struct NodeParts {
    name: String,
    listen: SocketAddr,
    final_response_delay: Duration,
    shared: SharedState,
    server: Server,
    upstream: UpstreamClient,
    dispatch_task: DispatchTask<UpstreamClient>,
    dispatch_commands: mpsc::Sender<DispatchCommand>,
    /// Endpoint list of the configuration.
    saved_endpoints: Vec<NamedEndpoint>,
    discovery: DiscoveryParts,
    admin_listener: Option<AdminListener>,
}

/// Watcher of the endpoint list, with its channels.
struct DiscoveryParts {
    watcher: EndpointWatcher,
    /// Requests of the dispatch task to the watcher for an immediate poll.
    poll_requests: mpsc::Receiver<EndpointPollRequest>,
    /// Sender of the address of discovery.
    address_updates: watch::Sender<SocketAddr>,
    /// Receiver of the address of discovery, for the watcher.
    address_changes: watch::Receiver<SocketAddr>,
    /// Whether the watcher has received an endpoint list. The takeover task reads it.
    endpoints_available: watch::Receiver<bool>,
}

/// Client listener, received from the predecessor or opened by this process.
struct ClientListener {
    /// Local address of the listener.
    address: SocketAddr,
    /// Listener on which this process accepts connections.
    accepting: tokio::net::TcpListener,
    /// Duplicate of the listener, whose descriptor is passed to a successor.
    for_successor: TcpListener,
}

impl DiscoveryParts {
    fn connect(watcher: EndpointWatcher, poll_requests: mpsc::Receiver<EndpointPollRequest>) -> Self {
        let (address_updates, address_changes) = watch::channel(watcher.address);
        let endpoints_available = watcher.list_received.subscribe();
        DiscoveryParts { watcher, poll_requests, address_updates, address_changes, endpoints_available }
    }
}

impl NodeParts {
    fn build(config: Config, logging: &Logging) -> Result<Self, ServeError> {
        let Config { name, listen, discovery, admin, seed, limits, known, mut site, operator } = config;
        let metrics = create_metrics(&site, &operator, logging);
        adapt_settings_to_sockets(&mut site);
        let dispatcher = Dispatcher::new(site.dispatcher.clone(), seed)?;
        let admin_address = if admin.is_some() { AdminAddress::Configured } else { AdminAddress::None };
        let descriptors = DescriptorBudget::divide(limits.sockets, admin_address);
        let (shared, dispatch_messages) = SharedState::create(metrics, descriptors, &operator);
        let upstream = shared.create_upstream(&site);

        let mut resolver = EndpointResolver::new(&site);
        let saved_endpoints = resolver.resolve(&known.endpoints);
        let watcher = EndpointWatcher {
            address: discovery,
            resolver,
            // With the index of an empty saved list, discovery would send only later changes.
            known_index: if saved_endpoints.is_empty() { NO_LIST_INDEX } else { known.index },
            queue: shared.dispatch_queue.clone(),
            list_received: watch::Sender::new(false),
            metrics: shared.metrics.clone(),
            timing: WatchTiming::new(&site.dispatcher),
        };
        let (poll_requester, poll_requests) = mpsc::channel(1);
        let (dispatch_commands, received_commands) = mpsc::channel(MAX_PENDING_DISPATCH_COMMANDS);
        let dispatch_task = DispatchTask::new(DispatchParts {
            dispatcher,
            clock: shared.clock,
            worker_client: upstream.clone(),
            messages: dispatch_messages,
            commands: received_commands,
            poll_requests: poll_requester,
            metrics: shared.metrics.clone(),
            min_time_for_migration: MIN_TIME_FOR_MIGRATION,
        });
        let client_timeouts = site.dispatcher.classes.iter().map(|class| class.client_timeout);
        Ok(NodeParts {
            final_response_delay: final_response_delay(client_timeouts),
            server: shared.create_server(&site),
            admin_listener: shared.open_admin_listener(admin)?,
            discovery: DiscoveryParts::connect(watcher, poll_requests),
            name,
            listen,
            shared,
            upstream,
            dispatch_task,
            dispatch_commands,
            saved_endpoints,
        })
    }

    /// Contacts the predecessor. Without an admin address no successor is ever started beside a running
    /// process, so the search is skipped.
    async fn find_predecessor(&self) -> StartupHandover {
        let directory =
            self.admin_listener.as_ref().and_then(|_| std::env::var_os("TMPDIR")).map(PathBuf::from);
        StartupHandover::find_predecessor(directory, &self.name, self.listen).await
    }

    /// Returns the client listener of the predecessor, or opens a new one if there is no predecessor.
    fn open_client_listener(&self, handover: &StartupHandover) -> Result<ClientListener, ServeError> {
        let open = || -> io::Result<ClientListener> {
            let sharing =
                if self.admin_listener.is_some() { PortSharing::Shared } else { PortSharing::Exclusive };
            let listener = handover.listener().unwrap_or_else(|| Server::listen(self.listen, sharing))?;
            Ok(ClientListener {
                address: listener.local_addr()?,
                for_successor: listener.try_clone()?,
                accepting: tokio::net::TcpListener::from_std(listener)?,
            })
        };
        open().map_err(|source| ServeError::ClientListener { listen: self.listen, source })
    }

    fn create_admin_service(&self) -> AdminService {
        AdminService {
            name: self.name.as_str().into(),
            lifecycle: self.shared.lifecycle.clone(),
            dispatch_commands: self.dispatch_commands.clone(),
            peer: self.shared.peer.clone(),
            drain_set_by_operator: Rc::default(),
        }
    }

    fn spawn(self, handover: StartupHandover, listener: ClientListener) -> RunningNode {
        let admin = self.create_admin_service();
        let takeover_parts = TakeoverParts {
            listen: self.listen,
            client_listener: Rc::new(RefCell::new(Some(Rc::new(listener.for_successor)))),
            server: self.server.clone(),
            upstream: self.upstream.clone(),
            admin: admin.clone(),
            has_saved_endpoints: !self.saved_endpoints.is_empty(),
        };
        let discovery = self.discovery;
        let start = if handover.has_predecessor() { StartKind::Successor } else { StartKind::Single };

        let dispatch = spawn_local(self.dispatch_task.run(self.saved_endpoints));
        let endpoint_watcher =
            spawn_local(discovery.watcher.run(discovery.poll_requests, discovery.address_changes));
        let idle_connection_sweep = spawn_local(self.upstream.clone().sweep());
        let accept_task = spawn_local(self.server.clone().accept(listener.accepting));
        let (takeover_handle, takeover_task) =
            TakeoverTask::start(handover, takeover_parts, discovery.endpoints_available);
        let takeover = spawn_local(takeover_task);
        let (admin_address, admin_commands) =
            self.admin_listener.map(|listener| (listener.address, listener.commands)).unzip();
        log_addresses(&self.name, start, listener.address, admin_address);

        let reloader = self.shared.create_reloader(self.name.clone(), discovery.address_updates);
        RunningNode {
            metrics: self.shared.metrics,
            tasks: TaskHandles { dispatch, takeover, endpoint_watcher, idle_connection_sweep },
            reloader,
            shutdown: GracefulShutdown {
                name: self.name,
                final_response_delay: self.final_response_delay,
                lifecycle: self.shared.lifecycle,
                dispatch_queue: self.shared.dispatch_queue,
                server: self.server,
                upstream: self.upstream,
                takeover: takeover_handle,
                accept_task,
            },
            admin,
            admin_commands,
        }
    }
}

fn create_metrics(site: &Site, operator: &OperatorFile, logging: &Logging) -> Metrics {
    let answer_bounds_s: Vec<f64> =
        operator.metrics.response_time_bounds_ms.iter().map(|bound_ms| *bound_ms as f64 / 1e3).collect();
    Metrics::new(&site.class_names, &answer_bounds_s, logging.dropped_lines())
}

/// Sets the values of settings that must differ between a node on real sockets and the simulator.
fn adapt_settings_to_sockets(site: &mut Site) {
    // Any rejection may contain Retry-After on a node. Clients of the simulator do not receive this header.
    site.dispatcher.max_retry_after = site.max_retry_after;
    // A worker accepts an attempt with status 202 long before the job starts.
    site.dispatcher.accept_timeout = site.connect_timeout + ACCEPT_RESPONSE_TIMEOUT;
    site.dispatcher.assumed_notified_after = ENDPOINT_NOTIFICATION_TIMEOUT;
}

/// Role of this process when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartKind {
    /// No predecessor has accepted this process, which serves immediately.
    Single,
    /// A predecessor has accepted this process, which will take over from it.
    Successor,
}

/// Logs the addresses for clients and operators.
fn log_addresses(node: &str, start: StartKind, clients: SocketAddr, admin: Option<SocketAddr>) {
    // The wording of both lines is fixed: programs that start nodes read the address from the line.
    match start {
        StartKind::Single => info!(target: NODE, "curlewusher {node}: serves on {clients}"),
        StartKind::Successor => info!(target: NODE, "curlewusher {node}: is to serve on {clients}"),
    }
    if let Some(address) = admin {
        info!(target: NODE, %node, %address, "admin listener started");
    }
}
