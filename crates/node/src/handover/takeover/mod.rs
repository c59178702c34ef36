//! The takeover task: passes events of this process and requests of the other one to the state machine
//! `curlewusher_control::takeover::Takeover` and carries out its commands. Which process owns what is decided
//! there, not here.
//!
//! `events` and `commands` hold the task's functions for its inputs and for the commands that it carries out.

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

/// How long a process that is shutting down waits until its last frames are written.
const LAST_FRAMES_TIMEOUT: Duration = Duration::from_millis(300);
/// How many hellos wait for the task; another is rejected as busy.
const HELLO_QUEUE_LENGTH: usize = 1;
/// How many events of this process wait for the task; their senders wait for capacity.
const LOCAL_EVENT_QUEUE_LENGTH: usize = 16;

/// The rendezvous listener, which the task opens and the handle closes.
type SharedListener = Rc<RefCell<Option<RendezvousListener>>>;

/// The listener for clients, which the handle drops at the end of the shutdown.
pub type SharedClientListener = Rc<RefCell<Option<Rc<TcpListener>>>>;

/// The parts of the node that a takeover concerns.
pub struct TakeoverParts {
    /// Client address of the node.
    pub listen: SocketAddr,
    /// The listener for clients; a successor receives a descriptor of it.
    pub client_listener: SharedClientListener,
    /// Accepts clients' connections and holds jobs.
    pub server: Server,
    /// Sends attempts and cancellations to workers.
    pub upstream: UpstreamClient,
    /// Carries out operators' commands; has the phase, the peer and the queue of the dispatch task.
    pub admin: AdminService,
    /// Whether there is an endpoint list of an earlier run.
    pub has_saved_endpoints: bool,
}

/// What happens within this process.
enum LocalEvent {
    /// A process requests to be the successor.
    SuccessorHello(SuccessorHello),
    /// The predecessor's answer to the takeover request: its latest snapshot, or none where the link is closed.
    TakeoverResponse(Option<Bytes>),
    /// SIGTERM; notified once the commands for it are carried out.
    Terminate(oneshot::Sender<()>),
}

/// What the task waits for.
struct TakeoverInputs {
    hellos: mpsc::Receiver<SuccessorHello>,
    local_events: mpsc::Receiver<LocalEvent>,
    /// True once discovery has delivered an endpoint list.
    endpoints_available: watch::Receiver<bool>,
    /// After this long the saved endpoint list is used. None where there is none.
    saved_endpoints_delay: Option<Duration>,
}

/// The takeover task.
pub struct TakeoverTask {
    parts: TakeoverParts,
    takeover: Takeover,
    rendezvous: Option<Rendezvous>,
    start_lock: Option<StartLock>,
    rendezvous_listener: SharedListener,
    hello_queue: mpsc::Sender<SuccessorHello>,
    local_event_queue: mpsc::Sender<LocalEvent>,
    peer_requests: Option<mpsc::Receiver<PeerRequest>>,
    /// The hello that the state machine is deciding on.
    pending_hello: Option<SuccessorHello>,
    /// Receives the snapshot for the successor once the takeover is granted.
    takeover_response: Option<oneshot::Sender<Bytes>>,
    /// The predecessor's state as of the handshake, until later state replaces it or the link is lost.
    handshake_state: Option<StateTransfer>,
}

/// The other parts' handle to the task.
pub struct TakeoverHandle {
    local_events: mpsc::Sender<LocalEvent>,
    rendezvous_listener: SharedListener,
    client_listener: SharedClientListener,
    admin: AdminService,
}

impl TakeoverHandle {
    /// Reports SIGTERM; returns once the commands for it are carried out.
    pub async fn terminate(&self) {
        let (done, is_done) = oneshot::channel();
        if self.local_events.send(LocalEvent::Terminate(done)).await.is_ok() {
            // Fails only where the task has ended, which ends the program.
            let _ = is_done.await;
        }
    }

    /// Whether another process of this node is linked to this one, and serves on after it.
    pub fn has_peer(&self) -> bool {
        self.admin.peer.link().is_some()
    }

    /// The last step of the shutdown: leaves cancellations that no worker has acknowledged to the other process,
    /// closes the rendezvous socket, and passes on the listener for clients to no process any more.
    pub async fn finish(&self, upstream: &UpstreamClient) {
        if let Some(link) = self.admin.peer.link() {
            for target in upstream.unacknowledged_cancellations() {
                link.transfer_cancellation(target.address, &target.request_id);
            }
            // A peer that reads nothing must not keep the process from ending.
            let _ = timeout(LAST_FRAMES_TIMEOUT, link.flush()).await;
        }
        if let Some(listener) = self.rendezvous_listener.take() {
            listener.close();
        }
        self.client_listener.take();
    }
}

impl TakeoverTask {
    /// Creates the task and its handle. The task's future ends only if the program cannot go on.
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
        let (hello_queue, hellos) = mpsc::channel(HELLO_QUEUE_LENGTH);
        let (local_event_queue, local_events) = mpsc::channel(LOCAL_EVENT_QUEUE_LENGTH);
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
            self.follow_predecessor(predecessor).await;
        }
        self.execute(first_commands).await;
        self.handle_events(inputs).await;
    }

    /// Handles events and requests until the program ends. Events of this process come first.
    async fn handle_events(&mut self, inputs: TakeoverInputs) {
        let TakeoverInputs { mut hellos, mut local_events, endpoints_available, saved_endpoints_delay } =
            inputs;
        let endpoints_known = wait_for_endpoints(endpoints_available, saved_endpoints_delay);
        tokio::pin!(endpoints_known);
        let mut is_waiting_for_endpoints = true;
        loop {
            let commands = tokio::select! {
                biased;
                Some(event) = local_events.recv() => self.handle_local_event(event).await,
                Some(request) = next_request(&mut self.peer_requests) => self.handle_peer_request(request).await,
                Some(hello) = hellos.recv() => {
                    self.handle_local_event(LocalEvent::SuccessorHello(hello)).await
                }
                () = &mut endpoints_known, if is_waiting_for_endpoints => {
                    is_waiting_for_endpoints = false;
                    self.takeover.handle(TakeoverEvent::EndpointsAvailable)
                }
            };
            self.execute(commands).await;
        }
    }

    /// Links to the predecessor and applies the drain and the disabled workers of its operators at once. Its
    /// estimates are kept for the takeover, whose snapshot replaces them where it can be read.
    async fn follow_predecessor(&mut self, predecessor: Predecessor) {
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

    /// Replaces the link to the other process, or removes it. A migration of jobs ends with its link.
    fn set_link(&mut self, ends: Option<LinkEnds>) {
        self.parts.server.stop_migration();
        let (link, requests) = ends.map(|ends| (ends.link, ends.requests)).unzip();
        self.parts.admin.peer.set_link(link);
        self.peer_requests = requests;
    }

    /// Takes on the predecessor's state. A drain that was called for here has precedence over its phase.
    async fn restore(&self, transfer: StateTransfer) {
        let admin = &self.parts.admin;
        if !admin.drain_requested.get() {
            let event = if transfer.drained { PhaseEvent::Drain } else { PhaseEvent::Undrain };
            // Without a transition the node is in that state already, or shuts down.
            let _ = admin.lifecycle.apply(event);
        }
        self.send_to_dispatch(DispatchCommand::RestoreSnapshot(Box::new(transfer.state))).await;
    }

    async fn send_to_dispatch(&self, command: DispatchCommand) {
        // Sending fails only where the dispatch task has ended, which ends the program.
        let _ = self.parts.admin.dispatch_commands.send(command).await;
    }
}

/// Waits for discovery's endpoint list, or until the process may say that it is ready without one.
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

/// The other process's next request; never returns where there is no link.
async fn next_request(requests: &mut Option<mpsc::Receiver<PeerRequest>>) -> Option<PeerRequest> {
    match requests {
        Some(requests) => requests.recv().await,
        None => std::future::pending().await,
    }
}
