//! Owns the clients: an open loop that sends each job at its intended moment, whatever became of those before, and the
//! front that spreads them over the nodes. It must never wait for an answer before the next job.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use curlewusher_model::workload::PlannedJob;
use curlewusher_model::{TimeSpan, Timestamp};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep, sleep_until, timeout};

use crate::client_connections::{ClientConnections, Route};
use crate::event_log::{Event, EventLog, FailureReason, Readiness};
use crate::fleet::{NodeAddresses, RequestOrigin, SentRequests, expected_result};
use crate::nodes::check_readiness;
use crate::scenario::{Idempotence, Scenario};

/// A client waits a little beyond its time, to see how late a late answer is.
const PATIENCE: Duration = Duration::from_millis(500);
/// The longest advice that a client follows, s.
const LONGEST_ADVICE: f64 = 2.0;
/// The front asks every node so often.
const PROBES: Duration = Duration::from_millis(100);
/// After the first no, new connections still come for this; where nothing is said, for longer:
/// one probe that is lost is not the end of a node.
const AFTER_NO: TimeSpan = TimeSpan::from_millis(200);
const AFTER_SILENCE: TimeSpan = TimeSpan::from_secs(2);

/// What every job bears.
const BODY: &str = "interval=40-55";

/// Spreads clients over the nodes that say that they are ready.
pub struct Front {
    /// From when each takes no new connections.
    closes: Vec<AtomicU64>,
    next: AtomicUsize,
    places: NodeAddresses,
    pub connections: ClientConnections,
    log: EventLog,
}

impl Front {
    pub fn new(nodes: usize, places: NodeAddresses, log: EventLog) -> Self {
        Front {
            closes: (0..nodes).map(|_| AtomicU64::new(0)).collect(),
            next: AtomicUsize::new(0),
            places,
            connections: ClientConnections::new(nodes),
            log,
        }
    }

    pub fn admit(&self, node: usize, well: bool) {
        self.closes[node].store(if well { u64::MAX } else { self.log.now().as_micros() }, Ordering::Relaxed);
    }

    fn heard(&self, node: usize, said: Readiness) {
        let after = match said {
            Readiness::Yes => return self.admit(node, true),
            Readiness::No => AFTER_NO,
            Readiness::Nothing => AFTER_SILENCE,
        };
        // Counted from the first of them: a later one moves nothing.
        self.closes[node].fetch_min((self.log.now() + after).as_micros(), Ordering::Relaxed);
    }

    /// Asks a node whether it is ready, again and again, and writes down where the answer changes.
    pub async fn watch(self: Arc<Self>, node: usize) {
        let mut ticks = interval(PROBES);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut last = Readiness::Nothing;
        loop {
            ticks.tick().await;
            let Some(place) = self.places.lock()[node] else { continue };
            let said = check_readiness(place).await;
            self.heard(node, said);
            if said != last {
                self.log.record(Event::ReadinessChanged { node, readiness: said });
                last = said;
            }
        }
    }

    /// The next node in turn that takes new connections, or to which one is held: those stay in use while
    /// they are open.
    fn pick(&self, new_ones: bool) -> Option<Route> {
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let all = self.closes.len();
        (0..all).map(|n| (first + n) % all).find_map(|node| {
            let place = self.places.lock()[node]?;
            let held = if new_ones { None } else { self.connections.take(node) };
            let open = self.log.now().as_micros() < self.closes[node].load(Ordering::Relaxed);
            (open || held.is_some()).then_some(Route { node, address: place, kept_connection: held })
        })
    }
}

/// The clients of a run.
pub struct Clients {
    pub scenario: Arc<Scenario>,
    pub jobs: Arc<Vec<PlannedJob>>,
    pub tries: SentRequests,
    pub front: Arc<Front>,
    pub log: EventLog,
    /// Nobody asks any more: the run has seen what it wanted.
    pub enough: AtomicBool,
}

/// How a try ended, for the client.
enum End {
    Served,
    Refused { after: Option<f64> },
    Failed,
    Unreachable,
    Missing,
}

impl Clients {
    pub fn new(
        scenario: Arc<Scenario>,
        jobs: Arc<Vec<PlannedJob>>,
        tries: SentRequests,
        front: Arc<Front>,
        log: EventLog,
    ) -> Self {
        Clients { scenario, jobs, tries, front, log, enough: AtomicBool::new(false) }
    }

    /// Sends every job at its moment, counted from `begin`, and returns once each has come to its end.
    pub async fn run(self: Arc<Self>, begin: Timestamp, done: Arc<AtomicUsize>) {
        let mut open = JoinSet::new();
        for job in 0..self.jobs.len() {
            let intended = begin + self.jobs[job].submit_at;
            sleep_until(self.log.instant(intended)).await;
            if self.enough.load(Ordering::Relaxed) {
                break;
            }
            let (clients, done) = (self.clone(), done.clone());
            open.spawn(async move {
                clients.ask(job, intended).await;
                done.fetch_add(1, Ordering::Relaxed);
            });
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
    }

    /// One client with one job, through all its tries.
    async fn ask(&self, job: usize, intended: Timestamp) {
        let class = &self.scenario.classes[self.jobs[job].class];
        let give_up = intended + TimeSpan::from_secs_f64(class.timeout_s);
        for number in 0..=self.scenario.load.retries {
            let now = self.log.now();
            if now >= give_up {
                return;
            }
            let late = if number == 0 { now - intended } else { TimeSpan::ZERO };
            let end = self.try_once(job, number, give_up - now, late).await;
            let wait = self.scenario.load.retry_wait_s;
            let wait = match end {
                End::Served => return,
                End::Refused { after } => wait.max(after.unwrap_or(0.0).min(LONGEST_ADVICE)),
                End::Unreachable => wait,
                // What may have run is asked for again only where that does no harm.
                End::Failed | End::Missing if class.idempotence == Idempotence::Idempotent => wait,
                End::Failed | End::Missing => return,
            };
            sleep(Duration::from_secs_f64(wait)).await;
        }
    }

    async fn try_once(&self, job: usize, number: u32, wait: TimeSpan, delay: TimeSpan) -> End {
        let planned = &self.jobs[job];
        let class = &self.scenario.classes[planned.class];
        // By the golden ratio the share is the same in every stretch of jobs.
        let new_ones = (job as f64 * 0.618_033_988_749_895).fract() < self.scenario.load.new_connections;
        let route = self.front.pick(new_ones);
        let node = route.as_ref().map_or(0, |route| route.node);
        let id = format!("j{job}-{number}");
        self.tries.record(&id, RequestOrigin { node, job });
        self.log.record(Event::RequestSent {
            id: id.clone(),
            job,
            node,
            class: planned.class,
            timeout: wait,
            delay,
        });
        let Some(route) = route else { return self.missing(id, FailureReason::NoNode) };
        let mut request = format!(
            "POST /api/set-{} HTTP/1.1\r\nhost: {}\r\nx-request-id: {id}\r\nx-class: {}\r\nx-deadline: {:.6}\r\n\
             x-cost-hint: {:.0}\r\nx-extras: slots={}\r\n",
            planned.set,
            route.address,
            class.name,
            wait.as_secs_f64(),
            planned.hint_seconds * 1e6,
            planned.slots
        );
        if class.idempotence == Idempotence::IdempotentWithKey {
            request += &format!("idempotency-key: {job:032x}\r\n");
        }
        if number > 0 {
            request += "x-retry: 1\r\n";
        }
        request += &format!("content-length: {}\r\n\r\n{BODY}", BODY.len());
        let answer = self.front.connections.send(route, request.as_bytes(), !new_ones);
        let answer = match timeout(Duration::from(wait) + PATIENCE, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(why)) => return self.missing(id, why),
            Err(_) => return self.missing(id, FailureReason::Late),
        };
        let good = answer.body == expected_result(&id).as_bytes();
        self.log.record(Event::ResponseReceived { id, status: answer.status, has_own_result: good });
        match answer.status {
            200 if good => End::Served,
            429 | 503 => End::Refused { after: answer.retry_after },
            _ => End::Failed,
        }
    }

    fn missing(&self, id: String, why: FailureReason) -> End {
        self.log.record(Event::RequestFailed { id, reason: why });
        if matches!(why, FailureReason::Unreachable | FailureReason::NoNode) {
            End::Unreachable
        } else {
            End::Missing
        }
    }
}
