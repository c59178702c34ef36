//! Rule checker: finds violations of the nodes' rules in the event log. The rules apply to a node as a whole,
//! which has two processes during an upgrade.
//!
//! The checker shares no code with the node and treats no statement of a node as a fact.

mod footprint;
mod job_rules;
mod operation_figures;
mod operations_rules;
mod timeline;
mod violation;

use curlewusher_model::TimeSpan;
use serde::Serialize;

pub use footprint::{FootprintLimits, check_footprint};
pub use operation_figures::{CommandFigures, OperationFigures, UpgradeFigures};
pub use operations_rules::compute_operation_figures;
pub use violation::Violation;

use crate::event_log::Record;

/// Time after an upgrade's end, or around the kill of one of its processes, in which an observation still
/// counts as an effect of it: connections that were queued at that time fail shortly afterwards.
const UPGRADE_EFFECT_MARGIN: TimeSpan = TimeSpan::from_millis(500);

/// Retries that a job class allows for a job that may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// All retries are allowed.
    Idempotent,
    /// Retries are allowed in the cell of the first attempt that may have run, within the deduplication
    /// window from the arrival of that attempt.
    IdempotentWithKey { window: TimeSpan },
    /// No retry is allowed.
    NonIdempotent,
}

/// Limits and tolerances of the rules.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// Retry policy of each job class, by class index.
    pub classes: Vec<RetryPolicy>,
    /// Tolerance that is added to each time limit.
    pub tolerance: TimeSpan,
    /// Maximum delay of a response after the client's timeout that is not a violation. Such a response does
    /// not count as served in time.
    pub response_tolerance: TimeSpan,
    /// Time after which all nodes count as notified of a change, whether or not it arrived. It is counted
    /// from the time at which discovery had the change and was up.
    pub max_notification_delay: TimeSpan,
    /// Time after a notification that a worker is draining or has terminated, within which the node must stop
    /// sending to that worker.
    pub max_stop_delay: TimeSpan,
    /// Time after SIGTERM from which a node closes its clients' connections, so that the close may race with
    /// a request.
    pub drain_grace: TimeSpan,
    /// Maximum time from the first byte of a request to the observed close of its connection, if the close
    /// raced with the request. It is also the time for which connections may still close after the exit of a
    /// process, or after idle clients left.
    pub close_race_tolerance: TimeSpan,
    /// Period before a worker's crash under overload over which the work that arrived at it is added up.
    pub overload_window: TimeSpan,
    /// Time after the first readiness of an upgrade's successor before the node counts as notified of
    /// endpoint entries that it received during the upgrade.
    pub successor_grace: TimeSpan,
}

/// Rule that a node must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each request gets exactly one response, in time, and with the result that a worker made for it.
    OneAnswer,
    /// A job runs again only as its class allows.
    OneEffect,
    /// A worker that is draining or has terminated receives no further attempts.
    QuietDrain,
    /// A worker that is warming up is not overloaded.
    GentleStart,
    /// Admin commands are answered correctly and in time.
    Console,
    /// A drained node closes its clients' connections and is not ready; after the drain it is ready again.
    NodeDrain,
    /// A disabled worker receives no attempts, and is used again after it has been enabled.
    Maintenance,
    /// An upgrade harms at most 2 jobs by refused or reset connections, unless the testbed killed one of the
    /// two processes.
    Upgrade,
    /// All processes of a node together stay within the resource limits of a single process.
    Size,
}

/// Returns all violations: those of the rules on jobs in order of detection, then those of the rules on
/// operations in order of time.
pub fn check_rules(records: &[Record], parameters: &RuleParameters) -> Vec<Violation> {
    let mut violations = job_rules::check(records, parameters);
    violations.extend(operations_rules::check(records, parameters).violations);
    violations
}
