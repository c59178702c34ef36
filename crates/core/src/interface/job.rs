//! Submitted jobs, and the outcomes of attempts to run them.

use serde::{Deserialize, Serialize};

use super::{ClassId, JobId, TenantId, Timestamp};

/// Job that this node has received from a client.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    /// Number of the job.
    pub job: JobId,
    /// Class of the job.
    pub class: ClassId,
    /// Tenant whose quota the job counts against.
    pub tenant: TenantId,
    /// Time at which the client stops waiting.
    pub deadline: Timestamp,
    /// Estimate of the work of the job, in seconds on a core of speed 1.
    pub cost_hint: Option<f64>,
    /// Number of slots that the job occupies at a worker.
    pub slots: f64,
    /// Hash of the data that the job needs. A worker that has recently run a job with the same key has the
    /// data cached.
    pub key: Option<u64>,
    /// Whether the client has marked the job as a retry.
    pub is_retry: bool,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The worker responded with a result.
    Done,
    /// The worker responded with an error; the job may have run.
    Error,
    /// The worker was full and rejected the attempt; the job did not run.
    #[serde(rename = "Full")]
    Rejected,
    /// No response arrived within the timeout of the attempt; the job may have run.
    TimedOut,
    /// No connection could be made; the job did not run.
    Unreachable,
    /// The connection broke; the job may have run.
    Lost,
    /// The dispatcher cancelled the attempt; the job may have run.
    Cancelled,
    /// No byte of the attempt was sent; the job did not run.
    #[serde(rename = "NeverSent")]
    NotSent,
}

impl Outcome {
    /// Returns whether the job is certain not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent)
    }
}
