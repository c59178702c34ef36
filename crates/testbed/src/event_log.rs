//! The event log: what the simulated clients, workers and discovery service observed, in the order of observation.
//!
//! It is the only input of the rule checker and of the report. It holds nothing that a node states about itself, except its answers
//! to readiness checks and admin commands. The JSON form of the events is an interface: `seen.jsonl` of earlier runs
//! stays readable, so the recorded names stay where a Rust name is another one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use curlewusher_model::{TimeSpan, Timestamp};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Something that was observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Event {
    /// A client was due to send a request at this moment; it was sent `delay` afterwards.
    #[serde(rename = "asked")]
    RequestSent {
        id: String,
        job: usize,
        node: usize,
        class: usize,
        #[serde(rename = "give_up_us")]
        timeout: TimeSpan,
        #[serde(rename = "late_us")]
        delay: TimeSpan,
    },
    /// A complete response arrived.
    #[serde(rename = "answered")]
    ResponseReceived {
        id: String,
        status: u16,
        /// Whether it is a 200 with the result that a worker made for this very request.
        #[serde(rename = "good")]
        has_own_result: bool,
    },
    /// A request ended without a response.
    #[serde(rename = "unanswered")]
    RequestFailed {
        id: String,
        #[serde(rename = "why")]
        reason: FailureReason,
        /// Whether its connection was opened for it.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        on_new_connection: bool,
    },
    /// The last byte of an attempt arrived at a worker; its head had arrived at `head_at`.
    #[serde(rename = "arrived")]
    AttemptArrived {
        attempt: u64,
        id: String,
        node: usize,
        worker: usize,
        bay: u32,
        #[serde(rename = "work_s")]
        work_seconds: f64,
        #[serde(rename = "head_us")]
        head_at: Timestamp,
    },
    #[serde(rename = "taken_on")]
    AttemptAccepted {
        attempt: u64,
    },
    #[serde(rename = "turned_away")]
    AttemptRejected {
        attempt: u64,
    },
    #[serde(rename = "started")]
    AttemptStarted {
        attempt: u64,
    },
    #[serde(rename = "done")]
    AttemptCompleted {
        attempt: u64,
    },
    #[serde(rename = "returned")]
    AttemptReturned {
        attempt: u64,
    },
    #[serde(rename = "lost")]
    AttemptLost {
        attempt: u64,
    },
    /// The node cancelled it, by its id or by closing its connection before the 202.
    #[serde(rename = "withdrawn")]
    AttemptCancelled {
        attempt: u64,
    },
    /// Discovery sent a node the entry of a worker; `started_at` is the worker's start, zero if it was before the run.
    #[serde(rename = "told")]
    EndpointSent {
        node: usize,
        worker: usize,
        in_service: bool,
        #[serde(rename = "started_us")]
        started_at: Timestamp,
    },
    /// Discovery has a change of a worker from now on, whichever nodes receive it.
    #[serde(rename = "published")]
    EndpointPublished {
        worker: usize,
        in_service: bool,
    },
    /// Discovery went down, or is up again.
    #[serde(rename = "discovery")]
    DiscoveryChanged {
        is_down: bool,
    },
    WorkerStarted {
        worker: usize,
    },
    /// A worker that was warming up was sent too much work and crashed.
    #[serde(rename = "fell_over")]
    WorkerOverloaded {
        worker: usize,
    },
    NodeReady {
        node: usize,
    },
    /// SIGTERM was sent to a node.
    #[serde(rename = "node_told_to_end")]
    NodeTerminated {
        node: usize,
    },
    /// A node's process has exited; `killed` if a fault of the scenario killed it.
    #[serde(rename = "node_gone")]
    NodeExited {
        node: usize,
        killed: bool,
    },
    /// Idle clients fill the descriptors of a node from now on, or do so no more.
    IdleClients {
        node: usize,
        present: bool,
    },
    /// A readiness check of a node had another result than the one before.
    #[serde(rename = "said")]
    ReadinessChanged {
        node: usize,
        #[serde(rename = "ready")]
        readiness: Readiness,
    },
    /// An admin command was answered, or failed.
    #[serde(rename = "called")]
    AdminCommandEnded {
        node: usize,
        #[serde(rename = "call")]
        command: String,
        #[serde(rename = "owed")]
        expected: ExpectedAnswer,
        /// The answer without its line end.
        #[serde(rename = "said")]
        answer: Option<String>,
        #[serde(rename = "took_us")]
        took: TimeSpan,
    },
    /// Number of connections that clients hold to a node 4 s after the command to drain it: idle ones, and those with a
    /// job that was sent within the last 2 s.
    #[serde(rename = "standing")]
    ConnectionsCounted {
        node: usize,
        idle: usize,
        fresh: usize,
    },
    /// The successor of a node's process was started beside it.
    UpgradeBegan {
        node: usize,
    },
    /// The successor answered READY with yes for the first time.
    #[serde(rename = "newer_ready")]
    SuccessorReady {
        node: usize,
    },
    /// One of the two processes of a node has exited; `killed` if the testbed killed it as the scenario demands.
    #[serde(rename = "process_gone")]
    ProcessExited {
        node: usize,
        #[serde(rename = "newer")]
        is_successor: bool,
        killed: bool,
    },
    /// The node has a single process again.
    UpgradeEnded {
        node: usize,
    },
    /// A fault of the scenario began or ended.
    Fault {
        #[serde(rename = "words")]
        description: String,
    },
}

/// Why a request ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// No node was known to accept new connections.
    NoNode,
    /// No connection was established: the node never had the request.
    Unreachable,
    /// The connection was reset before the first byte of a response: the node need not have read the request.
    Reset,
    /// The connection was closed before the response was complete.
    Closed,
    /// The client's timeout expired.
    Late,
}

/// Result of a readiness check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// The node is ready.
    Yes,
    /// Any other answer.
    No,
    /// No answer.
    Nothing,
}

/// The answer that an admin command should get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExpectedAnswer {
    Yes,
    No,
    /// Both are right, as for READY at a process that has just been started.
    Either,
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub at: Timestamp,
    #[serde(flatten)]
    pub event: Event,
}

/// The log that everything in the testbed appends to; clones share it.
#[derive(Clone)]
pub struct EventLog {
    start: Instant,
    records: Arc<Mutex<Vec<Record>>>,
}

impl EventLog {
    /// An empty log; the run begins now.
    pub fn new() -> Self {
        EventLog { start: Instant::now(), records: Arc::default() }
    }

    /// The present moment on the log's clock, which every [`Timestamp`] of a run is read from.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + TimeSpan::from(self.start.elapsed())
    }

    /// Converts a time of the log to the runtime's clock.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        (self.start + Duration::from(at - Timestamp::ZERO)).into()
    }

    /// Appends an event that happens now.
    pub fn record(&self, event: Event) {
        self.record_at(self.now(), event);
    }

    /// Appends an event that happened at `at`.
    pub fn record_at(&self, at: Timestamp, event: Event) {
        self.records.lock().push(Record { at, event });
    }

    /// Removes and returns all records, oldest first.
    pub fn take(&self) -> Vec<Record> {
        let mut records = std::mem::take(&mut *self.records.lock());
        records.sort_by_key(|record| record.at);
        records
    }
}

#[cfg(test)]
#[path = "../tests/unit/event_log.rs"]
mod tests;
