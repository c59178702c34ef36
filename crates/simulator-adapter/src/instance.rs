//! Simulated node: its dispatcher, and the names of its jobs and workers on the wire.

use std::collections::HashMap;
use std::fmt::{self, Write};

use curlewusher_core::{
    Action, ClassId, Dispatcher, EndpointUpdate, Event, JobId, JobSubmission, Outcome, TenantId, TimeSpan,
    Timestamp, WorkerId,
};

use crate::catalog::Catalogs;
use crate::error::FieldError;
use crate::fields::{Fields, malformed};
use crate::job_names::{JobNames, UNKNOWN_JOB};

/// Value of the field `topic` of a progress report: the attempt has started to run.
const TOPIC_STARTED: u32 = 1;
/// Value of the field `topic` of a progress report: a fraction of the attempt's work is done.
const TOPIC_FRACTION_DONE: u32 = 2;
/// Number of microseconds in a second. On the wire, the work of jobs is in microseconds.
const MICROS_PER_SECOND: f64 = 1e6;

/// Simulated node.
pub struct Instance {
    dispatcher: Dispatcher,
    jobs: JobNames,
    worker_names: HashMap<WorkerId, String>,
    /// Actions that have not been written yet.
    actions: Vec<Action>,
}

/// Identification of an attempt on the wire.
struct AttemptRef {
    job: JobId,
    attempt: u32,
}

impl Instance {
    /// Starts a node. The first event of its dispatcher is [`Event::TimerExpired`], as [`Dispatcher::new`]
    /// requires.
    pub fn start(now: Timestamp, dispatcher: Dispatcher) -> Self {
        let mut instance = Instance {
            dispatcher,
            jobs: JobNames::default(),
            worker_names: HashMap::new(),
            actions: Vec::new(),
        };
        instance.dispatch(now, Event::TimerExpired);
        instance
    }

    /// Handles a message to this node. Unknown messages are ignored, because later versions of the wire may
    /// add messages.
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        message: &str,
        fields: Fields,
        catalogs: &Catalogs,
    ) -> Result<(), FieldError> {
        match message {
            "sync" => self.handle_sync(now, fields, catalogs),
            "new_request" => self.handle_new_request(now, fields),
            "attempt_end" => self.handle_attempt_end(now, fields),
            "progress" => self.handle_progress(now, fields),
            "ack_first" => self.handle_first_byte(now, fields),
            "aborted" => self.handle_client_abort(now, fields),
            "message" => self.handle_gossip(now, fields),
            "wakeup" => {
                self.dispatch(now, Event::TimerExpired);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Returns whether there are actions that have not been written yet.
    pub fn has_actions(&self) -> bool {
        !self.actions.is_empty()
    }

    /// Writes the actions that have not been written yet, one per line.
    pub fn write_actions(&mut self, out: &mut String) -> fmt::Result {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.write_action(action, out)?;
        }
        // The emptied vector is kept for its allocation.
        self.actions = actions;
        Ok(())
    }

    fn dispatch(&mut self, now: Timestamp, event: Event) {
        self.dispatcher.handle(now, event, &mut self.actions);
    }

    fn handle_sync(&mut self, now: Timestamp, fields: Fields, catalogs: &Catalogs) -> Result<(), FieldError> {
        let update = match fields.text("form")? {
            "X" => {
                self.dispatch(now, Event::WatchFailed);
                return Ok(());
            }
            "D" => EndpointUpdate::Delta,
            "F" | "C" => EndpointUpdate::Snapshot,
            other => return Err(malformed("form", other)),
        };
        let catalog = catalogs.find(fields)?;
        for (endpoint, name) in catalog.endpoints.iter().zip(&catalog.worker_names) {
            self.worker_names.entry(endpoint.worker).or_insert_with(|| name.clone());
        }
        self.dispatch(now, Event::EndpointsChanged { endpoints: &catalog.endpoints, update });
        Ok(())
    }

    fn handle_new_request(&mut self, now: Timestamp, fields: Fields) -> Result<(), FieldError> {
        let submission = JobSubmission {
            job: self.jobs.add(fields.text("corr")?),
            class: ClassId(fields.required("type")?),
            tenant: TenantId(fields.value_or("team", 0)?),
            deadline: fields.timestamp("dropDeadUs")?,
            cost_hint: fields.optional::<f64>("workUs")?.map(|work| work / MICROS_PER_SECOND),
            slots: fields.value_or("coresNeeded", 1.0)?,
            key: fields.optional("affinity")?,
            is_retry: fields.flag("retry")?,
        };
        self.dispatch(now, Event::JobSubmitted(submission));
        Ok(())
    }

    fn handle_attempt_end(&mut self, now: Timestamp, fields: Fields) -> Result<(), FieldError> {
        let AttemptRef { job, attempt } = self.parse_attempt(fields)?;
        let outcome = parse_outcome(fields.text("outcome")?)?;
        let job_answered = fields.flag("settled")?;
        self.jobs.record_attempt_end(job, job_answered);
        self.dispatch(now, Event::AttemptEnded { job, attempt, outcome, job_answered });
        self.jobs.remove_if_finished(job);
        Ok(())
    }

    fn handle_progress(&mut self, now: Timestamp, fields: Fields) -> Result<(), FieldError> {
        let AttemptRef { job, attempt } = self.parse_attempt(fields)?;
        match fields.required("topic")? {
            TOPIC_STARTED => self.dispatch(now, Event::AttemptStarted { job, attempt }),
            TOPIC_FRACTION_DONE => {
                let fraction_done = fields.value_or("amount", 0.0)?;
                self.dispatch(now, Event::AttemptProgressed { job, attempt, fraction_done });
            }
            _ => {}
        }
        Ok(())
    }

    fn handle_first_byte(&mut self, now: Timestamp, fields: Fields) -> Result<(), FieldError> {
        let AttemptRef { job, attempt } = self.parse_attempt(fields)?;
        self.dispatch(now, Event::AttemptStreaming { job, attempt });
        Ok(())
    }

    fn handle_client_abort(&mut self, now: Timestamp, fields: Fields) -> Result<(), FieldError> {
        let Some(job) = self.jobs.id(fields.text("corr")?) else { return Ok(()) };
        self.jobs.record_answered(job);
        self.dispatch(now, Event::ClientDisconnected { job });
        self.jobs.remove_if_finished(job);
        Ok(())
    }

    fn handle_gossip(&mut self, now: Timestamp, fields: Fields) -> Result<(), FieldError> {
        let data = fields.bytes("data")?;
        let from = fields.required("sender")?;
        self.dispatch(now, Event::GossipReceived { from, data: &data });
        Ok(())
    }

    fn parse_attempt(&self, fields: Fields) -> Result<AttemptRef, FieldError> {
        let job = self.jobs.id(fields.text("corr")?).unwrap_or(UNKNOWN_JOB);
        Ok(AttemptRef { job, attempt: fields.required("copy")? })
    }

    /// Writes an action as one line. Actions on removed jobs and on workers that were never listed are not
    /// written.
    fn write_action(&mut self, action: Action, out: &mut String) -> fmt::Result {
        match action {
            Action::SendAttempt { job, worker, timeout, .. } => self.write_attempt(job, worker, timeout, out),
            Action::Reject { job, retry_after } => {
                if let Some(name) = self.jobs.name(job) {
                    writeln!(out, "shed corr={name} waitUs={}", retry_after.as_micros())?;
                }
                self.end_job(job);
                Ok(())
            }
            Action::Fail { job } => {
                if let Some(name) = self.jobs.name(job) {
                    writeln!(out, "abort corr={name}")?;
                }
                self.end_job(job);
                Ok(())
            }
            // No attempt can be revoked, because the simulator sends it as soon as it reads the line.
            Action::RevokeAttempt { .. } => Ok(()),
            Action::CancelAttempt { job, attempt } => match self.jobs.name(job) {
                Some(name) => writeln!(out, "undo_send corr={name} copy={attempt}"),
                None => Ok(()),
            },
            Action::SendGossip { to, data } => write_gossip(to, &data, out),
            Action::SetTimer { after } => writeln!(out, "wake_me name=w spanUs={}", after.as_micros()),
            Action::WatchEndpoints => writeln!(out, "watch enable=1"),
        }
    }

    fn write_attempt(
        &mut self,
        job: JobId,
        worker: WorkerId,
        timeout: TimeSpan,
        out: &mut String,
    ) -> fmt::Result {
        let Some(executor) = self.worker_names.get(&worker) else { return Ok(()) };
        let Some(name) = self.jobs.record_attempt(job) else { return Ok(()) };
        writeln!(out, "try corr={name} executor={executor} timeoutUs={}", timeout.as_micros())
    }

    fn end_job(&mut self, job: JobId) {
        self.jobs.record_answered(job);
        self.jobs.remove_if_finished(job);
    }
}

fn parse_outcome(value: &str) -> Result<Outcome, FieldError> {
    match value {
        "completed" => Ok(Outcome::Done),
        "errored" => Ok(Outcome::Error),
        "saturated" => Ok(Outcome::Rejected),
        "overdue" => Ok(Outcome::TimedOut),
        "refused_conn" => Ok(Outcome::Unreachable),
        "severed" => Ok(Outcome::Lost),
        "recalled" => Ok(Outcome::Cancelled),
        "superseded" => Ok(Outcome::NotSent),
        other => Err(malformed("outcome", other)),
    }
}

fn write_gossip(to: u32, data: &[u8], out: &mut String) -> fmt::Result {
    write!(out, "announce dest={to} data=")?;
    for byte in data {
        write!(out, "{byte:02x}")?;
    }
    writeln!(out)
}
