//! Wire form of the settings object, as the platform writes it.
//!
//! The fields have names in the terms of this project. `serde(rename)` gives the platform's name if it
//! differs. The names of the types and the numbers of their fields are part of error messages. Unknown fields
//! are accepted, because the platform may add fields.

use curlewusher_core::TimeSpan;
use serde::{Deserialize, Serialize};

/// Connect timeout if the settings contain none, or contain 0, with which no attempt could be sent.
pub(crate) const DEFAULT_CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// Idle time after which workers close a connection, if the settings contain none.
const DEFAULT_KEEPALIVE: TimeSpan = TimeSpan::from_secs(1);

/// Complete settings object.
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Wire {
    #[serde(rename = "balancers")]
    pub(crate) nodes: u32,
    #[serde(default, rename = "rank")]
    pub(crate) node_index: u32,
    pub(crate) zone: u32,
    #[serde(rename = "discovery")]
    pub(crate) discovery_mode: String,
    pub(crate) services: Vec<Service>,
    #[serde(default = "default_weight", rename = "overShareWorth")]
    pub(crate) over_quota_weight: f64,
    #[serde(default)]
    pub(crate) customers: Vec<Customer>,
    pub(crate) limits: Limits,
    #[serde(default)]
    pub(crate) prices: Prices,
    pub(crate) rules: Rules,
    /// Meaning of the sizes of workers in the endpoint list.
    #[serde(default, rename = "weights")]
    pub(crate) size_meaning: String,
    #[serde(default)]
    pub(crate) family_info: FamilyInfo,
    #[serde(default, rename = "localities")]
    pub(crate) zone_names: Vec<String>,
    #[serde(default, rename = "kinds")]
    pub(crate) kind_names: Vec<String>,
}

/// Job class.
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Service {
    #[serde(default)]
    pub(crate) name: String,
    pub(crate) idempotency: String,
    #[serde(default)]
    pub(crate) key_scope: String,
    #[serde(default, rename = "dedupWindowUs")]
    pub(crate) deduplication_window: TimeSpan,
    #[serde(rename = "objectiveUs")]
    pub(crate) latency_objective: TimeSpan,
    #[serde(default, rename = "aimStretch")]
    pub(crate) latency_objective_work_factor: Option<f64>,
    #[serde(rename = "giveUpUs")]
    pub(crate) client_timeout: TimeSpan,
    #[serde(default = "default_weight", rename = "worth")]
    pub(crate) priority_weight: f64,
}

/// Tenant.
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Customer {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(rename = "quotaPerS")]
    pub(crate) quota_per_s: f64,
}

/// Actions and limits that the platform allows.
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Limits {
    #[serde(rename = "cancel")]
    pub(crate) may_cancel: bool,
    #[serde(rename = "mayDuplicate")]
    pub(crate) may_hedge: bool,
    #[serde(rename = "mayTell")]
    pub(crate) may_gossip: bool,
    #[serde(rename = "sendCap")]
    pub(crate) max_attempts: u32,
    #[serde(default, rename = "retryAfter")]
    pub(crate) clients_follow_retry_after: bool,
    #[serde(default, rename = "maxRetryAfterUs")]
    pub(crate) max_retry_after: TimeSpan,
    #[serde(default = "default_connect_timeout", rename = "connectTimeoutUs")]
    pub(crate) connect_timeout: TimeSpan,
    #[serde(default = "default_keepalive", rename = "keepaliveUs")]
    pub(crate) keepalive: TimeSpan,
}

/// Prices of sending a job to another zone and of a gossip message.
#[derive(Deserialize, Serialize, Default)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Prices {
    #[serde(default)]
    pub(crate) cross_zone: f64,
    #[serde(default, rename = "peer")]
    pub(crate) gossip: f64,
}

/// Behaviour of workers and discovery.
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Rules {
    #[serde(rename = "askWithinUs")]
    pub(crate) max_poll_interval: TimeSpan,
    #[serde(rename = "coldShare")]
    pub(crate) warm_up_floor: f64,
    #[serde(rename = "warmUpUs")]
    pub(crate) warm_up: TimeSpan,
    pub(crate) overload_factor: f64,
    #[serde(rename = "fallUs")]
    pub(crate) overload_window: TimeSpan,
}

/// Properties of job classes and workers that only some families of sites define. The lists are indexed by
/// class.
#[derive(Deserialize, Serialize, Default)]
#[serde(rename_all = "camelCase")]
pub(crate) struct FamilyInfo {
    /// Kind of machine that each class requires. A negative value allows any kind.
    #[serde(default, rename = "classKind")]
    pub(crate) class_kinds: Vec<i64>,
    /// Work factor of the latency objective of each class, for classes that do not define their own.
    #[serde(default, rename = "classStretch")]
    pub(crate) class_work_factors: Vec<f64>,
    /// Whether workers report that they have started a job.
    #[serde(default, rename = "tellsStart")]
    pub(crate) reports_start: bool,
}

fn default_weight() -> f64 {
    1.0
}

fn default_connect_timeout() -> TimeSpan {
    DEFAULT_CONNECT_TIMEOUT
}

fn default_keepalive() -> TimeSpan {
    DEFAULT_KEEPALIVE
}
