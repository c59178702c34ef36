//! Owns this process's part in an upgrade: it tells `operation::succession` what happens and carries out what that wants.
//! It must never decide who owns what.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use curlewusher_control::takeover::{DescriptorShare, Takeover, TakeoverCommand, TakeoverEvent};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use crate::admin::service::AdminService;
use crate::dispatch::{DispatchCommand, TransferableState};
use crate::handover::{
    HandoverError, PeerLink, PeerRequest, Predecessor, Rendezvous, RendezvousListener, StartLock,
    SuccessorHello, contact_predecessor,
};
use crate::lifecycle::PhaseEvent;
use crate::server::Server;
use crate::telemetry::logging::NODE;
use crate::upstream::UpstreamClient;

/// The form of what goes over; one of another form is passed over.
const FORM: u32 = 1;
/// Another start that is under way is waited for so long, and asked this often.
const BUSY_MOST: Duration = Duration::from_secs(5);
const BUSY_PAUSE: Duration = Duration::from_millis(50);
/// A newer process that has a saved list goes by it where discovery is silent for so long: an upgrade has 6 s.
const MAP_WAIT: Duration = Duration::from_millis(3000);
/// At the end, what the other is to know is written within this.
const LAST_FRAMES: Duration = Duration::from_millis(300);

/// What goes over from process to process.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StateTransfer {
    form: u32,
    drained: bool,
    estate: TransferableState,
}

impl StateTransfer {
    /// Reads it, or says in one line why the process starts cold.
    fn read(bytes: &Bytes) -> Option<StateTransfer> {
        match serde_json::from_slice::<StateTransfer>(bytes) {
            Ok(heritage) if heritage.form == FORM => return Some(heritage),
            Ok(other) => {
                warn!(target: NODE, "what the older process learned has form {}, not {FORM}: starts cold", other.form)
            }
            // It had nothing to give, and has said why.
            Err(_) if bytes.is_empty() => {}
            Err(e) => warn!(target: NODE, "what the older process learned cannot be read: {e}: starts cold"),
        }
        None
    }
}

/// How a process begins: where successors find it, and the process before it if there is one.
#[derive(Default)]
pub struct StartupHandover {
    place: Option<Rendezvous>,
    turn: Option<StartLock>,
    elder: Option<Predecessor>,
    /// Something kept it from asking whether another serves: one may, and is not known.
    estranged: bool,
}

impl StartupHandover {
    /// Looks in that folder for another process of this node. Whatever goes wrong there is said in a line, and the process
    /// begins as though it were alone.
    pub async fn look(folder: Option<PathBuf>, node: &str, listen: SocketAddr) -> StartupHandover {
        let Some(folder) = folder else { return StartupHandover::default() };
        let place = Rendezvous::new(&folder, listen);
        let since = Instant::now();
        loop {
            let asked = match place.turn().await {
                Ok(turn) => contact_predecessor(&place, node, listen).await.map(|elder| (turn, elder)),
                Err(problem @ HandoverError::Held { .. }) => Err(problem),
                Err(problem) => {
                    warn!(target: NODE, "curlewusher {node}: {problem}");
                    // Where it can make no file it cannot sit either, which need not be said twice.
                    return StartupHandover { estranged: true, ..StartupHandover::default() };
                }
            };
            match asked {
                Ok((turn, elder)) => {
                    if elder.is_some() {
                        info!(target: NODE, "curlewusher {node}: goes on for the process that serves");
                    }
                    return StartupHandover { place: Some(place), turn: Some(turn), elder, estranged: false };
                }
                Err(problem) if problem.is_busy() && since.elapsed() < BUSY_MOST => sleep(BUSY_PAUSE).await,
                Err(problem) => {
                    warn!(target: NODE, "curlewusher {node}: {problem}");
                    return StartupHandover {
                        place: Some(place),
                        estranged: true,
                        ..StartupHandover::default()
                    };
                }
            }
        }
    }

    /// The listener that the process before this one has passed on.
    pub fn listener(&self) -> Option<std::io::Result<TcpListener>> {
        self.elder.as_ref().map(|elder| elder.listener.try_clone())
    }

    /// Whether another process of this node serves.
    pub fn follows(&self) -> bool {
        self.elder.is_some()
    }
}

/// The parts of the node that an upgrade concerns.
pub struct TakeoverParts {
    pub listen: SocketAddr,
    /// For clients; a successor gets a copy.
    pub listener: TcpListener,
    pub server: Server,
    pub next_hops: UpstreamClient,
    pub operations: AdminService,
}

/// What comes to the task from within this process.
enum Here {
    SuccessorHello(SuccessorHello),
    /// What the elder answered to being asked for the new connections.
    Took(Option<Bytes>),
    Terminate(oneshot::Sender<()>),
}

/// The task.
pub struct TakeoverTask {
    parts: TakeoverParts,
    succession: Takeover,
    place: Option<Rendezvous>,
    turn: Option<StartLock>,
    seat: Rc<RefCell<Option<RendezvousListener>>>,
    hellos: mpsc::Sender<SuccessorHello>,
    here: mpsc::Sender<Here>,
    asked: Option<mpsc::Receiver<PeerRequest>>,
    /// Who asks to be welcomed, and who asks for the new connections, while that is being decided.
    hello: Option<SuccessorHello>,
    heir: Option<oneshot::Sender<Bytes>>,
    /// What the elder had learned at the welcome, while nothing later has come.
    learned: Option<StateTransfer>,
}

/// Where the rest of the program reaches the task.
pub struct TakeoverHandle {
    here: mpsc::Sender<Here>,
    seat: Rc<RefCell<Option<RendezvousListener>>>,
    operations: AdminService,
}

impl TakeoverHandle {
    /// The process was told to end; returns once the other knows what it must.
    pub async fn terminate(&self) {
        let (done, is_done) = oneshot::channel();
        if self.here.send(Here::Terminate(done)).await.is_ok() {
            let _ = is_done.await;
        }
    }

    /// Whether another process of this node goes on.
    pub fn goes_on(&self) -> bool {
        self.operations.peer.link().is_some()
    }

    /// The last that is done: withdrawals that no next hop has heard go to the other process, and the seat is left.
    pub async fn leave(&self, next_hops: &UpstreamClient) {
        if let Some(link) = self.operations.peer.link() {
            next_hops
                .unacknowledged_cancellations()
                .iter()
                .for_each(|(to, id)| link.transfer_cancellation(*to, id));
            let _ = timeout(LAST_FRAMES, link.flushed()).await;
        }
        if let Some(seat) = self.seat.take() {
            seat.close();
        }
    }
}

impl TakeoverTask {
    /// `listed`: there is a saved list to go by. Returns the task, which ends only if the program cannot go on.
    pub fn start(
        beginning: StartupHandover,
        parts: TakeoverParts,
        there: watch::Receiver<bool>,
        listed: bool,
    ) -> (TakeoverHandle, impl Future<Output = ()>) {
        let StartupHandover { place, turn, elder, estranged } = beginning;
        parts.operations.peer.set_may_have_unknown_peer(estranged);
        let (node, listen) = (parts.operations.name.clone(), parts.listen.to_string());
        let (succession, deeds) = match elder {
            Some(_) => Takeover::with_predecessor(&node, &listen),
            None => Takeover::without_predecessor(&node, &listen),
        };
        let (hellos, heard) = mpsc::channel(1);
        let (here, happens) = mpsc::channel(16);
        let seat = Rc::default();
        let operations = parts.operations.clone();
        let reach = TakeoverHandle { here: here.clone(), seat: Rc::clone(&seat), operations };
        let mut upgrade = TakeoverTask {
            parts,
            succession,
            place,
            turn,
            seat,
            hellos,
            here,
            asked: None,
            hello: None,
            heir: None,
            learned: None,
        };
        let wait = match (&elder, listed) {
            (None, true) => Some(Duration::ZERO),
            (Some(_), true) => Some(MAP_WAIT),
            (_, false) => None,
        };
        let run = async move {
            if let Some(elder) = elder {
                upgrade.join(elder).await;
            }
            upgrade.carry_out(deeds).await;
            upgrade.run(heard, happens, there, wait).await;
        };
        (reach, run)
    }

    /// What the elder knows of operators' calls counts from the first moment, what it has learned from the last.
    async fn join(&mut self, elder: Predecessor) {
        self.link(Some((elder.link, elder.asked)));
        if let Some(mut heritage) = StateTransfer::read(&elder.heritage) {
            let learned = heritage.estate.snapshot.take();
            self.inherit(
                heritage.drained,
                TransferableState {
                    disabled_workers: heritage.estate.disabled_workers.clone(),
                    snapshot: None,
                },
            )
            .await;
            heritage.estate.snapshot = learned;
            self.learned = Some(heritage);
        }
    }

    fn link(&mut self, link: Option<(PeerLink, mpsc::Receiver<PeerRequest>)>) {
        self.parts.server.set_migrating(false);
        let (link, asked) = link.unzip();
        self.parts.operations.peer.set_link(link);
        self.asked = asked;
    }

    async fn inherit(&self, drained: bool, estate: TransferableState) {
        let operations = &self.parts.operations;
        if !operations.drain_requested.get() {
            let _ = operations.lifecycle.apply(if drained { PhaseEvent::Drain } else { PhaseEvent::Undrain });
        }
        // A dispatch task that has ended ends the program.
        let _ = operations.dispatch_commands.send(DispatchCommand::RestoreSnapshot(Box::new(estate))).await;
    }

    async fn run(
        mut self,
        mut hellos: mpsc::Receiver<SuccessorHello>,
        mut happens: mpsc::Receiver<Here>,
        mut there: watch::Receiver<bool>,
        wait: Option<Duration>,
    ) {
        let mapped = async {
            let known = async {
                match wait {
                    Some(wait) => sleep(wait).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                there = there.wait_for(|there| *there) => drop(there),
                () = known => {}
            }
        };
        tokio::pin!(mapped);
        let mut waits = true;
        loop {
            let deeds = tokio::select! {
                biased;
                Some(here) = happens.recv() => self.here(here).await,
                Some(asked) = next(&mut self.asked) => self.asked(asked).await,
                Some(hello) = hellos.recv() => self.here(Here::SuccessorHello(hello)).await,
                () = &mut mapped, if waits => {
                    waits = false;
                    self.succession.handle(TakeoverEvent::EndpointsAvailable)
                }
            };
            self.carry_out(deeds).await;
        }
    }

    async fn here(&mut self, here: Here) -> Vec<TakeoverCommand> {
        match here {
            Here::SuccessorHello(hello) => {
                let (node, listen) = (hello.node.clone(), hello.listen.clone());
                self.hello = Some(hello);
                self.succession.handle(TakeoverEvent::Hello { node, listen })
            }
            // The link is closed, which is heard by itself.
            Here::Took(None) => Vec::new(),
            Here::Took(Some(bytes)) => {
                if let Some(heritage) = StateTransfer::read(&bytes).or_else(|| self.learned.take()) {
                    self.inherit(heritage.drained, heritage.estate).await;
                }
                self.learned = None;
                self.succession.handle(TakeoverEvent::TakeoverGranted)
            }
            Here::Terminate(done) => {
                let deeds = self.succession.handle(TakeoverEvent::Terminate);
                self.carry_out(deeds).await;
                let _ = done.send(());
                Vec::new()
            }
        }
    }

    async fn asked(&mut self, asked: PeerRequest) -> Vec<TakeoverCommand> {
        match asked {
            PeerRequest::Callback { body, heard } => {
                let server = self.parts.server.clone();
                spawn_local(async move {
                    // Unanswered, it is repeated.
                    if let Some(owned) = server.handle_callback(body).await {
                        let _ = heard.send(owned);
                    }
                });
            }
            PeerRequest::ClaimJob { id, free } => {
                let server = self.parts.server.clone();
                spawn_local(async move { free.send(!server.holds_job(id).await) });
            }
            PeerRequest::Command { call, verdict } => {
                let operations = self.parts.operations.clone();
                spawn_local(async move { verdict.send(operations.apply_peer_command(&call).await) });
            }
            PeerRequest::MigrateJob { job, client, held, said } => {
                spawn_local(self.parts.server.clone().adopt_job(job, client, held, said));
            }
            PeerRequest::CancelAttempt { to, id } => self.parts.next_hops.adopt_cancellation(to, id),
            PeerRequest::Takeover { heritage } => {
                self.heir = Some(heritage);
                return self.succession.handle(TakeoverEvent::TakeoverRequested);
            }
            PeerRequest::HandBack => {
                self.parts.server.set_migrating(false);
                return self.succession.handle(TakeoverEvent::HandedBack);
            }
            PeerRequest::Lost => {
                self.parts.operations.peer.mark_lost();
                self.link(None);
                if let Some(heritage) = self.learned.take() {
                    self.inherit(heritage.drained, heritage.estate).await;
                }
                info!(target: NODE, "curlewusher {}: the other process is gone", self.parts.operations.name);
                return self.succession.handle(TakeoverEvent::LinkLost);
            }
        }
        Vec::new()
    }

    async fn carry_out(&mut self, deeds: Vec<TakeoverCommand>) {
        for deed in deeds {
            match deed {
                TakeoverCommand::AcceptHello => self.welcome().await,
                TakeoverCommand::RejectHello(why) => {
                    if let Some(hello) = self.hello.take() {
                        hello.reject(why).await;
                    }
                }
                TakeoverCommand::RequestTakeover => {
                    if let Some(link) = self.parts.operations.peer.link() {
                        let here = self.here.clone();
                        spawn_local(async move {
                            here.send(Here::Took(link.request_takeover().await)).await.is_ok()
                        });
                    }
                }
                TakeoverCommand::GrantTakeover => {
                    let heritage = self.heritage().await;
                    if let Some(heir) = self.heir.take() {
                        let _ = heir.send(heritage);
                    }
                    self.parts.server.set_migrating(true);
                }
                TakeoverCommand::HandBack => {
                    _ = self.parts.operations.peer.link().map(|link| link.hand_back());
                    self.parts.server.set_migrating(true);
                }
                TakeoverCommand::CloseLink => {
                    _ = self.parts.operations.peer.link().map(|link| link.close());
                    self.link(None);
                }
                TakeoverCommand::StartAccepting => self.parts.server.set_accepting(true),
                TakeoverCommand::StopAccepting => self.parts.server.set_accepting(false),
                TakeoverCommand::ApplyPhaseEvent(by) => self.go(by).await,
                TakeoverCommand::SetDescriptorShare(share) => {
                    self.parts.server.set_descriptors_halved(share == DescriptorShare::Half);
                    self.parts.next_hops.set_descriptors_halved(share == DescriptorShare::Half);
                }
                TakeoverCommand::ListenForSuccessor => self.sit(),
            }
        }
    }

    async fn go(&mut self, by: PhaseEvent) {
        let operations = &self.parts.operations;
        let Some(phase) = operations.lifecycle.apply(by) else { return };
        if by != PhaseEvent::EndpointsAvailable {
            info!(target: NODE, "curlewusher {}: {phase}", operations.name);
        }
        if matches!(by, PhaseEvent::HandedOver | PhaseEvent::TookBack) {
            let _ = operations
                .dispatch_commands
                .send(DispatchCommand::SetSuccessorActive(by == PhaseEvent::HandedOver))
                .await;
        }
    }

    async fn heritage(&self) -> Bytes {
        let (estate, bequeathed) = oneshot::channel();
        let operations = &self.parts.operations;
        let asked = operations.dispatch_commands.send(DispatchCommand::TakeSnapshot(estate)).await.is_ok();
        let Some(estate) = bequeathed.await.ok().filter(|_| asked) else { return Bytes::new() };
        let heritage =
            StateTransfer { form: FORM, drained: operations.lifecycle.phase().is_drained(), estate };
        match serde_json::to_vec(&heritage) {
            Ok(bytes) => bytes.into(),
            Err(e) => {
                warn!(target: NODE, "what was learned cannot be written: {e}: the successor starts cold");
                Bytes::new()
            }
        }
    }

    async fn welcome(&mut self) {
        let heritage = self.heritage().await;
        let Some(hello) = self.hello.take() else { return };
        match hello.welcome(&self.parts.listener, heritage).await {
            Ok(link) => {
                info!(target: NODE, "curlewusher {}: a successor has come", self.parts.operations.name);
                self.link(Some(link));
            }
            Err(problem) => {
                warn!(target: NODE, "the successor is passed over: {problem}");
                let deeds = self.succession.handle(TakeoverEvent::LinkLost);
                Box::pin(self.carry_out(deeds)).await;
            }
        }
    }

    fn sit(&mut self) {
        let Some(place) = &self.place else { return };
        match RendezvousListener::bind(place, self.hellos.clone()) {
            Ok(seat) => *self.seat.borrow_mut() = Some(seat),
            Err(problem) => {
                self.parts.operations.peer.set_may_have_unknown_peer(true);
                warn!(target: NODE, "no successor can find this process: {problem}");
            }
        }
        // Whoever starts next finds this one now.
        self.turn = None;
    }
}

/// What the other process asks next; never, where there is none.
async fn next(asked: &mut Option<mpsc::Receiver<PeerRequest>>) -> Option<PeerRequest> {
    match asked {
        Some(asked) => asked.recv().await,
        None => std::future::pending().await,
    }
}
