//! Takeover task. It passes events of this process and requests of the peer to the state machine
//! `curlewusher_control::takeover::Takeover`, and executes the commands of the state machine. Only the state
//! machine decides which process owns each part of the node.
//!
//! The module `events` contains the handlers of the inputs of the task, and `commands` the execution of the
//! commands.

mod commands;
mod events;

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use curlewusher_control::takeover::{Takeover, TakeoverCommand, TakeoverEvent};
use curlewusher_core::permission::ServingPermission;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};

use crate::admin::service::AdminService;
use crate::dispatch::{DispatchCommand, TransferableState};
use crate::handover::handshake::{Predecessor, SuccessorHello};
use crate::handover::link::{LinkEnds, PeerRequest};
use crate::handover::rendezvous::{Rendezvous, StartLock};
use crate::handover::rendezvous_listener::RendezvousListener;
use crate::handover::startup::StartupHandover;
use crate::handover::state_transfer::StateTransfer;
use crate::lifecycle::PhaseEvent;
use crate::server::Server;
use crate::upstream::UpstreamClient;

/// Maximum time for which a process that is shutting down waits until its final frames are written.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of hellos that wait for the task. A further hello is rejected as busy.
const HELLO_QUEUE_CAPACITY: usize = 1;
/// Maximum number of events of this process that wait for the task. Senders of further events wait for
/// capacity.
const LOCAL_EVENT_QUEUE_CAPACITY: usize = 16;

/// Rendezvous listener, which the task opens and the handle closes.
type SharedListener = Rc<RefCell<Option<RendezvousListener>>>;

/// Client listener, which the handle drops at the end of the shutdown.
pub type SharedClientListener = Rc<RefCell<Option<Rc<TcpListener>>>>;

/// Parts of the node that take part in a takeover.
pub struct TakeoverParts {
    /// Client address of the node.
    pub listen: SocketAddr,
    /// Client listener. A successor receives a descriptor of it.
    pub client_listener: SharedClientListener,
    /// Server, which accepts clients' connections and holds jobs.
    pub server: Server,
    /// Client that sends attempts and cancellations to workers.
    pub upstream: UpstreamClient,
    /// Service that executes operators' commands. It contains the phase, the peer and the command queue of
    /// the dispatch task.
    pub admin: AdminService,
    /// Whether there is an endpoint list from an earlier run.
    pub has_saved_endpoints: bool,
}

/// Event within this process.
enum LocalEvent {
    /// A process has requested to be the successor.
    SuccessorHello(SuccessorHello),
    /// The predecessor has responded to the takeover request with its latest snapshot, or the link is closed
    /// (`None`).
    TakeoverResponse(Option<Bytes>),
    /// SIGTERM has arrived. The sender is notified after the resulting commands are executed.
    Terminate(oneshot::Sender<()>),
}

/// Inputs for which the task waits.
struct TakeoverInputs {
    hellos: mpsc::Receiver<SuccessorHello>,
    local_events: mpsc::Receiver<LocalEvent>,
    /// Whether discovery has delivered an endpoint list.
    endpoints_available: watch::Receiver<bool>,
    /// Delay after which the saved endpoint list is used. `None` if there is no saved list.
    saved_endpoints_delay: Option<Duration>,
}

/// Takeover task, with its state.
pub struct TakeoverTask {
    parts: TakeoverParts,
    takeover: Takeover,
    rendezvous: Option<Rendezvous>,
    start_lock: Option<StartLock>,
    rendezvous_listener: SharedListener,
    hello_queue: mpsc::Sender<SuccessorHello>,
    local_event_queue: mpsc::Sender<LocalEvent>,
    peer_requests: Option<mpsc::Receiver<PeerRequest>>,
    /// Hello about which the state machine is deciding.
    pending_hello: Option<SuccessorHello>,
    /// Sender of the snapshot for the successor, used when the takeover is granted.
    takeover_response: Option<oneshot::Sender<Bytes>>,
    /// State of the predecessor at the time of the handshake. Dropped when the takeover delivers later state.
    /// Restored when the takeover delivers no usable state, or when the link is lost.
    handshake_state: Option<StateTransfer>,
}

/// Handle to the task for other parts of the node.
pub struct TakeoverHandle {
    local_events: mpsc::Sender<LocalEvent>,
    rendezvous_listener: SharedListener,
    client_listener: SharedClientListener,
    admin: AdminService,
}

impl TakeoverHandle {
    /// Reports SIGTERM to the task. Returns after the resulting commands are executed.
    pub async fn terminate(&self) {
        let (done, is_done) = oneshot::channel();
        if self.local_events.send(LocalEvent::Terminate(done)).await.is_ok() {
            // Fails only if the task has ended, which makes the process exit.
            let _ = is_done.await;
        }
    }

    /// Returns whether this process has a link to a peer, which continues to serve after this process exits.
    pub fn has_peer(&self) -> bool {
        self.admin.peer.link().is_some()
    }

    /// Completes the takeover task's part of the shutdown: transfers the cancellations that no worker has
    /// acknowledged to the peer, closes the rendezvous socket, and drops the client listener, so that no
    /// later successor receives it.
    pub async fn finish(&self, upstream: &UpstreamClient) {
        if let Some(link) = self.admin.peer.link() {
            for target in upstream.unacknowledged_cancellations() {
                link.transfer_cancellation(target.address, &target.request_id);
            }
            // A peer that reads nothing must not prevent the process from exiting.
            let _ = timeout(FINAL_FLUSH_TIMEOUT, link.flush()).await;
        }
        if let Some(listener) = self.rendezvous_listener.take() {
            listener.close();
        }
        self.client_listener.take();
    }
}

impl TakeoverTask {
    /// Creates the task and its handle. The future of the task runs until the process exits and never
    /// completes.
    pub fn start(
        startup: StartupHandover,
        parts: TakeoverParts,
        endpoints_available: watch::Receiver<bool>,
    ) -> (TakeoverHandle, impl Future<Output = ()>) {
        let StartupHandover { rendezvous, start_lock, predecessor, may_have_unknown_peer } = startup;
        if may_have_unknown_peer {
            parts.admin.peer.mark_unknown_peer_possible();
        }
        let (node, listen) = (parts.admin.name.clone(), parts.listen.to_string());
        let (takeover, first_commands) = match predecessor {
            Some(_) => Takeover::start_successor(&node, &listen),
            None => Takeover::start_single(&node, &listen),
        };
        let (hello_queue, hellos) = mpsc::channel(HELLO_QUEUE_CAPACITY);
        let (local_event_queue, local_events) = mpsc::channel(LOCAL_EVENT_QUEUE_CAPACITY);
        let rendezvous_listener = SharedListener::default();
        let handle = TakeoverHandle {
            local_events: local_event_queue.clone(),
            rendezvous_listener: Rc::clone(&rendezvous_listener),
            client_listener: Rc::clone(&parts.client_listener),
            admin: parts.admin.clone(),
        };
        let permission = ServingPermission {
            has_saved_endpoints: parts.has_saved_endpoints,
            has_predecessor: predecessor.is_some(),
        };
        let saved_endpoints_delay = permission.max_discovery_wait().map(Duration::from);
        let inputs = TakeoverInputs { hellos, local_events, endpoints_available, saved_endpoints_delay };
        let task = TakeoverTask {
            parts,
            takeover,
            rendezvous,
            start_lock,
            rendezvous_listener,
            hello_queue,
            local_event_queue,
            peer_requests: None,
            pending_hello: None,
            takeover_response: None,
            handshake_state: None,
        };
        (handle, task.run(predecessor, first_commands, inputs))
    }

    async fn run(
        mut self,
        predecessor: Option<Predecessor>,
        first_commands: Vec<TakeoverCommand>,
        inputs: TakeoverInputs,
    ) {
        if let Some(predecessor) = predecessor {
            self.link_to_predecessor(predecessor).await;
        }
        self.execute(first_commands).await;
        self.handle_events(inputs).await;
    }

    /// Handles events and requests until the process exits. Events of this process have priority over requests
    /// of the peer, and these have priority over hellos and the end of the wait for endpoints.
    async fn handle_events(&mut self, inputs: TakeoverInputs) {
        let TakeoverInputs { mut hellos, mut local_events, endpoints_available, saved_endpoints_delay } =
            inputs;
        let endpoint_wait = wait_for_endpoints(endpoints_available, saved_endpoints_delay);
        tokio::pin!(endpoint_wait);
        let mut is_waiting_for_endpoints = true;
        loop {
            let commands = tokio::select! {
                biased;
                Some(event) = local_events.recv() => self.handle_local_event(event).await,
                Some(request) = next_request(&mut self.peer_requests) => self.handle_peer_request(request).await,
                Some(hello) = hellos.recv() => {
                    self.handle_local_event(LocalEvent::SuccessorHello(hello)).await
                }
                () = &mut endpoint_wait, if is_waiting_for_endpoints => {
                    is_waiting_for_endpoints = false;
                    self.takeover.handle(TakeoverEvent::EndpointsAvailable)
                }
            };
            self.execute(commands).await;
        }
    }

    /// Links this process to the predecessor, and immediately applies the drain and the disabled workers that
    /// operators have set there. Keeps the estimates of the predecessor until the takeover or the loss of the
    /// link, and then restores them. If the snapshot of the takeover can be decoded, it replaces them.
    async fn link_to_predecessor(&mut self, predecessor: Predecessor) {
        self.set_link(Some(predecessor.link));
        if let Some(mut transfer) = StateTransfer::decode(&predecessor.snapshot) {
            let snapshot = transfer.state.snapshot.take();
            let maintenance_only = TransferableState {
                disabled_workers: transfer.state.disabled_workers.clone(),
                snapshot: None,
            };
            self.restore(transfer.with_state(maintenance_only)).await;
            transfer.state.snapshot = snapshot;
            self.handshake_state = Some(transfer);
        }
    }

    /// Replaces the link to the peer, or removes it. Starts no further migrations of jobs until the next
    /// takeover or rollback.
    fn set_link(&mut self, ends: Option<LinkEnds>) {
        self.parts.server.stop_migration();
        let (link, requests) = ends.map(|ends| (ends.link, ends.requests)).unzip();
        self.parts.admin.peer.set_link(link);
        self.peer_requests = requests;
    }

    /// Restores the state of the predecessor. If an operator has started or ended a drain at this process,
    /// that takes precedence over the drain state of the predecessor.
    async fn restore(&self, transfer: StateTransfer) {
        let admin = &self.parts.admin;
        if !admin.drain_set_by_operator.get() {
            let event = if transfer.drained { PhaseEvent::Drain } else { PhaseEvent::Undrain };
            // If there is no transition, the node is already in this state, or is shutting down.
            let _ = admin.lifecycle.apply(event);
        }
        self.send_to_dispatch(DispatchCommand::RestoreSnapshot(Box::new(transfer.state))).await;
    }

    async fn send_to_dispatch(&self, command: DispatchCommand) {
        // Sending fails only if the dispatch task has ended, which makes the process exit.
        let _ = self.parts.admin.dispatch_commands.send(command).await;
    }
}

/// Waits until discovery has delivered an endpoint list, or until the process may become ready with the saved
/// list.
async fn wait_for_endpoints(
    mut endpoints_available: watch::Receiver<bool>,
    saved_endpoints_delay: Option<Duration>,
) {
    let use_saved = async {
        match saved_endpoints_delay {
            Some(delay) => sleep(delay).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        available = endpoints_available.wait_for(|is_available| *is_available) => drop(available),
        () = use_saved => {}
    }
}

/// Receives the next request of the peer. Never returns if there is no link.
async fn next_request(requests: &mut Option<mpsc::Receiver<PeerRequest>>) -> Option<PeerRequest> {
    match requests {
        Some(requests) => requests.recv().await,
        None => std::future::pending().await,
    }
}
