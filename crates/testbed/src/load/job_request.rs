//! The request of a client for a job, in the form of HTTP/1.1.

use std::fmt::Write;
use std::net::SocketAddr;

use curlewusher_model::TimeSpan;
use curlewusher_model::workload::PlannedJob;

use crate::scenario::{Class, Idempotence};

/// The body of every request.
const BODY: &str = "interval=40-55";

/// What a request is rendered from.
pub struct JobRequest<'run> {
    /// The id of the request.
    pub id: &'run str,
    /// Index of the job in the workload.
    pub job: usize,
    /// The job as it was drawn.
    pub planned: &'run PlannedJob,
    /// The class of the job.
    pub class: &'run Class,
    /// The client's remaining time.
    pub timeout: TimeSpan,
    /// Whether an earlier request was for the same job.
    pub is_retry: bool,
}

impl JobRequest<'_> {
    /// The bytes that are sent to a node.
    pub fn render(&self, node: SocketAddr) -> String {
        let JobRequest { id, planned, class, .. } = self;
        let mut request = format!(
            "POST /api/set-{} HTTP/1.1\r\nhost: {node}\r\nx-request-id: {id}\r\nx-class: {}\r\nx-deadline: {:.6}\r\n\
             x-cost-hint: {:.0}\r\nx-extras: slots={}\r\n",
            planned.data_set,
            class.name,
            self.timeout.as_secs_f64(),
            planned.hint_seconds * 1e6,
            planned.slots
        );
        // Writing to a string cannot fail.
        if class.idempotence == Idempotence::IdempotentWithKey {
            let _ = write!(request, "idempotency-key: {:032x}\r\n", self.job);
        }
        if self.is_retry {
            request += "x-retry: 1\r\n";
        }
        let _ = write!(request, "content-length: {}\r\n\r\n{BODY}", BODY.len());
        request
    }
}

#[cfg(test)]
#[path = "../../tests/unit/job_request.rs"]
mod tests;
