//! Scripted workers: the attempts and withdrawals that reach them, what they respond, and the callbacks they post.

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
use crate::randomized_lifecycle::worker_script::{self, Action, Reply, WithdrawalResponse};

/// The response that accepts a job.
const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

/// The status of an endpoint in the list.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EndpointStatus {
    InService,
    Terminating,
    Terminated,
}

/// A scripted worker.
pub(super) struct Worker {
    pub(super) name: String,
    /// Zone, and group in the zone.
    pub(super) cell: (usize, usize),
    pub(super) listener: TcpListener,
    pub(super) address: SocketAddr,
    pub(super) status: EndpointStatus,
    pub(super) since_ms: u128,
    pub(super) changed_in_version: u64,
    pub(super) drain: Option<DrainRecord>,
}

/// A connection from the node to a worker.
pub(super) struct WorkerConnection {
    pub(super) connection: Connection,
    pub(super) worker: usize,
    /// The attempt that it carries: job and number.
    pub(super) carries: Option<(usize, usize)>,
    /// The last request on it is answered in full, and nothing else was written.
    pub(super) free: bool,
    /// A stray response was written on it: a further request is not served.
    pub(super) has_stray_response: bool,
}

/// The remaining script of an attempt.
pub(super) struct RunningAttempt {
    pub(super) job: usize,
    pub(super) attempt: usize,
    pub(super) connection_index: usize,
    pub(super) actions: VecDeque<Action>,
}

impl Worker {
    /// A worker in service that listens, in a cell that is drawn.
    pub(super) fn start(number: usize, rng: &mut Rng) -> Worker {
        let listener = listen();
        let address = listener.local_addr().expect("an address");
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

    /// Its entry in an endpoint list.
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

const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\n";
/// After these a connection is free for another request.
const COMPLETE_REPLIES: [Reply; 6] =
    [Reply::Accepted, Reply::AcceptedRest, Reply::NotRun, Reply::TimedOutNotRun, Reply::Busy, Reply::Error];

fn reply_text(reply: Reply) -> String {
    match reply {
        Reply::Accepted => ACCEPTED.into(),
        Reply::AcceptedEndless => "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nhalf".into(),
        Reply::AcceptedTwice => ACCEPTED.repeat(2),
        Reply::AcceptedBegun => ACCEPTED[..15].into(),
        Reply::AcceptedRest => ACCEPTED[15..].into(),
        Reply::NotRun => format!("{BUSY}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
        Reply::TimedOutNotRun => {
            "HTTP/1.1 504 Gateway Timeout\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".into()
        }
        Reply::NotRunEndless => format!("{BUSY}X-Not-Run: 1\r\nContent-Length: 9\r\n\r\nhalf"),
        Reply::Busy => format!("{BUSY}Content-Length: 0\r\n\r\n"),
        Reply::Error => "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".into(),
        Reply::HalfLine => "HTTP/1.1 2".into(),
        Reply::HalfHead => format!("{BUSY}X-Not-Run: 1\r\n"),
    }
}

impl Lifecycle {
    /// Plays the next action of each attempt.
    pub(super) fn run_worker_actions(&mut self) {
        for at in 0..self.running_attempts.len() {
            let Some(action) = self.running_attempts[at].actions.pop_front() else { continue };
            let RunningAttempt { job, attempt, connection_index, .. } = self.running_attempts[at];
            match action {
                Action::Pause => {}
                Action::RepeatCallback(state) => self.repeat_callback(job, attempt, state),
                Action::SendCallback(state, times) => {
                    self.send_callback(job, attempt, state, Delivery::Times(times));
                }
                Action::SendCallbackInParts(state) => {
                    self.send_callback(job, attempt, state, Delivery::InTwoParts);
                }
                Action::Reply(_) | Action::Close | Action::Reset => {
                    self.worker_connections[connection_index].connection.read();
                    let this = &self.worker_connections[connection_index];
                    if !this.connection.is_open() || this.carries != Some((job, attempt)) {
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
                        self.record_attempt_end(job, attempt, "broken off", true);
                    }
                }
            }
        }
        self.running_attempts.retain(|running| !running.actions.is_empty());
    }

    /// Records the end of an attempt, unless it has ended before.
    pub(super) fn record_attempt_end(&mut self, job: usize, attempt: usize, how: &'static str, ran: bool) {
        let ended = &mut self.jobs[job].attempts[attempt].ended;
        if ended.is_none() {
            *ended = Some(AttemptEnd { ran });
            self.record(job, &format!("attempt {attempt} is over: {how}"));
        }
    }

    /// Writes a scripted response and records what it means for the attempt.
    pub(super) fn write_reply(&mut self, job: usize, attempt: usize, connection_index: usize, reply: Reply) {
        let text = reply_text(reply);
        self.record(job, &format!("attempt {attempt}: {reply:?}"));
        let this = &mut self.worker_connections[connection_index];
        this.connection.write(&text);
        // On a connection that the node had closed by now the response does not count.
        this.connection.read();
        let delivered = this.connection.is_open();
        this.free = COMPLETE_REPLIES.contains(&reply);
        match reply {
            Reply::Accepted | Reply::AcceptedEndless | Reply::AcceptedTwice | Reply::AcceptedRest => {
                let paused = self.paused_until_event > 0;
                let this = &mut self.jobs[job].attempts[attempt];
                (this.accepted, this.surely_accepted) = (delivered, delivered && paused);
            }
            Reply::NotRun | Reply::TimedOutNotRun | Reply::NotRunEndless => {
                self.record_attempt_end(job, attempt, "rejected", false);
            }
            Reply::Busy | Reply::Error => self.record_attempt_end(job, attempt, "an error", true),
            Reply::AcceptedBegun | Reply::HalfLine | Reply::HalfHead => {}
        }
        if !delivered {
            self.handle_worker_connection_end(connection_index);
        }
    }

    /// Checks a request that has arrived at a worker, and draws the script of its attempt.
    pub(super) fn receive_worker_request(&mut self, connection_index: usize, message: &HttpMessage) {
        let id = match message.start_line.strip_prefix("DELETE /jobs/") {
            Some(rest) => rest.split(' ').next(),
            None => message.header("x-request-id"),
        };
        let Some(number) = id.and_then(|id| id.strip_prefix(&format!("l{}-", self.seed))) else {
            // From a node of another test, whose worker or discovery had this port before.
            return self.worker_connections[connection_index].connection.close(false);
        };
        let job = number.parse().ok().filter(|job| *job < self.jobs.len());
        let Some(job) = job else { self.fail(None, &format!("a request of nobody's: {message:?}")) };
        if !self.worker_connections[connection_index].free {
            let text = format!("a request on a connection that is not free: {}", message.start_line);
            self.fail(Some(job), &text);
        }
        if message.start_line.starts_with("DELETE") {
            return self.receive_withdrawal(connection_index, job);
        }
        self.record_cancelled_attempts(connection_index, job);
        let worker = self.worker_connections[connection_index].worker;
        let (cell, drain) = (self.workers[worker].cell, self.workers[worker].drain);
        self.record(
            job,
            &format!("attempt {} comes to {worker} of cell {cell:?}", self.jobs[job].attempts.len()),
        );
        let arrival = Arrival { message, worker, cell, drain, earliest_arrival: self.earliest_arrival };
        let checked = self.jobs[job].check_arrival(&arrival, self.rules);
        if let Err(what) = checked {
            self.fail(Some(job), &what);
        }
        let attempt = self.jobs[job].attempts.len();
        self.jobs[job].attempts.push(Attempt {
            worker,
            cell,
            at: Instant::now(),
            accepted: false,
            surely_accepted: false,
            withdrawals: 0,
            started: false,
            ended: None,
        });
        self.worker_connections[connection_index].carries = Some((job, attempt));
        self.worker_connections[connection_index].free = false;
        if self.worker_connections[connection_index].has_stray_response {
            self.worker_connections[connection_index].connection.close(true);
            return self.record_attempt_end(job, attempt, "broken off", true);
        }
        let actions = worker_script::draw_attempt_script(&mut self.derived_rng("attempt", job, attempt));
        self.running_attempts.push(RunningAttempt { job, attempt, connection_index, actions });
    }

    /// Records the end of attempts of a job on other connections: those that were cancelled before the latest request
    /// was written have ended by now.
    fn record_cancelled_attempts(&mut self, latest_connection: usize, job: usize) {
        for other in 0..self.worker_connections.len() {
            if other != latest_connection
                && self.worker_connections[other].carries.is_some_and(|(carried, _)| carried == job)
            {
                self.worker_connections[other].connection.read();
                self.handle_worker_connection_end(other);
            }
        }
    }

    /// A generator that depends on the seed and these arguments only.
    pub(super) fn derived_rng(&self, what: &str, job: usize, number: usize) -> Rng {
        Rng::with_seed(stable_hash(&format!("{} {what} {job} {number}", self.seed)))
    }

    /// Responds to a withdrawal as scripted.
    pub(super) fn receive_withdrawal(&mut self, connection_index: usize, job: usize) {
        let worker = self.worker_connections[connection_index].worker;
        let attempt = self.jobs[job].attempts.iter().rposition(|attempt| attempt.worker == worker);
        let before = attempt.map_or(0, |at| self.jobs[job].attempts[at].withdrawals);
        let mut draw = self.derived_rng("withdrawal", job, worker * 8 + before as usize);
        let response = worker_script::draw_withdrawal_response(&mut draw, before);
        self.record(job, &format!("withdrawn at {worker}, which responds {response:?}"));
        self.worker_connections[connection_index].carries = None;
        self.worker_connections[connection_index].free = false;
        match response {
            WithdrawalResponse::Answered(status) => {
                let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                self.worker_connections[connection_index].connection.write(&text);
                self.worker_connections[connection_index].free = true;
            }
            WithdrawalResponse::Reset => self.worker_connections[connection_index].connection.close(true),
            WithdrawalResponse::Ignored => {}
        }
        let Some(attempt) = attempt else { return };
        self.jobs[job].attempts[attempt].withdrawals += 1;
        if before == 0 {
            self.script_after_withdrawal(job, attempt);
        }
        // Without a response the node cannot know that the withdrawal has arrived.
        if matches!(response, WithdrawalResponse::Answered(_)) {
            self.record_attempt_end(job, attempt, "withdrawn", true);
        }
    }

    /// Replaces the script of an attempt that is cancelled.
    pub(super) fn script_after_withdrawal(&mut self, job: usize, attempt: usize) {
        let started = self.jobs[job].attempts[attempt].started;
        let actions = match self.jobs[job].attempts[attempt].ended {
            None => worker_script::draw_script_after_withdrawal(
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

    /// Ends the attempt on a connection that the node has closed, unless the node had read its 202.
    pub(super) fn handle_worker_connection_end(&mut self, connection_index: usize) {
        let WorkerConnection { connection, carries, .. } = &self.worker_connections[connection_index];
        let (Some(end), Some((job, attempt))) = (connection.end, *carries) else { return };
        self.worker_connections[connection_index].carries = None;
        let this = &self.jobs[job].attempts[attempt];
        if this.ended.is_none() && (!this.accepted || end == ConnectionEnd::Reset && !this.surely_accepted) {
            self.script_after_withdrawal(job, attempt);
            self.record_attempt_end(job, attempt, "cancelled by the end of its connection", true);
        }
    }

    /// A worker closes its idle connections, or writes stray responses on them.
    pub(super) fn disturb_idle_connections(&mut self, a: usize, b: usize) {
        self.read_everything();
        let worker = a % self.workers.len();
        let idle = |connection: &&mut WorkerConnection| {
            connection.worker == worker && connection.free && connection.connection.is_open()
        };
        for connection in self.worker_connections.iter_mut().filter(idle) {
            match b % 3 {
                0 => connection.connection.close(false),
                1 => connection.connection.close(true),
                _ => {
                    connection.connection.write(ACCEPTED);
                    connection.has_stray_response = true;
                }
            }
        }
    }
}
