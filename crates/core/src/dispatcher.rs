//! The dispatcher: its records, and which part of `src/choice.rs` or `src/departures.rs` decides on which event. No
//! decisions here.

use std::collections::{BTreeMap, BTreeSet};

use crate::gossip;
use crate::interface::*;
use crate::policy::*;
use crate::poll_schedule::DiscoveryClient;
use crate::state::*;

/// The dispatcher of one node: give it events, carry out its actions.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) fleet: Fleet,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs with nothing out, in the order in which they are sent: see [`Dispatcher::hold`].
    pub(crate) pending: BTreeSet<(bool, Micros, JobId)>,
    pub(crate) open_jobs: Vec<JobId>,
    /// Workers looked at for the job in hand.
    pub(crate) candidates: Vec<usize>,
    pub(crate) quotas: Vec<TokenBucket>,
    /// Longest wait that a job of each class came with: that of a first try.
    pub(crate) longest_waits: Vec<Micros>,
    /// Work within quotas that came, and that was given up, fading.
    pub(crate) quota_work: DecayingSum,
    /// Work that came, repeats too.
    pub(crate) offered_work: DecayingSum,
    /// When the first job came.
    pub(crate) first_offered_at: Micros,
    pub(crate) shed_work: DecayingSum,
    /// Share of the ready workers that have room, and the share that cheap work leaves to other work.
    pub(crate) free_share: f64,
    pub(crate) reserved_share: f64,
    /// Shortest wait for one slot.
    pub(crate) shortest_wait: f64,
    pub(crate) retry_tokens: f64,
    pub(crate) hedge_work: f64,
    /// Highest worth of a class.
    pub(crate) max_priority_weight: f64,
    /// All must be answered by then.
    pub(crate) shutdown_at: Micros,
    /// Another process of this node has taken over.
    pub(crate) is_superseded: bool,
    pub(crate) timer_at: Option<Micros>,
    /// Own work at some worker has changed since it was last told.
    pub(crate) gossip_changed: bool,
    pub(crate) gossip_at: Option<Micros>,
    pub(crate) discovery: DiscoveryClient,
}

/// What others told counts this long, s, and so many slots of it at most.
const PEER_BACKLOG_LIFETIME_S: f64 = 1.5;
const MAX_PEER_SLOTS: u32 = 32;
/// A start is believed after this long.
const START_SETTLING_TIME: Micros = 30_000;
/// Own backlogs are told no more often than this, and again after the other.
const GOSSIP_INTERVAL_PER_NODE: Micros = 2_000;
const GOSSIP_REFRESH_S: f64 = 0.5;
/// Nothing is told where an entry told to all nodes costs more than this share of a job's worth.
const MAX_GOSSIP_COST: f64 = 0.004;

impl Dispatcher {
    /// A dispatcher that knows nothing but its settings. Give it [`Event::Woken`] first.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let store = |quota: &f64| TokenBucket::full(quota / f64::from(settings.nodes) * QUOTA_BURST_S);
        Ok(Dispatcher {
            rng: fastrand::Rng::with_seed(seed),
            fleet: Fleet::new(&settings),
            jobs: BTreeMap::new(),
            pending: BTreeSet::new(),
            open_jobs: Vec::new(),
            candidates: Vec::new(),
            quotas: settings.tenant_quotas.iter().map(store).collect(),
            longest_waits: vec![0; settings.classes.len()],
            quota_work: DecayingSum::default(),
            offered_work: DecayingSum::default(),
            first_offered_at: Micros::MAX,
            shed_work: DecayingSum::default(),
            free_share: 1.0,
            reserved_share: 0.0,
            shortest_wait: 0.0,
            retry_tokens: MAX_RETRY_TOKENS,
            hedge_work: 0.0,
            max_priority_weight: settings.classes.iter().map(|c| c.priority_weight).fold(1e-9, f64::max),
            shutdown_at: Micros::MAX,
            is_superseded: false,
            timer_at: None,
            gossip_changed: false,
            gossip_at: None,
            discovery: DiscoveryClient::new(&settings),
            settings,
        })
    }

    /// Takes an event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointsChanged { endpoints: entries, snapshot: whole } => {
                self.apply_endpoints(now, entries, whole);
                self.revoke_attempts(out);
            }
            Event::EndpointsConfirmed => self.discovery.stands(now),
            Event::PollAnswered { duration: took } => self.discovery.answered(took),
            Event::EndpointsUnreadable => self.discovery.spoilt(now),
            Event::DiscoveryMoved => self.discovery.moved(now),
            Event::WatchFailed => self.discovery.failed(now, &mut self.rng),
            Event::JobSubmitted(offer) => self.admit_job(now, &offer, out),
            Event::AttemptAccepted { job, attempt } => self.record_acceptance(now, job, attempt),
            Event::AttemptStarted { job, attempt } => {
                self.record_acceptance(now, job, attempt);
                self.record_start(now, job, attempt, out);
            }
            Event::AttemptProgressed { job, attempt, done } => {
                self.record_acceptance(now, job, attempt);
                self.record_progress(now, job, attempt, done);
            }
            Event::AttemptStreaming { job, attempt } => {
                self.record_start(now, job, attempt, out);
                self.jobs.entry(job).and_modify(|j| j.is_streaming = true);
            }
            Event::AttemptEnded { job, attempt, outcome, settled } => {
                let held_back = outcome == Outcome::NotSent && self.is_revoked(job, attempt);
                if (self.record_end(now, job, attempt, outcome) || settled)
                    && !(held_back && !settled && self.requeue_unsent_job(now, job, out))
                {
                    self.follow_up(now, job, settled, out);
                }
            }
            Event::ClientDisconnected { job } => self.disconnect_client(job, out),
            Event::GossipReceived { from, data } => self.receive_gossip(now, from, data),
            Event::MaintenanceChanged { worker, disabled: true } => {
                self.fleet.disable_worker(now, worker);
                self.revoke_attempts(out);
            }
            Event::MaintenanceChanged { worker, disabled: false } => {
                self.fleet.reenable_worker(now, worker);
                self.dispatch_pending(now, out);
            }
            Event::SuccessorActive(retired) => self.is_superseded = retired,
            Event::ShutdownStarted { deadline: by } => {
                self.shutdown_at = by;
                self.expire_timer(now, out);
            }
            Event::TimerExpired => self.expire_timer(now, out),
        }
        self.set_timer(now, out);
    }

    /// How long a keyed repeat may take to reach its worker. Where 202s tell, it is an attempt on sockets,
    /// whose connection may come up late: a worker that is reached after the window runs the repeat as well.
    pub(crate) fn transit_allowance(&self) -> Micros {
        DEDUPLICATION_MARGIN.max(self.settings.accept_timeout)
    }

    /// Remembers a job for as long as something may still come of it.
    pub(crate) fn store_job(&mut self, job: Job) {
        if !job.is_answered || job.in_flight().next().is_some() {
            self.jobs.insert(job.id, job);
        }
    }

    pub(crate) fn disconnect_client(&mut self, job: JobId, out: &mut Vec<Action>) {
        let Some(mut job) = self.jobs.remove(&job) else { return };
        if !job.is_answered {
            self.close_job(&mut job, out);
        }
        self.store_job(job);
    }

    /// A worker's word on a job says as well that it has taken it on.
    fn record_acceptance(&mut self, now: Micros, job: JobId, attempt: u32) {
        let Some(i) = self.worker_index_of(job, attempt) else { return };
        if let Some(f) = self.fleet.workers[i].attempt_mut(job, attempt).filter(|f| !f.accepted) {
            f.accepted = true;
            self.fleet.workers[i].record_contact(now);
        }
    }

    pub(crate) fn worker_index_of(&self, job: JobId, attempt: u32) -> Option<usize> {
        let a = self.jobs.get(&job)?.attempts.get(attempt as usize)?;
        self.fleet.find(a.worker)
    }

    /// Brings what is derived from a worker's records up to now: x, w and r of the formula rest on it.
    pub(crate) fn refresh_worker(&mut self, now: Micros, i: usize) {
        let w = &self.fleet.workers[i];
        let warmth = self.warm_up_fraction(now, w);
        let speed = self.fleet.learned_speed(w) * warmth;
        let w = &mut self.fleet.workers[i];
        (w.warm_up_fraction, w.current_speed) = (warmth, speed);
        let w = &self.fleet.workers[i];
        let rate = w.sent_work.get(now, SEND_RATE_SPAN_S) / SEND_RATE_SPAN_S * f64::from(self.subset_nodes());
        let utilisation = (rate / (w.current_speed * self.fleet.slots(w))).min(MAX_UTILISATION);
        let wait = self.estimate_wait(now, w, 1.0);
        let w = &mut self.fleet.workers[i];
        (w.utilisation, w.wait, w.estimated_at) = (utilisation, wait, now);
    }

    /// What a node of many does not see of each worker, it reckons for the kind: r by its own part of the
    /// traffic, and in w the wait that its own jobs met beyond what it had foreseen.
    pub(crate) fn refresh_kinds(&mut self, now: Micros) {
        let nodes = f64::from(self.subset_nodes());
        let sees = self.observes_all_work();
        for k in &mut self.fleet.kinds {
            let rate = k.sent_work.get(now, SEND_RATE_SPAN_S) / SEND_RATE_SPAN_S * nodes;
            k.utilisation =
                if nodes == 1.0 { 0.0 } else { (rate / k.capacity.max(1e-9)).min(MAX_UTILISATION) };
            k.wait = if sees { 0.0 } else { k.start_delay.get(now) };
        }
    }

    /// Whether all work at its workers is known to a node: its own alone, or told.
    pub(crate) fn observes_all_work(&self) -> bool {
        self.subset_nodes() == 1 || self.is_gossip_enabled()
    }

    /// Whether nodes tell each other their work. With many of them a message is dear, costs all of them CPU,
    /// and must be so rare that what it says is past.
    pub(crate) fn is_gossip_enabled(&self) -> bool {
        let messages = f64::from(self.subset_nodes() - 1) * gossip::ENTRY as f64 / gossip::MOST_BYTES as f64;
        self.settings.may_gossip && messages > 0.0 && self.settings.gossip_price * messages <= MAX_GOSSIP_COST
    }

    /// Nodes that share this node's own workers.
    pub(crate) fn subset_nodes(&self) -> u32 {
        self.settings.nodes.div_ceil(self.fleet.subset_count as u32)
    }

    pub(crate) fn expire_timer(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.timer_at = self.timer_at.filter(|at| *at > now);
        if self.discovery.woken(now, &mut self.rng) {
            out.push(Action::WatchEndpoints);
        }
        self.fleet.refresh_slots(now, f64::from(self.subset_nodes()));
        self.observe_parallelism(now);
        let mut open = std::mem::take(&mut self.open_jobs);
        open.extend(self.jobs.values().filter(|j| !j.is_answered && !j.is_streaming).map(|j| j.id));
        for id in open.drain(..) {
            self.review_job(now, id, out);
        }
        self.open_jobs = open;
        self.dispatch_pending(now, out);
        if self.gossip_at.is_some_and(|at| at <= now) {
            self.gossip_at = None;
            self.send_gossip(now, out);
        }
    }

    /// Least share of its capacity that a worker has now: it gains no slower than evenly.
    pub(crate) fn warm_up_fraction(&self, now: Micros, w: &Worker) -> f64 {
        if w.started_at == 0 || self.settings.warm_up == 0 {
            return 1.0;
        }
        let age = since(w.started_at, now) / secs(self.settings.warm_up);
        (self.settings.warm_up_floor + (1.0 - self.settings.warm_up_floor) * age)
            .clamp(MIN_WARM_UP_FRACTION, 1.0)
    }

    /// Work of a flight that is still to do: by its progress where that was told, else by its hint. A job
    /// near or past its estimate is taken to have a part of what it has done still to do: hints are rough,
    /// work is heavy-tailed, and the worker may have slowed.
    pub(crate) fn remaining_work(&self, now: Micros, speed: f64, f: &InFlightAttempt) -> f64 {
        let Some(started) = f.started_at else { return f.work };
        let ran = since(started, now);
        match f.progress {
            Some((done, at)) if done > 0.0 => (since(started, at) / done - ran).max(0.0) * speed,
            _ => (f.work * RUNNING_HINT_FACTOR - ran * speed).max(MIN_REMAINING_SHARE * ran * speed),
        }
    }

    /// Seconds that an attempt which is out is likely to run on. Only a node that ends asks, so that others need not
    /// reckon it.
    pub(crate) fn remaining_run(
        &self,
        now: Micros,
        job: JobId,
        (attempt, worker): (u32, WorkerId),
    ) -> Option<f64> {
        let at = self.fleet.find(worker).filter(|_| self.shutdown_at < Micros::MAX)?;
        let speed = self.fleet.workers[at].current_speed;
        Some(self.remaining_work(now, speed, self.in_flight_attempt(job, attempt, worker)?) / speed)
    }

    /// w: seconds that the unended work at a worker, own and told, keeps a job waiting there. With one slot
    /// that is all of it over the speed; with several, until as many are free as the job takes.
    pub(crate) fn estimate_wait(&self, now: Micros, w: &Worker, slots: f64) -> f64 {
        let hidden = w.unobserved_wait(now);
        if w.in_flight.is_empty() && w.peer_backlogs.is_empty() {
            return hidden;
        }
        let mut free = SlotSchedule::new(self.fleet.slots(w).max(slots));
        for f in &w.in_flight {
            free.enqueue(self.remaining_work(now, w.current_speed, f) / w.current_speed, f.slots);
        }
        let (mut work, mut taken) = (0.0, 0.0);
        for t in w.peer_backlogs.iter().filter(|t| since(t.at, now) < PEER_BACKLOG_LIFETIME_S) {
            work += (t.work - since(t.at, now) * t.slots * w.current_speed).max(0.0);
            taken += t.slots;
        }
        (0..(taken as u32).min(MAX_PEER_SLOTS))
            .for_each(|_| _ = free.enqueue(work / taken / w.current_speed, 1.0));
        free.enqueue(0.0, slots) + hidden
    }

    /// Learns parallelism. The notice of a start can overtake that of the end that made room for it: only jobs
    /// that have run for a while count as running at once, or it would be learned too high for good.
    fn observe_parallelism(&mut self, now: Micros) {
        for &i in &self.fleet.subset {
            let w = &mut self.fleet.workers[i];
            w.max_concurrent_slots =
                w.max_concurrent_slots.max(w.slots_running_since(now.saturating_sub(START_SETTLING_TIME)));
        }
    }

    /// The record of an attempt that is out.
    pub(crate) fn in_flight_attempt(
        &self,
        job: JobId,
        attempt: u32,
        worker: WorkerId,
    ) -> Option<&InFlightAttempt> {
        let w = &self.fleet.workers[self.fleet.find(worker)?];
        w.in_flight.iter().find(|f| f.job == job && f.attempt == attempt)
    }

    /// Brings what is derived from the workers' records up to now, where it has aged.
    pub(crate) fn refresh_estimates(&mut self, now: Micros) {
        let (mut ready, mut free) = (0.0, 0.0);
        self.shortest_wait = f64::INFINITY;
        self.fleet.warming_up = 0;
        self.fleet.kinds.iter_mut().for_each(|k| k.capacity = 0.0);
        for n in 0..self.fleet.subset.len() {
            let i = self.fleet.subset[n];
            if now >= self.fleet.workers[i].estimated_at.saturating_add(ESTIMATE_LIFETIME) {
                self.refresh_worker(now, i);
            }
            let w = &self.fleet.workers[i];
            self.fleet.kinds[w.kind_index].capacity += w.current_speed * self.fleet.slots(w);
            ready += 1.0;
            free += f64::from(u8::from(w.wait < FREE_WORKER_WAIT_S));
            self.fleet.warming_up += usize::from(w.warm_up_fraction < 1.0);
            self.shortest_wait = self.shortest_wait.min(w.wait);
        }
        self.refresh_kinds(now);
        self.free_share = (free / f64::max(ready, 1.0)).min(self.fleet.prompt_start_share);
    }

    pub(crate) fn record_progress(&mut self, now: Micros, job: JobId, attempt: u32, done: f64) {
        let Some(i) = self.worker_index_of(job, attempt) else { return };
        if let Some(f) = self.fleet.workers[i].attempt_mut(job, attempt) {
            f.progress = Some((done.clamp(0.0, 1.0), now));
        }
        self.fleet.workers[i].record_contact(now);
    }

    /// Sets the next wake-up, if none comes early enough.
    pub(crate) fn set_timer(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.gossip_changed && self.gossip_at.is_none() && self.is_gossip_enabled() {
            // The more nodes there are, the more messages each must read.
            self.gossip_at = Some(now + GOSSIP_INTERVAL_PER_NODE * Micros::from(self.subset_nodes() - 1));
        }
        let sweep = (!self.jobs.is_empty()).then_some(now + SWEEP_INTERVAL);
        let Some(next) = [sweep, self.gossip_at, self.discovery.next()].into_iter().flatten().min() else {
            return;
        };
        if self.timer_at.is_none_or(|at| at > next || at < now) {
            let after = next.saturating_sub(now).max(1);
            self.timer_at = Some(now + after);
            out.push(Action::SetTimer { after });
        }
    }

    /// Books an attempt that is being sent.
    pub(crate) fn record_send(&mut self, now: Micros, job: &mut Job, index: usize, run: f64, foreseen: f64) {
        let span = secs(self.settings.overload_window) * WINDOW_STRETCH;
        let w = &mut self.fleet.workers[index];
        w.warm_up_sends.retain(|(at, _)| since(*at, now) < span);
        if w.warm_up_fraction < 1.0 {
            w.warm_up_sends.push_back((now, job.load()));
        }
        w.sent_work.add(now, job.load(), SEND_RATE_SPAN_S);
        self.fleet.kinds[w.kind_index].sent_work.add(now, job.load(), SEND_RATE_SPAN_S);
        (w.gossip_pending, w.reenabled_at) = (true, None);
        self.gossip_changed = true;
        job.key.into_iter().for_each(|key| w.record_key(key));
        w.in_flight.push(InFlightAttempt {
            job: job.id,
            attempt: job.attempts.len() as u32,
            work: run * w.current_speed,
            slots: job.slots,
            sent_at: now,
            accepted: false,
            revoked: false,
            predicted_wait: foreseen,
            // Where starts are not told, a missing notice is no sign of silence.
            started_at: (!self.settings.reports_start).then_some(now + micros(foreseen)),
            progress: None,
            unhinted: job.is_unhinted.then_some((job.class, job.work)),
        });
        job.attempts.push(Attempt { worker: w.id, zone: w.zone, cell: w.cell, sent_at: now, outcome: None });
    }

    /// Books the end of an attempt; false where it was known or never sent. A repeated end must not put a job
    /// in line twice: it would be sent twice.
    fn record_end(&mut self, now: Micros, job: JobId, attempt: u32, outcome: Outcome) -> bool {
        let known = self.jobs.get_mut(&job).and_then(|j| j.attempts.get_mut(attempt as usize));
        let Some(a) = known.filter(|a| a.outcome.is_none()) else { return false };
        a.outcome = Some(outcome);
        if let Some(i) = self.fleet.find(a.worker)
            && let Some(flight) = self.fleet.workers[i].remove_attempt(job, attempt)
        {
            self.gossip_changed = true;
            self.record_outcome(now, i, &flight, outcome);
        }
        true
    }

    /// Tells the other nodes of the group this node's own work at its workers where it changed.
    pub(crate) fn send_gossip(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.gossip_changed = false;
        let mut data = Vec::new();
        let mut room = gossip::MOST_ENTRIES;
        for n in 0..self.fleet.subset.len() {
            let i = self.fleet.subset[n];
            let w = &self.fleet.workers[i];
            let again = !w.in_flight.is_empty() && since(w.gossiped_at, now) > GOSSIP_REFRESH_S;
            if (w.gossip_pending || again) && room == 0 {
                self.gossip_changed = true;
            } else if w.gossip_pending || again {
                let work =
                    w.in_flight.iter().map(|f| self.remaining_work(now, w.current_speed, f) * f.slots).sum();
                gossip::write(&mut data, w.id, work, w.in_flight.iter().map(|f| f.slots).sum());
                let w = &mut self.fleet.workers[i];
                (w.gossip_pending, w.gossiped_at) = (false, now);
                room -= 1;
            }
        }
        if !data.is_empty() {
            let groups = self.fleet.subset_count as u32;
            let peers = (self.settings.node_index % groups..self.settings.nodes).step_by(groups as usize);
            let peers = peers.filter(|to| *to != self.settings.node_index);
            out.extend(peers.map(|to| Action::SendGossip { to, data: data.clone() }));
        }
    }

    pub(crate) fn receive_gossip(&mut self, now: Micros, from: u32, data: &[u8]) {
        // Nonsense must not fill the memory: one record for each worker and node.
        if from >= self.settings.nodes {
            return;
        }
        for (worker, work, slots) in gossip::read(data) {
            let near = self.fleet.subset.iter().find(|i| gossip::short(self.fleet.workers[**i].id) == worker);
            let Some(&i) = near else { continue };
            let told = &mut self.fleet.workers[i].peer_backlogs;
            told.retain(|t| t.node != from);
            if slots > 0.0 {
                told.push(PeerBacklog { node: from, work, slots, at: now });
            }
        }
    }
}
