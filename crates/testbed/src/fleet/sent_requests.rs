//! The requests that clients have sent to nodes. A worker finds here which node forwarded an attempt, and for which job.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;

/// The node that a client sent a request to, and the job that it is for.
#[derive(Clone, Copy, Debug)]
pub struct RequestOrigin {
    /// Number of the node.
    pub node: usize,
    /// Index of the job in the workload.
    pub job: usize,
}

/// The requests that clients have sent, by their ids.
#[derive(Clone, Default)]
pub struct SentRequests(Arc<Mutex<HashMap<String, RequestOrigin>>>);

impl SentRequests {
    /// Records a request before it is sent.
    pub fn record(&self, id: &str, origin: RequestOrigin) {
        self.0.lock().insert(id.to_owned(), origin);
    }

    /// The origin of a request; none if no client has sent it.
    pub(super) fn origin_of(&self, id: &str) -> Option<RequestOrigin> {
        self.0.lock().get(id).copied()
    }
}

/// The result that a worker makes for a request, and that the client expects.
pub fn expected_result(id: &str) -> String {
    format!("result of {id}")
}
