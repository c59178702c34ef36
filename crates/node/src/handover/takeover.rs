//! Owns this process's part in an upgrade: it tells `operation::succession` what happens and carries out what that wants.
//! It must never decide who owns what.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use curlewusher_control::takeover::{DescriptorShare, Event, Takeover, TakeoverCommand};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use crate::admin::Operations;
use crate::dispatch::{Estate, Order};
use crate::handover::{Asked, Elder, HandoverError, Hello, Link, Place, Seat, Turn, call_on};
use crate::lifecycle::PhaseEvent;
use crate::server::SenderSide;
use crate::telemetry::logging::NODE;
use crate::upstream::NextHops;

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
struct Heritage {
    form: u32,
    drained: bool,
    estate: Estate,
}

impl Heritage {
    /// Reads it, or says in one line why the process starts cold.
    fn read(bytes: &Bytes) -> Option<Heritage> {
        match serde_json::from_slice::<Heritage>(bytes) {
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
pub struct Beginning {
    place: Option<Place>,
    turn: Option<Turn>,
    elder: Option<Elder>,
    /// Something kept it from asking whether another serves: one may, and is not known.
    estranged: bool,
}

impl Beginning {
    /// Looks in that folder for another process of this node. Whatever goes wrong there is said in a line, and the process
    /// begins as though it were alone.
    pub async fn look(folder: Option<PathBuf>, node: &str, listen: SocketAddr) -> Beginning {
        let Some(folder) = folder else { return Beginning::default() };
        let place = Place::new(&folder, listen);
        let since = Instant::now();
        loop {
            let asked = match place.turn().await {
                Ok(turn) => call_on(&place, node, listen).await.map(|elder| (turn, elder)),
                Err(problem @ HandoverError::Held { .. }) => Err(problem),
                Err(problem) => {
                    warn!(target: NODE, "curlewusher {node}: {problem}");
                    // Where it can make no file it cannot sit either, which need not be said twice.
                    return Beginning { estranged: true, ..Beginning::default() };
                }
            };
            match asked {
                Ok((turn, elder)) => {
                    if elder.is_some() {
                        info!(target: NODE, "curlewusher {node}: goes on for the process that serves");
                    }
                    return Beginning { place: Some(place), turn: Some(turn), elder, estranged: false };
                }
                Err(problem) if problem.is_busy() && since.elapsed() < BUSY_MOST => sleep(BUSY_PAUSE).await,
                Err(problem) => {
                    warn!(target: NODE, "curlewusher {node}: {problem}");
                    return Beginning { place: Some(place), estranged: true, ..Beginning::default() };
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
pub struct Parts {
    pub listen: SocketAddr,
    /// For clients; a successor gets a copy.
    pub listener: TcpListener,
    pub sender_side: SenderSide,
    pub next_hops: NextHops,
    pub operations: Operations,
}

/// What comes to the task from within this process.
enum Here {
    Hello(Hello),
    /// What the elder answered to being asked for the new connections.
    Took(Option<Bytes>),
    Terminate(oneshot::Sender<()>),
}

/// The task.
pub struct Upgrade {
    parts: Parts,
    succession: Takeover,
    place: Option<Place>,
    turn: Option<Turn>,
    seat: Rc<RefCell<Option<Seat>>>,
    hellos: mpsc::Sender<Hello>,
    here: mpsc::Sender<Here>,
    asked: Option<mpsc::Receiver<Asked>>,
    /// Who asks to be welcomed, and who asks for the new connections, while that is being decided.
    hello: Option<Hello>,
    heir: Option<oneshot::Sender<Bytes>>,
    /// What the elder had learned at the welcome, while nothing later has come.
    learned: Option<Heritage>,
}

/// Where the rest of the program reaches the task.
pub struct Reach {
    here: mpsc::Sender<Here>,
    seat: Rc<RefCell<Option<Seat>>>,
    operations: Operations,
}

impl Reach {
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
    pub async fn leave(&self, next_hops: &NextHops) {
        if let Some(link) = self.operations.peer.link() {
            next_hops.unheard().iter().for_each(|(to, id)| link.withdraw(*to, id));
            let _ = timeout(LAST_FRAMES, link.written()).await;
        }
        if let Some(seat) = self.seat.take() {
            seat.up();
        }
    }
}

impl Upgrade {
    /// `listed`: there is a saved list to go by. Returns the task, which ends only if the program cannot go on.
    pub fn start(
        beginning: Beginning,
        parts: Parts,
        there: watch::Receiver<bool>,
        listed: bool,
    ) -> (Reach, impl Future<Output = ()>) {
        let Beginning { place, turn, elder, estranged } = beginning;
        parts.operations.peer.estrange(estranged);
        let (node, listen) = (parts.operations.name.clone(), parts.listen.to_string());
        let (succession, deeds) = match elder {
            Some(_) => Takeover::with_predecessor(&node, &listen),
            None => Takeover::without_predecessor(&node, &listen),
        };
        let (hellos, heard) = mpsc::channel(1);
        let (here, happens) = mpsc::channel(16);
        let seat = Rc::default();
        let operations = parts.operations.clone();
        let reach = Reach { here: here.clone(), seat: Rc::clone(&seat), operations };
        let mut upgrade = Upgrade {
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
    async fn join(&mut self, elder: Elder) {
        self.link(Some((elder.link, elder.asked)));
        if let Some(mut heritage) = Heritage::read(&elder.heritage) {
            let learned = heritage.estate.learned.take();
            self.inherit(heritage.drained, Estate { bans: heritage.estate.bans.clone(), learned: None })
                .await;
            heritage.estate.learned = learned;
            self.learned = Some(heritage);
        }
    }

    fn link(&mut self, link: Option<(Link, mpsc::Receiver<Asked>)>) {
        self.parts.sender_side.moves(false);
        let (link, asked) = link.unzip();
        self.parts.operations.peer.set(link);
        self.asked = asked;
    }

    async fn inherit(&self, drained: bool, estate: Estate) {
        let operations = &self.parts.operations;
        if !operations.drain_called.get() {
            let _ = operations.lifecycle.go(if drained { PhaseEvent::Drain } else { PhaseEvent::Undrain });
        }
        // A dispatch task that has ended ends the program.
        let _ = operations.order.send(Order::Inherit(Box::new(estate))).await;
    }

    async fn run(
        mut self,
        mut hellos: mpsc::Receiver<Hello>,
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
                Some(hello) = hellos.recv() => self.here(Here::Hello(hello)).await,
                () = &mut mapped, if waits => {
                    waits = false;
                    self.succession.handle(Event::EndpointsAvailable)
                }
            };
            self.carry_out(deeds).await;
        }
    }

    async fn here(&mut self, here: Here) -> Vec<TakeoverCommand> {
        match here {
            Here::Hello(hello) => {
                let (node, listen) = (hello.node.clone(), hello.listen.clone());
                self.hello = Some(hello);
                self.succession.handle(Event::Hello { node, listen })
            }
            // The link is closed, which is heard by itself.
            Here::Took(None) => Vec::new(),
            Here::Took(Some(bytes)) => {
                if let Some(heritage) = Heritage::read(&bytes).or_else(|| self.learned.take()) {
                    self.inherit(heritage.drained, heritage.estate).await;
                }
                self.learned = None;
                self.succession.handle(Event::TakeoverGranted)
            }
            Here::Terminate(done) => {
                let deeds = self.succession.handle(Event::Terminate);
                self.carry_out(deeds).await;
                let _ = done.send(());
                Vec::new()
            }
        }
    }

    async fn asked(&mut self, asked: Asked) -> Vec<TakeoverCommand> {
        match asked {
            Asked::Word { body, heard } => {
                let sender_side = self.parts.sender_side.clone();
                spawn_local(async move {
                    // Unanswered, it is repeated.
                    if let Some(owned) = sender_side.hear(body).await {
                        let _ = heard.send(owned);
                    }
                });
            }
            Asked::Claim { id, free } => {
                let sender_side = self.parts.sender_side.clone();
                spawn_local(async move { free.send(!sender_side.holds(id).await) });
            }
            Asked::AdminCommand { call, verdict } => {
                let operations = self.parts.operations.clone();
                spawn_local(async move { verdict.send(operations.follow(&call).await) });
            }
            Asked::PhaseEvent { job, client, held, said } => {
                spawn_local(self.parts.sender_side.clone().adopt(job, client, held, said));
            }
            Asked::Withdraw { to, id } => self.parts.next_hops.take_over_withdrawal(to, id),
            Asked::TakeOver { heritage } => {
                self.heir = Some(heritage);
                return self.succession.handle(Event::TakeoverRequested);
            }
            Asked::GiveBack => {
                self.parts.sender_side.moves(false);
                return self.succession.handle(Event::HandedBack);
            }
            Asked::Lost => {
                self.parts.operations.peer.lose();
                self.link(None);
                if let Some(heritage) = self.learned.take() {
                    self.inherit(heritage.drained, heritage.estate).await;
                }
                info!(target: NODE, "curlewusher {}: the other process is gone", self.parts.operations.name);
                return self.succession.handle(Event::LinkLost);
            }
        }
        Vec::new()
    }

    async fn carry_out(&mut self, deeds: Vec<TakeoverCommand>) {
        for deed in deeds {
            match deed {
                TakeoverCommand::SendWelcome => self.welcome().await,
                TakeoverCommand::RejectHello(why) => {
                    if let Some(hello) = self.hello.take() {
                        hello.turn_away(why).await;
                    }
                }
                TakeoverCommand::RequestTakeover => {
                    if let Some(link) = self.parts.operations.peer.link() {
                        let here = self.here.clone();
                        spawn_local(
                            async move { here.send(Here::Took(link.take_over().await)).await.is_ok() },
                        );
                    }
                }
                TakeoverCommand::GrantTakeover => {
                    let heritage = self.heritage().await;
                    if let Some(heir) = self.heir.take() {
                        let _ = heir.send(heritage);
                    }
                    self.parts.sender_side.moves(true);
                }
                TakeoverCommand::HandBack => {
                    _ = self.parts.operations.peer.link().map(|link| link.give_back());
                    self.parts.sender_side.moves(true);
                }
                TakeoverCommand::CloseLink => {
                    _ = self.parts.operations.peer.link().map(|link| link.close());
                    self.link(None);
                }
                TakeoverCommand::StartAccepting => self.parts.sender_side.accepts(true),
                TakeoverCommand::StopAccepting => self.parts.sender_side.accepts(false),
                TakeoverCommand::ApplyPhaseEvent(by) => self.go(by).await,
                TakeoverCommand::SetDescriptorShare(share) => {
                    self.parts.sender_side.share(share == DescriptorShare::Half);
                    self.parts.next_hops.share(share == DescriptorShare::Half);
                }
                TakeoverCommand::ListenForSuccessor => self.sit(),
            }
        }
    }

    async fn go(&mut self, by: PhaseEvent) {
        let operations = &self.parts.operations;
        let Some(phase) = operations.lifecycle.go(by) else { return };
        if by != PhaseEvent::EndpointsAvailable {
            info!(target: NODE, "curlewusher {}: {phase}", operations.name);
        }
        if matches!(by, PhaseEvent::HandedOver | PhaseEvent::TookBack) {
            let _ = operations.order.send(Order::Retire(by == PhaseEvent::HandedOver)).await;
        }
    }

    async fn heritage(&self) -> Bytes {
        let (estate, bequeathed) = oneshot::channel();
        let operations = &self.parts.operations;
        let asked = operations.order.send(Order::Bequeath(estate)).await.is_ok();
        let Some(estate) = bequeathed.await.ok().filter(|_| asked) else { return Bytes::new() };
        let heritage = Heritage { form: FORM, drained: operations.lifecycle.phase().is_drained(), estate };
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
                let deeds = self.succession.handle(Event::LinkLost);
                Box::pin(self.carry_out(deeds)).await;
            }
        }
    }

    fn sit(&mut self) {
        let Some(place) = &self.place else { return };
        match Seat::sit(place, self.hellos.clone()) {
            Ok(seat) => *self.seat.borrow_mut() = Some(seat),
            Err(problem) => {
                self.parts.operations.peer.estrange(true);
                warn!(target: NODE, "no successor can find this process: {problem}");
            }
        }
        // Whoever starts next finds this one now.
        self.turn = None;
    }
}

/// What the other process asks next; never, where there is none.
async fn next(asked: &mut Option<mpsc::Receiver<Asked>>) -> Option<Asked> {
    match asked {
        Some(asked) => asked.recv().await,
        None => std::future::pending().await,
    }
}
