//! Owns the sharing of one resource: every share of it advances at the same rate, which may change at any time. It
//! must never know what is shared; a worker's cores and the archive both are.

use std::collections::{BTreeSet, HashMap};

use crate::Micros;

/// Work in a common clock of its own: one that stands when nothing advances and runs at `rate` else. A share ends when
/// that clock has moved by its size, so a change of rate touches no share.
#[derive(Debug)]
pub struct Fluid {
    /// What each share has received since the beginning, in nanoseconds of work, a whole number so that it sorts.
    moved: f64,
    rate: f64,
    at: Micros,
    ends: BTreeSet<(u64, u64)>,
    by_id: HashMap<u64, u64>,
}

impl Fluid {
    /// Empty and at rest.
    pub fn new() -> Self {
        Fluid { moved: 0.0, rate: 0.0, at: 0, ends: BTreeSet::new(), by_id: HashMap::new() }
    }

    /// Brings it to a moment.
    fn advance(&mut self, now: Micros) {
        if now > self.at {
            self.moved += (now - self.at) as f64 * 1e3 * self.rate;
            self.at = now;
        }
    }

    /// From now on each share advances by so many seconds in a second.
    pub fn set_rate(&mut self, now: Micros, rate: f64) {
        self.advance(now);
        self.rate = rate.max(0.0);
    }

    /// A share of that many seconds begins. Its id must not be here yet.
    pub fn add(&mut self, now: Micros, id: u64, seconds: f64) {
        self.advance(now);
        let end = (self.moved + seconds.max(0.0) * 1e9).ceil() as u64;
        let old = self.by_id.insert(id, end);
        assert!(old.is_none(), "share {id} is here already");
        self.ends.insert((end, id));
    }

    /// Takes a share out; what it still lacked, in seconds.
    pub fn remove(&mut self, now: Micros, id: u64) -> Option<f64> {
        self.advance(now);
        let end = self.by_id.remove(&id)?;
        self.ends.remove(&(end, id));
        Some((end as f64 - self.moved).max(0.0) / 1e9)
    }

    /// What a share still lacks, in seconds.
    pub fn lacks(&self, now: Micros, id: u64) -> Option<f64> {
        let moved = self.moved + now.saturating_sub(self.at) as f64 * 1e3 * self.rate;
        self.by_id.get(&id).map(|end| (*end as f64 - moved).max(0.0) / 1e9)
    }

    /// Shares in it.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// When the next share ends, if nothing changes.
    pub fn next(&self) -> Option<Micros> {
        let (end, _) = self.ends.first()?;
        let left = (*end as f64 - self.moved).max(0.0);
        (self.rate > 0.0).then(|| self.at + (left / 1e3 / self.rate).ceil() as Micros)
    }

    /// Takes out the next share that has ended by now.
    pub fn pop(&mut self, now: Micros) -> Option<u64> {
        self.advance(now);
        let &(end, id) = self.ends.first()?;
        // A microsecond is the finest that a clock tells: what ends within it has ended.
        if end as f64 > self.moved + 1e3 * self.rate {
            return None;
        }
        self.ends.remove(&(end, id));
        self.by_id.remove(&id);
        Some(id)
    }
}

impl Default for Fluid {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_end_as_the_rate_allows_and_one_taken_out_leaves_the_others() {
        let mut fluid = Fluid::new();
        fluid.set_rate(0, 1.0);
        fluid.add(0, 1, 2.0);
        fluid.add(0, 2, 1.0);
        assert_eq!(fluid.next(), Some(1_000_000));
        fluid.set_rate(500_000, 0.5);
        assert_eq!(fluid.next(), Some(1_500_000));
        assert_eq!((fluid.pop(1_499_990), fluid.pop(1_500_000)), (None, Some(2)));
        assert_eq!(fluid.remove(1_500_000, 1), Some(1.0));
        assert!(fluid.is_empty() && fluid.next().is_none());
    }
}
