//! What one process of a node has learned, as a record that its successor takes on. It must never be trusted: a figure
//! that cannot be is passed over, and nothing in it can put work on a worker that the list does not name.

use serde::{Deserialize, Serialize};

use crate::dispatcher::Dispatcher;
use crate::interface::*;
use crate::ledger::*;

/// No more workers, keys and sends than these are taken on, whatever a record holds.
const MOST_WORKERS: usize = 4096;
const MOST_SENDS: usize = 1024;
/// No logarithm of a speed is further from 0.
const MOST_LN: f64 = 10.0;
/// Failures in a row that are taken on.
const MOST_STRIKES: u32 = 16;

/// What a dispatcher has learned. Times are microseconds since the Unix epoch, which both processes read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Learned {
    workers: Vec<LearnedWorker>,
    kinds: Vec<LearnedKind>,
    /// Middle logarithm of the fleet's speed, and how many jobs taught it.
    all: (f64, u32),
    hint_error: f64,
    usual_work: f64,
    keys: Vec<u64>,
    first_came: Micros,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct LearnedWorker {
    id: u64,
    offset: f64,
    lessons: u32,
    seen_slots: f64,
    started: Micros,
    strikes: u32,
    avoid_until: Micros,
    unreachable: bool,
    owed: Option<Micros>,
    keys: Vec<u64>,
    /// Work sent while cold, which its budget has been spent on.
    cold_sent: Vec<(Micros, f64)>,
    /// Work that is out there still, s, and its slots.
    out: (f64, f64),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct LearnedKind {
    id: u32,
    ln_speed: f64,
    lessons: u32,
}

/// A logarithm that can be one of a speed.
fn ln(value: f64) -> Option<f64> {
    value.is_finite().then(|| value.clamp(-MOST_LN, MOST_LN))
}

fn positive(value: f64, most: f64) -> Option<f64> {
    (value.is_finite() && value > 0.0).then(|| value.min(most))
}

impl Dispatcher {
    /// What is known now, for a successor.
    pub fn learned(&self, now: Micros) -> Learned {
        let worker = |w: &Worker| LearnedWorker {
            id: w.id.0,
            offset: w.offset,
            lessons: w.lessons,
            seen_slots: w.seen_slots,
            started: w.started,
            strikes: w.strikes,
            avoid_until: w.avoid_until,
            unreachable: w.unreachable,
            owed: w.owed,
            keys: w.keys.iter().copied().collect(),
            cold_sent: w.cold_sent.iter().copied().take(MOST_SENDS).collect(),
            out: (
                w.flights.iter().map(|f| self.remaining(now, w.speed, f) * f.slots).sum(),
                w.flights.iter().map(|f| f.slots).sum(),
            ),
        };
        let kind = |k: &Kind| LearnedKind { id: k.id.0, ln_speed: k.pace.ln_speed, lessons: k.pace.lessons };
        let fleet = &self.fleet;
        Learned {
            workers: fleet.workers.iter().take(MOST_WORKERS).map(worker).collect(),
            kinds: fleet.kinds.iter().map(kind).collect(),
            all: (fleet.all.ln_speed, fleet.all.lessons),
            hint_error: fleet.hint_error,
            usual_work: fleet.usual_work,
            keys: fleet.last_keys().collect(),
            first_came: self.first_came,
        }
    }

    /// Takes on what the process before this one has learned of workers that this one's list names too. Of those that it
    /// has taught itself it knows better.
    pub fn inherit(&mut self, now: Micros, learned: &Learned) {
        for k in &learned.kinds {
            let at = self.fleet.kind_at(KindId(k.id));
            if let Some(ln_speed) = ln(k.ln_speed).filter(|_| self.fleet.kinds[at].pace.lessons == 0) {
                self.fleet.kinds[at].pace = Pace { ln_speed, speed: ln_speed.exp(), lessons: k.lessons };
            }
        }
        if let Some(ln_speed) = ln(learned.all.0).filter(|_| self.fleet.all.lessons == 0) {
            self.fleet.all = Pace { ln_speed, speed: ln_speed.exp(), lessons: learned.all.1 };
        }
        if let Some(error) = positive(learned.hint_error, MOST_LN) {
            self.fleet.hint_error = error;
        }
        if let Some(work) = positive(learned.usual_work, 1e4) {
            self.fleet.usual_work = work;
        }
        self.first_came = self.first_came.min(learned.first_came);
        learned.keys.iter().for_each(|key| self.fleet.heed_key(Some(*key)));
        for l in learned.workers.iter().take(MOST_WORKERS) {
            if let Some(i) = self.fleet.find(WorkerId(l.id)) {
                l.teach(now, &mut self.fleet.workers[i], self.settings.rank);
            }
        }
    }
}

impl LearnedWorker {
    fn teach(&self, now: Micros, w: &mut Worker, from: u32) {
        if w.lessons == 0
            && let Some(offset) = ln(self.offset)
        {
            (w.offset, w.factor, w.lessons) = (offset, offset.exp(), self.lessons);
            w.seen_slots = w.seen_slots.max(positive(self.seen_slots, 64.0).unwrap_or(0.0));
        }
        w.started = w.started.max(self.started.min(now));
        w.strikes = w.strikes.max(self.strikes.min(MOST_STRIKES));
        // A pause is seconds long; one that ends far ahead is nonsense.
        w.avoid_until = w.avoid_until.max(self.avoid_until.min(now + micros(60.0)));
        w.unreachable |= self.unreachable;
        w.owed = w.owed.or(self.owed.map(|at| at.min(now)));
        self.keys.iter().rev().take(KEYS_MOST).for_each(|key| w.heed_key(*key));
        let sent = self.cold_sent.iter().filter(|(at, work)| *at <= now && work.is_finite() && *work >= 0.0);
        let own = std::mem::take(&mut w.cold_sent);
        w.cold_sent = sent.take(MOST_SENDS).copied().chain(own).collect();
        // What the other process has out there is told like another node's.
        if let (Some(work), Some(slots)) = (positive(self.out.0, 1e4), positive(self.out.1, 64.0)) {
            w.told.retain(|t| t.from != from);
            w.told.push(Told { from, work, slots, at: now });
        }
        (w.surveyed, w.dirty) = (0, true);
    }
}
