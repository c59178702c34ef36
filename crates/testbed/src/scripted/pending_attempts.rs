//! Attempts whose outcome is awaited, and the callbacks that report the outcomes.

use std::collections::HashMap;

use parking_lot::Mutex;
use serde::Deserialize;
use tokio::sync::oneshot;

/// Report of a worker on an attempt.
#[derive(Deserialize)]
pub(super) struct Callback {
    id: String,
    from: String,
    state: String,
    #[serde(default)]
    result: String,
}

/// Outcome of an attempt.
pub(super) enum AttemptOutcome {
    /// The worker completed the job.
    Completed { result: String },
    /// The attempt never ran, so that a retry is safe.
    NeverRan,
    /// The attempt may have run, and has no result.
    MayHaveRun,
}

/// Attempts whose outcome is awaited, by request id and worker.
#[derive(Default)]
pub(super) struct PendingAttempts(Mutex<HashMap<(String, String), oneshot::Sender<AttemptOutcome>>>);

impl PendingAttempts {
    /// Registers an attempt before it is sent. Returns the receiver of its outcome.
    pub(super) fn register(&self, request_id: String, worker: String) -> oneshot::Receiver<AttemptOutcome> {
        let (outcome_channel, outcome) = oneshot::channel();
        self.0.lock().insert((request_id, worker), outcome_channel);
        outcome
    }

    /// Ends the attempt of a callback, unless the callback reports progress only. Returns `false` if the
    /// attempt is not pending.
    pub(super) fn handle_callback(&self, callback: Callback) -> bool {
        let mut pending = self.0.lock();
        let key = (callback.id, callback.from);
        if !pending.contains_key(&key) {
            return false;
        }
        let outcome = match callback.state.as_str() {
            "started" | "running" => return true,
            "done" => AttemptOutcome::Completed { result: callback.result },
            "returned" => AttemptOutcome::NeverRan,
            _ => AttemptOutcome::MayHaveRun,
        };
        if let Some(outcome_channel) = pending.remove(&key) {
            // Fails if the job has ended at its time limit.
            let _ = outcome_channel.send(outcome);
        }
        true
    }
}
