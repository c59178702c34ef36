//! Configurations of test nodes. Tests change single fields of the text.

use std::net::SocketAddr;

use super::scripted_discovery::endpoint_list_json;

/// Value of `settings` in the configuration of a test node.
const SETTINGS: &str = r#"{"balancers":1,"rank":0,"zone":0,"discovery":"subscribe","localities":["a"],"kinds":["m"],
"services":[
{"name":"view","idempotency":"safe","objectiveUs":9000000,"giveUpUs":9000000,"worth":1.0},
{"name":"order","idempotency":"unsafe","objectiveUs":9000000,"giveUpUs":9000000,"worth":1.0},
{"name":"register","idempotency":"keyed","keyScope":"cell","dedupWindowUs":40000000,"objectiveUs":9000000,
"giveUpUs":9000000,"worth":1.0}],
"limits":{"cancel":true,"mayDuplicate":false,"mayTell":false,"sendCap":3,"retryAfter":false,
"maxRetryAfterUs":2000000,"connectTimeoutUs":500000,"keepaliveUs":120000000},
"familyInfo":{"tellsStart":true},
"rules":{"askWithinUs":10000000,"coldShare":0.2,"warmUpUs":1000000,"overloadFactor":3.0,"fallUs":1000000}}"#;

/// Returns the configuration of a node that listens on a port chosen by the system and starts with these
/// known endpoints.
pub fn node_config(discovery: SocketAddr, endpoints: &[String]) -> String {
    let endpoints = endpoint_list_json(41, true, endpoints);
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{endpoints},"settings":{SETTINGS}}}"#
    )
}

/// Returns the configuration of [`node_config`] with an admin address.
pub fn node_config_with_admin(discovery: SocketAddr, endpoints: &[String]) -> String {
    node_config(discovery, endpoints).replacen('{', r#"{"console":"127.0.0.1:0","#, 1)
}

/// Returns the configuration of [`node_config_with_admin`] with a connect timeout that is long enough for a
/// worker on a busy machine.
pub fn node_config_for_handover(discovery: SocketAddr, endpoints: &[String]) -> String {
    node_config_with_admin(discovery, endpoints)
        .replace(r#""connectTimeoutUs":500000"#, r#""connectTimeoutUs":6000000"#)
}

/// Returns the configuration of [`node_config`] with a connect timeout and latency objectives that no test
/// reaches, even on a busy machine.
pub fn node_config_with_long_timeouts(discovery: SocketAddr, endpoints: &[String]) -> String {
    node_config(discovery, endpoints)
        .replace(r#""connectTimeoutUs":500000"#, r#""connectTimeoutUs":30000000"#)
        .replace("9000000", "900000000")
}
