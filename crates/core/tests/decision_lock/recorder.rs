//! Counts and hashes the actions of all processes of a run.

use std::fmt;
use std::hash::Hasher;

use crate::common::*;

/// Names of the actions in the recorded file, which is older than the terms of the code, in the order of their counts.
const ACTION_NAMES: [&str; 8] = ["send", "refuse", "fail", "recall", "cancel", "tell", "wake", "watch"];
const NO_FIELD: u64 = u64::MAX;

#[derive(Default)]
pub struct Recorder {
    hash: fnv::FnvHasher,
    counts: [u64; ACTION_NAMES.len()],
    pub migrated_jobs: u64,
}

impl Recorder {
    /// Hashes an action field by field, by kind numbers that belong to this test only.
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

    pub fn record_json(&mut self, value: &impl serde::Serialize) {
        self.hash.write(&serde_json::to_vec(value).expect("JSON"));
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
