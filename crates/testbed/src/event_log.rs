//! Event log: observations of the simulated clients, workers and discovery service, in order of time.
//!
//! The log is the only source of events for the rule checker and the report. It contains no statement of a
//! node about itself, except responses to readiness checks and admin commands.
//!
//! The JSON form of the events is an interface: the file `seen.jsonl` of an earlier run stays readable. For
//! this reason some names in the JSON form differ from the Rust names.

use std::sync::Arc;
use std::time::{Duration, Instant};

use curlewusher_model::{TimeSpan, Timestamp};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Observation of a client, of a worker, of discovery or of the testbed itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Event {
    /// A client sent a request, `delay` after the scheduled time.
    #[serde(rename = "asked")]
    RequestSent {
        id: String,
        job: usize,
        node: usize,
        class: usize,
        /// Client's timeout, counted from the first byte of the request.
        #[serde(rename = "give_up_us")]
        timeout: TimeSpan,
        #[serde(rename = "late_us")]
        delay: TimeSpan,
    },
    /// A client received a complete response.
    #[serde(rename = "answered")]
    ResponseReceived {
        id: String,
        status: u16,
        /// Whether the response is a 200 with the result that a worker made for this request.
        #[serde(rename = "good")]
        has_own_result: bool,
    },
    /// A request ended without a response.
    #[serde(rename = "unanswered")]
    RequestFailed {
        id: String,
        #[serde(rename = "why")]
        reason: FailureReason,
        /// Whether the connection was opened for this request.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        on_new_connection: bool,
    },
    /// The last byte of an attempt arrived at a worker; the head of the attempt had arrived at `head_at`.
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
    /// The worker accepted an attempt.
    #[serde(rename = "taken_on")]
    AttemptAccepted { attempt: u64 },
    /// The worker rejected an attempt.
    #[serde(rename = "turned_away")]
    AttemptRejected { attempt: u64 },
    /// The worker started to run an attempt.
    #[serde(rename = "started")]
    AttemptStarted { attempt: u64 },
    /// The worker completed an attempt.
    #[serde(rename = "done")]
    AttemptCompleted { attempt: u64 },
    /// The worker returned an attempt before it ran.
    #[serde(rename = "returned")]
    AttemptReturned { attempt: u64 },
    /// The worker lost an attempt, which may have run.
    #[serde(rename = "lost")]
    AttemptLost { attempt: u64 },
    /// The node cancelled an attempt, by its id or by closing its connection before the 202.
    #[serde(rename = "withdrawn")]
    AttemptCancelled { attempt: u64 },
    /// Discovery sent a node the endpoint entry of a worker. `started_at` is the start of the worker. It is
    /// zero if the entry reports no start, or if the worker started before the run.
    #[serde(rename = "told")]
    EndpointSent {
        node: usize,
        worker: usize,
        in_service: bool,
        #[serde(rename = "started_us")]
        started_at: Timestamp,
    },
    /// Discovery has published a change of a worker, regardless of the nodes that receive it.
    #[serde(rename = "published")]
    EndpointPublished { worker: usize, in_service: bool },
    /// An outage of discovery began or ended.
    #[serde(rename = "discovery")]
    DiscoveryChanged { is_down: bool },
    /// A worker started.
    WorkerStarted { worker: usize },
    /// A worker that was warming up received too much work and crashed.
    #[serde(rename = "fell_over")]
    WorkerOverloaded { worker: usize },
    /// A node was started and is ready.
    NodeReady { node: usize },
    /// SIGTERM was sent to a node.
    #[serde(rename = "node_told_to_end")]
    NodeTerminated { node: usize },
    /// The process of a node exited, and the node has no process. `killed` if the testbed killed it: as the
    /// scenario demands, after an interrupt, or because it did not exit in time after SIGTERM.
    #[serde(rename = "node_gone")]
    NodeExited { node: usize, killed: bool },
    /// Idle clients began to fill the descriptors of a node (`present`), or disconnected.
    IdleClients { node: usize, present: bool },
    /// The result of a node's readiness check changed.
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
        expected: ExpectedResponse,
        /// Response of the node without its line end, or `None` if the command failed.
        #[serde(rename = "said")]
        response: Option<String>,
        #[serde(rename = "took_us")]
        took: TimeSpan,
    },
    /// Number of connections that clients hold to a node 4 s after the command to drain it: `idle`
    /// connections, and `fresh` connections with a job that was sent within the last 2 s.
    #[serde(rename = "standing")]
    ConnectionsCounted { node: usize, idle: usize, fresh: usize },
    /// The successor of a node's process was started beside that process.
    UpgradeBegan { node: usize },
    /// The successor confirmed READY for the first time.
    #[serde(rename = "newer_ready")]
    SuccessorReady { node: usize },
    /// One of the two processes of a node exited. `killed` if the testbed killed it as the scenario demands,
    /// or because the successor was not ready in time.
    #[serde(rename = "process_gone")]
    ProcessExited {
        node: usize,
        #[serde(rename = "newer")]
        is_successor: bool,
        killed: bool,
    },
    /// An upgrade ended: the node has a single process again.
    UpgradeEnded { node: usize },
    /// A fault of the scenario began or ended.
    Fault {
        #[serde(rename = "words")]
        description: String,
    },
}

/// Reason for which a request ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// No node accepted new connections according to the client's router.
    NoNode,
    /// No connection was established: the node cannot have received the request.
    Unreachable,
    /// The connection was reset before the first byte of a response: the node may not have read the request.
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
    /// The node sent any other response.
    No,
    /// The node did not respond.
    Nothing,
}

/// Expected response to an admin command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExpectedResponse {
    /// The node must confirm the command.
    Yes,
    /// The node must reject the command.
    No,
    /// The node may confirm or reject the command, such as READY for a process that has just been started.
    Either,
}

/// Event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub at: Timestamp,
    #[serde(flatten)]
    pub event: Event,
}

/// Log to which all parts of the testbed append; clones share its records.
#[derive(Clone)]
pub struct EventLog {
    start: Instant,
    records: Arc<Mutex<Vec<Record>>>,
}

impl EventLog {
    /// Creates an empty log whose clock starts at zero now, the beginning of the run.
    pub fn new() -> Self {
        EventLog { start: Instant::now(), records: Arc::default() }
    }

    /// Returns the current time of the log's clock, from which every [`Timestamp`] of a run is read.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + TimeSpan::from(self.start.elapsed())
    }

    /// Converts a time of the log's clock to the clock of the runtime.
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
