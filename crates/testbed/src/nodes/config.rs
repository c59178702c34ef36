//! Configuration file of a node, in the platform's format.

use curlewusher_model::TimeSpan;
use serde_json::{Value, json};

use super::spec::ProcessSpec;
use crate::scenario::{Class, DEDUPLICATION_WINDOW, Idempotency, OVERLOAD_FACTOR, OVERLOAD_WINDOW, Scenario};

/// Factor for the scenario's seed, which makes the nodes' seeds of adjacent scenario seeds differ in many
/// bits.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Renders the configuration file of a process.
pub(super) fn render_config(scenario: &Scenario, spec: &ProcessSpec) -> String {
    let ProcessSpec { number, listen, discovery, admin_address, saved_list, .. } = spec;
    let seed = scenario.seed.wrapping_mul(SEED_MULTIPLIER) ^ *number as u64;
    let empty_list = || json!({"index": 0, "snapshot": true, "endpoints": []});
    let mut file = json!({
        "name": format!("n{number}"),
        "listen": listen,
        "discovery": discovery,
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": scenario.nodes.memory_limit_mb(), "sockets": scenario.nodes.descriptors},
        "known": saved_list.clone().unwrap_or_else(empty_list),
        "settings": settings(scenario, *number),
    });
    if let Some(admin_address) = admin_address {
        file["console"] = json!(admin_address);
    }
    file.to_string()
}

/// Returns the section `settings` of the configuration file.
fn settings(scenario: &Scenario, number: usize) -> Value {
    let services: Vec<_> = scenario.classes.iter().map(service_settings).collect();
    let kinds: Vec<_> = scenario.fleet.kinds.iter().map(|kind| kind.name.as_str()).collect();
    json!({
        "balancers": scenario.nodes.count, "rank": number, "zone": 0, "discovery": "subscribe",
        "localities": ["lab"], "kinds": kinds, "services": services,
        "familyInfo": {"classKind": vec![-1; services.len()], "tellsStart": true},
        "limits": {
            "cancel": true, "mayDuplicate": false, "mayTell": false, "sendCap": 3, "retryAfter": false,
            "maxRetryAfterUs": 2_000_000, "connectTimeoutUs": 150_000, "keepaliveUs": 30_000_000,
        },
        "rules": {
            "askWithinUs": 10_000_000, "coldShare": scenario.fleet.initial_capacity_fraction,
            "warmUpUs": TimeSpan::from_secs_f64(scenario.fleet.warm_up_s), "overloadFactor": OVERLOAD_FACTOR,
            "fallUs": OVERLOAD_WINDOW,
        },
    })
}

/// Returns the settings of a job class, which is a service in the configuration file.
fn service_settings(class: &Class) -> Value {
    let (idempotency, key_scope, deduplication_window) = match class.idempotency {
        Idempotency::Idempotent => ("safe", "", TimeSpan::ZERO),
        Idempotency::IdempotentWithKey => ("keyed", "cell", DEDUPLICATION_WINDOW),
        Idempotency::NonIdempotent => ("unsafe", "", TimeSpan::ZERO),
    };
    json!({
        "name": class.name, "idempotency": idempotency, "keyScope": key_scope,
        "dedupWindowUs": deduplication_window, "objectiveUs": TimeSpan::from_secs_f64(class.objective_s),
        "aimStretch": class.stretch, "giveUpUs": TimeSpan::from_secs_f64(class.timeout_s), "worth": class.priority_weight,
    })
}
