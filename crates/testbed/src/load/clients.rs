//! The clients: an open loop that sends each job at its intended moment, whatever became of those before. A client never
//! waits for a response before the next job is sent.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use curlewusher_model::workload::PlannedJob;
use curlewusher_model::{TimeSpan, Timestamp};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};

use super::job_request::JobRequest;
use crate::client_connections::{OutgoingRequest, Response, Route};
use crate::client_router::ClientRouter;
use crate::environment::Environment;
use crate::event_log::{Event, EventLog, FailureReason};
use crate::fleet::{RequestOrigin, SentRequests, expected_result};
use crate::scenario::{Class, Idempotence, Scenario};

/// A client waits this much longer than its timeout, to see how late a late response is.
const EXTRA_WAIT: Duration = Duration::from_millis(500);
/// The longest `Retry-After` that a client follows, in seconds.
const MAX_RETRY_AFTER_S: f64 = 2.0;
/// Where the fractions of jobs with split and pipelined requests begin, so that they differ from those with connections
/// of their own.
const SPLIT_OFFSET: f64 = 0.37;
const PIPELINED_OFFSET: f64 = 0.71;
/// Jobs next to each other have other pauses and are split at other bytes.
const PAUSE_STEP: f64 = 0.754_877_666_246_692_7;
const SPLIT_STEP: usize = 7_919;
/// What is pipelined behind a request.
const PIPELINED_REQUEST: &str = "GET /ready HTTP/1.1\r\nhost: pipelined\r\n\r\n";
/// Multiples of this are spread evenly over every range of job indices.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// The clients of a run.
pub struct Clients {
    scenario: Arc<Scenario>,
    jobs: Arc<Vec<PlannedJob>>,
    sent_requests: SentRequests,
    router: Arc<ClientRouter>,
    log: EventLog,
    /// Whether no further job is to be sent.
    is_stopped: AtomicBool,
    completed_jobs: AtomicUsize,
}

/// How a request ended, for the client that sent it.
enum RequestOutcome {
    Served,
    Rejected { retry_after_s: Option<f64> },
    Failed,
    Unreachable,
    NoResponse,
}

/// One request of a client.
struct Attempt {
    job: usize,
    /// Number of requests for the job before this one.
    retry: u32,
    timeout: TimeSpan,
    /// Time from the intended moment of the first request to now; 0 for a retry.
    send_delay: TimeSpan,
}

impl Clients {
    /// The clients that send the jobs of an environment's workload.
    pub fn new(environment: &Environment, jobs: Arc<Vec<PlannedJob>>) -> Self {
        Clients {
            scenario: environment.scenario.clone(),
            jobs,
            sent_requests: environment.sent_requests.clone(),
            router: environment.router.clone(),
            log: environment.log.clone(),
            is_stopped: AtomicBool::new(false),
            completed_jobs: AtomicUsize::new(0),
        }
    }

    /// Sends no further job; those that were sent are completed.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Number of jobs that have ended for their clients, in whatever way.
    pub fn completed_jobs(&self) -> usize {
        self.completed_jobs.load(Ordering::Relaxed)
    }

    /// Sends every job at its moment, counted from `load_start`, and returns once each has ended.
    pub async fn run(self: Arc<Self>, load_start: Timestamp) {
        let mut running = JoinSet::new();
        for job in 0..self.jobs.len() {
            let intended_at = load_start + self.jobs[job].submit_at;
            sleep_until(self.log.instant(intended_at)).await;
            if self.is_stopped.load(Ordering::Relaxed) {
                break;
            }
            let clients = self.clone();
            running.spawn(async move {
                clients.submit_job(job, intended_at).await;
                clients.completed_jobs.fetch_add(1, Ordering::Relaxed);
            });
            while running.try_join_next().is_some() {}
        }
        while running.join_next().await.is_some() {}
    }

    /// A client with one job, through all its requests.
    async fn submit_job(&self, job: usize, intended_at: Timestamp) {
        let class = self.class_of(job);
        let deadline = intended_at + TimeSpan::from_secs_f64(class.timeout_s);
        for retry in 0..=self.scenario.load.retries {
            let now = self.log.now();
            if now >= deadline {
                return;
            }
            let send_delay = if retry == 0 { now - intended_at } else { TimeSpan::ZERO };
            let attempt = Attempt { job, retry, timeout: deadline - now, send_delay };
            let outcome = self.send_request(&attempt).await;
            let Some(wait_s) = self.wait_before_retry(class, &outcome) else { return };
            sleep(Duration::from_secs_f64(wait_s)).await;
        }
    }

    fn class_of(&self, job: usize) -> &Class {
        &self.scenario.classes[self.jobs[job].class]
    }

    /// Seconds until the next request for the job; none if it is not to be sent again.
    fn wait_before_retry(&self, class: &Class, outcome: &RequestOutcome) -> Option<f64> {
        let usual_s = self.scenario.load.retry_wait_s;
        match outcome {
            RequestOutcome::Served => None,
            RequestOutcome::Rejected { retry_after_s } => {
                Some(usual_s.max(retry_after_s.unwrap_or(0.0).min(MAX_RETRY_AFTER_S)))
            }
            RequestOutcome::Unreachable => Some(usual_s),
            // A job that may have run is sent again only where that does no harm.
            RequestOutcome::Failed | RequestOutcome::NoResponse => {
                (class.idempotence == Idempotence::Idempotent).then_some(usual_s)
            }
        }
    }

    /// Whether a job comes on a connection of its own. Their fraction is the same in every range of jobs.
    fn needs_new_connection(&self, job: usize) -> bool {
        is_among(job, 0.0, self.scenario.load.new_connections)
    }

    /// The pause between both parts of the request for a job; none if it is written at once.
    fn split_pause(&self, job: usize) -> Option<Duration> {
        let split = self.scenario.load.split.filter(|split| is_among(job, SPLIT_OFFSET, split.share))?;
        Some(Duration::from_secs_f64(split.pause_s * (job as f64 * PAUSE_STEP).fract()))
    }

    fn is_pipelined(&self, job: usize) -> bool {
        self.scenario.load.pipelined.is_some_and(|share| is_among(job, PIPELINED_OFFSET, share))
    }

    async fn send_request(&self, attempt: &Attempt) -> RequestOutcome {
        let Attempt { job, retry, .. } = *attempt;
        let keep_connection = !self.needs_new_connection(job);
        let route = self.router.route(keep_connection);
        let node = route.as_ref().map_or(0, |route| route.node);
        let on_new_connection = route.as_ref().is_some_and(|route| route.idle_connection.is_none());
        let request_id = format!("j{job}-{retry}");
        self.record_sent(attempt, &request_id, node);
        let failed = |id, reason| self.record_failure(id, reason, on_new_connection);
        let Some(route) = route else { return failed(request_id, FailureReason::NoNode) };
        match self.exchange(attempt, &request_id, route, keep_connection).await {
            Ok(response) => self.record_response(request_id, &response),
            Err(reason) => failed(request_id, reason),
        }
    }

    fn record_sent(&self, attempt: &Attempt, id: &str, node: usize) {
        let Attempt { job, send_delay, .. } = *attempt;
        let timeout = self.time_from_first_byte(attempt);
        self.sent_requests.record(id, RequestOrigin { node, job });
        self.log.record(Event::RequestSent {
            id: id.to_owned(),
            job,
            node,
            class: self.jobs[job].class,
            timeout,
            delay: send_delay,
        });
    }

    /// The client's time from the first byte of its request; its timeout counts from the last one.
    fn time_from_first_byte(&self, attempt: &Attempt) -> TimeSpan {
        attempt.timeout + self.split_pause(attempt.job).map_or(TimeSpan::ZERO, TimeSpan::from)
    }

    /// Sends the request of an attempt and reads the response.
    async fn exchange(
        &self,
        attempt: &Attempt,
        id: &str,
        route: Route,
        keep_connection: bool,
    ) -> Result<Response, FailureReason> {
        let request = JobRequest {
            id,
            job: attempt.job,
            planned: &self.jobs[attempt.job],
            class: self.class_of(attempt.job),
            timeout: attempt.timeout,
            is_retry: attempt.retry > 0,
        };
        let mut request = request.render(route.address);
        let request_length = request.len();
        let is_pipelined = self.is_pipelined(attempt.job);
        if is_pipelined {
            request += PIPELINED_REQUEST;
        }
        let split = self.split_pause(attempt.job).map(|pause| {
            let first_length = 1 + attempt.job * SPLIT_STEP % (request_length - 1);
            (first_length, pause)
        });
        let request = OutgoingRequest { bytes: request.as_bytes(), split };
        let response = self.router.connections.send(route, request, keep_connection && !is_pipelined);
        let longest = Duration::from(self.time_from_first_byte(attempt)) + EXTRA_WAIT;
        timeout(longest, response).await.unwrap_or(Err(FailureReason::Late))
    }

    fn record_response(&self, id: String, response: &Response) -> RequestOutcome {
        let has_own_result = response.body == expected_result(&id).as_bytes();
        self.log.record(Event::ResponseReceived { id, status: response.status, has_own_result });
        match response.status {
            200 if has_own_result => RequestOutcome::Served,
            429 | 503 => RequestOutcome::Rejected { retry_after_s: response.retry_after },
            _ => RequestOutcome::Failed,
        }
    }

    fn record_failure(&self, id: String, reason: FailureReason, on_new_connection: bool) -> RequestOutcome {
        self.log.record(Event::RequestFailed { id, reason, on_new_connection });
        match reason {
            FailureReason::Unreachable | FailureReason::NoNode => RequestOutcome::Unreachable,
            _ => RequestOutcome::NoResponse,
        }
    }
}

/// Whether a job is among a fraction of all jobs, which is the same in every range of jobs.
fn is_among(job: usize, offset: f64, fraction: f64) -> bool {
    (job as f64 * GOLDEN_RATIO_FRACTION + offset).fract() < fraction
}
