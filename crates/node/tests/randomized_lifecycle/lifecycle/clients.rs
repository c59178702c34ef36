//! Clients: requests whole, in part or with pipelined data behind them, disconnects, and the responses that come.

use std::time::{Duration, Instant};

use super::{Lifecycle, SERVES_NEW_CONNECTIONS_FOR};
use crate::randomized_lifecycle::connection::Connection;
use crate::randomized_lifecycle::job_model::{Job, JobClass, Outcome};

/// Cost hints that a client may give, in microseconds.
const COST_HINTS_US: [u64; 3] = [5_000, 20_000, 100_000];

/// What is sometimes written behind a request, at once with it.
const PIPELINED_DATA: [&str; 3] =
    ["POST /api/k1 HTTP/1.1\r\n", "nonsense", "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"];

/// How a client writes a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestForm {
    Whole,
    /// A part of it; the rest may follow with a later event.
    FirstPart,
    WithPipelinedData,
}

/// A client's connection to the node.
pub(super) struct ClientConnection {
    pub(super) connection: Connection,
    pub(super) job: Option<usize>,
    /// It carried another request before, or a partial one: the node may close it unread.
    pub(super) reused: bool,
    /// The part of the request that is not written yet.
    pub(super) rest: String,
    /// Data is written behind its request: the client closes it with the response.
    pub(super) has_pipelined_data: bool,
}

/// The request that submits a job.
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
    /// A client submits a job, on a new connection or on one that is idle.
    pub(super) fn submit_job(&mut self, a: usize, b: usize, form: RequestForm) {
        let number = self.jobs.len();
        let mut job = self.draw_job(a, b);
        let request = job_request(&job, COST_HINTS_US[a / 3 % 3], (a / 16).is_multiple_of(4));
        let Some(at) = self.choose_connection(b.is_multiple_of(3)) else {
            if self.terminated_at.is_none() {
                self.fail(None, "a new connection is refused");
            }
            return;
        };
        let in_part = form == RequestForm::FirstPart;
        let cut = if in_part { 1 + b % (request.len() - 1) } else { request.len() };
        let (first, rest) = request.split_at(cut);
        let pipelined = if form == RequestForm::WithPipelinedData { PIPELINED_DATA[b % 3] } else { "" };
        let client = &mut self.clients[at];
        client.job = Some(number);
        rest.clone_into(&mut client.rest);
        client.reused |= in_part;
        client.has_pipelined_data = !pipelined.is_empty();
        client.connection.write(&format!("{first}{pipelined}"));
        if in_part {
            job.outcome = Outcome::PartlyWritten;
        } else {
            job.sent_at = Some((Instant::now(), self.event_count));
        }
        if !pipelined.is_empty() {
            job.has_pipelined_data = true;
            job.history.push(format!("with {pipelined:?} written behind it"));
        }
        let summary = format!("{:?} of {:?}, {cut} bytes written, connection {at}", job.class, job.deadline);
        self.jobs.push(job);
        self.record(number, &summary);
    }

    /// The next job, of which nothing is written yet.
    fn draw_job(&self, a: usize, b: usize) -> Job {
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
            left_at: None,
            departure_known: false,
            has_pipelined_data: false,
            attempts: vec![],
            results: vec![],
            history: vec![],
        }
    }

    /// The index of the last idle connection if one may be reused and is there, else of a new one; none where the node
    /// refuses it.
    fn choose_connection(&mut self, may_reuse: bool) -> Option<usize> {
        let is_idle = |client: &ClientConnection| client.job.is_none() && client.connection.is_open();
        if let Some(at) = self.clients.iter().rposition(is_idle).filter(|_| may_reuse) {
            self.clients[at].reused = true;
            return Some(at);
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

    /// A client writes the rest of a request.
    pub(super) fn finish_partial_request(&mut self, a: usize) {
        let is_partial = |client: &ClientConnection| !client.rest.is_empty() && client.connection.is_open();
        let partial: Vec<_> = (0..self.clients.len()).filter(|at| is_partial(&self.clients[*at])).collect();
        let Some(&at) = partial.get(a % partial.len().max(1)) else { return };
        self.read_everything();
        let client = &mut self.clients[at];
        let Some(job) = client.job.filter(|_| client.connection.is_open()) else { return };
        let rest = std::mem::take(&mut client.rest);
        client.connection.write(&rest);
        self.jobs[job].sent_at = Some((Instant::now(), self.event_count));
        self.jobs[job].outcome = Outcome::Pending;
        self.record(job, "the rest is written");
    }

    /// A client closes its connection, whether it waits for a response or is idle.
    pub(super) fn disconnect_client(&mut self, a: usize, reset: bool) {
        self.read_everything();
        let open: Vec<_> =
            (0..self.clients.len()).filter(|at| self.clients[*at].connection.is_open()).collect();
        let Some(&at) = open.get(a % open.len().max(1)) else { return };
        let client = &mut self.clients[at];
        client.connection.close(reset);
        client.rest.clear();
        if let Some(job) = client.job.take() {
            self.jobs[job].outcome = Outcome::ClientLeft;
            self.jobs[job].left_at = Some(Instant::now());
            self.record(job, &format!("its client leaves, with a reset: {reset}"));
        }
    }

    /// Reads the responses on a connection and checks them.
    pub(super) fn receive_responses(&mut self, at: usize) {
        while let Some(message) = self.clients[at].connection.message() {
            let client = &mut self.clients[at];
            let Some(job) = client.job else {
                self.fail(None, &format!("an answer to nothing: {message:?}"));
            };
            client.job = None;
            client.reused = true;
            self.record(job, &format!("answered: {} {:?}", message.start_line, message.body));
            if let Err(what) =
                self.jobs[job].check_response(&message, self.rules, self.terminated_at.is_some())
            {
                self.fail(Some(job), &what);
            }
            self.jobs[job].outcome = Outcome::Answered(message.status());
            // A request behind it, or the rest of one, is abandoned.
            let client = &mut self.clients[at];
            if client.has_pipelined_data || !client.rest.is_empty() {
                client.connection.bytes.clear();
                client.connection.close(false);
            }
        }
        self.check_connection_end(at);
    }

    /// Checks that a connection which the node has closed carried no job without a response.
    fn check_connection_end(&mut self, at: usize) {
        let ClientConnection { connection, job, reused, .. } = &self.clients[at];
        let (&Some(job), Some(_), reused) = (job, connection.end, *reused) else { return };
        let partial_response = String::from_utf8_lossy(&connection.bytes).into_owned();
        self.clients[at].job = None;
        self.record(job, &format!("its connection ends after {partial_response:?}"));
        let unread = self.jobs[job].attempts.is_empty() && partial_response.is_empty();
        let late =
            self.jobs[job].sent_at.zip(self.terminated_at).is_some_and(|((sent_at, _), terminated_at)| {
                sent_at > terminated_at + SERVES_NEW_CONNECTIONS_FOR
            });
        if self.jobs[job].outcome != Outcome::PartlyWritten && !(unread && (reused || late)) {
            self.fail(Some(job), "its connection ended without a whole answer");
        }
        self.jobs[job].outcome = Outcome::ClosedUnserved;
    }
}
