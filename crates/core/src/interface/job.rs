//! Jobs as they are submitted, and how attempts to run them end.

use serde::{Deserialize, Serialize};

use super::{ClassId, JobId, TenantId, Timestamp};

/// A job that this node has taken from a client.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    /// Its number.
    pub job: JobId,
    /// Its class.
    pub class: ClassId,
    /// The tenant whose quota it counts against.
    pub tenant: TenantId,
    /// The moment at which the client stops waiting.
    pub deadline: Timestamp,
    /// Estimate of its work, in seconds on a core of speed 1.
    pub cost_hint: Option<f64>,
    /// Number of slots that it occupies at a worker.
    pub slots: f64,
    /// Hash of the data that it needs: a worker that has recently run a job of the same key has the data cached.
    pub key: Option<u64>,
    /// The client has marked it as a retry.
    pub is_retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The worker answered with a result.
    Done,
    /// The worker answered with an error; the job may have run.
    Error,
    /// The worker was full and rejected it; the job did not run.
    #[serde(rename = "Full")]
    Rejected,
    /// No answer within the attempt's timeout; the job may have run.
    TimedOut,
    /// No connection could be made; the job did not run.
    Unreachable,
    /// The connection broke; the job may have run.
    Lost,
    /// Cancelled by the dispatcher; the job may have run.
    Cancelled,
    /// No byte of it was sent; the job did not run.
    #[serde(rename = "NeverSent")]
    NotSent,
}

impl Outcome {
    /// Whether the job is certain not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent)
    }
}
