//! Requests that clients have sent to nodes. Workers look up the node and the job of an attempt in them.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;

/// Node to which a client sent a request, and job of the request.
#[derive(Clone, Copy, Debug)]
pub struct RequestOrigin {
    /// Number of the node.
    pub node: usize,
    /// Index of the job in the workload.
    pub job: usize,
}

/// Requests that clients have sent, by request id. Clones share one table.
#[derive(Clone, Default)]
pub struct SentRequests(Arc<Mutex<HashMap<String, RequestOrigin>>>);

impl SentRequests {
    /// Records a request before it is sent.
    pub fn record(&self, id: &str, origin: RequestOrigin) {
        self.0.lock().insert(id.to_owned(), origin);
    }

    /// Returns the origin of a request, or `None` if no client has sent it.
    pub(super) fn origin_of(&self, id: &str) -> Option<RequestOrigin> {
        self.0.lock().get(id).copied()
    }
}

/// Returns the result that a worker produces for a request and that the client expects.
pub fn expected_result(id: &str) -> String {
    format!("result of {id}")
}
