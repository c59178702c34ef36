//! The random settings of a run, and the configuration of its node.

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;

use crate::randomized_lifecycle::job_model::{DedupScope, JobRules};

/// Random part of the settings.
pub(super) struct RandomSettings {
    pub rules: JobRules,
    /// Maximum deadline of each class, in milliseconds.
    pub deadlines_ms: [u64; 3],
}

impl RandomSettings {
    /// Samples the settings of a run.
    pub fn sample(rng: &mut Rng) -> RandomSettings {
        let dedup_window = Duration::from_millis(rng.u64(500..1500));
        let deadlines_ms = [0; 3].map(|_| rng.u64(1000..=2500));
        let max_attempts = rng.usize(2..=5);
        let scope = [DedupScope::Cell, DedupScope::Cell, DedupScope::Zone, DedupScope::All][rng.usize(0..4)];
        RandomSettings { rules: JobRules { scope, dedup_window, max_attempts }, deadlines_ms }
    }

    /// Returns the settings in the form that the configuration holds.
    pub fn json(&self) -> String {
        let [view, order, register] = self.deadlines_ms.map(|ms| ms * 1000);
        let JobRules { scope, dedup_window, max_attempts } = self.rules;
        format!(
            r#"{{"balancers":1,"rank":0,"zone":0,"discovery":"subscribe","localities":["a","b"],"kinds":["m"],
            "weights":"nominal",
            "services":[
            {{"name":"view","idempotency":"safe","objectiveUs":{view},"giveUpUs":{view},"worth":1.0}},
            {{"name":"order","idempotency":"unsafe","objectiveUs":{order},"giveUpUs":{order},"worth":1.0}},
            {{"name":"register","idempotency":"keyed","keyScope":"{}","dedupWindowUs":{}000,
            "objectiveUs":{register},"giveUpUs":{register},"worth":1.0}}],
            "limits":{{"cancel":true,"mayDuplicate":false,"mayTell":false,"sendCap":{max_attempts},
            "retryAfter":true,"maxRetryAfterUs":2000000,"connectTimeoutUs":100000,"keepaliveUs":2000000}},
            "familyInfo":{{"tellsStart":true}},
            "rules":{{"askWithinUs":2000000,"coldShare":0.5,"warmUpUs":500000,"overloadFactor":3.0,
            "fallUs":1000000}}}}"#,
            scope.name(),
            dedup_window.as_millis()
        )
    }
}

/// Returns the configuration of a node with these settings.
pub(super) fn node_config(settings: &str, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#
    )
}
