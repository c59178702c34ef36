//! Owns the roll of workers as discovery tells it: what changed, under which number, and from when it is seen. It must
//! never know who asks.

use std::collections::BTreeMap;

use crate::Micros;
use crate::world::WorkerNo;

/// What the roll says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It runs.
    InService,
    /// It ends what it has.
    Terminating,
    /// It is gone.
    Terminated,
}

/// A line of the roll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Which worker.
    pub worker: WorkerNo,
    /// What is said of it.
    pub status: Status,
    /// Its last start on the driver's clock; none: long ago.
    pub since: Option<Micros>,
}

/// The roll, which is late by a fixed time.
#[derive(Debug)]
pub struct Roll {
    lateness: Micros,
    /// Changes that nobody sees yet, oldest first.
    unseen: Vec<(Micros, Entry)>,
    index: u64,
    /// The newest entry of each worker and the number it came with.
    lines: BTreeMap<WorkerNo, (u64, Entry)>,
}

impl Roll {
    /// A roll on which these workers run, seen by everybody.
    pub fn new(workers: impl IntoIterator<Item = WorkerNo>, lateness: Micros) -> Self {
        let entry = |worker| (worker, (1, Entry { worker, status: Status::InService, since: None }));
        Roll { lateness, unseen: Vec::new(), index: 1, lines: workers.into_iter().map(entry).collect() }
    }

    /// Something changed now; it is seen later.
    pub fn change(&mut self, now: Micros, entry: Entry) {
        self.unseen.push((now + self.lateness, entry));
    }

    /// When the next change is seen.
    pub fn next(&self) -> Option<Micros> {
        self.unseen.first().map(|(at, _)| *at)
    }

    /// What has come to be seen by now, with the number of the whole.
    pub fn reveal(&mut self, now: Micros) -> (u64, Vec<Entry>) {
        let seen = self.unseen.iter().take_while(|(at, _)| *at <= now).count();
        let entries: Vec<Entry> = self.unseen.drain(..seen).map(|(_, entry)| entry).collect();
        for entry in &entries {
            self.index += 1;
            self.lines.insert(entry.worker, (self.index, *entry));
        }
        (self.index, entries)
    }

    /// Number of the newest change that is seen.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The whole list: what is gone is not on it.
    pub fn whole(&self) -> Vec<Entry> {
        self.lines.values().map(|(_, e)| *e).filter(|e| e.status != Status::Terminated).collect()
    }

    /// What changed after a number; none where that number was never given out, so that only the whole list will do.
    pub fn since(&self, index: u64) -> Option<Vec<Entry>> {
        let after = || self.lines.values().filter(|(at, _)| *at > index).map(|(_, e)| *e).collect();
        (1..=self.index).contains(&index).then(after)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn changes_are_seen_late_in_order_and_once_and_a_strange_number_gets_the_whole_list() {
        let mut roll = Roll::new(0..3, 1_000);
        let entry = |worker, status| Entry { worker, status, since: None };
        roll.change(10, entry(1, Status::Terminating));
        roll.change(20, entry(1, Status::Terminated));
        assert_eq!(roll.reveal(1_000), (1, vec![]));
        assert_eq!(roll.reveal(1_020).0, 3);
        assert_eq!(roll.reveal(2_000), (3, vec![]));
        assert_eq!(roll.whole().len(), 2);
        assert_eq!(roll.since(1), Some(vec![entry(1, Status::Terminated)]));
        assert_eq!((roll.since(3), roll.since(9), roll.since(0)), (Some(vec![]), None, None));
    }
}
