//! Settings of a dispatcher, which are given once, at its start, and their validation.

use std::fmt;

use super::{KindId, TimeSpan, ZoneId};

/// Set of workers that discard a duplicate attempt with the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every worker.
    All,
    /// Workers in the zone of the first attempt.
    Zone,
    /// Workers in the cell of the first attempt.
    Cell,
}

/// Effect of running a job of a class twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A duplicate run does no harm: attempts may go to any worker at any time.
    Idempotent,
    /// Workers discard a duplicate run, which they recognise by the idempotency key of the job.
    WithKey {
        /// Workers that discard the duplicate run.
        scope: DeduplicationScope,
        /// Time for which these workers discard the duplicate run, from the first attempt that might have
        /// run.
        window: TimeSpan,
    },
    /// A duplicate run does harm: no further attempt is sent once one might have run.
    NonIdempotent,
}

/// Properties of a class of jobs.
#[derive(Clone, Debug)]
pub struct JobClass {
    /// Effect of a duplicate run of a job.
    pub idempotency: Idempotency,
    /// Constant part of the latency objective. A response is in time within `latency_objective +
    /// latency_objective_work_factor x work`.
    pub latency_objective: TimeSpan,
    /// Factor of the work of a job in its latency objective.
    pub latency_objective_work_factor: f64,
    /// Value of a response in time, relative to other classes. If jobs differ in work, it is the value per
    /// unit of work.
    pub priority_weight: f64,
    /// Total time for which a client waits.
    pub client_timeout: TimeSpan,
    /// Only kind of machine that can run jobs of this class. `None`: no such restriction.
    pub required_kind: Option<KindId>,
}

/// Complete configuration of a dispatcher.
///
/// A "price" or "weight" without a unit is a fraction of the value of one job.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of nodes that dispatch to the same workers, including this one.
    pub nodes: u32,
    /// Index of this node among them, from 0.
    pub node_index: u32,
    /// Zone of this node.
    pub zone: ZoneId,
    /// Job classes; [`ClassId`](crate::ClassId) is an index into them.
    pub classes: Vec<JobClass>,
    /// Quota of each tenant in jobs per second, over all nodes. Empty: there are no tenants.
    pub tenant_quotas: Vec<f64>,
    /// Weight of a job above the quota of its tenant, as a fraction of the weight of its class.
    pub over_quota_weight: f64,
    /// Whether the endpoint list is sent only in response to a poll or on a watch, never unsolicited.
    pub endpoints_on_request: bool,
    /// Maximum time between two polls of a node without a watch. A node that has received nothing for this
    /// long counts as notified of every change of the endpoint list.
    pub max_poll_interval: TimeSpan,
    /// Time after which a node counts as notified of a change that was available to it, whether its polls
    /// succeeded or not. A node whose list may be older than that sends no attempts based on it. Zero: no
    /// such limit.
    pub assumed_notified_after: TimeSpan,
    /// Whether the endpoint list contains the sizes of workers, see
    /// [`Endpoint::size`](crate::Endpoint::size).
    pub sizes_listed: bool,
    /// Whether workers report when a job starts to run.
    pub reports_start: bool,
    /// Time after which a worker that has not accepted an attempt counts as unresponsive. Zero: workers do
    /// not report acceptance.
    pub accept_timeout: TimeSpan,
    /// Whether [`Action::CancelAttempt`](crate::Action::CancelAttempt) may be used.
    pub may_cancel: bool,
    /// Whether a job may have two attempts in flight at once (a hedged request).
    pub may_hedge: bool,
    /// Whether [`Action::SendGossip`](crate::Action::SendGossip) may be used.
    pub may_gossip: bool,
    /// Price, for each job, of one full gossip message (256 bytes) to one node.
    pub gossip_price: f64,
    /// Maximum number of attempts for a job.
    pub max_attempts: u32,
    /// Maximum retry delay that a rejection can advise. Zero: rejections carry no advice.
    pub max_retry_after: TimeSpan,
    /// Price of sending a job to a worker in another zone.
    pub cross_zone_price: f64,
    /// Fraction of its capacity that a worker has at its start, while it warms up.
    pub warm_up_floor: f64,
    /// Time from the start of a worker until it has its full capacity.
    pub warm_up: TimeSpan,
    /// Multiple of its present capacity above which a worker that is warming up fails. The limit applies to
    /// the work that all nodes together send to it within [`Settings::overload_window`].
    pub overload_factor: f64,
    /// Time window in which work sent to a worker that is warming up counts towards its overload.
    pub overload_window: TimeSpan,
}

/// Invalid settings: names one field and the problem of its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the field in a fixed vocabulary of error messages, which differs from the Rust names.
    /// Embedders map it to the name that their operators use for the field.
    pub field: &'static str,
    /// Problem of the value.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {} {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Returns whether jobs of a class may run any number of times, at any worker.
    pub(crate) fn is_idempotent(&self, class: usize) -> bool {
        self.classes[class].idempotency == Idempotency::Idempotent
    }

    /// Checks every field that has a restricted range.
    ///
    /// # Errors
    /// Returns the first field that is out of its range.
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

/// Returns whether a value is neither negative nor infinite nor NaN.
fn is_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
