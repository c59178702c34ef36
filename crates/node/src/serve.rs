//! Owns the start of the parts and the order of their end. It must never do the work of a part.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use curlewusher_core::{Dispatcher, Micros, SettingsError};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tracing::{error, info};

use crate::admin::AdminService;
use crate::admin::listener::{self, ConsoleError};
use crate::config::{Config, ConfigError, ConfigSources};
use crate::connection_budget::ConnectionBudget;
use crate::discovery::endpoint_list::EndpointResolver;
use crate::discovery::{EndpointWatcher, WatchTiming};
use crate::dispatch::{self, Clock, DispatchMessage, DispatchParts, DispatchTask};
use crate::handover::Peer;
use crate::handover::takeover::{StartupHandover, TakeoverParts, TakeoverTask};
use crate::lifecycle::{DRAIN_AT_LEAST, DRAIN_AT_MOST, LAST_ANSWERS, Lifecycle, PhaseEvent};
use crate::server::{Server, ServerLimits};
use crate::telemetry::logging::{Logging, NODE};
use crate::telemetry::metrics::{Counter, Metrics};
use crate::upstream::UpstreamClient;

/// Descriptors that are neither for clients nor for next hops: standard streams, discovery, the listener, the
/// event queue, and some to spare. A node of few has a quarter of them for that, but never fewer than it needs: 11
/// that are always open, six calls to discovery that hang beside each other, those of addresses that it moves to
/// meanwhile, and the configuration while it is read.
const RESERVED_SOCKETS: usize = 48;
const LEAST_RESERVED: usize = 24;
/// A next hop that is well answers a job, on a connection that is up, long before this, in microseconds.
const ACCEPTANCE: u64 = 400_000;
/// Orders to the dispatch task that wait; each is done in microseconds.
const ORDERS_ROOM: usize = 64;
/// Whatever discovery has to tell counts as told this long after it had it and could be reached.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// The last withdrawals may take this long after the last answer.
const LAST_WORDS: Duration = Duration::from_millis(1500);
/// Where another process goes on with them, this is enough.
const PASSING_ON: Duration = Duration::from_millis(100);
/// With fewer descriptors a process cannot serve.
const LEAST_SOCKETS: usize = 24;

/// Why it does not serve, or no longer.
#[derive(Debug, Error)]
pub enum ServeError {
    /// What it was told cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The second address cannot be used.
    #[error(transparent)]
    Console(#[from] ConsoleError),
    /// The address for clients cannot be used.
    #[error(
        "config: listen: {listen}: {cause}; give `listen` an address of this machine that no other program has"
    )]
    Listen { listen: SocketAddr, cause: io::Error },
    /// The settings cannot be decided by.
    #[error("config: {0}")]
    Settings(#[from] SettingsError),
    /// The log cannot be written as the operator's file wants it.
    #[error("operator file: log: {0}")]
    Log(String),
    /// The system does not give what any program needs.
    #[error("{what}: {cause}; raise the limits of this user, and start it again")]
    System { what: &'static str, cause: io::Error },
    /// A part that must not end has ended.
    #[error("{0} has ended; start the node again, and report this with the lines before it")]
    Part(&'static str),
}

impl ServeError {
    /// Whether another start with the same configuration ends the same way.
    pub fn stays(&self) -> bool {
        !matches!(self, ServeError::System { .. } | ServeError::Part(_))
    }
}

/// Serves until SIGTERM.
pub fn run(sources: &ConfigSources) -> Result<(), ServeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| ServeError::System { what: "the runtime does not start", cause })?;
    LocalSet::new().block_on(&runtime, serve(sources))
}

async fn serve(sources: &ConfigSources) -> Result<(), ServeError> {
    // Before all else: until a signal is handled it ends the program.
    let handle = |kind, what| signal(kind).map_err(|cause| ServeError::System { what, cause });
    let mut terminate = handle(SignalKind::terminate(), "SIGTERM")?;
    let mut hang_up = handle(SignalKind::hangup(), "SIGHUP")?;

    let config = Config::read(sources)?;
    let Config { name, listen, discovery, console, seed, limits, known, mut site, operator } = config;
    let logs = Logging::start(&operator.log).map_err(ServeError::Log)?;
    let server_options = Rc::new(Cell::new(operator.server));
    let upstream_options = Rc::new(Cell::new(operator.upstream));
    let lifecycle = Lifecycle::new();
    let bounds: Vec<f64> = operator.metrics.answer_bounds_ms.iter().map(|ms| *ms as f64 / 1e3).collect();
    let counters = Metrics::new(&site.classes, &bounds, logs.dropped());
    let clock = Clock::new();

    // PROTOCOL lets any refusal carry Retry-After, also where the simulator's clients would not hear of it.
    site.decisions.max_retry_after = site.max_retry_after;
    // On sockets a 202 tells that a next hop is there, long before the job starts.
    site.decisions.accept_timeout = site.connect_timeout + ACCEPTANCE;
    site.decisions.notified_within = TOLD_WITHIN.as_micros() as Micros;
    let dispatcher = Dispatcher::new(site.decisions.clone(), seed)?;

    let longest =
        site.decisions.classes.iter().map(|class| Duration::from_micros(class.client_timeout)).max();
    let answered_within = DRAIN_AT_MOST.min(longest.unwrap_or_default()) + DRAIN_AT_LEAST - LAST_ANSWERS;
    let (ask, asked) = mpsc::channel(1);
    let (move_to, moved) = watch::channel(discovery);
    let (there, is_there) = watch::channel(false);
    // Of the descriptors a third is for next hops. While two processes of the node run, each lives in half of them.
    let spared = (limits.sockets / 4).clamp(LEAST_RESERVED, RESERVED_SOCKETS)
        + console.map_or(0, |_| listener::SOCKETS);
    let all = limits.sockets.saturating_sub(spared).max(LEAST_SOCKETS);
    let half =
        (limits.sockets / 2).saturating_sub(spared / 2 + listener::SOCKETS / 2).clamp(LEAST_SOCKETS, all);
    let (queue, notices) = dispatch::create_queue(all);
    let peer = Peer::default();
    let next_hops = UpstreamClient::new(
        queue.clone(),
        counters.clone(),
        Duration::from_micros(site.connect_timeout),
        Duration::from_micros(site.keepalive),
        upstream_options.clone(),
        ConnectionBudget::new(all / 3, half / 3),
    );
    let mut names = EndpointResolver::new(&site);
    let hops = names.resolve(&known.endpoints);
    let listed = !hops.is_empty();
    let (order, orders) = mpsc::channel(ORDERS_ROOM);
    let dispatch = DispatchTask::new(DispatchParts {
        dispatcher,
        clock,
        transport: next_hops.clone(),
        messages: notices,
        commands: orders,
        watch_requests: ask,
        metrics: counters.clone(),
    })
    .run(hops);
    let map = EndpointWatcher {
        discovery,
        names,
        // A saved list that names nobody is no list: of changes since its version alone a node would learn nobody.
        index: if listed { known.index } else { 0 },
        queue: queue.clone(),
        there,
        counters: counters.clone(),
        pace: WatchTiming::new(&site.decisions),
    };
    let ending = queue.clone();
    let server = Server::new(
        queue,
        clock,
        &site,
        lifecycle.clone(),
        counters.clone(),
        peer.clone(),
        ServerLimits {
            room: ConnectionBudget::new(all - all / 3, half - half / 3),
            tuning: server_options.clone(),
        },
    );
    let opened = console.map(|at| listener::open(at, lifecycle.clone())).transpose();
    let (operators, calls) = opened?.unzip();

    // Where there is no second address nobody starts a version beside another.
    let folder = console.and_then(|_| std::env::var_os("TMPDIR")).map(PathBuf::from);
    let beginning = tokio::select! {
        beginning = StartupHandover::look(folder, &name, listen) => beginning,
        _ = terminate.recv() => return Ok(()),
    };
    let listener = beginning.listener().unwrap_or_else(|| server.listen(listen, console.is_some()));
    let unusable = |cause| ServeError::Listen { listen, cause };
    let bound = listener.and_then(|listener| Ok((listener.local_addr()?, listener.try_clone()?, listener)));
    let (serves_on, for_successors, listener) = bound.map_err(unusable)?;
    let listener = TcpListener::from_std(listener).map_err(unusable)?;
    let operations = AdminService {
        name: name.as_str().into(),
        lifecycle: lifecycle.clone(),
        order,
        peer,
        drain_called: Rc::default(),
    };
    let parts = TakeoverParts {
        listen,
        listener: for_successors,
        server: server.clone(),
        next_hops: next_hops.clone(),
        operations: operations.clone(),
    };

    let dispatch = spawn_local(dispatch);
    let map = spawn_local(map.run(asked, moved));
    let sweep = spawn_local(next_hops.clone().sweep());
    let accept = spawn_local(server.clone().accept(listener));
    let follows = beginning.follows();
    let (upgrade, upgrading) = TakeoverTask::start(beginning, parts, is_there, listed);
    let upgrading = spawn_local(upgrading);
    info!(target: NODE, "curlewusher {name}: {} {serves_on}", if follows { "is to serve on" } else { "serves on" });
    if let Some(at) = operators {
        info!(target: NODE, "curlewusher {name}: operators are answered at {at}");
    }

    let reloads = async {
        while hang_up.recv().await.is_some() {
            match Config::read_again(sources) {
                Ok(config) => {
                    counters.add(Counter::Reloads);
                    logs.apply(&config.operator.log);
                    server_options.set(config.operator.server);
                    upstream_options.set(config.operator.upstream);
                    info!(target: NODE, discovery = %config.discovery, "configuration read again");
                    move_to
                        .send_if_modified(|to| std::mem::replace(to, config.discovery) != config.discovery);
                }
                Err(problem) => {
                    counters.add(Counter::ReloadFailures);
                    error!(target: NODE, "curlewusher {name}: {problem}; the old configuration stays");
                }
            }
        }
    };
    let operated = operations.serve(calls);
    let ended = async {
        terminate.recv().await;
        upgrade.terminate().await;
        info!(target: NODE, "curlewusher {name}: drains");
        // Only a dispatch task that has ended does not hear it, and that is said below.
        let _ = ending.send(DispatchMessage::ShutdownStarted(answered_within)).await;
        tokio::time::sleep(DRAIN_AT_LEAST).await;
        server.drain().await;
        server.close().await;
        let rest = async {
            while !next_hops.is_idle() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        // What no next hop has heard by then the other process goes on with, where there is one.
        let wait = if upgrade.goes_on() { PASSING_ON } else { LAST_WORDS };
        let _ = tokio::time::timeout(wait, rest).await;
        upgrade.leave(&next_hops).await;
        // What came meanwhile. The listener goes last: a connection that it has in its queue would be reset.
        server.close().await;
        accept.abort();
        lifecycle.apply(PhaseEvent::ShutdownCompleted);
    };
    // Without the dispatch task or the transport map a node is deaf: better to end than to hang on.
    tokio::select! {
        () = ended => {}
        // Without its second address nobody could end a drain.
        () = operated => return Err(ServeError::Part("the second address")),
        // Without its signals it could still serve, but nobody could tell it anything.
        () = reloads => return Err(ServeError::Part("the delivery of SIGHUP")),
        _ = dispatch => return Err(ServeError::Part("the dispatch task")),
        _ = upgrading => return Err(ServeError::Part("the upgrade task")),
        _ = map => return Err(ServeError::Part("the transport map")),
        _ = sweep => return Err(ServeError::Part("the sweep of idle connections")),
    }
    logs.figures(&counters.text());
    Ok(())
}
