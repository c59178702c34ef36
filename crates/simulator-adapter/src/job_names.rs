//! Names of jobs on the wire. The name of a job is kept until no more events of the job can be reported.

use std::collections::HashMap;

use curlewusher_core::JobId;

/// Number that no job has. Events of removed jobs are passed to the dispatcher with it, so that the
/// dispatcher ignores them.
pub const UNKNOWN_JOB: JobId = JobId(u64::MAX);

struct NamedJob {
    name: String,
    attempts_in_flight: u32,
    /// Whether the client has received its response or has disconnected.
    is_answered: bool,
}

/// Jobs of one instance. A job is removed when it is answered and has no attempts in flight.
#[derive(Default)]
pub struct JobNames {
    jobs: HashMap<JobId, NamedJob>,
    ids: HashMap<String, JobId>,
    next_id: u64,
}

impl JobNames {
    /// Adds a job and returns its number.
    pub fn add(&mut self, name: &str) -> JobId {
        let job = JobId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.to_owned(), job);
        self.jobs.insert(job, NamedJob { name: name.to_owned(), attempts_in_flight: 0, is_answered: false });
        job
    }

    /// Returns the number of a job, or `None` if the job was removed or never added.
    pub fn id(&self, name: &str) -> Option<JobId> {
        self.ids.get(name).copied()
    }

    /// Returns the name of a job, or `None` if the job was removed.
    pub fn name(&self, job: JobId) -> Option<&str> {
        self.jobs.get(&job).map(|named| named.name.as_str())
    }

    /// Records that an attempt is sent. Returns the name of the job, or `None` if the job was removed.
    pub fn record_attempt(&mut self, job: JobId) -> Option<&str> {
        let named = self.jobs.get_mut(&job)?;
        named.attempts_in_flight += 1;
        Some(&named.name)
    }

    /// Records the end of an attempt, and whether the job is answered.
    pub fn record_attempt_end(&mut self, job: JobId, job_answered: bool) {
        if let Some(named) = self.jobs.get_mut(&job) {
            named.attempts_in_flight = named.attempts_in_flight.saturating_sub(1);
            named.is_answered |= job_answered;
        }
    }

    /// Marks a job as answered.
    pub fn record_answered(&mut self, job: JobId) {
        if let Some(named) = self.jobs.get_mut(&job) {
            named.is_answered = true;
        }
    }

    /// Removes a job if no more events of it can be reported.
    pub fn remove_if_finished(&mut self, job: JobId) {
        let is_finished =
            self.jobs.get(&job).is_some_and(|named| named.is_answered && named.attempts_in_flight == 0);
        if is_finished && let Some(named) = self.jobs.remove(&job) {
            self.ids.remove(&named.name);
        }
    }
}
