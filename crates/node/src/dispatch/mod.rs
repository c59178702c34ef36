//! Owns the `Dispatcher`, the ids of its jobs, its wake-ups and the time-outs of its delivery attempts, in one
//! task; all else reaches it through its queue only. It must never touch a socket, know a protocol, or decide
//! what to do with a job: it hands the module what happened and carries out what the module says.

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use curlewusher_control::command::CommandResult;
use curlewusher_control::maintenance::DisabledWorkers;
use curlewusher_core::{
    Action, ClassId, Dispatcher, Endpoint, Event, JobId, JobSubmission, Micros, MigratedJob, Outcome,
    StateSnapshot, TenantId, WorkerId, WorkerStatus,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tracing::{debug, trace};

use crate::handover::MOVE_TIME;
use crate::telemetry::logging::DISPATCH;
use crate::telemetry::metrics::{Counter, Counters};
use crate::upstream::send_permit::{Clearance, Flag};

/// Room in the queue, beside the place that each open job holds for the news that its client has gone: were
/// those of one room, jobs could fill it, and nothing that ends a job would reach the task any more.
const QUEUE_ROOM: usize = 4096;

/// The queue of a node that has at most so many connections, each with one job.
pub fn queue<P>(connections: usize) -> (Queue<P>, mpsc::Receiver<Notice<P>>) {
    mpsc::channel(QUEUE_ROOM + connections)
}

/// A job that has no longer than this left stays where it is: were the other process to keep silent while it
/// is on its way there, its answer would come too late. Half a second is for what comes after.
const TOO_LATE_TO_MOVE: Micros = MOVE_TIME.as_micros() as Micros + 500_000;

/// Microseconds since the Unix epoch that never go back: read once from the system, then counted on.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as Micros }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.saturating_sub(self.unix))).into()
    }
}

/// The final answer to a job.
#[derive(Debug)]
pub enum Answer {
    /// A next hop's result.
    Served(Bytes),
    /// Not now: coming again does no harm, and is best done after this long.
    Defer { after: Duration },
    /// Given up; it may have run.
    Failed,
    /// A job of this id is in hand already.
    Duplicate,
}

/// A job as a sender side hands it in.
pub struct Taken<P> {
    pub id: Rc<str>,
    pub class: ClassId,
    pub tenant: TenantId,
    pub deadline: Micros,
    pub hint: Option<f64>,
    pub slots: f64,
    /// What it concerns, as a number that is the same at every node.
    pub key: Option<u64>,
    pub repeat: bool,
    /// What is to be delivered; the dispatch task never looks into it.
    pub parcel: P,
    pub ticket: Ticket,
    pub answer: oneshot::Sender<Answer>,
}

/// Stands for a job between its sender side, which says on it that the client has gone, and the dispatch task, which
/// writes the job's number on it.
#[derive(Clone, Default)]
pub struct Ticket {
    job: Rc<Cell<Option<JobId>>>,
    client_gone: Rc<Flag>,
}

impl Ticket {
    /// No attempt of the job begins from now on. What else is to be done about it is the notice's to bring.
    pub fn client_goes(&self) {
        self.client_gone.raise();
    }

    fn job(&self) -> Option<JobId> {
        self.job.get()
    }
}

/// Which delivery attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    job: JobId,
    attempt: u32,
}

/// A delivery attempt to be made. It is given up when `give_up` says so; once the sending half of that is
/// dropped, the attempt is over and only its connection is left to care for.
pub struct DeliveryAttempt<P> {
    pub key: AttemptKey,
    pub id: Rc<str>,
    pub to: SocketAddr,
    pub parcel: Rc<P>,
    pub wait: Duration,
    pub give_up: oneshot::Receiver<()>,
    /// Where it holds no more before the first byte has left, none does, and the attempt ends as never sent.
    pub clearance: Rc<Clearance>,
}

/// Whatever carries jobs to next hops. It reports through the queue: `Accepted`, then nothing or `GivenUp`;
/// or `Ended`.
pub trait Carrier {
    type Parcel;
    fn deliver(&self, attempt: DeliveryAttempt<Self::Parcel>);
    /// Cares for an attempt that a next hop has taken on from another process of this node.
    fn resume(&self, attempt: DeliveryAttempt<Self::Parcel>);
    /// What is open to that next hop is of no use any more.
    fn forget(&self, to: SocketAddr);
}

/// A job that goes from one process of this node to another, but for its parcel.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Moved {
    id: String,
    taken: Micros,
    attempts: Vec<MovedDelivery>,
    job: MigratedJob,
}

impl Moved {
    pub fn id(&self) -> &str {
        &self.id
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct MovedDelivery {
    from: String,
    to: Option<SocketAddr>,
    /// Taken on by its next hop and not ended.
    out: bool,
    share: f64,
    last: Option<Word>,
    times_out: Micros,
}

/// A job that another process has moved here.
pub struct Adopted<P> {
    pub moved: Moved,
    pub parcel: P,
    pub ticket: Ticket,
    pub answer: oneshot::Sender<Answer>,
    /// Whether it is held here.
    pub held: oneshot::Sender<bool>,
}

/// Which process a call-back for an id is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    Here,
    /// It is on its way to the other process or from there.
    OnItsWay,
    /// Not this one.
    Elsewhere,
}

/// What a next hop tells of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    Started,
    Running(f64),
    Done(Bytes),
    Failed,
    Returned,
    Lost,
}

/// A line of the transport map.
pub struct NamedEndpoint {
    pub name: Rc<str>,
    pub address: SocketAddr,
    pub listing: Endpoint,
}

/// What reaches the dispatch task.
pub enum Notice<P> {
    Taken(Taken<P>),
    ClientGone(Ticket),
    /// A call-back: the job's id, the next hop's name, and what it says.
    Told {
        id: String,
        from: String,
        word: Word,
        /// Who holds a job of that id, for whoever would look for it elsewhere.
        holder: Option<oneshot::Sender<Holder>>,
    },
    /// Whether a job of that id is in hand.
    Holds {
        id: String,
        held: oneshot::Sender<bool>,
    },
    /// A job is to move to the other process; nothing comes back while it cannot.
    PhaseEvent(Ticket, oneshot::Sender<(Moved, Rc<P>)>),
    /// Whether the other process holds it; where it does not it is held here again.
    MoveEnded(Ticket, bool),
    /// A job comes from the other process.
    Adopted(Adopted<P>),
    /// Whether the other process has been told that it is held here; else the job is that one's.
    Arrived(Ticket, bool),
    Accepted(AttemptKey),
    Ended(AttemptKey, Outcome),
    GivenUp(AttemptKey),
    Listed {
        hops: Vec<NamedEndpoint>,
        whole: bool,
        /// It is of the discovery that counts now, and with it all that is known stands.
        stands: bool,
        /// The call that it answers took so long.
        took: Option<Duration>,
    },
    /// The open watch says that nothing has changed.
    ListStands,
    /// The open watch brought what cannot be read.
    ListSpoilt,
    /// Discovery has another address.
    ListMoved,
    ListFailed,
    /// This node ends after that long.
    Ending(Duration),
}

/// What operators and the other process of this node want of the task. It is looked at before all that clients and next
/// hops bring, so that it does not wait behind a crowd.
pub enum Order {
    /// Nothing more to the next hop of that name, or work for it again.
    Maintain { name: String, out: bool, verdict: oneshot::Sender<CommandResult> },
    /// The same for one that the other process of this node knows, whether or not a list here has named it.
    Follow { name: String, out: bool, verdict: oneshot::Sender<CommandResult> },
    /// What is known now, for a successor.
    Bequeath(oneshot::Sender<Estate>),
    /// What the process before this one knew.
    Inherit(Box<Estate>),
    /// Whether the other process of this node has taken over.
    Retire(bool),
}

/// What goes from a process to its successor.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Estate {
    pub bans: DisabledWorkers,
    /// None where only what operators called for is to be taken on.
    pub learned: Option<StateSnapshot>,
}

pub type Queue<P> = mpsc::Sender<Notice<P>>;

/// Where an attempt stands.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Out,
    GivingUp(Outcome),
    Over,
}

struct Attempt {
    from: Rc<str>,
    to: Option<SocketAddr>,
    stage: Stage,
    /// The next hop has taken it on.
    accepted: bool,
    /// Largest share told.
    share: f64,
    /// The word that ended it.
    last: Option<Word>,
    give_up: Option<oneshot::Sender<()>>,
    clearance: Rc<Clearance>,
    times_out: Micros,
}

struct Held<P> {
    id: Rc<str>,
    class: ClassId,
    taken: Micros,
    deadline: Micros,
    parcel: Rc<P>,
    answer: Option<oneshot::Sender<Answer>>,
    ticket: Ticket,
    attempts: Vec<Attempt>,
}

/// A job that the other process is about to let go: its id, itself, and who waits for its answer.
type Coming<P> = (Rc<str>, Moved, P, oneshot::Sender<Answer>, Ticket);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake,
    TimeOut(AttemptKey),
}

/// The task.
pub struct Dispatch<C: Carrier> {
    dispatcher: Dispatcher,
    clock: Clock,
    carrier: C,
    queue: mpsc::Receiver<Notice<C::Parcel>>,
    orders: mpsc::Receiver<Order>,
    /// Asks for a watch on the transport map.
    watch: mpsc::Sender<()>,
    counters: Counters,
    next_job: u64,
    held: HashMap<JobId, Held<C::Parcel>>,
    ids: HashMap<Rc<str>, JobId>,
    /// Jobs on their way to the other process of this node.
    leaving: HashMap<JobId, (Moved, Held<C::Parcel>)>,
    /// Jobs on their way from there, until the other process has been told that they are held here. Nothing
    /// is done for them before that: it may take them back.
    coming: HashMap<JobId, Coming<C::Parcel>>,
    hops: HashMap<WorkerId, (Rc<str>, SocketAddr)>,
    /// Next hops that operators have taken out.
    bans: DisabledWorkers,
    /// When each was last listed to have started.
    starts: HashMap<WorkerId, Micros>,
    due: BTreeSet<(Micros, Due)>,
    actions: Vec<Action>,
}

impl<C: Carrier> Dispatch<C> {
    pub fn new(
        dispatcher: Dispatcher,
        clock: Clock,
        carrier: C,
        queue: mpsc::Receiver<Notice<C::Parcel>>,
        orders: mpsc::Receiver<Order>,
        watch: mpsc::Sender<()>,
        counters: Counters,
    ) -> Self {
        Dispatch {
            dispatcher,
            clock,
            carrier,
            queue,
            orders,
            watch,
            counters,
            next_job: 0,
            held: HashMap::new(),
            ids: HashMap::new(),
            leaving: HashMap::new(),
            coming: HashMap::new(),
            hops: HashMap::new(),
            bans: DisabledWorkers::default(),
            starts: HashMap::new(),
            due: BTreeSet::new(),
            actions: Vec::new(),
        }
    }

    /// Serves until nothing can reach it any more.
    pub async fn run(mut self, known: Vec<NamedEndpoint>) {
        // The saved list comes in the moment of the first wake-up: by that the module knows it for no answer.
        let now = self.clock.now();
        self.dispatcher.handle(now, Event::TimerExpired, &mut self.actions);
        self.listed(now, known, true);
        loop {
            let next = self.due.first().map(|(at, _)| self.clock.instant(*at));
            let sleep = async {
                match next {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                Some(order) = self.orders.recv() => self.obey(order),
                notice = self.queue.recv() => match notice {
                    Some(notice) => self.hear(notice),
                    None => return,
                },
                () = sleep => {}
            }
            self.come_due();
        }
    }

    fn come_due(&mut self) {
        let now = self.clock.now();
        while let Some(&(at, due)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, due));
            match due {
                Due::Wake => self.tell(Event::TimerExpired),
                Due::TimeOut(key) => self.give_up(key, Outcome::TimedOut),
            }
        }
    }

    fn obey(&mut self, order: Order) {
        match order {
            Order::Maintain { name, out, verdict } => {
                let said = if out { self.bans.disable(&name) } else { self.bans.enable(&name) };
                if said.is_ok() {
                    self.tell(Event::MaintenanceChanged { worker: WorkerId::of_name(&name), disabled: out });
                }
                // An operator who no longer waits may ask again.
                let _ = verdict.send(said);
            }
            Order::Follow { name, out, verdict } => {
                self.bans.record_listed([name.as_str()]);
                self.obey(Order::Maintain { name, out, verdict });
            }
            Order::Bequeath(estate) => {
                let learned = Some(self.dispatcher.snapshot());
                let _ = estate.send(Estate { bans: self.bans.clone(), learned });
            }
            Order::Inherit(estate) => {
                for (name, out) in self.bans.merge_predecessor(estate.bans) {
                    self.tell(Event::MaintenanceChanged { worker: WorkerId::of_name(&name), disabled: out });
                }
                if let Some(learned) = &estate.learned {
                    self.dispatcher.restore(self.clock.now(), learned);
                }
            }
            Order::Retire(retired) => self.tell(Event::SuccessorActive(retired)),
        }
    }

    fn hear(&mut self, notice: Notice<C::Parcel>) {
        match notice {
            Notice::Taken(taken) => self.take(taken),
            Notice::ClientGone(ticket) => {
                if let Some(job) = ticket.job() {
                    self.client_gone(job);
                }
            }
            Notice::Told { id, from, word, holder } => {
                if let Some(asks) = holder {
                    // Who asks looks elsewhere next, and has ended if it does not listen.
                    let _ = asks.send(self.holder(&id));
                }
                self.told(&id, &from, word);
            }
            Notice::Holds { id, held } => _ = held.send(self.holder(&id) != Holder::Elsewhere),
            Notice::PhaseEvent(ticket, to) => self.let_go(&ticket, to),
            Notice::MoveEnded(ticket, held) => self.move_ended(&ticket, held),
            Notice::Adopted(adopted) => self.expect(adopted),
            Notice::Arrived(ticket, ours) => self.arrived(&ticket, ours),
            Notice::Accepted(key) => {
                if let Some(attempt) = self.attempt(key) {
                    attempt.accepted = true;
                    self.counters.add(Counter::Accepted);
                    self.tell(Event::AttemptAccepted { job: key.job, attempt: key.attempt });
                }
            }
            Notice::Ended(key, outcome) => self.ended(key, outcome),
            Notice::GivenUp(key) => {
                let stage = self.attempt(key).map(|a| a.stage);
                if let Some(Stage::GivingUp(outcome)) = stage {
                    self.ended(key, outcome);
                }
            }
            Notice::Listed { hops, whole, stands, took } => {
                if let Some(took) = took {
                    self.tell(Event::PollAnswered { duration: took.as_micros() as Micros });
                }
                self.listed(self.clock.now(), hops, whole);
                if stands {
                    self.tell(Event::EndpointsConfirmed);
                }
            }
            Notice::ListStands => self.tell(Event::EndpointsConfirmed),
            Notice::ListSpoilt => self.tell(Event::EndpointsUnreadable),
            Notice::ListMoved => self.tell(Event::DiscoveryMoved),
            Notice::ListFailed => self.tell(Event::WatchFailed),
            Notice::Ending(after) => {
                let by = self.clock.now() + after.as_micros() as Micros;
                self.tell(Event::ShutdownStarted { deadline: by });
            }
        }
    }

    /// The client of a job has gone. It may be known twice.
    fn client_gone(&mut self, job: JobId) {
        // One that is on its way to the other process is nobody's here until that has ended.
        let leaving = self.leaving.get_mut(&job).map(|(_, held)| held);
        let Some(held) = self.held.get_mut(&job).or(leaving) else { return };
        if held.answer.take().is_some() {
            self.counters.add(Counter::ClientsGone);
            debug!(target: DISPATCH, request_id = %held.id, "client gone");
            self.tell(Event::ClientDisconnected { job });
            self.forget(job);
        }
    }

    fn holder(&self, id: &str) -> Holder {
        match self.ids.get(id) {
            Some(job) if self.leaving.contains_key(job) || self.coming.contains_key(job) => Holder::OnItsWay,
            Some(_) => Holder::Here,
            None => Holder::Elsewhere,
        }
    }

    /// Lets a job go to the other process, where all that is out of it has been taken on: until then the answer of its next
    /// hop is on its way to a connection of this process.
    fn let_go(&mut self, ticket: &Ticket, to: oneshot::Sender<(Moved, Rc<C::Parcel>)>) {
        let Some(id) = ticket.job() else { return };
        let settled = |a: &Attempt| a.stage == Stage::Over || a.stage == Stage::Out && a.accepted;
        let until = self.clock.now() + TOO_LATE_TO_MOVE;
        let movable =
            |h: &Held<_>| h.answer.is_some() && h.deadline > until && h.attempts.iter().all(settled);
        let movable = self.held.get(&id).is_some_and(movable);
        if !movable || to.is_closed() {
            return;
        }
        let (Some(job), Some(held)) = (self.dispatcher.release_job(id), self.held.remove(&id)) else {
            return;
        };
        let delivery = |a: &Attempt| MovedDelivery {
            from: a.from.to_string(),
            to: a.to,
            out: a.stage == Stage::Out,
            share: a.share,
            last: a.last.clone(),
            times_out: a.times_out,
        };
        for (a, number) in held.attempts.iter().zip(0..) {
            self.due.remove(&(a.times_out, Due::TimeOut(AttemptKey { job: id, attempt: number })));
        }
        let attempts = held.attempts.iter().map(delivery).collect();
        let moved = Moved { id: held.id.to_string(), taken: held.taken, attempts, job };
        debug!(target: DISPATCH, request_id = %held.id, "moves to the other process");
        let unheard = to.send((moved.clone(), held.parcel.clone())).is_err();
        self.leaving.insert(id, (moved, held));
        if unheard {
            // Its sender side has left in this moment.
            self.move_ended(ticket, false);
        }
    }

    fn move_ended(&mut self, ticket: &Ticket, moved_on: bool) {
        let Some((id, (moved, held))) = ticket.job().and_then(|id| Some((id, self.leaving.remove(&id)?)))
        else {
            return;
        };
        if moved_on {
            self.ids.remove(&held.id);
            return self.counters.add(Counter::MovedAway);
        }
        let gone = held.answer.is_none();
        if gone && !moved.attempts.iter().any(|a| a.out) {
            // Its client has left meanwhile, and nothing of it is out.
            self.ids.remove(&held.id);
            return;
        }
        self.held.insert(id, held);
        for (a, number) in moved.attempts.iter().zip(0..).filter(|(a, _)| a.out) {
            self.due.insert((a.times_out, Due::TimeOut(AttemptKey { job: id, attempt: number })));
        }
        // What was let go a moment ago can be taken on again.
        self.dispatcher.adopt_job(self.clock.now(), id, &moved.job, &mut self.actions);
        self.carry_out();
        if gone {
            self.tell(Event::ClientDisconnected { job: id });
        }
    }

    /// A job is about to come from the other process: its id is taken here from now on.
    fn expect(&mut self, adopted: Adopted<C::Parcel>) {
        let Adopted { moved, parcel, ticket, answer, held } = adopted;
        let name = Rc::<str>::from(moved.id.as_str());
        if self.ids.contains_key(&name) || !self.dispatcher.accepts_migrated_job(&moved.job) {
            let _ = held.send(false);
            return;
        }
        let id = JobId(self.next_job);
        self.next_job += 1;
        ticket.job.set(Some(id));
        self.ids.insert(name.clone(), id);
        self.coming.insert(id, (name, moved, parcel, answer, ticket));
        let _ = held.send(true);
    }

    fn arrived(&mut self, ticket: &Ticket, ours: bool) {
        let Some((id, coming)) = ticket.job().and_then(|id| Some((id, self.coming.remove(&id)?))) else {
            return;
        };
        let (name, moved, parcel, answer, ticket) = coming;
        let now = self.clock.now();
        if !ours || !self.dispatcher.adopt_job(now, id, &moved.job, &mut self.actions) {
            self.ids.remove(&name);
            return;
        }
        let (parcel, mut attempts) = (Rc::new(parcel), Vec::new());
        for (a, number) in moved.attempts.into_iter().zip(0..) {
            let key = AttemptKey { job: id, attempt: number };
            let mut stage = Stage::Over;
            let mut give_up = None;
            // Its bytes have left.
            let clearance = Rc::<Clearance>::default();
            if let (true, Some(to)) = (a.out, a.to) {
                let (asks, asked) = oneshot::channel();
                (stage, give_up) = (Stage::Out, Some(asks));
                self.due.insert((a.times_out, Due::TimeOut(key)));
                let wait = Duration::from_micros(a.times_out.saturating_sub(now));
                let (id, parcel) = (name.clone(), parcel.clone());
                let clearance = clearance.clone();
                self.carrier.resume(DeliveryAttempt { key, id, to, parcel, wait, give_up: asked, clearance });
            }
            attempts.push(Attempt {
                from: a.from.into(),
                to: a.to,
                stage,
                accepted: true,
                share: a.share,
                last: a.last,
                give_up,
                clearance,
                times_out: a.times_out,
            });
        }
        debug!(target: DISPATCH, request_id = %name, "comes from the other process");
        self.counters.add(Counter::MovedHere);
        let (class, deadline) = (moved.job.class(), moved.job.deadline());
        let answer = Some(answer);
        let taken = moved.taken;
        self.held.insert(id, Held { id: name, class, taken, deadline, parcel, answer, ticket, attempts });
        self.carry_out();
    }

    fn take(&mut self, taken: Taken<C::Parcel>) {
        if self.ids.contains_key(&taken.id) {
            // Two jobs of one id could not be told apart in a call-back.
            let _ = taken.answer.send(Answer::Duplicate);
            return;
        }
        self.counters.add(Counter::Taken);
        let (class, key, hint) = (taken.class.0, taken.key, taken.hint);
        debug!(
            target: DISPATCH,
            request_id = %taken.id,
            class,
            ?key,
            ?hint,
            slots = taken.slots,
            repeat = taken.repeat,
            "taken"
        );
        let job = JobId(self.next_job);
        self.next_job += 1;
        taken.ticket.job.set(Some(job));
        self.ids.insert(taken.id.clone(), job);
        let (parcel, answer) = (Rc::new(taken.parcel), Some(taken.answer));
        let held = Held {
            id: taken.id,
            class: taken.class,
            taken: self.clock.now(),
            deadline: taken.deadline,
            parcel,
            answer,
            ticket: taken.ticket,
            attempts: Vec::new(),
        };
        self.held.insert(job, held);
        self.tell(Event::JobSubmitted(JobSubmission {
            job,
            class: taken.class,
            tenant: taken.tenant,
            deadline: taken.deadline,
            cost_hint: taken.hint,
            slots: taken.slots,
            key: taken.key,
            is_retry: taken.repeat,
        }));
    }

    /// A call-back counts for the live attempt of that job at that next hop, and for nothing else.
    fn told(&mut self, id: &str, from: &str, word: Word) {
        self.counters.add(Counter::Callbacks);
        trace!(target: DISPATCH, request_id = id, from, "call-back");
        let job = self.ids.get(id).copied();
        let found = job.and_then(|job| {
            let attempts = &mut self.held.get_mut(&job)?.attempts;
            let at = attempts.iter().rposition(|a| &*a.from == from && a.stage != Stage::Over)?;
            // Next hops repeat a call until they hear an answer. A repeat of the word that ended an earlier
            // attempt there must not end this one, which that next hop has not yet taken on.
            let repeat = |a: &Attempt| &*a.from == from && a.last.as_ref() == Some(&word);
            let repeat = attempts[..at].iter().any(repeat);
            let stale = repeat && !attempts[at].accepted;
            (!stale).then_some((AttemptKey { job, attempt: at as u32 }, &mut attempts[at], repeat))
        });
        let Some((key, attempt, repeat)) = found else { return self.counters.add(Counter::CallbacksIdle) };
        let AttemptKey { job, attempt: number } = key;
        let outcome = match &word {
            // It is being withdrawn: that it starts all the same must not call off the one that is to stay.
            Word::Started | Word::Running(_) if matches!(attempt.stage, Stage::GivingUp(_)) => {
                return self.counters.add(Counter::CallbacksIdle);
            }
            // That next hop has taken this one on as well. Whether it says so of this one or once more of the
            // one before cannot be told: this one may run, and is withdrawn before anything else becomes of
            // its job.
            Word::Failed | Word::Returned | Word::Lost if repeat => return self.give_up(key, Outcome::Error),
            Word::Started => {
                debug!(target: DISPATCH, request_id = id, attempt = number, from, "attempt started");
                return self.tell(Event::AttemptStarted { job, attempt: number });
            }
            Word::Running(share) if *share <= attempt.share => {
                // A repeat that arrives late must not set the clock of the progress back.
                return self.counters.add(Counter::CallbacksIdle);
            }
            Word::Running(share) => {
                attempt.share = *share;
                return self.tell(Event::AttemptProgressed { job, attempt: number, done: *share });
            }
            Word::Done(_) => Outcome::Done,
            Word::Failed => Outcome::Error,
            Word::Returned => Outcome::Rejected,
            Word::Lost => Outcome::Lost,
        };
        if let Word::Done(result) = &word {
            let result = result.clone();
            self.answer(job, Answer::Served(result));
        } else {
            attempt.last = Some(word);
        }
        self.ended(key, outcome);
    }

    fn attempt(&mut self, key: AttemptKey) -> Option<&mut Attempt> {
        self.held.get_mut(&key.job)?.attempts.get_mut(key.attempt as usize)
    }

    /// An attempt is over; only the first end of each counts.
    fn ended(&mut self, key: AttemptKey, outcome: Outcome) {
        if self.held.get(&key.job).is_some_and(|held| held.ticket.client_gone.is_raised()) {
            // The notice of that may be further back in the queue, and no other attempt is to follow this one.
            self.client_gone(key.job);
        }
        let Some(attempt) = self.attempt(key).filter(|a| a.stage != Stage::Over) else { return };
        attempt.stage = Stage::Over;
        attempt.give_up = None;
        // A word can end one that waits for a connection yet.
        attempt.clearance.revoke();
        let times_out = attempt.times_out;
        self.due.remove(&(times_out, Due::TimeOut(key)));
        self.counters.add(match outcome {
            Outcome::Done => Counter::EndedDone,
            Outcome::Error => Counter::EndedError,
            Outcome::Rejected => Counter::EndedFull,
            Outcome::TimedOut => Counter::EndedTimedOut,
            Outcome::Unreachable => Counter::EndedUnreachable,
            Outcome::Lost => Counter::EndedLost,
            Outcome::Cancelled => Counter::EndedCancelled,
            Outcome::NotSent => Counter::EndedNeverSent,
        });
        let held = self.held.get(&key.job);
        if let Some(held) = held {
            let to = &*held.attempts[key.attempt as usize].from;
            debug!(target: DISPATCH, request_id = %held.id, attempt = key.attempt, to, ?outcome, "attempt ended");
        }
        let settled = held.is_some_and(|held| held.answer.is_none());
        self.tell(Event::AttemptEnded { job: key.job, attempt: key.attempt, outcome, settled });
        self.forget(key.job);
    }

    /// The module hears of the end only once the give-up is out, so that no two attempts of a job meet.
    fn give_up(&mut self, key: AttemptKey, outcome: Outcome) {
        let Some(attempt) = self.attempt(key).filter(|a| a.stage == Stage::Out) else { return };
        attempt.stage = Stage::GivingUp(outcome);
        attempt.clearance.revoke();
        if let Some(give_up) = attempt.give_up.take() {
            // Where nobody listens any more, the end of the attempt is in the queue already.
            let _ = give_up.send(());
        }
        self.counters.add(Counter::GivenUp);
    }

    fn listed(&mut self, now: Micros, hops: Vec<NamedEndpoint>, whole: bool) {
        self.counters.add(Counter::ListChanges);
        self.bans.record_listed(hops.iter().map(|hop| &*hop.name));
        let entries: Vec<Endpoint> = hops.iter().map(|hop| hop.listing.clone()).collect();
        if whole {
            self.hops.clear();
        }
        for NamedEndpoint { name, address, listing } in hops {
            trace!(target: DISPATCH, %name, %address, ?listing, "listed");
            let old = self.starts.insert(listing.worker, listing.started);
            if listing.status == WorkerStatus::Gone || old.is_some_and(|old| old != listing.started) {
                // The connections that are left are those of a process that is no more.
                self.carrier.forget(address);
            }
            if listing.status == WorkerStatus::Gone {
                self.starts.remove(&listing.worker);
                self.hops.remove(&listing.worker);
            } else {
                self.hops.insert(listing.worker, (name, address));
            }
        }
        self.dispatcher.handle(
            now,
            Event::EndpointsChanged { endpoints: &entries, snapshot: whole },
            &mut self.actions,
        );
        self.carry_out();
    }

    fn tell(&mut self, event: Event) {
        self.dispatcher.handle(self.clock.now(), event, &mut self.actions);
        self.carry_out();
    }

    fn carry_out(&mut self) {
        let mut unsent = Vec::new();
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::SendAttempt { job, worker, timeout, send_by: leave_by } => {
                    unsent.extend(self.send(job, worker, timeout, leave_by));
                }
                Action::Reject { job, retry_after: wait } => {
                    self.answer(job, Answer::Defer { after: Duration::from_micros(wait) });
                    self.forget(job);
                }
                Action::Fail { job } => {
                    self.answer(job, Answer::Failed);
                    self.forget(job);
                }
                Action::RevokeAttempt { job, attempt } => {
                    let attempt = self.attempt(AttemptKey { job, attempt });
                    if let Some(attempt) = attempt.filter(|a| a.stage == Stage::Out) {
                        attempt.clearance.revoke();
                    }
                }
                Action::CancelAttempt { job, attempt } => {
                    self.give_up(AttemptKey { job, attempt }, Outcome::Cancelled);
                }
                Action::SetTimer { after } => {
                    self.due.insert((self.clock.now() + after, Due::Wake));
                }
                // A request to watch that is under way answers this one as well.
                Action::WatchEndpoints => _ = self.watch.try_send(()),
                // The settings allow no messages between nodes, and no protocol carries any.
                Action::SendGossip { .. } => {}
            }
        }
        for key in unsent {
            self.ended(key, Outcome::NotSent);
        }
    }

    /// Sends an attempt; one that has nowhere to go, or whose client has gone, is returned.
    fn send(
        &mut self,
        job: JobId,
        worker: WorkerId,
        timeout: Micros,
        leave_by: Option<Micros>,
    ) -> Option<AttemptKey> {
        let held = self.held.get_mut(&job)?;
        let key = AttemptKey { job, attempt: held.attempts.len() as u32 };
        let times_out = self.clock.now() + timeout;
        let (give_up, asked) = oneshot::channel();
        let hop = self.hops.get(&worker);
        let leave_by = leave_by.map(|at| self.clock.instant(at));
        let clearance = Clearance::new(held.ticket.client_gone.clone(), leave_by);
        held.attempts.push(Attempt {
            from: hop.map_or_else(|| "".into(), |hop| hop.0.clone()),
            to: hop.map(|hop| hop.1),
            stage: Stage::Out,
            accepted: false,
            share: 0.0,
            last: None,
            give_up: Some(give_up),
            clearance: clearance.clone(),
            times_out,
        });
        let Some(&(_, to)) = hop.filter(|_| clearance.holds()) else { return Some(key) };
        let (id, parcel) = (held.id.clone(), held.parcel.clone());
        self.due.insert((times_out, Due::TimeOut(key)));
        self.counters.add(Counter::Sent);
        let name = &*held.attempts[key.attempt as usize].from;
        debug!(target: DISPATCH, request_id = %id, attempt = key.attempt, %to, name, "attempt sent");
        let wait = Duration::from_micros(timeout);
        self.carrier.deliver(DeliveryAttempt { key, id, to, parcel, wait, give_up: asked, clearance });
        None
    }

    /// Answers a job once: what comes after the first answer is dropped.
    fn answer(&mut self, job: JobId, answer: Answer) {
        let Some(held) = self.held.get_mut(&job) else { return };
        let Some(sender) = held.answer.take() else { return };
        let kind = match &answer {
            Answer::Served(_) => Counter::Served,
            Answer::Defer { .. } => Counter::Deferred,
            Answer::Failed | Answer::Duplicate => Counter::Failed,
        };
        let after = Duration::from_micros(self.clock.now().saturating_sub(held.taken));
        self.counters.answered(kind, held.class.0, after);
        debug!(target: DISPATCH, request_id = %held.id, ?kind, ms = after.as_millis() as u64, "answered");
        // A client that left in this very moment needs no answer.
        let _ = sender.send(answer);
    }

    /// Drops a job once it is answered and nothing of it is out.
    fn forget(&mut self, job: JobId) {
        let over = |held: &Held<_>| held.attempts.iter().all(|a| a.stage == Stage::Over);
        if self.held.get(&job).is_some_and(|held| held.answer.is_none() && over(held))
            && let Some(held) = self.held.remove(&job)
        {
            self.ids.remove(&held.id);
        }
    }
}
