//! Recorder that counts and hashes the actions of all processes of a run.

use std::fmt;
use std::hash::Hasher;

use crate::common::*;

/// Names of the actions in the golden file, in the order of [`Recorder::counts`]. These names are older than
/// those of the variants of [`Action`].
const ACTION_NAMES: [&str; 8] = ["send", "refuse", "fail", "recall", "cancel", "tell", "wake", "watch"];
/// Value that is hashed in place of an absent field.
const NO_FIELD: u64 = u64::MAX;

/// Counts and hash of the actions of a run.
#[derive(Default)]
pub struct Recorder {
    hash: fnv::FnvHasher,
    /// Number of actions of each kind.
    counts: [u64; ACTION_NAMES.len()],
    /// Number of jobs that were migrated from one process to another.
    pub migrated_jobs: u64,
}

impl Recorder {
    /// Counts an action and hashes it field by field. The kind numbers are used in this test only.
    pub fn record(&mut self, now: Timestamp, process: usize, action: &Action) {
        let (kind, fields) = match action {
            Action::SendAttempt { job, worker, timeout, send_deadline, needs_new_connection: _ } => {
                let send_deadline = send_deadline.map_or(NO_FIELD, Timestamp::as_micros);
                (0, [job.0, worker.0, timeout.as_micros(), send_deadline])
            }
            Action::Reject { job, retry_after } => (1, [job.0, retry_after.as_micros(), NO_FIELD, NO_FIELD]),
            Action::Fail { job } => (2, [job.0, NO_FIELD, NO_FIELD, NO_FIELD]),
            Action::RevokeAttempt { job, attempt } => (3, [job.0, u64::from(*attempt), NO_FIELD, NO_FIELD]),
            Action::CancelAttempt { job, attempt } => (4, [job.0, u64::from(*attempt), NO_FIELD, NO_FIELD]),
            Action::SendGossip { to, data } => (5, [u64::from(*to), data.len() as u64, NO_FIELD, NO_FIELD]),
            Action::SetTimer { after } => (6, [after.as_micros(), NO_FIELD, NO_FIELD, NO_FIELD]),
            Action::WatchEndpoints => (7, [NO_FIELD; 4]),
        };
        self.counts[kind] += 1;
        for number in [now.as_micros(), process as u64, kind as u64].into_iter().chain(fields) {
            self.hash.write(&number.to_le_bytes());
        }
        if let Action::SendGossip { data, .. } = action {
            self.hash.write(data);
        }
    }

    /// Hashes the JSON form of a value.
    pub fn record_json(&mut self, value: &impl serde::Serialize) {
        self.hash.write(&serde_json::to_vec(value).expect("the value cannot be serialized to JSON"));
    }
}

impl fmt::Display for Recorder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} actions", self.counts.iter().sum::<u64>())?;
        for (name, count) in ACTION_NAMES.iter().zip(self.counts) {
            write!(formatter, ", {count} {name}")?;
        }
        write!(formatter, "; {} jobs moved; hash {:016x}", self.migrated_jobs, self.hash.finish())
    }
}
