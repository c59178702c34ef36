//! Owns the clients: an open loop that sends each job at its intended moment, whatever became of those before, and the
//! front that spreads them over the nodes. It must never wait for an answer before the next job.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use curlewusher_model::plan::Planned;
use curlewusher_model::{Micros, span};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};

use crate::fleet::{NodePlaces, Tries, result_of};
use crate::record::{Log, Missing, What};
use crate::scenario::{ClassRepeats, Scenario};

/// A client waits a little beyond its time, to see how late a late answer is.
const PATIENCE: Duration = Duration::from_millis(500);
/// The longest advice that a client follows, s.
const LONGEST_ADVICE: f64 = 2.0;
const LONGEST_ANSWER: usize = 1 << 20;

/// Spreads clients over the nodes that it holds to be well.
pub struct Front {
    admitted: Vec<AtomicBool>,
    next: AtomicUsize,
    places: NodePlaces,
}

impl Front {
    pub fn new(nodes: usize, places: NodePlaces) -> Self {
        Front {
            admitted: (0..nodes).map(|_| AtomicBool::new(false)).collect(),
            next: AtomicUsize::new(0),
            places,
        }
    }

    pub fn admit(&self, node: usize, well: bool) {
        self.admitted[node].store(well, Ordering::Relaxed);
    }

    /// The next node that is well; where none is, the next one all the same.
    fn pick(&self) -> (usize, Option<SocketAddr>) {
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let all = self.admitted.len();
        let well =
            (0..all).map(|n| (first + n) % all).find(|node| self.admitted[*node].load(Ordering::Relaxed));
        let node = well.unwrap_or(first % all);
        (node, self.places.lock()[node])
    }
}

/// The clients of a run.
pub struct Clients {
    pub scenario: Arc<Scenario>,
    pub jobs: Arc<Vec<Planned>>,
    pub tries: Tries,
    pub front: Arc<Front>,
    pub log: Log,
    client: Client<HttpConnector, Full<Bytes>>,
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
        jobs: Arc<Vec<Planned>>,
        tries: Tries,
        front: Arc<Front>,
        log: Log,
    ) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .build(connector);
        Clients { scenario, jobs, tries, front, log, client }
    }

    /// Sends every job at its moment, counted from `begin`, and returns once each has come to its end.
    pub async fn run(self: Arc<Self>, begin: Micros, done: Arc<AtomicUsize>) {
        let mut open = JoinSet::new();
        for job in 0..self.jobs.len() {
            let intended = begin + self.jobs[job].at;
            sleep_until(self.log.instant(intended)).await;
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
    async fn ask(&self, job: usize, intended: Micros) {
        let class = &self.scenario.classes[self.jobs[job].class];
        let give_up = intended + span(class.give_up_s);
        for number in 0..=self.scenario.load.retries {
            let now = self.log.now();
            if now >= give_up {
                return;
            }
            let late = if number == 0 { now - intended } else { 0 };
            let end = self.try_once(job, number, give_up - now, late).await;
            let wait = self.scenario.load.retry_wait_s;
            let wait = match end {
                End::Served => return,
                End::Refused { after } => wait.max(after.unwrap_or(0.0).min(LONGEST_ADVICE)),
                End::Unreachable => wait,
                // What may have run is asked for again only where that does no harm.
                End::Failed | End::Missing if class.repeats == ClassRepeats::Safe => wait,
                End::Failed | End::Missing => return,
            };
            sleep(Duration::from_secs_f64(wait)).await;
        }
    }

    async fn try_once(&self, job: usize, number: u32, wait: Micros, late_us: Micros) -> End {
        let planned = &self.jobs[job];
        let class = &self.scenario.classes[planned.class];
        let (node, place) = self.front.pick();
        let id = format!("j{job}-{number}");
        self.tries.add(&id, node, job);
        self.log.add(What::Asked {
            id: id.clone(),
            job,
            node,
            class: planned.class,
            give_up_us: wait,
            late_us,
        });
        let mut request = Request::post(match place {
            Some(place) => format!("http://{place}/api/set-{}", planned.set),
            None => return self.missing(id, Missing::Unreachable),
        })
        .header("x-request-id", &id)
        .header("x-class", &class.name)
        .header("x-deadline", format!("{:.6}", wait as f64 / 1e6))
        .header("x-cost-hint", format!("{:.0}", planned.hint_s * 1e6))
        .header("x-extras", format!("slots={}", planned.slots));
        if class.repeats == ClassRepeats::Keyed {
            request = request.header("idempotency-key", format!("{job:032x}"));
        }
        if number > 0 {
            request = request.header("x-retry", "1");
        }
        let Ok(request) = request.body(Full::new(Bytes::from_static(b"interval=40-55"))) else {
            unreachable!("every part of it is plain text");
        };
        let answer = async {
            let reply = self
                .client
                .request(request)
                .await
                .map_err(|e| if e.is_connect() { Missing::Unreachable } else { Missing::Closed })?;
            let (head, body) = reply.into_parts();
            let body = Limited::new(body, LONGEST_ANSWER).collect().await.map_err(|_| Missing::Closed)?;
            Ok((head, body.to_bytes()))
        };
        let (head, body) = match timeout(Duration::from_micros(wait) + PATIENCE, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(why)) => return self.missing(id, why),
            Err(_) => return self.missing(id, Missing::Late),
        };
        let good = body == result_of(&id).as_bytes();
        self.log.add(What::Answered { id, status: head.status.as_u16(), good });
        match head.status {
            StatusCode::OK if good => End::Served,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                let after = head.headers.get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
                End::Refused { after }
            }
            _ => End::Failed,
        }
    }

    fn missing(&self, id: String, why: Missing) -> End {
        self.log.add(What::Unanswered { id, why });
        if why == Missing::Unreachable { End::Unreachable } else { End::Missing }
    }
}
