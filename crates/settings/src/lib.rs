//! Reads the settings object that a node and a simulated instance are given, once for both.
//!
//! What the decisions need becomes the library's [`Settings`]; what only real sockets need stands beside it.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use curlewusher_core::{DeduplicationScope, Idempotency, JobClass, KindId, Micros, Settings, ZoneId};
use serde::{Deserialize, Serialize};

pub mod operator;

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
struct Wire {
    balancers: u32,
    #[serde(default)]
    rank: u32,
    zone: u32,
    discovery: String,
    services: Vec<Service>,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    customers: Vec<Customer>,
    limits: Limits,
    #[serde(default)]
    prices: Prices,
    rules: Rules,
    #[serde(default)]
    weights: String,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    localities: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
}

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
struct Service {
    #[serde(default)]
    name: String,
    idempotency: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    dedup_window_us: Micros,
    objective_us: Micros,
    #[serde(default)]
    aim_stretch: Option<f64>,
    give_up_us: Micros,
    #[serde(default = "one")]
    worth: f64,
}

fn one() -> f64 {
    1.0
}

/// No span of time is longer than a year, in microseconds: whatever stands for 'without end' must not run
/// over where a moment is reckoned from it.
const LONGEST: Micros = 365 * 86_400 * 1_000_000;
/// A connection is up within this where the settings do not say, or say 0, by which nothing could ever be
/// sent.
const USUAL_CONNECT: Micros = 500_000;
/// A connection stays open this long at least where the settings do not say.
const USUAL_KEEPALIVE: Micros = 1_000_000;
/// Discovery is asked no more often than by this, however soon silence counts as being told.
const LEAST_ASK: Micros = 100_000;

fn usual_connect() -> Micros {
    USUAL_CONNECT
}

fn usual_keepalive() -> Micros {
    USUAL_KEEPALIVE
}

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
struct Customer {
    #[serde(default)]
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    cancel: bool,
    may_duplicate: bool,
    may_tell: bool,
    send_cap: u32,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_us: Micros,
    #[serde(default = "usual_connect")]
    connect_timeout_us: Micros,
    #[serde(default = "usual_keepalive")]
    keepalive_us: Micros,
}

#[derive(Deserialize, Serialize, Default)]
#[serde(rename_all = "camelCase")]
struct Prices {
    #[serde(default)]
    cross_zone: f64,
    #[serde(default)]
    peer: f64,
}

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    ask_within_us: Micros,
    cold_share: f64,
    warm_up_us: Micros,
    overload_factor: f64,
    fall_us: Micros,
}

#[derive(Deserialize, Serialize, Default)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    #[serde(default)]
    class_kind: Vec<i64>,
    #[serde(default)]
    class_stretch: Vec<f64>,
    #[serde(default)]
    tells_start: bool,
}

/// The settings object, read.
#[derive(Clone, Debug)]
pub struct Site {
    /// What the decisions need.
    pub decisions: Settings,
    /// Names of the classes, by their place.
    pub classes: Vec<String>,
    /// Names of the tenants, by their place.
    pub tenants: Vec<String>,
    /// Names of the zones, by their place.
    pub zones: Vec<String>,
    /// Names of the kinds of machine, by their place.
    pub kinds: Vec<String>,
    /// A connection that is not up after this long counts as refused.
    pub connect_timeout: Micros,
    /// A connection that has been idle for this long is closed by its far end.
    pub keepalive: Micros,
    /// The longest wait that a client follows.
    pub max_retry_after: Micros,
}

/// The settings with every value in effect, defaults included, in the form that they are written in; for people to
/// look at. The error names the field.
pub fn effective(written: serde_json::Value) -> Result<serde_json::Value, String> {
    let wire: Wire =
        serde_path_to_error::deserialize(written).map_err(|e| format!("config: settings.{e}"))?;
    serde_json::to_value(wire).map_err(|e| format!("config: settings: {e}"))
}

/// Reads the settings; the error names the field.
pub fn read(text: &str) -> Result<Site, String> {
    let mut json = serde_json::Deserializer::from_str(text);
    read_from(&mut json)
}

/// Reads the settings from any form that they come in; the error names the field.
pub fn read_from<'a, D: serde::Deserializer<'a>>(source: D) -> Result<Site, String> {
    let wire: Wire = serde_path_to_error::deserialize(source).map_err(|e| e.to_string())?;
    let info = &wire.family_info;
    let max_retry_after = wire.limits.max_retry_after_us.min(LONGEST);
    let class = |(i, s): (usize, &Service)| -> Result<JobClass, String> {
        Ok(JobClass {
            idempotency: effect(s)?,
            latency_objective: s.objective_us.min(LONGEST),
            latency_objective_stretch: s.aim_stretch.or(info.class_stretch.get(i).copied()).unwrap_or(0.0),
            client_timeout: s.give_up_us.min(LONGEST),
            priority_weight: s.worth,
            required_kind: info.class_kind.get(i).and_then(|k| u32::try_from(*k).ok()).map(KindId),
        })
    };
    let settings = Settings {
        nodes: wire.balancers,
        node_index: wire.rank,
        zone: ZoneId(wire.zone),
        classes: wire.services.iter().enumerate().map(class).collect::<Result<_, _>>()?,
        tenant_quotas: wire.customers.iter().map(|c| c.quota_per_s).collect(),
        over_quota_weight: wire.over_share_worth,
        endpoints_on_request: match wire.discovery.as_str() {
            "subscribe" => true,
            "automatic" => false,
            _ => return Err("discovery is neither automatic nor subscribe".into()),
        },
        max_poll_interval: wire.rules.ask_within_us.clamp(LEAST_ASK, LONGEST),
        assumed_notified_after: 0,
        // Sizes that change with the load, or are the same for all, tell nothing of slots.
        sizes_listed: matches!(wire.weights.as_str(), "nominal" | "rough"),
        reports_start: info.tells_start,
        // Only real connections tell.
        accept_timeout: 0,
        may_cancel: wire.limits.cancel,
        may_hedge: wire.limits.may_duplicate,
        may_gossip: wire.limits.may_tell,
        gossip_price: wire.prices.peer,
        max_attempts: wire.limits.send_cap,
        max_retry_after: if wire.limits.retry_after { max_retry_after } else { 0 },
        cross_zone_price: wire.prices.cross_zone,
        warm_up_floor: wire.rules.cold_share,
        warm_up: wire.rules.warm_up_us.min(LONGEST),
        overload_factor: wire.rules.overload_factor,
        overload_window: wire.rules.fall_us.min(LONGEST),
    };
    settings.validate().map_err(|e| {
        let (field, remedy) = written(e.field);
        format!("{field}: {} {}; {remedy}", e.field, e.problem)
    })?;
    Ok(Site {
        decisions: settings,
        classes: wire.services.into_iter().map(|s| s.name).collect(),
        tenants: wire.customers.into_iter().map(|c| c.name).collect(),
        zones: wire.localities,
        kinds: wire.kinds,
        connect_timeout: match wire.limits.connect_timeout_us {
            0 => USUAL_CONNECT,
            given => given.min(LONGEST),
        },
        keepalive: wire.limits.keepalive_us.min(LONGEST),
        max_retry_after,
    })
}

/// The name under which the platform writes a field of the decisions' settings, and what would be right
/// there.
fn written(field: &str) -> (&str, &'static str) {
    match field {
        "classes" => ("services", "name one class of requests at least"),
        "classes.stretch" => ("services.aimStretch", "give 0 or more, or familyInfo.classStretch so"),
        "classes.worth" => ("services.worth", "give 0 or more"),
        "classes.give_up" => ("services.giveUpUs", "give the client's wait in microseconds"),
        "over_quota_worth" => ("overShareWorth", "give a number from 0 to 1"),
        "nodes" => ("balancers", "give the number of nodes, this one included"),
        "max_attempts" => ("limits.sendCap", "give 1 or more"),
        "tenant_quotas" => ("customers.quotaPerS", "give 0 or more"),
        "cross_zone_price" => ("prices.crossZone", "give 0 or more"),
        "tell_price" => ("prices.peer", "give 0 or more"),
        "cold_share" => ("rules.coldShare", "give a number from 0 to 1"),
        "overload_factor" => ("rules.overloadFactor", "give 0 or more"),
        other => (other, "give what the platform's page says of it"),
    }
}

fn effect(s: &Service) -> Result<Idempotency, String> {
    let scope = match s.key_scope.as_str() {
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        "all" | "" => DeduplicationScope::All,
        _ => return Err("services.keyScope is none of all, zone, cell".into()),
    };
    match s.idempotency.as_str() {
        "safe" => Ok(Idempotency::Idempotent),
        "keyed" => Ok(Idempotency::WithKey { scope, window: s.dedup_window_us.min(LONGEST) }),
        "unsafe" => Ok(Idempotency::NonIdempotent),
        _ => Err("services.idempotency is none of safe, keyed, unsafe".into()),
    }
}
