//! Owns what the stand-ins saw, in the order in which they saw it: the only thing that judge and report go by. It must
//! never hold what a node says of itself.

use std::sync::Arc;
use std::time::Instant;

use curlewusher_model::Micros;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Something seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum What {
    /// A client meant to send a try at this moment; `late_us` after it the request went out.
    Asked {
        id: String,
        job: usize,
        node: usize,
        class: usize,
        give_up_us: Micros,
        late_us: Micros,
    },
    /// A whole answer came. `good`: a 200 that bears what a worker made for this very request.
    Answered {
        id: String,
        status: u16,
        good: bool,
    },
    /// No answer came.
    Unanswered {
        id: String,
        why: Missing,
    },
    /// The last byte of an attempt arrived at a worker; its head had come at `head_us`.
    Arrived {
        attempt: u64,
        id: String,
        node: usize,
        worker: usize,
        bay: u32,
        work_s: f64,
        head_us: Micros,
    },
    TakenOn {
        attempt: u64,
    },
    TurnedAway {
        attempt: u64,
    },
    Started {
        attempt: u64,
    },
    Done {
        attempt: u64,
    },
    Returned {
        attempt: u64,
    },
    Lost {
        attempt: u64,
    },
    /// The node took it back: by its name, or by closing its connection before the 202.
    Withdrawn {
        attempt: u64,
    },
    /// Discovery wrote to a node what it has of a worker; the start is on the clock of these records, 0 for long ago.
    Told {
        node: usize,
        worker: usize,
        in_service: bool,
        started_us: Micros,
    },
    WorkerStarted {
        worker: usize,
    },
    FellOver {
        worker: usize,
    },
    NodeReady {
        node: usize,
    },
    /// SIGTERM was sent.
    NodeToldToEnd {
        node: usize,
    },
    /// Its process is no more.
    NodeGone {
        node: usize,
        killed: bool,
    },
    /// The front asked a node whether it is ready and heard something else than the time before.
    Said {
        node: usize,
        ready: Ready,
    },
    /// An operator's call came to its end, by an answer or without; `owed` is what it should have got.
    Called {
        node: usize,
        call: String,
        owed: Owed,
        /// The line without its end.
        said: Option<String>,
        took_us: Micros,
    },
    /// What clients hold open to a node 4 s after the call of its drain: idle connections, and those that
    /// bear a job which was sent in the last 2 s.
    Standing {
        node: usize,
        idle: usize,
        fresh: usize,
    },
    /// The newer process of a node was started beside the older one.
    UpgradeBegan {
        node: usize,
    },
    /// The newer process said yes to READY for the first time.
    NewerReady {
        node: usize,
    },
    /// One of the two processes of a node is no more; `killed`: the lab did it, and the scenario meant it.
    ProcessGone {
        node: usize,
        newer: bool,
        killed: bool,
    },
    /// The node is one process again.
    UpgradeEnded {
        node: usize,
    },
    /// A fault of the scenario began or ended, in its own words.
    Fault {
        words: String,
    },
}

/// Why no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Missing {
    /// The front knew of no node that takes new connections.
    NoNode,
    /// No connection came up: the node never had the request.
    Unreachable,
    /// The connection was reset before a byte of an answer: the node need not have read the request.
    Reset,
    /// The connection ended first.
    Closed,
    /// The client's time was up.
    Late,
}

/// What a node says to the front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ready {
    Yes,
    /// Any other answer.
    No,
    Nothing,
}

/// What an operator's call should be answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Owed {
    Yes,
    No,
    /// Either, as for READY at a process that has just been started.
    Either,
}

/// A line of what was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Microseconds from the beginning of the run.
    pub at: Micros,
    #[serde(flatten)]
    pub what: What,
}

/// Where all stand-ins write what they see.
#[derive(Clone)]
pub struct Log {
    start: Instant,
    records: Arc<Mutex<Vec<Record>>>,
}

impl Log {
    pub fn new() -> Self {
        Log { start: Instant::now(), records: Arc::default() }
    }

    /// Microseconds from the beginning.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// The moment that a time of these records stands for.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + std::time::Duration::from_micros(at)).into()
    }

    pub fn add(&self, what: What) {
        self.add_at(self.now(), what);
    }

    pub fn add_at(&self, at: Micros, what: What) {
        self.records.lock().push(Record { at, what });
    }

    /// All of it, oldest first.
    pub fn take(&self) -> Vec<Record> {
        let mut records = std::mem::take(&mut *self.records.lock());
        records.sort_by_key(|record| record.at);
        records
    }
}

#[cfg(test)]
#[path = "../tests/unit/event_log.rs"]
mod tests;
