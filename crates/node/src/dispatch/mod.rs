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

use crate::handover::MIGRATION_TIMEOUT;
use crate::telemetry::logging::DISPATCH;
use crate::telemetry::metrics::{Counter, Metrics};
use crate::upstream::send_permit::{CancelFlag, SendPermit};

/// Room in the queue, beside the place that each open job holds for the news that its client has gone: were
/// those of one room, jobs could fill it, and nothing that ends a job would reach the task any more.
const QUEUE_ROOM: usize = 4096;

/// The queue of a node that has at most so many connections, each with one job.
pub fn create_queue<P>(connections: usize) -> (DispatchQueue<P>, mpsc::Receiver<DispatchMessage<P>>) {
    mpsc::channel(QUEUE_ROOM + connections)
}

/// A job that has no longer than this left stays where it is: were the other process to keep silent while it
/// is on its way there, its answer would come too late. Half a second is for what comes after.
const TOO_LATE_TO_MOVE: Micros = MIGRATION_TIMEOUT.as_micros() as Micros + 500_000;

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
pub enum JobResponse {
    /// A next hop's result.
    Served(Bytes),
    /// Not now: coming again does no harm, and is best done after this long.
    Rejected { retry_after: Duration },
    /// Given up; it may have run.
    Failed,
    /// A job of this id is in hand already.
    Duplicate,
}

/// A job as a sender side hands it in.
pub struct SubmittedJob<P> {
    pub request_id: Rc<str>,
    pub class: ClassId,
    pub tenant: TenantId,
    pub deadline: Micros,
    pub cost_hint: Option<f64>,
    pub slots: f64,
    /// What it concerns, as a number that is the same at every node.
    pub affinity_key: Option<u64>,
    pub is_retry: bool,
    /// What is to be delivered; the dispatch task never looks into it.
    pub payload: P,
    pub job_handle: JobHandle,
    pub response_sender: oneshot::Sender<JobResponse>,
}

/// Stands for a job between its sender side, which says on it that the client has gone, and the dispatch task, which
/// writes the job's number on it.
#[derive(Clone, Default)]
pub struct JobHandle {
    job: Rc<Cell<Option<JobId>>>,
    client_gone: Rc<CancelFlag>,
}

impl JobHandle {
    /// No attempt of the job begins from now on. What else is to be done about it is the notice's to bring.
    pub fn mark_client_gone(&self) {
        self.client_gone.raise();
    }

    fn job(&self) -> Option<JobId> {
        self.job.get()
    }
}

/// Which delivery attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    job: JobId,
    attempt: u32,
}

/// A delivery attempt to be made. It is given up when `give_up` says so; once the sending half of that is
/// dropped, the attempt is over and only its connection is left to care for.
pub struct AttemptRequest<P> {
    pub id: AttemptId,
    pub request_id: Rc<str>,
    pub address: SocketAddr,
    pub payload: Rc<P>,
    pub timeout: Duration,
    pub cancel: oneshot::Receiver<()>,
    /// Where it holds no more before the first byte has left, none does, and the attempt ends as never sent.
    pub send_permit: Rc<SendPermit>,
}

/// Whatever carries jobs to next hops. It reports through the queue: `Accepted`, then nothing or `GivenUp`;
/// or `Ended`.
pub trait AttemptTransport {
    type Payload;
    fn start_attempt(&self, attempt: AttemptRequest<Self::Payload>);
    /// Cares for an attempt that a next hop has taken on from another process of this node.
    fn resume_attempt(&self, attempt: AttemptRequest<Self::Payload>);
    /// What is open to that next hop is of no use any more.
    fn discard_connections(&self, to: SocketAddr);
}

/// A job that goes from one process of this node to another, but for its parcel.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobMigration {
    id: String,
    taken: Micros,
    attempts: Vec<MigratedAttempt>,
    job: MigratedJob,
}

impl JobMigration {
    pub fn request_id(&self) -> &str {
        &self.id
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct MigratedAttempt {
    from: String,
    to: Option<SocketAddr>,
    /// Taken on by its next hop and not ended.
    out: bool,
    share: f64,
    last: Option<CallbackState>,
    times_out: Micros,
}

/// A job that is about to go to the other process of this node, with its payload.
pub struct OutgoingMigration<P> {
    pub migration: JobMigration,
    pub payload: Rc<P>,
}

/// A job that another process has moved here.
pub struct IncomingMigration<P> {
    pub migration: JobMigration,
    pub payload: P,
    pub job_handle: JobHandle,
    pub response_sender: oneshot::Sender<JobResponse>,
    /// Whether it is held here.
    pub accepted: oneshot::Sender<bool>,
}

/// Which process a call-back for an id is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOwner {
    Local,
    /// It is on its way to the other process or from there.
    Migrating,
    /// Not this one.
    Unknown,
}

/// What a next hop tells of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallbackState {
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
    pub endpoint: Endpoint,
}

/// What reaches the dispatch task.
pub enum DispatchMessage<P> {
    Submit(SubmittedJob<P>),
    ClientDisconnected(JobHandle),
    /// A call-back: the job's id, the next hop's name, and what it says.
    Callback {
        request_id: String,
        worker_name: String,
        state: CallbackState,
        /// Who holds a job of that id, for whoever would look for it elsewhere.
        owner: Option<oneshot::Sender<JobOwner>>,
    },
    /// Whether a job of that id is in hand.
    QueryJob {
        request_id: String,
        held: oneshot::Sender<bool>,
    },
    /// A job is to move to the other process; nothing comes back while it cannot.
    MigrateJob {
        job_handle: JobHandle,
        migration_sender: oneshot::Sender<OutgoingMigration<P>>,
    },
    /// Whether the other process holds it; where it does not it is held here again.
    MigrationFinished {
        job_handle: JobHandle,
        accepted: bool,
    },
    /// A job comes from the other process.
    ReceiveMigration(IncomingMigration<P>),
    /// Whether the other process has been told that it is held here; else the job is that one's.
    MigrationConfirmed {
        job_handle: JobHandle,
        confirmed: bool,
    },
    AttemptAccepted(AttemptId),
    AttemptEnded(AttemptId, Outcome),
    AttemptCancelled(AttemptId),
    EndpointsChanged {
        endpoints: Vec<NamedEndpoint>,
        snapshot: bool,
        /// It is of the discovery that counts now, and with it all that is known stands.
        confirmed: bool,
        /// The call that it answers took so long.
        poll_duration: Option<Duration>,
    },
    /// The open watch says that nothing has changed.
    EndpointsConfirmed,
    /// The open watch brought what cannot be read.
    EndpointsUnreadable,
    /// Discovery has another address.
    DiscoveryMoved,
    WatchFailed,
    /// This node ends after that long.
    ShutdownStarted(Duration),
}

/// What operators and the other process of this node want of the task. It is looked at before all that clients and next
/// hops bring, so that it does not wait behind a crowd.
pub enum DispatchCommand {
    /// Nothing more to the next hop of that name, or work for it again.
    SetWorkerDisabled { name: String, disabled: bool, result: oneshot::Sender<CommandResult> },
    /// The same for one that the other process of this node knows, whether or not a list here has named it.
    SetWorkerDisabledByPeer { name: String, disabled: bool, result: oneshot::Sender<CommandResult> },
    /// What is known now, for a successor.
    TakeSnapshot(oneshot::Sender<TransferableState>),
    /// What the process before this one knew.
    RestoreSnapshot(Box<TransferableState>),
    /// Whether the other process of this node has taken over.
    SetSuccessorActive(bool),
}

/// What goes from a process to its successor.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TransferableState {
    #[serde(rename = "bans")]
    pub disabled_workers: DisabledWorkers,
    /// None where only what operators called for is to be taken on.
    #[serde(rename = "learned")]
    pub snapshot: Option<StateSnapshot>,
}

pub type DispatchQueue<P> = mpsc::Sender<DispatchMessage<P>>;

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
    last: Option<CallbackState>,
    give_up: Option<oneshot::Sender<()>>,
    send_permit: Rc<SendPermit>,
    times_out: Micros,
}

struct Held<P> {
    id: Rc<str>,
    class: ClassId,
    taken: Micros,
    deadline: Micros,
    payload: Rc<P>,
    answer: Option<oneshot::Sender<JobResponse>>,
    job_handle: JobHandle,
    attempts: Vec<Attempt>,
}

/// A job that the other process is about to let go: its id, itself, and who waits for its answer.
type Coming<P> = (Rc<str>, JobMigration, P, oneshot::Sender<JobResponse>, JobHandle);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake,
    TimeOut(AttemptId),
}

/// What a [`DispatchTask`] is made of and connected to.
pub struct DispatchParts<C: AttemptTransport> {
    pub dispatcher: Dispatcher,
    pub clock: Clock,
    pub transport: C,
    pub messages: mpsc::Receiver<DispatchMessage<C::Payload>>,
    pub commands: mpsc::Receiver<DispatchCommand>,
    /// Asks for a watch on discovery's endpoint list.
    pub watch_requests: mpsc::Sender<()>,
    pub metrics: Metrics,
}

/// The task.
pub struct DispatchTask<C: AttemptTransport> {
    dispatcher: Dispatcher,
    clock: Clock,
    transport: C,
    queue: mpsc::Receiver<DispatchMessage<C::Payload>>,
    orders: mpsc::Receiver<DispatchCommand>,
    /// Asks for a watch on the transport map.
    watch: mpsc::Sender<()>,
    counters: Metrics,
    next_job: u64,
    held: HashMap<JobId, Held<C::Payload>>,
    ids: HashMap<Rc<str>, JobId>,
    /// Jobs on their way to the other process of this node.
    leaving: HashMap<JobId, (JobMigration, Held<C::Payload>)>,
    /// Jobs on their way from there, until the other process has been told that they are held here. Nothing
    /// is done for them before that: it may take them back.
    coming: HashMap<JobId, Coming<C::Payload>>,
    hops: HashMap<WorkerId, (Rc<str>, SocketAddr)>,
    /// Next hops that operators have taken out.
    bans: DisabledWorkers,
    /// When each was last listed to have started.
    starts: HashMap<WorkerId, Micros>,
    due: BTreeSet<(Micros, Due)>,
    actions: Vec<Action>,
}

impl<C: AttemptTransport> DispatchTask<C> {
    /// A task without jobs and without endpoints.
    pub fn new(parts: DispatchParts<C>) -> Self {
        DispatchTask {
            dispatcher: parts.dispatcher,
            clock: parts.clock,
            transport: parts.transport,
            queue: parts.messages,
            orders: parts.commands,
            watch: parts.watch_requests,
            counters: parts.metrics,
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

    fn obey(&mut self, order: DispatchCommand) {
        match order {
            DispatchCommand::SetWorkerDisabled { name, disabled: out, result: verdict } => {
                let said = if out { self.bans.disable(&name) } else { self.bans.enable(&name) };
                if said.is_ok() {
                    self.tell(Event::MaintenanceChanged { worker: WorkerId::of_name(&name), disabled: out });
                }
                // An operator who no longer waits may ask again.
                let _ = verdict.send(said);
            }
            DispatchCommand::SetWorkerDisabledByPeer { name, disabled: out, result: verdict } => {
                self.bans.record_listed([name.as_str()]);
                self.obey(DispatchCommand::SetWorkerDisabled { name, disabled: out, result: verdict });
            }
            DispatchCommand::TakeSnapshot(estate) => {
                let learned = Some(self.dispatcher.snapshot());
                let _ =
                    estate.send(TransferableState { disabled_workers: self.bans.clone(), snapshot: learned });
            }
            DispatchCommand::RestoreSnapshot(estate) => {
                for (name, out) in self.bans.merge_predecessor(estate.disabled_workers) {
                    self.tell(Event::MaintenanceChanged { worker: WorkerId::of_name(&name), disabled: out });
                }
                if let Some(learned) = &estate.snapshot {
                    self.dispatcher.restore(self.clock.now(), learned);
                }
            }
            DispatchCommand::SetSuccessorActive(retired) => self.tell(Event::SuccessorActive(retired)),
        }
    }

    fn hear(&mut self, notice: DispatchMessage<C::Payload>) {
        match notice {
            DispatchMessage::Submit(taken) => self.take(taken),
            DispatchMessage::ClientDisconnected(job_handle) => {
                if let Some(job) = job_handle.job() {
                    self.client_gone(job);
                }
            }
            DispatchMessage::Callback { request_id: id, worker_name: from, state: word, owner: holder } => {
                if let Some(asks) = holder {
                    // Who asks looks elsewhere next, and has ended if it does not listen.
                    let _ = asks.send(self.holder(&id));
                }
                self.told(&id, &from, word);
            }
            DispatchMessage::QueryJob { request_id: id, held } => {
                _ = held.send(self.holder(&id) != JobOwner::Unknown)
            }
            DispatchMessage::MigrateJob { job_handle, migration_sender } => {
                self.let_go(&job_handle, migration_sender)
            }
            DispatchMessage::MigrationFinished { job_handle, accepted } => {
                self.move_ended(&job_handle, accepted)
            }
            DispatchMessage::ReceiveMigration(adopted) => self.expect(adopted),
            DispatchMessage::MigrationConfirmed { job_handle, confirmed } => {
                self.arrived(&job_handle, confirmed)
            }
            DispatchMessage::AttemptAccepted(key) => {
                if let Some(attempt) = self.attempt(key) {
                    attempt.accepted = true;
                    self.counters.add(Counter::Accepted);
                    self.tell(Event::AttemptAccepted { job: key.job, attempt: key.attempt });
                }
            }
            DispatchMessage::AttemptEnded(key, outcome) => self.ended(key, outcome),
            DispatchMessage::AttemptCancelled(key) => {
                let stage = self.attempt(key).map(|a| a.stage);
                if let Some(Stage::GivingUp(outcome)) = stage {
                    self.ended(key, outcome);
                }
            }
            DispatchMessage::EndpointsChanged {
                endpoints: hops,
                snapshot: whole,
                confirmed: stands,
                poll_duration: took,
            } => {
                if let Some(took) = took {
                    self.tell(Event::PollAnswered { duration: took.as_micros() as Micros });
                }
                self.listed(self.clock.now(), hops, whole);
                if stands {
                    self.tell(Event::EndpointsConfirmed);
                }
            }
            DispatchMessage::EndpointsConfirmed => self.tell(Event::EndpointsConfirmed),
            DispatchMessage::EndpointsUnreadable => self.tell(Event::EndpointsUnreadable),
            DispatchMessage::DiscoveryMoved => self.tell(Event::DiscoveryMoved),
            DispatchMessage::WatchFailed => self.tell(Event::WatchFailed),
            DispatchMessage::ShutdownStarted(after) => {
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

    fn holder(&self, id: &str) -> JobOwner {
        match self.ids.get(id) {
            Some(job) if self.leaving.contains_key(job) || self.coming.contains_key(job) => {
                JobOwner::Migrating
            }
            Some(_) => JobOwner::Local,
            None => JobOwner::Unknown,
        }
    }

    /// Lets a job go to the other process, where all that is out of it has been taken on: until then the answer of its next
    /// hop is on its way to a connection of this process.
    fn let_go(&mut self, job_handle: &JobHandle, to: oneshot::Sender<OutgoingMigration<C::Payload>>) {
        let Some(id) = job_handle.job() else { return };
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
        let delivery = |a: &Attempt| MigratedAttempt {
            from: a.from.to_string(),
            to: a.to,
            out: a.stage == Stage::Out,
            share: a.share,
            last: a.last.clone(),
            times_out: a.times_out,
        };
        for (a, number) in held.attempts.iter().zip(0..) {
            self.due.remove(&(a.times_out, Due::TimeOut(AttemptId { job: id, attempt: number })));
        }
        let attempts = held.attempts.iter().map(delivery).collect();
        let moved = JobMigration { id: held.id.to_string(), taken: held.taken, attempts, job };
        debug!(target: DISPATCH, request_id = %held.id, "moves to the other process");
        let unheard =
            to.send(OutgoingMigration { migration: moved.clone(), payload: held.payload.clone() }).is_err();
        self.leaving.insert(id, (moved, held));
        if unheard {
            // Its sender side has left in this moment.
            self.move_ended(job_handle, false);
        }
    }

    fn move_ended(&mut self, job_handle: &JobHandle, moved_on: bool) {
        let Some((id, (moved, held))) = job_handle.job().and_then(|id| Some((id, self.leaving.remove(&id)?)))
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
            self.due.insert((a.times_out, Due::TimeOut(AttemptId { job: id, attempt: number })));
        }
        // What was let go a moment ago can be taken on again.
        self.dispatcher.adopt_job(self.clock.now(), id, &moved.job, &mut self.actions);
        self.carry_out();
        if gone {
            self.tell(Event::ClientDisconnected { job: id });
        }
    }

    /// A job is about to come from the other process: its id is taken here from now on.
    fn expect(&mut self, adopted: IncomingMigration<C::Payload>) {
        let IncomingMigration {
            migration: moved,
            payload,
            job_handle,
            response_sender: answer,
            accepted: held,
        } = adopted;
        let name = Rc::<str>::from(moved.id.as_str());
        if self.ids.contains_key(&name) || !self.dispatcher.accepts_migrated_job(&moved.job) {
            let _ = held.send(false);
            return;
        }
        let id = JobId(self.next_job);
        self.next_job += 1;
        job_handle.job.set(Some(id));
        self.ids.insert(name.clone(), id);
        self.coming.insert(id, (name, moved, payload, answer, job_handle));
        let _ = held.send(true);
    }

    fn arrived(&mut self, job_handle: &JobHandle, ours: bool) {
        let Some((id, coming)) = job_handle.job().and_then(|id| Some((id, self.coming.remove(&id)?))) else {
            return;
        };
        let (name, moved, payload, answer, job_handle) = coming;
        let now = self.clock.now();
        if !ours || !self.dispatcher.adopt_job(now, id, &moved.job, &mut self.actions) {
            self.ids.remove(&name);
            return;
        }
        let (payload, mut attempts) = (Rc::new(payload), Vec::new());
        for (a, number) in moved.attempts.into_iter().zip(0..) {
            let key = AttemptId { job: id, attempt: number };
            let mut stage = Stage::Over;
            let mut give_up = None;
            // Its bytes have left.
            let send_permit = Rc::<SendPermit>::default();
            if let (true, Some(to)) = (a.out, a.to) {
                let (asks, asked) = oneshot::channel();
                (stage, give_up) = (Stage::Out, Some(asks));
                self.due.insert((a.times_out, Due::TimeOut(key)));
                let wait = Duration::from_micros(a.times_out.saturating_sub(now));
                let (id, payload) = (name.clone(), payload.clone());
                let send_permit = send_permit.clone();
                self.transport.resume_attempt(AttemptRequest {
                    id: key,
                    request_id: id,
                    address: to,
                    payload,
                    timeout: wait,
                    cancel: asked,
                    send_permit,
                });
            }
            attempts.push(Attempt {
                from: a.from.into(),
                to: a.to,
                stage,
                accepted: true,
                share: a.share,
                last: a.last,
                give_up,
                send_permit,
                times_out: a.times_out,
            });
        }
        debug!(target: DISPATCH, request_id = %name, "comes from the other process");
        self.counters.add(Counter::MovedHere);
        let (class, deadline) = (moved.job.class(), moved.job.deadline());
        let answer = Some(answer);
        let taken = moved.taken;
        self.held
            .insert(id, Held { id: name, class, taken, deadline, payload, answer, job_handle, attempts });
        self.carry_out();
    }

    fn take(&mut self, taken: SubmittedJob<C::Payload>) {
        if self.ids.contains_key(&taken.request_id) {
            // Two jobs of one id could not be told apart in a call-back.
            let _ = taken.response_sender.send(JobResponse::Duplicate);
            return;
        }
        self.counters.add(Counter::Taken);
        let (class, key, hint) = (taken.class.0, taken.affinity_key, taken.cost_hint);
        debug!(
            target: DISPATCH,
            request_id = %taken.request_id,
            class,
            ?key,
            ?hint,
            slots = taken.slots,
            repeat = taken.is_retry,
            "taken"
        );
        let job = JobId(self.next_job);
        self.next_job += 1;
        taken.job_handle.job.set(Some(job));
        self.ids.insert(taken.request_id.clone(), job);
        let (payload, answer) = (Rc::new(taken.payload), Some(taken.response_sender));
        let held = Held {
            id: taken.request_id,
            class: taken.class,
            taken: self.clock.now(),
            deadline: taken.deadline,
            payload,
            answer,
            job_handle: taken.job_handle,
            attempts: Vec::new(),
        };
        self.held.insert(job, held);
        self.tell(Event::JobSubmitted(JobSubmission {
            job,
            class: taken.class,
            tenant: taken.tenant,
            deadline: taken.deadline,
            cost_hint: taken.cost_hint,
            slots: taken.slots,
            key: taken.affinity_key,
            is_retry: taken.is_retry,
        }));
    }

    /// A call-back counts for the live attempt of that job at that next hop, and for nothing else.
    fn told(&mut self, id: &str, from: &str, word: CallbackState) {
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
            (!stale).then_some((AttemptId { job, attempt: at as u32 }, &mut attempts[at], repeat))
        });
        let Some((key, attempt, repeat)) = found else { return self.counters.add(Counter::CallbacksIdle) };
        let AttemptId { job, attempt: number } = key;
        let outcome = match &word {
            // It is being withdrawn: that it starts all the same must not call off the one that is to stay.
            CallbackState::Started | CallbackState::Running(_)
                if matches!(attempt.stage, Stage::GivingUp(_)) =>
            {
                return self.counters.add(Counter::CallbacksIdle);
            }
            // That next hop has taken this one on as well. Whether it says so of this one or once more of the
            // one before cannot be told: this one may run, and is withdrawn before anything else becomes of
            // its job.
            CallbackState::Failed | CallbackState::Returned | CallbackState::Lost if repeat => {
                return self.give_up(key, Outcome::Error);
            }
            CallbackState::Started => {
                debug!(target: DISPATCH, request_id = id, attempt = number, from, "attempt started");
                return self.tell(Event::AttemptStarted { job, attempt: number });
            }
            CallbackState::Running(share) if *share <= attempt.share => {
                // A repeat that arrives late must not set the clock of the progress back.
                return self.counters.add(Counter::CallbacksIdle);
            }
            CallbackState::Running(share) => {
                attempt.share = *share;
                return self.tell(Event::AttemptProgressed { job, attempt: number, done: *share });
            }
            CallbackState::Done(_) => Outcome::Done,
            CallbackState::Failed => Outcome::Error,
            CallbackState::Returned => Outcome::Rejected,
            CallbackState::Lost => Outcome::Lost,
        };
        if let CallbackState::Done(result) = &word {
            let result = result.clone();
            self.answer(job, JobResponse::Served(result));
        } else {
            attempt.last = Some(word);
        }
        self.ended(key, outcome);
    }

    fn attempt(&mut self, key: AttemptId) -> Option<&mut Attempt> {
        self.held.get_mut(&key.job)?.attempts.get_mut(key.attempt as usize)
    }

    /// An attempt is over; only the first end of each counts.
    fn ended(&mut self, key: AttemptId, outcome: Outcome) {
        if self.held.get(&key.job).is_some_and(|held| held.job_handle.client_gone.is_raised()) {
            // The notice of that may be further back in the queue, and no other attempt is to follow this one.
            self.client_gone(key.job);
        }
        let Some(attempt) = self.attempt(key).filter(|a| a.stage != Stage::Over) else { return };
        attempt.stage = Stage::Over;
        attempt.give_up = None;
        // A word can end one that waits for a connection yet.
        attempt.send_permit.revoke();
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
    fn give_up(&mut self, key: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.attempt(key).filter(|a| a.stage == Stage::Out) else { return };
        attempt.stage = Stage::GivingUp(outcome);
        attempt.send_permit.revoke();
        if let Some(give_up) = attempt.give_up.take() {
            // Where nobody listens any more, the end of the attempt is in the queue already.
            let _ = give_up.send(());
        }
        self.counters.add(Counter::GivenUp);
    }

    fn listed(&mut self, now: Micros, hops: Vec<NamedEndpoint>, whole: bool) {
        self.counters.add(Counter::ListChanges);
        self.bans.record_listed(hops.iter().map(|hop| &*hop.name));
        let entries: Vec<Endpoint> = hops.iter().map(|hop| hop.endpoint.clone()).collect();
        if whole {
            self.hops.clear();
        }
        for NamedEndpoint { name, address, endpoint: listing } in hops {
            trace!(target: DISPATCH, %name, %address, ?listing, "listed");
            let old = self.starts.insert(listing.worker, listing.started);
            if listing.status == WorkerStatus::Gone || old.is_some_and(|old| old != listing.started) {
                // The connections that are left are those of a process that is no more.
                self.transport.discard_connections(address);
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
                    self.answer(job, JobResponse::Rejected { retry_after: Duration::from_micros(wait) });
                    self.forget(job);
                }
                Action::Fail { job } => {
                    self.answer(job, JobResponse::Failed);
                    self.forget(job);
                }
                Action::RevokeAttempt { job, attempt } => {
                    let attempt = self.attempt(AttemptId { job, attempt });
                    if let Some(attempt) = attempt.filter(|a| a.stage == Stage::Out) {
                        attempt.send_permit.revoke();
                    }
                }
                Action::CancelAttempt { job, attempt } => {
                    self.give_up(AttemptId { job, attempt }, Outcome::Cancelled);
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
    ) -> Option<AttemptId> {
        let held = self.held.get_mut(&job)?;
        let key = AttemptId { job, attempt: held.attempts.len() as u32 };
        let times_out = self.clock.now() + timeout;
        let (give_up, asked) = oneshot::channel();
        let hop = self.hops.get(&worker);
        let leave_by = leave_by.map(|at| self.clock.instant(at));
        let send_permit = SendPermit::new(held.job_handle.client_gone.clone(), leave_by);
        held.attempts.push(Attempt {
            from: hop.map_or_else(|| "".into(), |hop| hop.0.clone()),
            to: hop.map(|hop| hop.1),
            stage: Stage::Out,
            accepted: false,
            share: 0.0,
            last: None,
            give_up: Some(give_up),
            send_permit: send_permit.clone(),
            times_out,
        });
        let Some(&(_, to)) = hop.filter(|_| send_permit.is_valid()) else { return Some(key) };
        let (id, payload) = (held.id.clone(), held.payload.clone());
        self.due.insert((times_out, Due::TimeOut(key)));
        self.counters.add(Counter::Sent);
        let name = &*held.attempts[key.attempt as usize].from;
        debug!(target: DISPATCH, request_id = %id, attempt = key.attempt, %to, name, "attempt sent");
        let wait = Duration::from_micros(timeout);
        self.transport.start_attempt(AttemptRequest {
            id: key,
            request_id: id,
            address: to,
            payload,
            timeout: wait,
            cancel: asked,
            send_permit,
        });
        None
    }

    /// Answers a job once: what comes after the first answer is dropped.
    fn answer(&mut self, job: JobId, answer: JobResponse) {
        let Some(held) = self.held.get_mut(&job) else { return };
        let Some(sender) = held.answer.take() else { return };
        let kind = match &answer {
            JobResponse::Served(_) => Counter::Served,
            JobResponse::Rejected { .. } => Counter::Deferred,
            JobResponse::Failed | JobResponse::Duplicate => Counter::Failed,
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
