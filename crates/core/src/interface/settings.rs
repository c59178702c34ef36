//! The settings of a dispatcher, which are given once, at its start, and their validation.

use std::fmt;

use super::{KindId, TimeSpan, ZoneId};

/// Which workers discard a second attempt that carries the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every worker.
    All,
    /// The workers in the zone of the first attempt.
    Zone,
    /// The workers in the cell of the first attempt.
    Cell,
}

/// What happens when a job of a class runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second run does no harm: attempts may go anywhere at any time.
    Idempotent,
    /// Workers discard a second run by the job's idempotency key.
    WithKey {
        /// Which workers discard it.
        scope: DeduplicationScope,
        /// For how long they do, from the first attempt that might have run.
        window: TimeSpan,
    },
    /// A second run does harm: no further attempt once one might have run.
    NonIdempotent,
}

/// A class of jobs.
#[derive(Clone, Debug)]
pub struct JobClass {
    /// What a second run of a job does.
    pub idempotency: Idempotency,
    /// A response is in time within `latency_objective + latency_objective_work_factor x work`.
    pub latency_objective: TimeSpan,
    /// Factor of a job's own work in its latency objective.
    pub latency_objective_work_factor: f64,
    /// Value of a response in time, relative to other classes; where the work of jobs differs, per unit of work.
    pub priority_weight: f64,
    /// How long a client waits in total.
    pub client_timeout: TimeSpan,
    /// The only kind of machine that can run jobs of this class, if there is such a restriction.
    pub required_kind: Option<KindId>,
}

/// Everything that a dispatcher is configured with.
///
/// A "price" or "weight" without a unit is a fraction of the value of one job.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of nodes that dispatch to the same workers, this one included.
    pub nodes: u32,
    /// Index of this node among them, from 0.
    pub node_index: u32,
    /// Zone of this node.
    pub zone: ZoneId,
    /// The job classes; [`ClassId`](crate::ClassId) is an index into them.
    pub classes: Vec<JobClass>,
    /// Quota of each tenant in jobs per second, over all nodes. Empty: there are no tenants.
    pub tenant_quotas: Vec<f64>,
    /// Weight of a job over its tenant's quota, as a fraction of its class's weight.
    pub over_quota_weight: f64,
    /// The endpoint list is sent only in answer to a poll or on a watch, never unasked.
    pub endpoints_on_request: bool,
    /// A node without a watch polls at least this often: after a silence this long it counts as notified of
    /// every change of the endpoint list.
    pub max_poll_interval: TimeSpan,
    /// A node counts as notified of a change this long after the change was available to it, whether its polls
    /// succeeded or not. A node whose list may be older than that sends nothing by it. Zero: no such limit.
    pub assumed_notified_after: TimeSpan,
    /// The endpoint list says how large the workers are, see [`Endpoint::size`](crate::Endpoint::size).
    pub sizes_listed: bool,
    /// Workers report when a job starts to run.
    pub reports_start: bool,
    /// A worker that has not accepted an attempt after this long counts as unresponsive; zero: workers do not
    /// report acceptance.
    pub accept_timeout: TimeSpan,
    /// [`Action::CancelAttempt`](crate::Action::CancelAttempt) may be used.
    pub may_cancel: bool,
    /// A job may have two attempts in flight at once (a hedged request).
    pub may_hedge: bool,
    /// [`Action::SendGossip`](crate::Action::SendGossip) may be used.
    pub may_gossip: bool,
    /// Price of one full gossip message (256 bytes) to one node for each job.
    pub gossip_price: f64,
    /// Maximum number of attempts for a job.
    pub max_attempts: u32,
    /// Maximum of the retry delay that a rejection can advise; zero: rejections carry no advice.
    pub max_retry_after: TimeSpan,
    /// Price of sending a job to a worker in another zone.
    pub cross_zone_price: f64,
    /// Fraction of its capacity that a worker has at its start, while it warms up.
    pub warm_up_floor: f64,
    /// Time from a worker's start until it has its full capacity.
    pub warm_up: TimeSpan,
    /// A worker that is warming up fails when it is sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... within this time span, by all nodes together.
    pub overload_window: TimeSpan,
}

/// Settings that a dispatcher cannot work with: names one field and what is wrong with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the field in a fixed vocabulary of error messages, which differs from the Rust names: embedders map it
    /// to the name under which their operators know the field.
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {} {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Whether jobs of a class may run any number of times, anywhere.
    pub(crate) fn is_idempotent(&self, class: usize) -> bool {
        self.classes[class].idempotency == Idempotency::Idempotent
    }

    /// Checks every field that has a restricted range.
    ///
    /// # Errors
    /// Where a field is out of its range; the error names the first one.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let all_classes = |holds: fn(&JobClass) -> bool| self.classes.iter().all(holds);
        require(!self.classes.is_empty(), "classes", "is empty")?;
        require(
            all_classes(|class| is_non_negative(class.latency_objective_work_factor)),
            "classes.stretch",
            "is negative",
        )?;
        require(all_classes(|class| is_non_negative(class.priority_weight)), "classes.worth", "is negative")?;
        require(is_fraction(self.over_quota_weight), "over_quota_worth", "is no share")?;
        require(all_classes(|class| !class.client_timeout.is_zero()), "classes.give_up", "is zero")?;
        require(self.nodes > 0, "nodes", "is zero")?;
        require(self.max_attempts > 0, "max_attempts", "is zero")?;
        let quotas_valid = self.tenant_quotas.iter().all(|quota| is_non_negative(*quota));
        require(quotas_valid, "tenant_quotas", "is negative")?;
        require(is_non_negative(self.cross_zone_price), "cross_zone_price", "is negative")?;
        require(is_non_negative(self.gossip_price), "tell_price", "is negative")?;
        require(is_fraction(self.warm_up_floor), "cold_share", "is no share")?;
        require(is_non_negative(self.overload_factor), "overload_factor", "is negative")
    }
}

fn require(holds: bool, field: &'static str, problem: &'static str) -> Result<(), SettingsError> {
    if holds { Ok(()) } else { Err(SettingsError { field, problem }) }
}

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

/// Neither negative nor infinite nor NaN.
fn is_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
