//! Processing of a client's job: attempts at one worker after another until the job has a response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::time::timeout;

use super::flaw::Flaw;
use super::http_response::build_response;
use super::node::ScriptedNode;
use super::pending_attempts::AttemptOutcome;
use super::worker_list::Endpoint;

const REQUEST_ID_HEADER: &str = "x-request-id";
const CLASS_HEADER: &str = "x-class";
const DEADLINE_HEADER: &str = "x-deadline";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header in a worker's rejection of a job that has not run.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Maximum number of attempts of a job, without those of [`ScriptedNode::send_duplicate_attempt`].
const MAX_ATTEMPTS: usize = 3;
/// Timeout of a job whose request has no deadline header, in seconds.
const DEFAULT_DEADLINE_S: f64 = 1.0;
/// Minimum time between the response to a job and the client's deadline, in seconds.
const DEADLINE_MARGIN_S: f64 = 0.05;
/// Number of the first job at which a node with the flaw [`Flaw::Crashes`] exits.
const CRASH_AT_JOB: usize = 20;
/// Exit code of a node with the flaw [`Flaw::Crashes`].
const CRASH_EXIT_CODE: i32 = 7;

/// Client's request for a job, from which the requests to workers are built.
#[derive(Clone)]
pub(super) struct JobRequest {
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl JobRequest {
    /// Returns the text of a header, or an empty string if the header is absent or is not text.
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the number of the job from the request id. The testbed's clients append one digit to it, the
    /// number of their retries.
    fn job_number(&self) -> usize {
        let digits = self.header(REQUEST_ID_HEADER).bytes().filter(u8::is_ascii_digit);
        digits.fold(0, |number, digit| number * 10 + usize::from(digit - b'0')) / 10
    }

    /// Returns whether this job is affected by the flaws that affect every eighth job.
    fn is_flaw_target(&self) -> bool {
        self.job_number() % 8 == 3
    }

    /// Returns the time within which the node responds: the time to the client's deadline less
    /// [`DEADLINE_MARGIN_S`].
    fn time_limit(&self) -> Duration {
        let deadline_s = self.header(DEADLINE_HEADER).parse().unwrap_or(DEFAULT_DEADLINE_S);
        Duration::from_secs_f64((deadline_s - DEADLINE_MARGIN_S).max(0.0))
    }
}

impl ScriptedNode {
    /// Runs a job and returns the response to its client.
    pub(super) async fn run_job(self: Arc<Self>, job: JobRequest) -> Response<Full<Bytes>> {
        if self.flaw == Flaw::Crashes && job.job_number() >= CRASH_AT_JOB {
            std::process::exit(CRASH_EXIT_CODE);
        }
        // The job ends at its time limit. Its attempt is not cancelled at the worker, and there is no other
        // attempt.
        let response = timeout(job.time_limit(), self.try_workers(&job)).await;
        if self.flaw == Flaw::LosesResponse && job.is_flaw_target() {
            std::future::pending::<()>().await;
        }
        response.unwrap_or_else(|_| build_response(StatusCode::BAD_GATEWAY, ""))
    }

    /// Sends attempts one after another until one has run or may have run, or no worker is left. Some flaws
    /// change what follows an attempt that may have run.
    async fn try_workers(self: &Arc<Self>, job: &JobRequest) -> Response<Full<Bytes>> {
        let mut tried = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let Some(worker) = self.workers.select_next(&tried, &self.shared) else { break };
            if self.flaw == Flaw::SendsTwice && job.is_flaw_target() && tried.is_empty() {
                self.send_duplicate_attempt(&worker, job);
            }
            match self.send_attempt(&worker, job.clone()).await {
                AttemptOutcome::Completed { result } => {
                    return build_response(StatusCode::OK, self.response_body(job, result));
                }
                AttemptOutcome::NeverRan => tried.push(worker.name),
                AttemptOutcome::MayHaveRun => match self.flaw {
                    Flaw::RepeatsUnsafely => tried.push(worker.name),
                    Flaw::RejectsStartedJobs => break,
                    _ => return build_response(StatusCode::BAD_GATEWAY, job.header(CLASS_HEADER).to_owned()),
                },
            }
        }
        build_response(StatusCode::SERVICE_UNAVAILABLE, "")
    }

    /// Sends an attempt of a job to another worker beside the one to `worker`.
    fn send_duplicate_attempt(self: &Arc<Self>, worker: &Endpoint, job: &JobRequest) {
        if let Some(other) = self.workers.select_next(std::slice::from_ref(&worker.name), &self.shared) {
            let (node, job) = (self.clone(), job.clone());
            tokio::spawn(async move { node.send_attempt(&other, job).await });
        }
    }

    /// Returns the body of a successful response: the worker's result, unless the flaw forges it.
    fn response_body(&self, job: &JobRequest, result: String) -> String {
        if self.flaw == Flaw::ForgesResult && job.is_flaw_target() { "made up".into() } else { result }
    }

    /// Sends an attempt to a worker and waits for its outcome.
    async fn send_attempt(&self, worker: &Endpoint, job: JobRequest) -> AttemptOutcome {
        let outcome = self.pending.register(job.header(REQUEST_ID_HEADER).to_owned(), worker.name.clone());
        let mut request = Request::post(format!("http://{}{}", worker.address, job.path));
        for name in [REQUEST_ID_HEADER, IDEMPOTENCY_KEY_HEADER, DEADLINE_HEADER] {
            if let Some(value) = job.headers.get(name) {
                request = request.header(name, value);
            }
        }
        let Ok(request) = request.body(Full::new(job.body)) else { return AttemptOutcome::NeverRan };
        match self.client.request(request).await {
            Ok(response) if response.status() == StatusCode::ACCEPTED => {
                outcome.await.unwrap_or(AttemptOutcome::MayHaveRun)
            }
            Ok(response) if response.headers().contains_key(NOT_RUN_HEADER) => AttemptOutcome::NeverRan,
            Err(error) if error.is_connect() => AttemptOutcome::NeverRan,
            _ => AttemptOutcome::MayHaveRun,
        }
    }
}
