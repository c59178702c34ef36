//! Egalitarian processor sharing of one resource: every share in service advances at the same rate.
//!
//! A worker's cores and the data archive are both modelled by it. The model keeps the service that each share would
//! have attained since the beginning, and a share completes when that total reaches the share's mark. A change of the
//! rate therefore touches no share.

use std::collections::{BTreeSet, HashMap};

use crate::{TimeSpan, Timestamp};

const NANOS_PER_SECOND: f64 = 1e9;
const NANOS_PER_MICRO: f64 = 1e3;

/// The mark at which a share completes; ordered by mark, then by the share's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Completion {
    /// Attained service at which the share is complete, in nanoseconds of work; an integer so that it sorts.
    mark_ns: u64,
    share: u64,
}

/// A resource that is divided equally between its shares.
#[derive(Debug, Default)]
pub struct ProcessorSharing {
    /// Service that a share present from the beginning would have attained by `updated_at`, in nanoseconds of work.
    attained_ns: f64,
    /// Seconds of work that each share gets in a second.
    rate: f64,
    updated_at: Timestamp,
    completions: BTreeSet<Completion>,
    mark_by_share: HashMap<u64, u64>,
}

impl ProcessorSharing {
    /// A resource without shares, whose rate is 0.
    pub fn new() -> Self {
        Self::default()
    }

    fn attained_ns_at(&self, now: Timestamp) -> f64 {
        self.attained_ns
            + now.saturating_since(self.updated_at).as_micros() as f64 * NANOS_PER_MICRO * self.rate
    }

    fn advance(&mut self, now: Timestamp) {
        if now > self.updated_at {
            self.attained_ns = self.attained_ns_at(now);
            self.updated_at = now;
        }
    }

    /// Sets the rate from `now` on, in seconds of work that each share gets in a second; a negative rate counts as 0.
    pub fn set_rate(&mut self, now: Timestamp, rate: f64) {
        self.advance(now);
        self.rate = rate.max(0.0);
    }

    /// Adds a share of that many seconds of work.
    ///
    /// # Panics
    /// If a share of that number is in service.
    pub fn add(&mut self, now: Timestamp, share: u64, seconds: f64) {
        self.advance(now);
        let mark_ns = (self.attained_ns + seconds.max(0.0) * NANOS_PER_SECOND).ceil() as u64;
        let previous = self.mark_by_share.insert(share, mark_ns);
        assert!(previous.is_none(), "share {share} is in service already");
        self.completions.insert(Completion { mark_ns, share });
    }

    /// Removes a share and returns the work that it still lacked, in seconds.
    pub fn remove(&mut self, now: Timestamp, share: u64) -> Option<f64> {
        self.advance(now);
        let mark_ns = self.mark_by_share.remove(&share)?;
        self.completions.remove(&Completion { mark_ns, share });
        Some(seconds_between(self.attained_ns, mark_ns))
    }

    /// Work that a share still lacks at `now`, in seconds.
    pub fn remaining_seconds(&self, now: Timestamp, share: u64) -> Option<f64> {
        let attained_ns = self.attained_ns_at(now);
        self.mark_by_share.get(&share).map(|mark_ns| seconds_between(attained_ns, *mark_ns))
    }

    /// Number of shares in service.
    pub fn len(&self) -> usize {
        self.mark_by_share.len()
    }

    /// Whether no share is in service.
    pub fn is_empty(&self) -> bool {
        self.mark_by_share.is_empty()
    }

    /// When the next share completes if neither the shares nor the rate change.
    pub fn next_completion(&self) -> Option<Timestamp> {
        let next = self.completions.first()?;
        let remaining_ns = (next.mark_ns as f64 - self.attained_ns).max(0.0);
        let wait = || TimeSpan::from_micros((remaining_ns / NANOS_PER_MICRO / self.rate).ceil() as u64);
        (self.rate > 0.0).then(|| self.updated_at + wait())
    }

    /// Removes and returns the next share that is complete at `now`.
    pub fn pop_completed(&mut self, now: Timestamp) -> Option<u64> {
        self.advance(now);
        let next = *self.completions.first()?;
        // The clock resolves microseconds: a share that completes within the present one is complete.
        if next.mark_ns as f64 > self.attained_ns + NANOS_PER_MICRO * self.rate {
            return None;
        }
        self.completions.remove(&next);
        self.mark_by_share.remove(&next.share);
        Some(next.share)
    }
}

fn seconds_between(attained_ns: f64, mark_ns: u64) -> f64 {
    (mark_ns as f64 - attained_ns).max(0.0) / NANOS_PER_SECOND
}
