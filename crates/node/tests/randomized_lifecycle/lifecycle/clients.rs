//! Scripted clients: their requests (complete, partial or with pipelined data behind them), their
//! disconnects, and the checks of the responses.

use std::time::{Duration, Instant};

use super::{Lifecycle, MIN_ACCEPT_DURATION};
use crate::randomized_lifecycle::connection::Connection;
use crate::randomized_lifecycle::job_model::{Job, JobClass, Outcome};

/// Cost hints of requests, in microseconds.
const COST_HINTS_US: [u64; 3] = [5_000, 20_000, 100_000];

/// Data that a client writes behind a request, in the same write.
const PIPELINED_DATA: [&str; 3] =
    ["POST /api/k1 HTTP/1.1\r\n", "nonsense", "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"];

/// Way in which a client writes a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestForm {
    /// Writes the whole request.
    Whole,
    /// Writes a part of the request. The rest may follow with a later event.
    FirstPart,
    /// Writes the whole request and further data behind it.
    WithPipelinedData,
}

/// Connection of a client to the node.
pub(super) struct ClientConnection {
    pub(super) connection: Connection,
    /// Job that waits for a response on the connection.
    pub(super) job: Option<usize>,
    /// Whether the connection carried an earlier or a partial request. The node may then close it without
    /// reading the request.
    pub(super) reused: bool,
    /// Part of the request that is not written yet.
    pub(super) rest: String,
    /// Whether data is written behind the request. The client then closes the connection when it has the
    /// response.
    pub(super) has_pipelined_data: bool,
}

/// Returns the request that submits a job.
fn job_request(job: &Job, cost_hint_us: u64, chunked: bool) -> String {
    let Job { id, class, path, key, body, deadline, .. } = job;
    let key_header = key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
    let length = body.len();
    let body = if chunked {
        format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
    } else {
        format!("Content-Length: {length}\r\n\r\n{body}")
    };
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\nX-Class: {}\r\nX-Deadline: {:.3}\r\n\
         X-Cost-Hint: {cost_hint_us}\r\n{key_header}{body}",
        class.name(),
        deadline.as_secs_f64(),
    )
}

impl Lifecycle {
    /// Submits a job, on a new connection or on an idle one.
    pub(super) fn submit_job(&mut self, a: usize, b: usize, form: RequestForm) {
        let number = self.jobs.len();
        let mut job = self.build_job(a, b);
        let request = job_request(&job, COST_HINTS_US[a / 3 % 3], (a / 16).is_multiple_of(4));
        let Some(index) = self.choose_connection(b.is_multiple_of(3)) else {
            if self.terminated_at.is_none() {
                self.fail(None, "the node refused a new connection");
            }
            return;
        };
        let is_partial = form == RequestForm::FirstPart;
        let written_length = if is_partial { 1 + b % (request.len() - 1) } else { request.len() };
        let (first_part, rest) = request.split_at(written_length);
        let pipelined = if form == RequestForm::WithPipelinedData { PIPELINED_DATA[b % 3] } else { "" };
        let client = &mut self.clients[index];
        client.job = Some(number);
        rest.clone_into(&mut client.rest);
        client.reused |= is_partial;
        client.has_pipelined_data = !pipelined.is_empty();
        client.connection.write(&format!("{first_part}{pipelined}"));
        if is_partial {
            job.outcome = Outcome::PartlyWritten;
        } else {
            job.sent_at = Some((Instant::now(), self.event_count));
        }
        if !pipelined.is_empty() {
            job.has_pipelined_data = true;
            job.history.push(format!("with {pipelined:?} behind the request"));
        }
        let summary = format!(
            "{:?} of {:?}, {written_length} bytes written, connection {index}",
            job.class, job.deadline
        );
        self.jobs.push(job);
        self.record(number, &summary);
    }

    /// Returns the next job, whose request is not written yet.
    fn build_job(&self, a: usize, b: usize) -> Job {
        let number = self.jobs.len();
        let id = format!("l{}-{number}", self.seed);
        let class = [JobClass::View, JobClass::Order, JobClass::Register][a % 3];
        let max_deadline_ms = self.deadlines_ms[a % 3];
        Job {
            class,
            path: format!("/api/k{}?q={number}", a % 7),
            key: (class == JobClass::Register).then(|| format!("key-{id}")),
            body: format!("body of {id}"),
            id,
            deadline: Duration::from_millis(max_deadline_ms - b as u64 % (max_deadline_ms / 2)),
            sent_at: None,
            outcome: Outcome::Pending,
            disconnected_at: None,
            notified_of_disconnect: false,
            has_pipelined_data: false,
            attempts: vec![],
            results: vec![],
            history: vec![],
        }
    }

    /// Returns the index of the last idle connection if there is one and `may_reuse` is set, otherwise of a
    /// new one. Returns `None` if the node refuses the new connection.
    fn choose_connection(&mut self, may_reuse: bool) -> Option<usize> {
        let is_idle = |client: &ClientConnection| client.job.is_none() && client.connection.is_open();
        if let Some(index) = self.clients.iter().rposition(is_idle).filter(|_| may_reuse) {
            self.clients[index].reused = true;
            return Some(index);
        }
        let connection = Connection::connect(self.node.address)?;
        let (rest, has_pipelined_data) = (String::new(), false);
        self.clients.push(ClientConnection {
            connection,
            job: None,
            reused: false,
            rest,
            has_pipelined_data,
        });
        Some(self.clients.len() - 1)
    }

    /// Writes the rest of a partial request.
    pub(super) fn finish_partial_request(&mut self, a: usize) {
        let is_partial = |client: &ClientConnection| !client.rest.is_empty() && client.connection.is_open();
        let partial_indices: Vec<_> =
            (0..self.clients.len()).filter(|index| is_partial(&self.clients[*index])).collect();
        let Some(&index) = partial_indices.get(a % partial_indices.len().max(1)) else { return };
        self.read_everything();
        let client = &mut self.clients[index];
        let Some(job) = client.job.filter(|_| client.connection.is_open()) else { return };
        let rest = std::mem::take(&mut client.rest);
        client.connection.write(&rest);
        self.jobs[job].sent_at = Some((Instant::now(), self.event_count));
        self.jobs[job].outcome = Outcome::Pending;
        self.record(job, "the client writes the rest of the request");
    }

    /// Closes the connection of a client that waits for a response or is idle.
    pub(super) fn disconnect_client(&mut self, a: usize, reset: bool) {
        self.read_everything();
        let open_indices: Vec<_> =
            (0..self.clients.len()).filter(|index| self.clients[*index].connection.is_open()).collect();
        let Some(&index) = open_indices.get(a % open_indices.len().max(1)) else { return };
        let client = &mut self.clients[index];
        client.connection.close(reset);
        client.rest.clear();
        if let Some(job) = client.job.take() {
            self.jobs[job].outcome = Outcome::ClientDisconnected;
            self.jobs[job].disconnected_at = Some(Instant::now());
            self.record(job, &format!("the client disconnects, with a reset: {reset}"));
        }
    }

    /// Reads the responses on a connection and checks them.
    pub(super) fn receive_responses(&mut self, index: usize) {
        while let Some(message) = self.clients[index].connection.take_message() {
            let client = &mut self.clients[index];
            let Some(job) = client.job else {
                self.fail(None, &format!("a response arrived without a request: {message:?}"));
            };
            client.job = None;
            client.reused = true;
            self.record(job, &format!("the client receives {} {:?}", message.start_line, message.body));
            if let Err(violation) =
                self.jobs[job].check_response(&message, self.rules, self.terminated_at.is_some())
            {
                self.fail(Some(job), &violation);
            }
            self.jobs[job].outcome = Outcome::Answered(message.status());
            // The client abandons a request behind the job, or the rest of the job's own request.
            let client = &mut self.clients[index];
            if client.has_pipelined_data || !client.rest.is_empty() {
                client.connection.bytes.clear();
                client.connection.close(false);
            }
        }
        self.check_connection_end(index);
    }

    /// Checks that a connection closed by the node did not carry a job without a response.
    fn check_connection_end(&mut self, index: usize) {
        let ClientConnection { connection, job, reused, .. } = &self.clients[index];
        let (&Some(job), Some(_), reused) = (job, connection.end, *reused) else { return };
        let partial_response = String::from_utf8_lossy(&connection.bytes).into_owned();
        self.clients[index].job = None;
        self.record(job, &format!("the connection closes after {partial_response:?}"));
        let is_unread = self.jobs[job].attempts.is_empty() && partial_response.is_empty();
        let is_sent_late = self.jobs[job]
            .sent_at
            .zip(self.terminated_at)
            .is_some_and(|((sent_at, _), terminated_at)| sent_at > terminated_at + MIN_ACCEPT_DURATION);
        if self.jobs[job].outcome != Outcome::PartlyWritten && !(is_unread && (reused || is_sent_late)) {
            self.fail(Some(job), "the connection closed without a complete response");
        }
        self.jobs[job].outcome = Outcome::ClosedUnserved;
    }
}
