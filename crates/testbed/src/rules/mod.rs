//! The rule checker: finds in the event log where a node broke one of its rules. A node may consist of two processes.
//!
//! It shares no code with the node and takes none of its statements as facts.

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
pub use operations_rules::operation_figures;
pub use violation::Violation;

use crate::event_log::Record;

/// Effects of an upgrade may be observed this long after its end: connections that were queued then fail a moment later.
const UPGRADE_AFTERMATH: TimeSpan = TimeSpan::from_millis(500);

/// Which repeats of a job that may have run a class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// All.
    Idempotent,
    /// Those in the bay of the first attempt that may have run, within the window from its arrival.
    IdempotentWithKey { window: TimeSpan },
    /// None.
    NonIdempotent,
}

/// The limits and tolerances of the rules.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// By class.
    pub classes: Vec<RepeatPolicy>,
    /// Tolerance that is added to each time limit.
    pub slack: TimeSpan,
    /// A response may arrive this much later than the client's timeout; it is not served in time then.
    pub answer_slack: TimeSpan,
    /// All nodes count as notified of a change this long after discovery had it and was up, whether it arrived or not.
    pub notified_within: TimeSpan,
    /// A node must send nothing to a worker from this long after it was notified that the worker is draining or has ended.
    pub stop_within: TimeSpan,
    /// A request that was sent later than this after SIGTERM may cross the close of its connection.
    pub drain_grace: TimeSpan,
    /// The close of a connection is observed at most this long after the first byte of a request that crosses it.
    pub crossing_tolerance: TimeSpan,
    /// Window in which work that was sent to an overloaded worker is added up.
    pub fall_window: TimeSpan,
    /// The successor of an upgrade is bound by the registry's entries this long after it is first ready.
    pub successor_grace: TimeSpan,
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each request gets one response, in time, and with the result that a worker made for it.
    OneAnswer,
    /// A job runs again only as its class allows.
    OneEffect,
    /// A worker that is draining or has ended is sent no further attempts.
    QuietDrain,
    /// A worker that warms up is not overloaded.
    GentleStart,
    /// Admin commands are answered correctly and in time.
    Console,
    /// A drained node closes the connections of its clients and is not ready; it is ready again after the drain.
    NodeDrain,
    /// A disabled worker is sent no attempts, and is used again once it is enabled.
    Maintenance,
    /// An upgrade harms a bounded number of jobs.
    Upgrade,
    /// All processes of a node together stay within the limits of one.
    Size,
}

/// Returns all violations: those of the rules on jobs in the order of detection, then those of the rules on operations
/// in the order of time.
pub fn check_rules(records: &[Record], parameters: &RuleParameters) -> Vec<Violation> {
    let mut violations = job_rules::check(records, parameters);
    violations.extend(operations_rules::check(records, parameters).violations);
    violations
}
