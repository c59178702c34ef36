//! Locks what dispatchers decide. Seeded fleets live through every kind of event, with a second process of a node
//! that takes over in mid-run and gives back later; every action is hashed with its node and time, and so is what
//! moves between the processes. Counts and hashes are recorded in `tests/golden/decision_lock.txt`.
//!
//! The driver draws from its own generator only; a change of the driver needs a new recording:
//! `CURLEWUSHER_RECORD=1 cargo test -p curlewusher --test decision_lock`. The hash rests on `exp` and `ln` of the
//! platform's mathematical library.

mod common;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::hash::Hasher;

use common::golden::assert_golden;
use common::*;
use curlewusher_core::*;

const MILLISECOND: Micros = 1_000;
/// External events of one fleet, but for those while it ends.
const EVENTS: u64 = 3_000;
/// The nodes end so long after they are told to.
const LAST: Micros = 3 * SECOND;
/// Load in the parts of a run, as a share of its usual.
const LOADS: [u64; 5] = [60, 100, 220, 90, 150];

/// What a fleet is made of. Its settings hold for all its nodes but for their rank.
struct Fleet {
    name: &'static str,
    settings: Settings,
    /// Nodes of it that are driven, by rank from `settings.rank`.
    driven: u32,
    workers: u64,
    /// Mean time between events at usual load.
    gap: Micros,
    /// Most time that other nodes' work takes of a worker before each attempt.
    other_work: Micros,
}

/// What comes due at a time.
enum Due {
    Wake(usize),
    Told { to: usize, from: u32, data: Vec<u8> },
    ListCall { node: usize, called: Micros, answered: bool },
    Accepted(JobId, u32),
    Started(JobId, u32),
    Progress(JobId, u32),
    Streaming(JobId, u32),
    Ended(JobId, u32, Outcome),
}

/// What the driver knows of a job.
struct Task {
    node: usize,
    attempts: u32,
    /// Attempts that are out, and whether each was accepted.
    out: BTreeMap<u32, bool>,
    answered: bool,
}

struct Driver {
    rng: fastrand::Rng,
    now: Micros,
    nodes: Vec<Dispatcher>,
    /// Which ranks the nodes have.
    ranks: Vec<u32>,
    /// Which of them hear of changes to the list.
    watching: Vec<bool>,
    on_request: bool,
    list: Vec<Endpoint>,
    free_at: Vec<Micros>,
    other_work: Micros,
    agenda: BTreeMap<(Micros, u64), Due>,
    planned: u64,
    jobs: BTreeMap<JobId, Task>,
    classes: usize,
    hash: fnv::FnvHasher,
    actions: [u64; 8],
    moved: u64,
}

impl Driver {
    fn new(fleet: &Fleet, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let list: Vec<Endpoint> = (0..fleet.workers)
            .map(|id| Endpoint {
                zone: ZoneId(id as u32 % 2),
                kind: KindId(id as u32 / 2 % 3),
                started_at: if id % 5 == 4 { 9 * SECOND } else { 0 },
                size: f64::from(rng.u32(1..4)),
                ..listing(id)
            })
            .collect();
        let mut driver = Driver {
            rng,
            now: 10 * SECOND,
            nodes: Vec::new(),
            ranks: Vec::new(),
            watching: Vec::new(),
            on_request: fleet.settings.endpoints_on_request,
            free_at: vec![0; list.len()],
            list,
            other_work: fleet.other_work,
            agenda: BTreeMap::new(),
            planned: 0,
            jobs: BTreeMap::new(),
            classes: fleet.settings.classes.len(),
            hash: fnv::FnvHasher::default(),
            actions: [0; 8],
            moved: 0,
        };
        (0..fleet.driven).for_each(|i| driver.start(&fleet.settings, fleet.settings.node_index + i, seed));
        driver
    }

    /// Starts a process: it is woken, and reads the saved list in the same moment.
    fn start(&mut self, settings: &Settings, rank: u32, seed: u64) {
        let settings = Settings { node_index: rank, ..settings.clone() };
        self.nodes.push(Dispatcher::new(settings, seed + self.nodes.len() as u64).expect("good settings"));
        self.ranks.push(rank);
        self.watching.push(!self.on_request);
        let node = self.nodes.len() - 1;
        self.tell(node, Event::TimerExpired);
        self.tell_list(node, true);
    }

    fn plan(&mut self, at: Micros, due: Due) {
        self.planned += 1;
        self.agenda.insert((at, self.planned), due);
    }

    fn tell(&mut self, node: usize, event: Event) {
        let mut out = Vec::new();
        self.nodes[node].handle(self.now, event, &mut out);
        self.carry_out(node, out);
    }

    fn tell_list(&mut self, node: usize, whole: bool) {
        let list = self.list.clone();
        let gone = |l: &&Endpoint| !whole || l.status != WorkerStatus::Gone;
        let entries: Vec<Endpoint> = list.iter().filter(gone).cloned().collect();
        self.tell(node, Event::EndpointsChanged { endpoints: &entries, snapshot: whole });
    }

    fn carry_out(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            self.record(node, &action);
            match action {
                Action::SendAttempt { job, worker, timeout, .. } => self.send(job, worker, timeout),
                Action::Reject { job, .. } | Action::Fail { job } => self.answered(job),
                Action::RevokeAttempt { job, attempt } => self.call_off(job, attempt, Outcome::NotSent),
                Action::CancelAttempt { job, attempt } => self.call_off(job, attempt, Outcome::Cancelled),
                Action::SendGossip { to, data } => {
                    let (at, from) = (self.now + self.rng.u64(1..4 * MILLISECOND), self.ranks[node]);
                    for to in (0..self.nodes.len()).filter(|i| self.ranks[*i] == to).collect::<Vec<_>>() {
                        self.plan(at, Due::Told { to, from, data: data.clone() });
                    }
                }
                Action::SetTimer { after } => self.plan(self.now + after, Due::Wake(node)),
                Action::WatchEndpoints => {
                    let at = self.now + self.rng.u64(5 * MILLISECOND..200 * MILLISECOND);
                    let answered = self.rng.u8(0..3) > 0;
                    self.plan(at, Due::ListCall { node, called: self.now, answered });
                }
            }
        }
    }

    /// Writes an action field by field, with numbers that are this test's own.
    fn record(&mut self, node: usize, action: &Action) {
        let none = u64::MAX;
        let (kind, fields): (usize, [u64; 4]) = match action {
            Action::SendAttempt { job, worker, timeout, send_by: leave_by } => {
                (0, [job.0, worker.0, *timeout, leave_by.unwrap_or(none)])
            }
            Action::Reject { job, retry_after: wait } => (1, [job.0, *wait, none, none]),
            Action::Fail { job } => (2, [job.0, none, none, none]),
            Action::RevokeAttempt { job, attempt } => (3, [job.0, u64::from(*attempt), none, none]),
            Action::CancelAttempt { job, attempt } => (4, [job.0, u64::from(*attempt), none, none]),
            Action::SendGossip { to, data } => (5, [u64::from(*to), data.len() as u64, none, none]),
            Action::SetTimer { after } => (6, [*after, none, none, none]),
            Action::WatchEndpoints => (7, [none; 4]),
        };
        self.actions[kind] += 1;
        for number in [self.now, node as u64, kind as u64].into_iter().chain(fields) {
            self.hash.write(&number.to_le_bytes());
        }
        if let Action::SendGossip { data, .. } = action {
            self.hash.write(data);
        }
    }

    /// An attempt waits for its worker, runs there for about its hint, and ends in any way.
    fn send(&mut self, job: JobId, worker: WorkerId, timeout: Micros) {
        let task = self.jobs.get_mut(&job).expect("an offered job");
        let attempt = task.attempts;
        task.attempts += 1;
        task.out.insert(attempt, false);
        let at = worker.0 as usize;
        let begin = self.now.max(self.free_at[at]) + self.rng.u64(0..=self.other_work) + MILLISECOND;
        let run = self.rng.u64(5 * MILLISECOND..220 * MILLISECOND);
        let most = self.now + timeout;
        let (sent, middle) = (self.now + self.rng.u64(1..20 * MILLISECOND), begin + run / 2);
        let early =
            [Outcome::Rejected, Outcome::Unreachable, Outcome::NotSent, Outcome::Lost, Outcome::Error];
        let late = [Outcome::Error, Outcome::Lost, Outcome::TimedOut];
        let draw = self.rng.usize(0..120);
        if let Some(outcome) = early.get(draw) {
            return self.plan(sent.min(most), Due::Ended(job, attempt, *outcome));
        }
        self.free_at[at] = begin + run;
        // One in some is never heard of again until it times out.
        if draw < 118 {
            self.plan(sent, Due::Accepted(job, attempt));
            self.plan(begin.max(sent), Due::Started(job, attempt));
        }
        match self.rng.u8(0..10) {
            0 => self.plan(middle, Due::Progress(job, attempt)),
            1 => self.plan(middle, Due::Streaming(job, attempt)),
            _ => {}
        }
        let outcome = late.get(draw - early.len()).copied().unwrap_or(Outcome::Done);
        let (end, outcome) = if draw >= 118 || begin + run > most {
            (most, Outcome::TimedOut)
        } else {
            (begin + run, outcome)
        };
        self.plan(end, Due::Ended(job, attempt, outcome));
    }

    fn answered(&mut self, job: JobId) {
        self.jobs.entry(job).and_modify(|task| task.answered = true);
    }

    /// A recall holds what is not accepted yet; a cancelled attempt ends soon, unless it ends before.
    fn call_off(&mut self, job: JobId, attempt: u32, outcome: Outcome) {
        let accepted = self.jobs.get(&job).and_then(|task| task.out.get(&attempt).copied());
        if accepted.is_some_and(|accepted| !accepted || outcome == Outcome::Cancelled) {
            let at = self.now + self.rng.u64(0..2 * MILLISECOND);
            self.plan(at, Due::Ended(job, attempt, outcome));
        }
    }

    /// Lets all that is due up to a time happen.
    fn pass(&mut self, until: Micros) {
        while let Some(entry) = self.agenda.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), due) = entry.remove_entry();
            self.now = self.now.max(at);
            self.happens(due);
        }
        self.now = until;
    }

    fn happens(&mut self, due: Due) {
        match due {
            Due::Wake(node) => self.tell(node, Event::TimerExpired),
            Due::Told { to, from, data } => self.tell(to, Event::GossipReceived { from, data: &data }),
            Due::ListCall { node, answered: false, .. } => self.tell(node, Event::WatchFailed),
            Due::ListCall { node, called, answered: true } => {
                self.watching[node] = true;
                self.tell(node, Event::PollAnswered { duration: self.now - called });
                self.tell_list(node, true);
                self.tell(node, Event::EndpointsConfirmed);
            }
            Due::Accepted(job, attempt) => {
                if let Some(node) = self.holder(job, attempt) {
                    self.jobs.entry(job).and_modify(|task| _ = task.out.insert(attempt, true));
                    self.tell(node, Event::AttemptAccepted { job, attempt });
                }
            }
            Due::Started(job, attempt) => {
                self.tell_holder(job, attempt, Event::AttemptStarted { job, attempt })
            }
            Due::Progress(job, attempt) => {
                self.tell_holder(job, attempt, Event::AttemptProgressed { job, attempt, fraction_done: 0.5 });
            }
            Due::Streaming(job, attempt) => {
                self.tell_holder(job, attempt, Event::AttemptStreaming { job, attempt })
            }
            Due::Ended(job, attempt, outcome) => {
                let Some(node) = self.holder(job, attempt) else { return };
                let settled = outcome == Outcome::Done;
                self.jobs.entry(job).and_modify(|task| {
                    task.out.remove(&attempt);
                    task.answered |= settled;
                });
                self.tell(node, Event::AttemptEnded { job, attempt, outcome, settled });
            }
        }
    }

    /// The node that has this attempt out.
    fn holder(&self, job: JobId, attempt: u32) -> Option<usize> {
        self.jobs.get(&job).filter(|task| task.out.contains_key(&attempt)).map(|task| task.node)
    }

    fn tell_holder(&mut self, job: JobId, attempt: u32, event: Event) {
        if let Some(node) = self.holder(job, attempt) {
            self.tell(node, event);
        }
    }

    /// Something comes from outside.
    fn external(&mut self) {
        let node = self.rng.usize(0..self.nodes.len());
        match self.rng.u8(0..100) {
            0..70 => self.offer(node),
            70..76 => self.change_list(),
            76..80 => self.watch_speaks(node),
            80 => {
                let out = self.rng.u8(0..3) == 0;
                let worker = WorkerId(self.rng.u64(0..=self.list.len() as u64));
                (0..self.nodes.len())
                    .for_each(|i| self.tell(i, Event::MaintenanceChanged { worker, disabled: out }));
            }
            81..84 => {
                if let Some(job) = self.any_job() {
                    self.answered(job);
                    self.tell(self.jobs[&job].node, Event::ClientDisconnected { job });
                }
            }
            84 => {
                let data: Vec<u8> = (0..self.rng.usize(0..40)).map(|_| self.rng.u8(..)).collect();
                let from = self.rng.u32(0..5);
                self.tell(node, Event::GossipReceived { from, data: &data });
            }
            85 => {
                let (job, outcome) = (JobId(self.rng.u64(0..=self.jobs.len() as u64)), Outcome::Error);
                // The end of an attempt that is not out, there or at all.
                if self.holder(job, 0).is_none() {
                    self.tell(node, Event::AttemptEnded { job, attempt: 0, outcome, settled: false });
                }
            }
            _ => self.tell(node, Event::TimerExpired),
        }
    }

    /// An open watch says that the list stands, or ends.
    fn watch_speaks(&mut self, node: usize) {
        if !self.watching[node] {
            return;
        }
        let event = match self.rng.u8(0..12) {
            0..8 => return self.tell(node, Event::EndpointsConfirmed),
            8 => Event::EndpointsUnreadable,
            9 => Event::DiscoveryMoved,
            _ => Event::TimerExpired,
        };
        self.tell(node, event);
        self.tell(node, Event::WatchFailed);
        self.watching[node] = !self.on_request;
    }

    fn offer(&mut self, node: usize) {
        let job = JobId(self.jobs.len() as u64);
        let work = 0.01 + self.rng.f64() * 0.2;
        // Less than the usual wait left: a client's retry.
        let left = if self.rng.u8(0..5) == 0 { self.rng.u64(SECOND / 10..5 * SECOND) } else { 5 * SECOND };
        let usual = offer(job.0, self.rng.usize(0..self.classes), work, self.now);
        let offer = JobSubmission {
            tenant: TenantId(self.rng.usize(0..3)),
            deadline: self.now + left,
            cost_hint: self.rng.bool().then_some(work),
            slots: if self.rng.u8(0..8) == 0 { 2.0 } else { 1.0 },
            key: self.rng.bool().then(|| self.rng.u64(0..12)),
            is_retry: self.rng.u8(0..10) == 0,
            ..usual
        };
        self.jobs.insert(job, Task { node, attempts: 0, out: BTreeMap::new(), answered: false });
        self.tell(node, Event::JobSubmitted(offer));
    }

    /// A worker drains, is gone, returns or restarts; all nodes hear of it, or one only.
    fn change_list(&mut self) {
        let at = self.rng.usize(0..self.list.len());
        let entry = &mut self.list[at];
        match self.rng.u8(0..10) {
            0..2 => entry.status = WorkerStatus::Draining,
            2 => entry.status = WorkerStatus::Gone,
            3 => entry.started_at = self.now,
            _ => entry.status = WorkerStatus::Ready,
        }
        let (whole, all, one) = (self.rng.bool(), self.rng.bool(), self.rng.usize(0..self.nodes.len()));
        for node in
            (0..self.nodes.len()).filter(|i| self.watching[*i] && (all || *i == one)).collect::<Vec<_>>()
        {
            self.tell_list(node, whole);
        }
    }

    /// One of the last jobs that have no answer.
    fn any_job(&mut self) -> Option<JobId> {
        let open: Vec<JobId> =
            self.jobs.iter().rev().take(60).filter(|(_, task)| !task.answered).map(|(id, _)| *id).collect();
        self.rng.choice(open)
    }

    fn hash_json(&mut self, value: &impl serde::Serialize) {
        self.hash.write(&serde_json::to_vec(value).expect("it can be written"));
    }

    /// What one process has learned goes to another, and then most open jobs of its own.
    fn hand_over(&mut self, from: usize, to: usize) {
        let learned = self.nodes[from].snapshot();
        self.hash_json(&learned);
        self.nodes[to].restore(self.now, &learned);
        let own = self.jobs.iter().filter(|(_, task)| task.node == from && !task.answered);
        for job in own.map(|(id, _)| *id).collect::<Vec<_>>() {
            let may = self.rng.u8(0..4) > 0;
            let Some(moved) = may.then(|| self.nodes[from].release_job(job)).flatten() else { continue };
            self.hash_json(&moved);
            self.moved += 1;
            self.jobs.entry(job).and_modify(|task| task.node = to);
            let mut out = Vec::new();
            assert!(self.nodes[to].adopt_job(self.now, job, &moved, &mut out));
            self.carry_out(to, out);
        }
    }

    fn run(&mut self, fleet: &Fleet, seed: u64) {
        for event in 0..EVENTS {
            let load = LOADS[(event * LOADS.len() as u64 / EVENTS) as usize];
            let gap = self.rng.u64(1..2 * fleet.gap) * 100 / load;
            self.pass(self.now + gap);
            self.external();
            if event == EVENTS / 2 {
                self.start(&fleet.settings, fleet.settings.node_index, seed);
                self.hand_over(0, self.nodes.len() - 1);
                self.tell(0, Event::SuccessorActive { active: true });
            } else if event == EVENTS / 10 * 9 {
                self.tell(0, Event::SuccessorActive { active: false });
                self.hand_over(self.nodes.len() - 1, 0);
            }
        }
        let by = self.now + LAST;
        (0..self.nodes.len()).for_each(|node| self.tell(node, Event::ShutdownStarted { deadline: by }));
        while self.now < by {
            self.pass(self.now + fleet.gap * 2);
            self.external();
        }
        self.pass(by + SECOND);
        (0..self.nodes.len()).for_each(|node| self.hash_json(&self.nodes[node].snapshot()));
    }

    fn line(&self, name: &str) -> String {
        let names = ["send", "refuse", "fail", "recall", "cancel", "tell", "wake", "watch"];
        let mut line = format!("{name}: {} actions", self.actions.iter().sum::<u64>());
        for (name, count) in names.iter().zip(self.actions) {
            write!(line, ", {count} {name}").expect("a string");
        }
        write!(line, "; {} jobs moved; hash {:016x}", self.moved, self.hash.finish()).expect("a string");
        line
    }
}

/// One node with few workers and tenants, which may send second copies.
fn few_workers() -> Fleet {
    let settings = Settings { tenant_quotas: vec![6.0, 20.0, 40.0], ..settings() };
    Fleet { name: "few workers", settings, driven: 1, workers: 5, gap: 20_000, other_work: 0 }
}

/// A node of many that asks for its list, and calls off what would be better elsewhere. Its workers say when they
/// accept, are large, and are parted into groups.
fn many_nodes() -> Fleet {
    let mut settings = settings();
    settings.classes[0].required_kind = Some(KindId(1));
    settings.classes[1].idempotency =
        Idempotency::WithKey { scope: DeduplicationScope::Zone, window: SECOND };
    settings.classes.push(JobClass { priority_weight: 0.2, ..class(Idempotency::Idempotent) });
    (settings.nodes, settings.node_index) = (24, 5);
    (settings.endpoints_on_request, settings.assumed_notified_after) = (true, 6 * SECOND);
    (settings.accept_timeout, settings.may_hedge, settings.sizes_listed) = (100 * MILLISECOND, false, true);
    (settings.may_gossip, settings.gossip_price) = (true, 1.0);
    Fleet { name: "many nodes", settings, driven: 1, workers: 40, gap: 14_000, other_work: 40 * MILLISECOND }
}

/// Three nodes that tell each other their work at workers of two zones, which do not say when they start.
fn gossip() -> Fleet {
    let mut settings = settings();
    settings.classes[1].idempotency =
        Idempotency::WithKey { scope: DeduplicationScope::All, window: 2 * SECOND };
    (settings.nodes, settings.may_gossip, settings.gossip_price) = (3, true, 0.001);
    (settings.reports_start, settings.cross_zone_price) = (false, 0.05);
    Fleet { name: "gossip", settings, driven: 3, workers: 9, gap: 14_000, other_work: 0 }
}

#[test]
fn seeded_fleets_then_the_recorded_actions() {
    let mut found = String::new();
    for (fleet, seed) in [few_workers(), many_nodes(), gossip()].iter().zip(41..) {
        let mut driver = Driver::new(fleet, seed);
        driver.run(fleet, seed);
        writeln!(found, "{}", driver.line(fleet.name)).expect("a string");
    }
    assert_golden("decision_lock.txt", &found);
}
