//! Attempts whose end is awaited, and the callbacks that report it.

use std::collections::HashMap;

use parking_lot::Mutex;
use serde::Deserialize;
use tokio::sync::oneshot;

/// A worker's report on an attempt.
#[derive(Deserialize)]
pub(super) struct Callback {
    id: String,
    from: String,
    state: String,
    #[serde(default)]
    result: String,
}

/// How an attempt ended.
pub(super) enum AttemptEnd {
    Done { result: String },
    NeverRan,
    MayHaveRun,
}

/// The attempts whose end is awaited, by request id and worker.
#[derive(Default)]
pub(super) struct PendingAttempts(Mutex<HashMap<(String, String), oneshot::Sender<AttemptEnd>>>);

impl PendingAttempts {
    /// Registers an attempt before it is sent.
    pub(super) fn register(&self, request_id: String, worker: String) -> oneshot::Receiver<AttemptEnd> {
        let (ended, end) = oneshot::channel();
        self.0.lock().insert((request_id, worker), ended);
        end
    }

    /// Ends the attempt that a callback is on, if it reports an end. False if no such attempt is pending.
    pub(super) fn handle(&self, callback: Callback) -> bool {
        let mut pending = self.0.lock();
        let key = (callback.id, callback.from);
        if !pending.contains_key(&key) {
            return false;
        }
        let end = match callback.state.as_str() {
            "started" | "running" => return true,
            "done" => AttemptEnd::Done { result: callback.result },
            "returned" => AttemptEnd::NeverRan,
            _ => AttemptEnd::MayHaveRun,
        };
        if let Some(ended) = pending.remove(&key) {
            // Fails if the job has ended at its deadline.
            let _ = ended.send(end);
        }
        true
    }
}
