//! The dispatcher: its records, and which part of `src/choice.rs` or `src/departures.rs` decides on which event. No
//! decisions here.

use std::collections::{BTreeMap, BTreeSet};

use crate::gossip;
use crate::interface::*;
use crate::policy::*;
use crate::poll_schedule::PollSchedule;
use crate::state::*;

/// The dispatcher of one node: give it events, carry out its actions.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) fleet: Fleet,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs with nothing out, in the order in which they are sent: see [`Dispatcher::hold`].
    pub(crate) line: BTreeSet<(bool, Micros, JobId)>,
    pub(crate) scratch: Vec<JobId>,
    /// Workers looked at for the job in hand.
    pub(crate) looked: Vec<usize>,
    pub(crate) quotas: Vec<Bucket>,
    /// Longest wait that a job of each class came with: that of a first try.
    pub(crate) spans: Vec<Micros>,
    /// Work within quotas that came, and that was given up, fading.
    pub(crate) asked_for: Fading,
    /// Work that came, repeats too.
    pub(crate) came: Fading,
    /// When the first job came.
    pub(crate) first_came: Micros,
    pub(crate) lost: Fading,
    /// Share of the ready workers that have room, and the share that cheap work leaves to other work.
    pub(crate) room: f64,
    pub(crate) held_back: f64,
    /// Shortest wait for one slot.
    pub(crate) least_wait: f64,
    pub(crate) retries: f64,
    pub(crate) copy_work: f64,
    /// Highest worth of a class.
    pub(crate) top_worth: f64,
    /// All must be answered by then.
    pub(crate) ends: Micros,
    /// Another process of this node has taken over.
    pub(crate) retired: bool,
    pub(crate) wake_at: Option<Micros>,
    /// Own work at some worker has changed since it was last told.
    pub(crate) news: bool,
    pub(crate) tell_at: Option<Micros>,
    pub(crate) poll_schedule: PollSchedule,
}

/// What others told counts this long, s, and so many slots of it at most.
const TOLD_LIFE: f64 = 1.5;
const TOLD_SLOTS: u32 = 32;
/// A start is believed after this long.
const SETTLED: Micros = 30_000;
/// Own backlogs are told no more often than this, and again after the other.
const TELL_GAP: Micros = 2_000;
const TELL_AGAIN: f64 = 0.5;
/// Nothing is told where an entry told to all nodes costs more than this share of a job's worth.
const TELL_MOST: f64 = 0.004;

impl Dispatcher {
    /// A dispatcher that knows nothing but its settings. Give it [`Event::Woken`] first.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let store = |quota: &f64| Bucket::full(quota / f64::from(settings.nodes) * QUOTA_STORE);
        Ok(Dispatcher {
            rng: fastrand::Rng::with_seed(seed),
            fleet: Fleet::new(&settings),
            jobs: BTreeMap::new(),
            line: BTreeSet::new(),
            scratch: Vec::new(),
            looked: Vec::new(),
            quotas: settings.tenant_quotas.iter().map(store).collect(),
            spans: vec![0; settings.classes.len()],
            asked_for: Fading::default(),
            came: Fading::default(),
            first_came: Micros::MAX,
            lost: Fading::default(),
            room: 1.0,
            held_back: 0.0,
            least_wait: 0.0,
            retries: RETRY_STORE,
            copy_work: 0.0,
            top_worth: settings.classes.iter().map(|c| c.priority_weight).fold(1e-9, f64::max),
            ends: Micros::MAX,
            retired: false,
            wake_at: None,
            news: false,
            tell_at: None,
            poll_schedule: PollSchedule::new(&settings),
            settings,
        })
    }

    /// Takes an event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointsChanged { endpoints: entries, snapshot: whole } => {
                self.listed(now, entries, whole);
                self.recall(out);
            }
            Event::EndpointsConfirmed => self.poll_schedule.record_confirmation(now),
            Event::PollAnswered { duration: took } => self.poll_schedule.record_poll_duration(took),
            Event::EndpointsUnreadable => self.poll_schedule.record_unreadable_list(now),
            Event::DiscoveryMoved => self.poll_schedule.record_discovery_move(now),
            Event::WatchFailed => self.poll_schedule.record_failure(now, &mut self.rng),
            Event::JobSubmitted(offer) => self.take(now, &offer, out),
            Event::AttemptAccepted { job, attempt } => self.accepted(now, job, attempt),
            Event::AttemptStarted { job, attempt } => {
                self.accepted(now, job, attempt);
                self.started(now, job, attempt, out);
            }
            Event::AttemptProgressed { job, attempt, fraction_done: done } => {
                self.accepted(now, job, attempt);
                self.progressed(now, job, attempt, done);
            }
            Event::AttemptStreaming { job, attempt } => {
                self.started(now, job, attempt, out);
                self.jobs.entry(job).and_modify(|j| j.bound = true);
            }
            Event::AttemptEnded { job, attempt, outcome, settled } => {
                let held_back = outcome == Outcome::NotSent && self.was_recalled(job, attempt);
                if (self.attempt_ended(now, job, attempt, outcome) || settled)
                    && !(held_back && !settled && self.back_in_line(now, job, out))
                {
                    self.follow_up(now, job, settled, out);
                }
            }
            Event::ClientDisconnected { job } => self.client_gone(job, out),
            Event::GossipReceived { from, data } => self.hear(now, from, data),
            Event::MaintenanceChanged { worker, disabled: true } => {
                self.fleet.take_out(now, worker);
                self.recall(out);
            }
            Event::MaintenanceChanged { worker, disabled: false } => {
                self.fleet.put_back(now, worker);
                self.dispatch(now, out);
            }
            Event::SuccessorActive { active } => self.retired = active,
            Event::ShutdownStarted { deadline: by } => {
                self.ends = by;
                self.woken(now, out);
            }
            Event::TimerExpired => self.woken(now, out),
        }
        self.arm(now, out);
    }

    /// How long a keyed repeat may take to reach its worker. Where 202s tell, it is an attempt on sockets,
    /// whose connection may come up late: a worker that is reached after the window runs the repeat as well.
    pub(crate) fn on_its_way(&self) -> Micros {
        WINDOW_MARGIN.max(self.settings.accept_timeout)
    }

    /// Remembers a job for as long as something may still come of it.
    pub(crate) fn keep(&mut self, job: Job) {
        if !job.ended || job.live().next().is_some() {
            self.jobs.insert(job.id, job);
        }
    }

    pub(crate) fn client_gone(&mut self, job: JobId, out: &mut Vec<Action>) {
        let Some(mut job) = self.jobs.remove(&job) else { return };
        if !job.ended {
            self.close(&mut job, out);
        }
        self.keep(job);
    }

    /// A worker's word on a job says as well that it has taken it on.
    fn accepted(&mut self, now: Micros, job: JobId, attempt: u32) {
        let Some(i) = self.worker_of(job, attempt) else { return };
        if let Some(f) = self.fleet.workers[i].flight(job, attempt).filter(|f| !f.accepted) {
            f.accepted = true;
            self.fleet.workers[i].sign_of_life(now);
        }
    }

    pub(crate) fn worker_of(&self, job: JobId, attempt: u32) -> Option<usize> {
        let a = self.jobs.get(&job)?.attempts.get(attempt as usize)?;
        self.fleet.find(a.worker)
    }

    /// Brings what is derived from a worker's records up to now: x, w and r of the formula rest on it.
    pub(crate) fn survey(&mut self, now: Micros, i: usize) {
        let w = &self.fleet.workers[i];
        let warmth = self.warmth(now, w);
        let speed = self.fleet.speed(w) * warmth;
        let w = &mut self.fleet.workers[i];
        (w.warmth, w.speed) = (warmth, speed);
        let w = &self.fleet.workers[i];
        let rate = w.sent.get(now, R_SPAN) / R_SPAN * f64::from(self.group_nodes());
        let utilisation = (rate / (w.speed * self.fleet.slots(w))).min(R_MAX);
        let wait = self.wait(now, w, 1.0);
        let w = &mut self.fleet.workers[i];
        (w.utilisation, w.wait, w.surveyed) = (utilisation, wait, now);
    }

    /// What a node of many does not see of each worker, it reckons for the kind: r by its own part of the
    /// traffic, and in w the wait that its own jobs met beyond what it had foreseen.
    pub(crate) fn survey_kinds(&mut self, now: Micros) {
        let nodes = f64::from(self.group_nodes());
        let sees = self.sees();
        for k in &mut self.fleet.kinds {
            let rate = k.sent.get(now, R_SPAN) / R_SPAN * nodes;
            k.utilisation = if nodes == 1.0 { 0.0 } else { (rate / k.capacity.max(1e-9)).min(R_MAX) };
            k.wait = if sees { 0.0 } else { k.late.get(now) };
        }
    }

    /// Whether all work at its workers is known to a node: its own alone, or told.
    pub(crate) fn sees(&self) -> bool {
        self.group_nodes() == 1 || self.tells()
    }

    /// Whether nodes tell each other their work. With many of them a message is dear, costs all of them CPU,
    /// and must be so rare that what it says is past.
    pub(crate) fn tells(&self) -> bool {
        let messages =
            f64::from(self.group_nodes() - 1) * gossip::ENTRY_BYTES as f64 / gossip::MAX_MESSAGE_BYTES as f64;
        self.settings.may_gossip && messages > 0.0 && self.settings.gossip_price * messages <= TELL_MOST
    }

    /// Nodes that share this node's own workers.
    pub(crate) fn group_nodes(&self) -> u32 {
        self.settings.nodes.div_ceil(self.fleet.groups as u32)
    }

    pub(crate) fn woken(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.wake_at = self.wake_at.filter(|at| *at > now);
        if self.poll_schedule.start_due_poll(now, &mut self.rng) {
            out.push(Action::WatchEndpoints);
        }
        self.fleet.relearn_slots(now, f64::from(self.group_nodes()));
        self.watch_workers(now);
        let mut open = std::mem::take(&mut self.scratch);
        open.extend(self.jobs.values().filter(|j| !j.ended && !j.bound).map(|j| j.id));
        for id in open.drain(..) {
            self.look_again(now, id, out);
        }
        self.scratch = open;
        self.dispatch(now, out);
        if self.tell_at.is_some_and(|at| at <= now) {
            self.tell_at = None;
            self.tell(now, out);
        }
    }

    /// Least share of its capacity that a worker has now: it gains no slower than evenly.
    pub(crate) fn warmth(&self, now: Micros, w: &Worker) -> f64 {
        if w.started == 0 || self.settings.warm_up == 0 {
            return 1.0;
        }
        let age = since(w.started, now) / secs(self.settings.warm_up);
        (self.settings.warm_up_floor + (1.0 - self.settings.warm_up_floor) * age).clamp(MIN_WARMTH, 1.0)
    }

    /// Work of a flight that is still to do: by its progress where that was told, else by its hint. A job
    /// near or past its estimate is taken to have a part of what it has done still to do: hints are rough,
    /// work is heavy-tailed, and the worker may have slowed.
    pub(crate) fn remaining(&self, now: Micros, speed: f64, f: &Flight) -> f64 {
        let Some(started) = f.started else { return f.work };
        let ran = since(started, now);
        match f.progress {
            Some((done, at)) if done > 0.0 => (since(started, at) / done - ran).max(0.0) * speed,
            _ => (f.work * HINT_TRUST - ran * speed).max(OVERRUN * ran * speed),
        }
    }

    /// Seconds that an attempt which is out is likely to run on. Only a node that ends asks, so that others need not
    /// reckon it.
    pub(crate) fn rest(&self, now: Micros, job: JobId, (attempt, worker): (u32, WorkerId)) -> Option<f64> {
        let at = self.fleet.find(worker).filter(|_| self.ends < Micros::MAX)?;
        let speed = self.fleet.workers[at].speed;
        Some(self.remaining(now, speed, self.flight(job, attempt, worker)?) / speed)
    }

    /// w: seconds that the unended work at a worker, own and told, keeps a job waiting there. With one slot
    /// that is all of it over the speed; with several, until as many are free as the job takes.
    pub(crate) fn wait(&self, now: Micros, w: &Worker, slots: f64) -> f64 {
        let hidden = w.hidden(now);
        if w.flights.is_empty() && w.told.is_empty() {
            return hidden;
        }
        let mut free = Slots::new(self.fleet.slots(w).max(slots));
        for f in &w.flights {
            free.put(self.remaining(now, w.speed, f) / w.speed, f.slots);
        }
        let (mut work, mut taken) = (0.0, 0.0);
        for t in w.told.iter().filter(|t| since(t.at, now) < TOLD_LIFE) {
            work += (t.work - since(t.at, now) * t.slots * w.speed).max(0.0);
            taken += t.slots;
        }
        (0..(taken as u32).min(TOLD_SLOTS)).for_each(|_| _ = free.put(work / taken / w.speed, 1.0));
        free.put(0.0, slots) + hidden
    }

    /// Learns parallelism. The notice of a start can overtake that of the end that made room for it: only jobs
    /// that have run for a while count as running at once, or it would be learned too high for good.
    fn watch_workers(&mut self, now: Micros) {
        for &i in &self.fleet.near {
            let w = &mut self.fleet.workers[i];
            w.seen_slots = w.seen_slots.max(w.running(now.saturating_sub(SETTLED)));
        }
    }

    /// The record of an attempt that is out.
    pub(crate) fn flight(&self, job: JobId, attempt: u32, worker: WorkerId) -> Option<&Flight> {
        let w = &self.fleet.workers[self.fleet.find(worker)?];
        w.flights.iter().find(|f| f.job == job && f.attempt == attempt)
    }

    /// Brings what is derived from the workers' records up to now, where it has aged.
    pub(crate) fn survey_all(&mut self, now: Micros) {
        let (mut ready, mut free) = (0.0, 0.0);
        self.least_wait = f64::INFINITY;
        self.fleet.cold = 0;
        self.fleet.kinds.iter_mut().for_each(|k| k.capacity = 0.0);
        for n in 0..self.fleet.near.len() {
            let i = self.fleet.near[n];
            if now >= self.fleet.workers[i].surveyed.saturating_add(SURVEY_LIFE) {
                self.survey(now, i);
            }
            let w = &self.fleet.workers[i];
            self.fleet.kinds[w.kind_at].capacity += w.speed * self.fleet.slots(w);
            ready += 1.0;
            free += f64::from(u8::from(w.wait < ROOM));
            self.fleet.cold += usize::from(w.warmth < 1.0);
            self.least_wait = self.least_wait.min(w.wait);
        }
        self.survey_kinds(now);
        self.room = (free / f64::max(ready, 1.0)).min(self.fleet.prompt);
    }

    pub(crate) fn progressed(&mut self, now: Micros, job: JobId, attempt: u32, done: f64) {
        let Some(i) = self.worker_of(job, attempt) else { return };
        if let Some(f) = self.fleet.workers[i].flight(job, attempt) {
            f.progress = Some((done.clamp(0.0, 1.0), now));
        }
        self.fleet.workers[i].sign_of_life(now);
    }

    /// Sets the next wake-up, if none comes early enough.
    pub(crate) fn arm(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.news && self.tell_at.is_none() && self.tells() {
            // The more nodes there are, the more messages each must read.
            self.tell_at = Some(now + TELL_GAP * Micros::from(self.group_nodes() - 1));
        }
        let sweep = (!self.jobs.is_empty()).then_some(now + SWEEP);
        let Some(next) = [sweep, self.tell_at, self.poll_schedule.next_poll_at()].into_iter().flatten().min()
        else {
            return;
        };
        if self.wake_at.is_none_or(|at| at > next || at < now) {
            let after = next.saturating_sub(now).max(1);
            self.wake_at = Some(now + after);
            out.push(Action::SetTimer { after });
        }
    }

    /// Books an attempt that is being sent.
    pub(crate) fn record(&mut self, now: Micros, job: &mut Job, index: usize, run: f64, foreseen: f64) {
        let span = secs(self.settings.overload_window) * COLD_STRETCH;
        let w = &mut self.fleet.workers[index];
        w.cold_sent.retain(|(at, _)| since(*at, now) < span);
        if w.warmth < 1.0 {
            w.cold_sent.push_back((now, job.load()));
        }
        w.sent.add(now, job.load(), R_SPAN);
        self.fleet.kinds[w.kind_at].sent.add(now, job.load(), R_SPAN);
        (w.dirty, w.owed) = (true, None);
        self.news = true;
        job.key.into_iter().for_each(|key| w.heed_key(key));
        w.flights.push(Flight {
            job: job.id,
            attempt: job.attempts.len() as u32,
            work: run * w.speed,
            slots: job.slots,
            sent: now,
            accepted: false,
            recalled: false,
            foreseen,
            // Where starts are not told, a missing notice is no sign of silence.
            started: (!self.settings.reports_start).then_some(now + micros(foreseen)),
            progress: None,
            unhinted: job.unhinted.then_some((job.class, job.work)),
        });
        job.attempts.push(Attempt { worker: w.id, zone: w.zone, cell: w.cell, sent: now, end: None });
    }

    /// Books the end of an attempt; false where it was known or never sent. A repeated end must not put a job
    /// in line twice: it would be sent twice.
    fn attempt_ended(&mut self, now: Micros, job: JobId, attempt: u32, outcome: Outcome) -> bool {
        let known = self.jobs.get_mut(&job).and_then(|j| j.attempts.get_mut(attempt as usize));
        let Some(a) = known.filter(|a| a.end.is_none()) else { return false };
        a.end = Some(outcome);
        if let Some(i) = self.fleet.find(a.worker)
            && let Some(flight) = self.fleet.workers[i].land(job, attempt)
        {
            self.news = true;
            self.learn(now, i, &flight, outcome);
        }
        true
    }

    /// Tells the other nodes of the group this node's own work at its workers where it changed.
    pub(crate) fn tell(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.news = false;
        let mut data = Vec::new();
        let mut room = gossip::MAX_ENTRIES;
        for n in 0..self.fleet.near.len() {
            let i = self.fleet.near[n];
            let w = &self.fleet.workers[i];
            let again = !w.flights.is_empty() && since(w.told_at, now) > TELL_AGAIN;
            if (w.dirty || again) && room == 0 {
                self.news = true;
            } else if w.dirty || again {
                let work = w.flights.iter().map(|f| self.remaining(now, w.speed, f) * f.slots).sum();
                gossip::append_entry(&mut data, w.id, work, w.flights.iter().map(|f| f.slots).sum());
                let w = &mut self.fleet.workers[i];
                (w.dirty, w.told_at) = (false, now);
                room -= 1;
            }
        }
        if !data.is_empty() {
            let groups = self.fleet.groups as u32;
            let peers = (self.settings.node_index % groups..self.settings.nodes).step_by(groups as usize);
            let peers = peers.filter(|to| *to != self.settings.node_index);
            out.extend(peers.map(|to| Action::SendGossip { to, data: data.clone() }));
        }
    }

    pub(crate) fn hear(&mut self, now: Micros, from: u32, data: &[u8]) {
        // Nonsense must not fill the memory: one record for each worker and node.
        if from >= self.settings.nodes {
            return;
        }
        for gossip::GossipEntry { worker, work, slots } in gossip::read_entries(data) {
            let near = self
                .fleet
                .near
                .iter()
                .find(|i| gossip::short_worker_id(self.fleet.workers[**i].id) == worker);
            let Some(&i) = near else { continue };
            let told = &mut self.fleet.workers[i].told;
            told.retain(|t| t.from != from);
            if slots > 0.0 {
                told.push(Told { from, work, slots, at: now });
            }
        }
    }
}
