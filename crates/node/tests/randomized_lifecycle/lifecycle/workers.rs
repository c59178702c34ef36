//! Scripted workers: the attempts and cancellations that they receive, their responses, and their callbacks.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::time::Instant;

use curlewusher_core::stable_hash;
use fastrand::Rng;

use super::callbacks::Delivery;
use super::{Lifecycle, listen};
use crate::common::HttpMessage;
use crate::randomized_lifecycle::connection::{Connection, ConnectionEnd};
use crate::randomized_lifecycle::job_model::{Arrival, Attempt, AttemptEnd, DrainRecord};
use crate::randomized_lifecycle::worker_script::{self, Action, CancellationResponse, Reply};

/// Response that accepts a job.
const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

/// Status of an endpoint in the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EndpointStatus {
    InService,
    Terminating,
    Terminated,
}

/// A scripted worker.
pub(super) struct Worker {
    pub(super) name: String,
    /// Zone of the worker, and group in the zone.
    pub(super) cell: (usize, usize),
    pub(super) listener: TcpListener,
    pub(super) address: SocketAddr,
    pub(super) status: EndpointStatus,
    /// Start time of the worker in the endpoint list, in milliseconds since the Unix epoch.
    pub(super) since_ms: u128,
    /// Version of the endpoint list with the latest change of the worker.
    pub(super) changed_in_version: u64,
    /// Drain of the worker, once the node has read it.
    pub(super) drain: Option<DrainRecord>,
}

/// A connection from the node to a worker.
pub(super) struct WorkerConnection {
    pub(super) connection: Connection,
    pub(super) worker: usize,
    /// Job and number of the attempt that the connection carries.
    pub(super) carried_attempt: Option<(usize, usize)>,
    /// Whether the last request on the connection has a complete response and nothing else was written.
    pub(super) is_idle: bool,
    /// Whether the worker has written a stray response on the connection. It does not serve a further request
    /// there.
    pub(super) has_stray_response: bool,
}

/// Remaining script of an attempt.
pub(super) struct RunningAttempt {
    pub(super) job: usize,
    pub(super) attempt: usize,
    /// Index of the connection that carries the attempt.
    pub(super) connection_index: usize,
    pub(super) actions: VecDeque<Action>,
}

impl Worker {
    /// Starts a worker that is in service, in a random cell.
    pub(super) fn start(number: usize, rng: &mut Rng) -> Worker {
        let listener = listen();
        let address = listener.local_addr().expect("the listener has no address");
        Worker {
            name: format!("s-{number}"),
            cell: (rng.usize(0..2), rng.usize(1..3)),
            listener,
            address,
            status: EndpointStatus::InService,
            since_ms: 0,
            changed_in_version: 0,
            drain: None,
        }
    }

    /// Returns the entry of the worker in an endpoint list.
    pub(super) fn endpoint_json(&self) -> String {
        let (zone, group) = (["a", "b"][self.cell.0], self.cell.1);
        let status = match self.status {
            EndpointStatus::InService => "in_service",
            EndpointStatus::Terminating => "terminating",
            EndpointStatus::Terminated => "terminated",
        };
        format!(
            concat!(
                r#"{{"name":"{}","address":"{}","zone":"{}","type":"m","group":{},"status":"{}","#,
                r#""weight":4.0,"since_ms":{}}}"#
            ),
            self.name, self.address, zone, group, status, self.since_ms
        )
    }
}

/// Status line of responses that report overload.
const BUSY_STATUS_LINE: &str = "HTTP/1.1 503 Service Unavailable\r\n";
/// Responses after which a connection can carry another request.
const COMPLETE_REPLIES: [Reply; 6] =
    [Reply::Accepted, Reply::AcceptedRest, Reply::NotRun, Reply::TimedOutNotRun, Reply::Busy, Reply::Error];

/// Returns the bytes of a scripted response.
fn reply_text(reply: Reply) -> String {
    match reply {
        Reply::Accepted => ACCEPTED.into(),
        Reply::AcceptedIncompleteBody => "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nhalf".into(),
        Reply::AcceptedTwice => ACCEPTED.repeat(2),
        Reply::AcceptedFirstPart => ACCEPTED[..15].into(),
        Reply::AcceptedRest => ACCEPTED[15..].into(),
        Reply::NotRun => format!("{BUSY_STATUS_LINE}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
        Reply::TimedOutNotRun => {
            "HTTP/1.1 504 Gateway Timeout\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".into()
        }
        Reply::NotRunIncompleteBody => {
            format!("{BUSY_STATUS_LINE}X-Not-Run: 1\r\nContent-Length: 9\r\n\r\nhalf")
        }
        Reply::Busy => format!("{BUSY_STATUS_LINE}Content-Length: 0\r\n\r\n"),
        Reply::Error => "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".into(),
        Reply::PartialStatusLine => "HTTP/1.1 2".into(),
        Reply::PartialHead => format!("{BUSY_STATUS_LINE}X-Not-Run: 1\r\n"),
    }
}

impl Lifecycle {
    /// Executes the next action of each attempt.
    pub(super) fn run_worker_actions(&mut self) {
        for index in 0..self.running_attempts.len() {
            let Some(action) = self.running_attempts[index].actions.pop_front() else { continue };
            let RunningAttempt { job, attempt, connection_index, .. } = self.running_attempts[index];
            match action {
                Action::Pause => {}
                Action::RedeliverCallback(state) => self.redeliver_callback(job, attempt, state),
                Action::SendCallback(state, times) => {
                    self.send_callback(job, attempt, state, Delivery::Times(times));
                }
                Action::SendCallbackInParts(state) => {
                    self.send_callback(job, attempt, state, Delivery::InTwoParts);
                }
                Action::Reply(_) | Action::Close | Action::Reset => {
                    self.worker_connections[connection_index].connection.read();
                    let worker_connection = &self.worker_connections[connection_index];
                    if !worker_connection.connection.is_open()
                        || worker_connection.carried_attempt != Some((job, attempt))
                    {
                        self.handle_worker_connection_end(connection_index);
                        continue;
                    }
                    if let Action::Reply(reply) = action {
                        self.write_reply(job, attempt, connection_index, reply);
                        continue;
                    }
                    self.record(job, &format!("attempt {attempt}: {action:?}"));
                    self.worker_connections[connection_index].connection.close(action == Action::Reset);
                    if !self.jobs[job].attempts[attempt].accepted {
                        self.record_attempt_end(job, attempt, "the worker closed the connection", true);
                    }
                }
            }
        }
        self.running_attempts.retain(|running| !running.actions.is_empty());
    }

    /// Records the end of an attempt, unless it has ended before.
    pub(super) fn record_attempt_end(
        &mut self,
        job: usize,
        attempt: usize,
        reason: &'static str,
        may_have_run: bool,
    ) {
        let ended = &mut self.jobs[job].attempts[attempt].ended;
        if ended.is_none() {
            *ended = Some(AttemptEnd { may_have_run });
            self.record(job, &format!("attempt {attempt} ended: {reason}"));
        }
    }

    /// Writes a scripted response and records its effect on the attempt.
    pub(super) fn write_reply(&mut self, job: usize, attempt: usize, connection_index: usize, reply: Reply) {
        let text = reply_text(reply);
        self.record(job, &format!("attempt {attempt}: {reply:?}"));
        let worker_connection = &mut self.worker_connections[connection_index];
        worker_connection.connection.write(&text);
        // A response on a connection that the node has already closed does not count.
        worker_connection.connection.read();
        let delivered = worker_connection.connection.is_open();
        worker_connection.is_idle = COMPLETE_REPLIES.contains(&reply);
        match reply {
            Reply::Accepted | Reply::AcceptedIncompleteBody | Reply::AcceptedTwice | Reply::AcceptedRest => {
                let paused = self.paused_until_event > 0;
                let attempt_state = &mut self.jobs[job].attempts[attempt];
                (attempt_state.accepted, attempt_state.accepted_while_paused) =
                    (delivered, delivered && paused);
            }
            Reply::NotRun | Reply::TimedOutNotRun | Reply::NotRunIncompleteBody => {
                self.record_attempt_end(job, attempt, "the worker rejected it", false);
            }
            Reply::Busy | Reply::Error => self.record_attempt_end(job, attempt, "worker error", true),
            Reply::AcceptedFirstPart | Reply::PartialStatusLine | Reply::PartialHead => {}
        }
        if !delivered {
            self.handle_worker_connection_end(connection_index);
        }
    }

    /// Checks a request that has arrived at a worker, and generates the script of its attempt.
    pub(super) fn receive_worker_request(&mut self, connection_index: usize, message: &HttpMessage) {
        let id = match message.start_line.strip_prefix("DELETE /jobs/") {
            Some(rest) => rest.split(' ').next(),
            None => message.header("x-request-id"),
        };
        let Some(number) = id.and_then(|id| id.strip_prefix(&format!("l{}-", self.seed))) else {
            // The request comes from a node of another test, whose worker or discovery had this port before.
            return self.worker_connections[connection_index].connection.close(false);
        };
        let job = number.parse().ok().filter(|job| *job < self.jobs.len());
        let Some(job) = job else {
            self.fail(None, &format!("a worker received a request for an unknown job: {message:?}"))
        };
        if !self.worker_connections[connection_index].is_idle {
            let text = format!("a request arrived on a connection that is not idle: {}", message.start_line);
            self.fail(Some(job), &text);
        }
        if message.start_line.starts_with("DELETE") {
            return self.receive_cancellation(connection_index, job);
        }
        self.record_cancelled_attempts(connection_index, job);
        let worker = self.worker_connections[connection_index].worker;
        let (cell, drain) = (self.workers[worker].cell, self.workers[worker].drain);
        self.record(
            job,
            &format!("attempt {} arrives at worker {worker} of cell {cell:?}", self.jobs[job].attempts.len()),
        );
        let arrival = Arrival { message, worker, cell, drain, earliest_arrival: self.earliest_arrival };
        let checked = self.jobs[job].check_arrival(&arrival, self.rules);
        if let Err(violation) = checked {
            self.fail(Some(job), &violation);
        }
        let attempt = self.jobs[job].attempts.len();
        self.jobs[job].attempts.push(Attempt {
            worker,
            cell,
            arrived_at: Instant::now(),
            accepted: false,
            accepted_while_paused: false,
            cancellation_count: 0,
            started: false,
            ended: None,
        });
        self.worker_connections[connection_index].carried_attempt = Some((job, attempt));
        self.worker_connections[connection_index].is_idle = false;
        if self.worker_connections[connection_index].has_stray_response {
            self.worker_connections[connection_index].connection.close(true);
            return self.record_attempt_end(job, attempt, "the worker closed the connection", true);
        }
        let actions = worker_script::sample_attempt_script(&mut self.derived_rng("attempt", job, attempt));
        self.running_attempts.push(RunningAttempt { job, attempt, connection_index, actions });
    }

    /// Records the end of attempts of a job on connections other than `latest_connection`. Attempts that the
    /// node cancelled before it wrote the latest request have ended by now.
    fn record_cancelled_attempts(&mut self, latest_connection: usize, job: usize) {
        for other in 0..self.worker_connections.len() {
            if other != latest_connection
                && self.worker_connections[other].carried_attempt.is_some_and(|(carried, _)| carried == job)
            {
                self.worker_connections[other].connection.read();
                self.handle_worker_connection_end(other);
            }
        }
    }

    /// Returns a random generator that depends only on the seed and these arguments.
    pub(super) fn derived_rng(&self, purpose: &str, job: usize, number: usize) -> Rng {
        Rng::with_seed(stable_hash(&format!("{} {purpose} {job} {number}", self.seed)))
    }

    /// Responds to a cancellation as scripted.
    pub(super) fn receive_cancellation(&mut self, connection_index: usize, job: usize) {
        let worker = self.worker_connections[connection_index].worker;
        let attempt = self.jobs[job].attempts.iter().rposition(|attempt| attempt.worker == worker);
        let earlier_cancellations =
            attempt.map_or(0, |index| self.jobs[job].attempts[index].cancellation_count);
        let mut rng = self.derived_rng("withdrawal", job, worker * 8 + earlier_cancellations as usize);
        let response = worker_script::sample_cancellation_response(&mut rng, earlier_cancellations);
        self.record(job, &format!("cancelled at worker {worker}, which responds {response:?}"));
        self.worker_connections[connection_index].carried_attempt = None;
        self.worker_connections[connection_index].is_idle = false;
        match response {
            CancellationResponse::Answered(status) => {
                let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                self.worker_connections[connection_index].connection.write(&text);
                self.worker_connections[connection_index].is_idle = true;
            }
            CancellationResponse::Reset => self.worker_connections[connection_index].connection.close(true),
            CancellationResponse::Ignored => {}
        }
        let Some(attempt) = attempt else { return };
        self.jobs[job].attempts[attempt].cancellation_count += 1;
        if earlier_cancellations == 0 {
            self.script_after_cancellation(job, attempt);
        }
        // Without a response the node does not learn that the cancellation has arrived.
        if matches!(response, CancellationResponse::Answered(_)) {
            self.record_attempt_end(job, attempt, "cancelled", true);
        }
    }

    /// Replaces the script of a cancelled attempt.
    pub(super) fn script_after_cancellation(&mut self, job: usize, attempt: usize) {
        let started = self.jobs[job].attempts[attempt].started;
        let actions = match self.jobs[job].attempts[attempt].ended {
            None => worker_script::sample_script_after_cancellation(
                &mut self.derived_rng("end", job, attempt),
                started,
            ),
            Some(_) => VecDeque::new(),
        };
        for running in self
            .running_attempts
            .iter_mut()
            .filter(|running| (running.job, running.attempt) == (job, attempt))
        {
            running.actions.clone_from(&actions);
        }
        if !self.running_attempts.iter().any(|running| (running.job, running.attempt) == (job, attempt)) {
            self.running_attempts.push(RunningAttempt { job, attempt, connection_index: 0, actions });
        }
    }

    /// Ends the attempt on a connection that the node has closed, unless the node may have read its 202.
    pub(super) fn handle_worker_connection_end(&mut self, connection_index: usize) {
        let WorkerConnection { connection, carried_attempt, .. } = &self.worker_connections[connection_index];
        let (Some(end), Some((job, attempt))) = (connection.end, *carried_attempt) else { return };
        self.worker_connections[connection_index].carried_attempt = None;
        let attempt_state = &self.jobs[job].attempts[attempt];
        if attempt_state.ended.is_none()
            && (!attempt_state.accepted
                || end == ConnectionEnd::Reset && !attempt_state.accepted_while_paused)
        {
            self.script_after_cancellation(job, attempt);
            self.record_attempt_end(job, attempt, "cancelled by the close of its connection", true);
        }
    }

    /// Closes or resets the idle connections of a random worker, or writes stray responses on them.
    pub(super) fn inject_idle_connection_fault(&mut self, a: usize, b: usize) {
        self.read_everything();
        let worker = a % self.workers.len();
        let is_idle = |candidate: &&mut WorkerConnection| {
            candidate.worker == worker && candidate.is_idle && candidate.connection.is_open()
        };
        for worker_connection in self.worker_connections.iter_mut().filter(is_idle) {
            match b % 3 {
                0 => worker_connection.connection.close(false),
                1 => worker_connection.connection.close(true),
                _ => {
                    worker_connection.connection.write(ACCEPTED);
                    worker_connection.has_stray_response = true;
                }
            }
        }
    }
}
