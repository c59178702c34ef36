//! The configuration that test nodes start with. Tests change single fields of its text.

use std::net::SocketAddr;

use super::scripted_discovery::endpoint_list_json;

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

/// The configuration of a node that listens on a port of the system's choice and starts with these known endpoints.
pub fn node_config(discovery: SocketAddr, known: &[String]) -> String {
    let known = endpoint_list_json(41, true, known);
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

/// Like [`node_config`], with an operator address.
pub fn node_config_with_console(discovery: SocketAddr, known: &[String]) -> String {
    node_config(discovery, known).replacen('{', r#"{"console":"127.0.0.1:0","#, 1)
}

/// Like [`node_config_with_console`], with a connect timeout that a worker on a busy machine keeps.
pub fn node_config_for_handover(discovery: SocketAddr, known: &[String]) -> String {
    node_config_with_console(discovery, known)
        .replace(r#""connectTimeoutUs":500000"#, r#""connectTimeoutUs":6000000"#)
}

/// Like [`node_config`], with a connect timeout and latency objectives that no test reaches, however busy the machine is.
pub fn node_config_with_long_timeouts(discovery: SocketAddr, known: &[String]) -> String {
    node_config(discovery, known)
        .replace(r#""connectTimeoutUs":500000"#, r#""connectTimeoutUs":30000000"#)
        .replace("9000000", "900000000")
}
