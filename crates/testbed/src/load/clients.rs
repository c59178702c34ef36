//! Clients of a run. They form an open loop: each job is sent at its intended time, regardless of the
//! responses to earlier jobs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use curlewusher_model::workload::PlannedJob;
use curlewusher_model::{TimeSpan, Timestamp};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};

use super::job_request::JobRequest;
use crate::client_connections::{OutgoingRequest, Response, Route, WritePattern};
use crate::client_router::ClientRouter;
use crate::environment::Environment;
use crate::event_log::{Event, EventLog, FailureReason};
use crate::fleet::{RequestOrigin, SentRequests, expected_result};
use crate::scenario::{Class, Idempotency, LongBodies, Scenario};

/// Time that a client waits beyond its timeout, to measure how late a late response is.
const LATE_RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum `Retry-After` that a client honours, in seconds.
const MAX_RETRY_AFTER_S: f64 = 2.0;
/// Offset in the selection of jobs with split requests. It makes the selection differ from those of jobs with
/// new connections and with pipelined requests.
const SPLIT_OFFSET: f64 = 0.37;
/// Offset in the selection of jobs with pipelined requests. It makes the selection differ from those of jobs
/// with new connections and with split requests.
const PIPELINED_OFFSET: f64 = 0.71;
/// Offset in the selection of jobs with long bodies. It makes the selection differ from the others.
const LONG_BODY_OFFSET: f64 = 0.53;
/// Difference of the pauses of consecutive jobs, as a fraction of the maximum pause. It makes consecutive
/// jobs differ in their pauses.
const PAUSE_STEP: f64 = 0.754_877_666_246_692_7;
/// Difference of the split positions of consecutive jobs, in bytes modulo the request length. It makes
/// consecutive jobs differ in their split positions.
const SPLIT_STEP: usize = 7_919;
/// Request that is pipelined after a job request.
const PIPELINED_REQUEST: &str = "GET /ready HTTP/1.1\r\nhost: pipelined\r\n\r\n";
/// Fractional part of the golden ratio. The fractional parts of its multiples are distributed evenly over the
/// interval from 0 to 1, for every range of job indices.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Clients of a run.
pub struct Clients {
    scenario: Arc<Scenario>,
    jobs: Arc<Vec<PlannedJob>>,
    sent_requests: SentRequests,
    router: Arc<ClientRouter>,
    log: EventLog,
    /// Whether the clients send no further jobs.
    is_stopped: AtomicBool,
    /// Number of jobs that have ended for their clients, with any outcome.
    finished_jobs: AtomicUsize,
}

/// Outcome of a request for the client that sent it.
enum RequestOutcome {
    /// The response has status 200 and the request's own result.
    Served,
    /// The response has status 429 or 503.
    Rejected { retry_after_s: Option<f64> },
    /// The response has another status, or a body that is not the result of this request.
    Failed,
    /// No connection to a node was established.
    Unreachable,
    /// The connection closed or the client timed out before a response.
    NoResponse,
}

/// One request of a client for a job.
struct Submission {
    /// Index of the job in the workload.
    job: usize,
    /// Number of earlier requests for the job.
    retry: u32,
    /// Time from this request to the client's deadline.
    timeout: TimeSpan,
    /// Delay of the first request after its intended time, or 0 for a retry.
    send_delay: TimeSpan,
}

impl Clients {
    /// Creates the clients that send the jobs of an environment's workload.
    pub fn new(environment: &Environment, jobs: Arc<Vec<PlannedJob>>) -> Self {
        Clients {
            scenario: environment.scenario.clone(),
            jobs,
            sent_requests: environment.sent_requests.clone(),
            router: environment.router.clone(),
            log: environment.log.clone(),
            is_stopped: AtomicBool::new(false),
            finished_jobs: AtomicUsize::new(0),
        }
    }

    /// Stops sending new jobs. The clients of jobs that were sent continue until their jobs end.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Returns the number of jobs that have ended for their clients, with any outcome.
    pub fn finished_jobs(&self) -> usize {
        self.finished_jobs.load(Ordering::Relaxed)
    }

    /// Sends each job at its time after `load_start`, and returns once all have ended.
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
                clients.finished_jobs.fetch_add(1, Ordering::Relaxed);
            });
            while running.try_join_next().is_some() {}
        }
        while running.join_next().await.is_some() {}
    }

    /// Sends the requests of one client for one job, until the job ends.
    async fn submit_job(&self, job: usize, intended_at: Timestamp) {
        let class = self.class_of(job);
        let deadline = intended_at + TimeSpan::from_secs_f64(class.timeout_s);
        for retry in 0..=self.scenario.load.retries {
            let now = self.log.now();
            if now >= deadline {
                return;
            }
            let send_delay = if retry == 0 { now - intended_at } else { TimeSpan::ZERO };
            let submission = Submission { job, retry, timeout: deadline - now, send_delay };
            let outcome = self.send_request(&submission).await;
            let Some(wait_s) = self.wait_before_retry(class, &outcome) else { return };
            sleep(Duration::from_secs_f64(wait_s)).await;
        }
    }

    fn class_of(&self, job: usize) -> &Class {
        &self.scenario.classes[self.jobs[job].class]
    }

    /// Returns the delay of the next request for the job in seconds, or `None` if the client sends no retry.
    fn wait_before_retry(&self, class: &Class, outcome: &RequestOutcome) -> Option<f64> {
        let retry_wait_s = self.scenario.load.retry_wait_s;
        match outcome {
            RequestOutcome::Served => None,
            RequestOutcome::Rejected { retry_after_s } => {
                Some(retry_wait_s.max(retry_after_s.unwrap_or(0.0).min(MAX_RETRY_AFTER_S)))
            }
            RequestOutcome::Unreachable => Some(retry_wait_s),
            // A job that may have run is retried only if its class is idempotent without a key.
            RequestOutcome::Failed | RequestOutcome::NoResponse => {
                (class.idempotency == Idempotency::Idempotent).then_some(retry_wait_s)
            }
        }
    }

    /// Returns whether a job is sent on a new connection that is closed afterwards. The fraction of such jobs
    /// is the same in every range of jobs.
    fn needs_new_connection(&self, job: usize) -> bool {
        is_in_fraction(job, 0.0, self.scenario.load.new_connections)
    }

    /// Returns the pause between the two parts of the request for a job, or `None` if the request is written
    /// at once.
    fn split_pause(&self, job: usize) -> Option<Duration> {
        let split =
            self.scenario.load.split.filter(|split| is_in_fraction(job, SPLIT_OFFSET, split.share))?;
        Some(Duration::from_secs_f64(split.pause_s * (job as f64 * PAUSE_STEP).fract()))
    }

    /// Returns the long body of the request for a job, or `None` if the body is short.
    fn long_body(&self, job: usize) -> Option<LongBodies> {
        let long_bodies = self.scenario.load.long_bodies?;
        is_in_fraction(job, LONG_BODY_OFFSET, long_bodies.share).then_some(long_bodies)
    }

    /// Returns the way in which the request of this length for a job is written.
    fn write_pattern(&self, job: usize, request_bytes: usize) -> WritePattern {
        if let Some(long_body) = self.long_body(job) {
            let duration = Duration::from_secs_f64(long_body.written_in_s);
            return WritePattern::Pieces { piece_bytes: long_body.piece_bytes, duration };
        }
        match self.split_pause(job) {
            Some(pause) => {
                WritePattern::TwoParts { first_bytes: 1 + job * SPLIT_STEP % (request_bytes - 1), pause }
            }
            None => WritePattern::AtOnce,
        }
    }

    /// Returns the time from the first to the last byte of the request for a job.
    fn write_duration(&self, job: usize) -> TimeSpan {
        match self.long_body(job) {
            Some(long_body) => TimeSpan::from_secs_f64(long_body.written_in_s),
            None => self.split_pause(job).map_or(TimeSpan::ZERO, TimeSpan::from),
        }
    }

    /// Returns whether another request is pipelined after the request for a job.
    fn is_pipelined(&self, job: usize) -> bool {
        self.scenario.load.pipelined.is_some_and(|share| is_in_fraction(job, PIPELINED_OFFSET, share))
    }

    /// Sends a request to a node, and records the request and its outcome.
    async fn send_request(&self, submission: &Submission) -> RequestOutcome {
        let Submission { job, retry, .. } = *submission;
        let keep_connection = !self.needs_new_connection(job);
        let route = self.router.route(keep_connection);
        let node = route.as_ref().map_or(0, |route| route.node);
        let on_new_connection = route.as_ref().is_some_and(|route| route.idle_connection.is_none());
        let request_id = format!("j{job}-{retry}");
        self.record_sent(submission, &request_id, node);
        let failed = |id, reason| self.record_failure(id, reason, on_new_connection);
        let Some(route) = route else { return failed(request_id, FailureReason::NoNode) };
        match self.exchange(submission, &request_id, route, keep_connection).await {
            Ok(response) => self.record_response(request_id, &response),
            Err(reason) => failed(request_id, reason),
        }
    }

    fn record_sent(&self, submission: &Submission, id: &str, node: usize) {
        let Submission { job, send_delay, .. } = *submission;
        let timeout = self.timeout_from_first_byte(submission);
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

    /// Returns the time from the first byte of the request to the client's deadline. The timeout itself
    /// counts from the last byte.
    fn timeout_from_first_byte(&self, submission: &Submission) -> TimeSpan {
        submission.timeout + self.write_duration(submission.job)
    }

    /// Sends a request on a connection and reads the response.
    async fn exchange(
        &self,
        submission: &Submission,
        id: &str,
        route: Route,
        keep_connection: bool,
    ) -> Result<Response, FailureReason> {
        let request = JobRequest {
            id,
            job: submission.job,
            planned: &self.jobs[submission.job],
            class: self.class_of(submission.job),
            timeout: submission.timeout,
            is_retry: submission.retry > 0,
            long_body_bytes: self.long_body(submission.job).map(|long_body| long_body.bytes),
        };
        let mut request = request.render(route.address);
        let pattern = self.write_pattern(submission.job, request.len());
        let is_pipelined = self.is_pipelined(submission.job);
        if is_pipelined {
            request += PIPELINED_REQUEST;
        }
        let request = OutgoingRequest { bytes: request.as_bytes(), pattern };
        let response = self.router.connections.send(route, request, keep_connection && !is_pipelined);
        let max_wait = Duration::from(self.timeout_from_first_byte(submission)) + LATE_RESPONSE_MARGIN;
        timeout(max_wait, response).await.unwrap_or(Err(FailureReason::Late))
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

/// Returns whether a job is in a selection of the given fraction of all jobs. The fraction is the same in
/// every range of jobs, and different offsets give different selections.
fn is_in_fraction(job: usize, offset: f64, fraction: f64) -> bool {
    (job as f64 * GOLDEN_RATIO_FRACTION + offset).fract() < fraction
}
