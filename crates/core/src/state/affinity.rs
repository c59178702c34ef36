//! Key affinity: the workers that are likely to have the data of a job's key.
//!
//! The owners of a key are the workers with the highest rendezvous weights for it. Nodes therefore agree on
//! the owners without any exchange, and each worker holds few keys.

use super::fleet::Fleet;
use super::worker::Worker;

/// Maximum number of recent jobs from which the share of a key is estimated.
const MAX_RECENT_KEYS: usize = 40;
/// Number of owners of a key, as a multiple of the workers that its share of the jobs would fill. The excess
/// leaves some owners free.
const OWNER_HEADROOM_FACTOR: f64 = 1.5;
/// Count of a key that has occurred once. It is below 1, since the key may never occur again.
const SINGLE_OCCURRENCE_COUNT: f64 = 0.4;
/// Prior count of jobs with other keys, added to the observed count.
const KEY_PRIOR_COUNT: f64 = 10.0;
/// Mean time to fetch the data of a key, as a multiple of the mean time of a job.
const FETCH_WORK_RATIO: f64 = 1.5;
/// Probability that a worker still has the data of the key that was sent there last.
const RECENT_KEY_HIT_RATE: f64 = 0.9;
/// Number of other keys sent to a worker after which the probability that it still has the data of a key is
/// 0. The probability decreases linearly until then.
const RECENT_KEYS_RETAINED: f64 = 8.0;
/// Probability that an owner has the data of its key.
const OWNER_HIT_RATE: f64 = 0.8;

impl Fleet {
    /// Returns the minimum rendezvous weight of the owners of a key; `u64::MAX` without a key or without
    /// workers.
    ///
    /// The number of owners grows with the share of the key in the jobs. Each cancelled attempt of the job
    /// adds one, since that attempt waited at an owner in vain. All nodes with the same endpoint list agree
    /// on the owners.
    pub fn affinity_threshold(&self, key: Option<u64>, cancelled_attempts: usize) -> u64 {
        let Some(key) = key else { return u64::MAX };
        let target_owners = self.key_share(key) * self.subset.len() as f64 * OWNER_HEADROOM_FACTOR;
        let owners = (target_owners.ceil() as usize + cancelled_attempts).clamp(1, self.subset.len().max(1));
        let weight = |index: &usize| self.workers[*index].rendezvous_weight(key);
        let mut weights: Vec<u64> = self.subset.members().iter().map(weight).collect();
        if weights.is_empty() {
            return u64::MAX;
        }
        *weights.select_nth_unstable_by(owners - 1, |a, b| b.cmp(a)).1
    }

    /// Returns the share of a key in the jobs, estimated from the recent jobs.
    fn key_share(&self, key: u64) -> f64 {
        let count = self.recent_keys.iter().filter(|recent| **recent == key).count() as f64;
        let others = (self.recent_keys.len() as f64 - 1.0).max(0.0);
        ((count - 1.0).max(0.0) + SINGLE_OCCURRENCE_COUNT) / (others + KEY_PRIOR_COUNT)
    }

    /// Returns the keys of the recent jobs, oldest first.
    pub fn recent_keys(&self) -> impl Iterator<Item = u64> {
        self.recent_keys.iter().copied()
    }

    /// Records the key of an admitted job.
    pub fn record_key(&mut self, key: Option<u64>) {
        self.recent_keys.extend(key);
        if self.recent_keys.len() > MAX_RECENT_KEYS {
            self.recent_keys.pop_front();
        }
    }

    /// Returns the seconds that a job is likely to spend at a worker on fetching the data of its key. The
    /// owners of the key are the workers whose rendezvous weight is at least `affinity_threshold`.
    pub(super) fn estimate_fetch(&self, worker: &Worker, key: Option<u64>, affinity_threshold: u64) -> f64 {
        let Some(key) = key else { return 0.0 };
        let sent_hit_rate = worker.keys_sent_since(key).map_or(0.0, |others| {
            RECENT_KEY_HIT_RATE * (1.0 - others as f64 / RECENT_KEYS_RETAINED).max(0.0)
        });
        let is_owner = worker.rendezvous_weight(key) >= affinity_threshold;
        let owner_hit_rate = if is_owner { OWNER_HIT_RATE } else { 0.0 };
        FETCH_WORK_RATIO * self.mean_work * (1.0 - sent_hit_rate) * (1.0 - owner_hit_rate)
    }
}
