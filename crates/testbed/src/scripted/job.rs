//! A client's job: attempts at workers in turn until one ends it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::time::timeout;

use super::flaw::Flaw;
use super::http_response::respond;
use super::node::ScriptedNode;
use super::pending_attempts::AttemptEnd;
use super::worker_list::Endpoint;

const REQUEST_ID_HEADER: &str = "x-request-id";
const CLASS_HEADER: &str = "x-class";
const DEADLINE_HEADER: &str = "x-deadline";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Marks a worker's rejection of a job that has not run.
const NOT_RUN_HEADER: &str = "x-not-run";

const MAX_ATTEMPTS: usize = 3;
/// The deadline of a job without one, in seconds.
const DEFAULT_DEADLINE_S: f64 = 1.0;
/// A job is answered this long before its deadline, in seconds.
const DEADLINE_MARGIN_S: f64 = 0.05;
/// The number of the job at which a node with that flaw crashes.
const CRASH_AT_JOB: usize = 20;
const CRASH_EXIT_CODE: i32 = 7;

/// A client's request as it is forwarded to workers.
#[derive(Clone)]
pub(super) struct JobRequest {
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl JobRequest {
    /// The text of a header; empty if it is absent or no text.
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The number of the job, which the testbed's clients put into the id before the digit that counts their retries.
    fn job_number(&self) -> usize {
        let digits = self.header(REQUEST_ID_HEADER).bytes().filter(u8::is_ascii_digit);
        digits.fold(0, |number, digit| number * 10 + usize::from(digit - b'0')) / 10
    }

    /// Whether a flaw that concerns every eighth job concerns this one.
    fn is_eighth(&self) -> bool {
        self.job_number() % 8 == 3
    }

    /// The time in which the job has to be answered.
    fn time_limit(&self) -> Duration {
        let deadline_s = self.header(DEADLINE_HEADER).parse().unwrap_or(DEFAULT_DEADLINE_S);
        Duration::from_secs_f64((deadline_s - DEADLINE_MARGIN_S).max(0.0))
    }
}

impl ScriptedNode {
    /// Runs a job and responds to its client.
    pub(super) async fn run_job(self: Arc<Self>, job: JobRequest) -> Response<Full<Bytes>> {
        if self.flaw == Flaw::Crashes && job.job_number() >= CRASH_AT_JOB {
            std::process::exit(CRASH_EXIT_CODE);
        }
        // At its deadline a job ends without a cancellation at its worker; no other attempt is made.
        let response = timeout(job.time_limit(), self.try_workers(&job)).await;
        if self.flaw == Flaw::LosesResponse && job.is_eighth() {
            std::future::pending::<()>().await;
        }
        response.unwrap_or_else(|_| respond(StatusCode::BAD_GATEWAY, ""))
    }

    /// Makes attempts one after another until one has run, or may have.
    async fn try_workers(self: &Arc<Self>, job: &JobRequest) -> Response<Full<Bytes>> {
        let mut tried = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let Some(worker) = self.workers.next(&tried, &self.shared) else { break };
            if self.flaw == Flaw::SendsTwice && job.is_eighth() && tried.is_empty() {
                self.send_beside(&worker, job);
            }
            match self.attempt(&worker, job.clone()).await {
                AttemptEnd::Done { result } => return respond(StatusCode::OK, self.body_for(job, result)),
                AttemptEnd::NeverRan => tried.push(worker.name),
                AttemptEnd::MayHaveRun => match self.flaw {
                    Flaw::RepeatsUnsafely => tried.push(worker.name),
                    Flaw::RejectsStartedJobs => break,
                    _ => return respond(StatusCode::BAD_GATEWAY, job.header(CLASS_HEADER).to_owned()),
                },
            }
        }
        respond(StatusCode::SERVICE_UNAVAILABLE, "")
    }

    /// Sends a first attempt of a job to another worker too.
    fn send_beside(self: &Arc<Self>, worker: &Endpoint, job: &JobRequest) {
        if let Some(other) = self.workers.next(std::slice::from_ref(&worker.name), &self.shared) {
            let (node, job) = (self.clone(), job.clone());
            tokio::spawn(async move { node.attempt(&other, job).await });
        }
    }

    fn body_for(&self, job: &JobRequest, result: String) -> String {
        if self.flaw == Flaw::ForgesResult && job.is_eighth() { "made up".into() } else { result }
    }

    async fn attempt(&self, worker: &Endpoint, job: JobRequest) -> AttemptEnd {
        let end = self.pending.register(job.header(REQUEST_ID_HEADER).to_owned(), worker.name.clone());
        let mut request = Request::post(format!("http://{}{}", worker.address, job.path));
        for name in [REQUEST_ID_HEADER, IDEMPOTENCY_KEY_HEADER, DEADLINE_HEADER] {
            if let Some(value) = job.headers.get(name) {
                request = request.header(name, value);
            }
        }
        let Ok(request) = request.body(Full::new(job.body)) else { return AttemptEnd::NeverRan };
        match self.client.request(request).await {
            Ok(response) if response.status() == StatusCode::ACCEPTED => {
                end.await.unwrap_or(AttemptEnd::MayHaveRun)
            }
            Ok(response) if response.headers().contains_key(NOT_RUN_HEADER) => AttemptEnd::NeverRan,
            Err(error) if error.is_connect() => AttemptEnd::NeverRan,
            _ => AttemptEnd::MayHaveRun,
        }
    }
}
