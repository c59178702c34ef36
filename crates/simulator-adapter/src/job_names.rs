//! The names of jobs on the wire, each kept until nothing more can be reported of the job.

use std::collections::HashMap;

use curlewusher_core::JobId;

/// A number that no job has. Events of jobs that were removed are reported with it, so that the dispatcher ignores
/// them.
pub const UNKNOWN_JOB: JobId = JobId(u64::MAX);

struct NamedJob {
    name: String,
    attempts_in_flight: u32,
    /// Whether the client has its response, or needs none.
    is_settled: bool,
}

/// The jobs of one instance. A job is removed when it is settled and none of its attempts is in flight.
#[derive(Default)]
pub struct JobNames {
    jobs: HashMap<JobId, NamedJob>,
    ids: HashMap<String, JobId>,
    next_id: u64,
}

impl JobNames {
    /// Adds a new job under the next number.
    pub fn add(&mut self, name: &str) -> JobId {
        let job = JobId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.to_owned(), job);
        self.jobs.insert(job, NamedJob { name: name.to_owned(), attempts_in_flight: 0, is_settled: false });
        job
    }

    /// The number of a job.
    pub fn id(&self, name: &str) -> Option<JobId> {
        self.ids.get(name).copied()
    }

    /// The name of a job.
    pub fn name(&self, job: JobId) -> Option<&str> {
        self.jobs.get(&job).map(|named| named.name.as_str())
    }

    /// Counts an attempt that is being sent. Returns the job's name.
    pub fn record_attempt(&mut self, job: JobId) -> Option<&str> {
        let named = self.jobs.get_mut(&job)?;
        named.attempts_in_flight += 1;
        Some(&named.name)
    }

    /// Counts the end of an attempt.
    pub fn record_attempt_end(&mut self, job: JobId, settled: bool) {
        if let Some(named) = self.jobs.get_mut(&job) {
            named.attempts_in_flight = named.attempts_in_flight.saturating_sub(1);
            named.is_settled |= settled;
        }
    }

    /// Marks a job as settled.
    pub fn record_settled(&mut self, job: JobId) {
        if let Some(named) = self.jobs.get_mut(&job) {
            named.is_settled = true;
        }
    }

    /// Removes a job if nothing more can be reported of it.
    pub fn remove_if_finished(&mut self, job: JobId) {
        let is_finished =
            self.jobs.get(&job).is_some_and(|named| named.is_settled && named.attempts_in_flight == 0);
        if is_finished && let Some(named) = self.jobs.remove(&job) {
            self.ids.remove(&named.name);
        }
    }
}
