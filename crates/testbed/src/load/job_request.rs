//! HTTP/1.1 request of a client for a job.

use std::fmt::Write;
use std::net::SocketAddr;

use curlewusher_model::TimeSpan;
use curlewusher_model::workload::PlannedJob;

use crate::scenario::{Class, Idempotency};

/// Body of a request, which is repeated for a long body.
const BODY: &str = "interval=40-55";

/// Content of a request for a job.
pub struct JobRequest<'run> {
    /// Id of the request.
    pub id: &'run str,
    /// Index of the job in the workload.
    pub job: usize,
    /// Job of the workload with its sampled values.
    pub planned: &'run PlannedJob,
    /// Class of the job.
    pub class: &'run Class,
    /// Time from the request to the client's deadline.
    pub timeout: TimeSpan,
    /// Whether the client has sent an earlier request for the same job.
    pub is_retry: bool,
    /// Length of a long body, in bytes. `None` for a short one.
    pub long_body_bytes: Option<usize>,
}

impl JobRequest<'_> {
    /// Renders the request for the node at an address.
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
        if class.idempotency == Idempotency::IdempotentWithKey {
            let _ = write!(request, "idempotency-key: {:032x}\r\n", self.job);
        }
        if self.is_retry {
            request += "x-retry: 1\r\n";
        }
        let body_bytes = self.long_body_bytes.unwrap_or(BODY.len());
        let _ = write!(request, "content-length: {body_bytes}\r\n\r\n");
        request.extend(BODY.chars().cycle().take(body_bytes));
        request
    }
}

#[cfg(test)]
#[path = "../../tests/unit/job_request.rs"]
mod tests;
