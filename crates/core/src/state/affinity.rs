//! Key affinity: which workers are likely to hold what a job's key stands for.
//!
//! The owners of a key are the workers with the highest rendezvous weights for it, so that nodes which
//! exchange nothing agree on them and each worker holds few keys.

use super::fleet::Fleet;
use super::worker::Worker;

/// Number of recent jobs by which the share of a key is estimated.
const MAX_RECENT_KEYS: usize = 40;
/// Owners of a key for each worker that its share of the jobs would fill, so that some are spare.
const SPARE_OWNER_FACTOR: f64 = 1.5;
/// Count of a key that was seen once: it may never come again.
const SINGLE_KEY_COUNT: f64 = 0.4;
/// Prior count of jobs of other keys, added to those seen.
const KEY_PRIOR_COUNT: f64 = 10.0;
/// Mean time to fetch what a key stands for, as a multiple of a mean job's time.
const FETCH_WORK_RATIO: f64 = 1.5;
/// Probability that a worker still holds the key that was just sent there.
const RECENT_KEY_HIT_RATE: f64 = 0.9;
/// After so many other keys that probability is 0.
const RECENT_KEYS_RETAINED: f64 = 8.0;
/// Probability that an owner holds its key.
const OWNER_HIT_RATE: f64 = 0.8;

impl Fleet {
    /// The least rendezvous weight of a key's owners: the more owners, the larger its share of the jobs, and
    /// one more for each cancelled attempt of the job, which waited at an owner for nothing. All nodes with
    /// the same list agree.
    pub fn affinity_threshold(&self, key: Option<u64>, cancelled_attempts: usize) -> u64 {
        let Some(key) = key else { return u64::MAX };
        let wanted = self.key_share(key) * self.subset.len() as f64 * SPARE_OWNER_FACTOR;
        let owners = (wanted.ceil() as usize + cancelled_attempts).clamp(1, self.subset.len().max(1));
        let weight = |index: &usize| self.workers[*index].rendezvous_weight(key);
        let mut weights: Vec<u64> = self.subset.members().iter().map(weight).collect();
        if weights.is_empty() {
            return u64::MAX;
        }
        *weights.select_nth_unstable_by(owners - 1, |a, b| b.cmp(a)).1
    }

    /// Estimated share of a key in the jobs, by the recent ones.
    fn key_share(&self, key: u64) -> f64 {
        let count = self.recent_keys.iter().filter(|recent| **recent == key).count() as f64;
        let others = (self.recent_keys.len() as f64 - 1.0).max(0.0);
        ((count - 1.0).max(0.0) + SINGLE_KEY_COUNT) / (others + KEY_PRIOR_COUNT)
    }

    /// Keys of the recent jobs, the oldest first.
    pub fn recent_keys(&self) -> impl Iterator<Item = u64> {
        self.recent_keys.iter().copied()
    }

    /// Records the key of a submitted job.
    pub fn record_key(&mut self, key: Option<u64>) {
        self.recent_keys.extend(key);
        if self.recent_keys.len() > MAX_RECENT_KEYS {
            self.recent_keys.pop_front();
        }
    }

    /// Seconds that a job is likely to spend at a worker on fetching what its key stands for. Workers with a rendezvous
    /// weight of at least `affinity_threshold` are owners of the key.
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
