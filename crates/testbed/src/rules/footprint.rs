//! The rule on size: all processes of a node together stay within the limits of one.

use std::collections::HashSet;

use curlewusher_model::Timestamp;

use super::{Rule, Violation};
use crate::nodes::Sample;
use crate::scenario::{MEMORY_MB, Scenario};

/// Returns the first violation of each node. The scenario's limit of descriptors holds for each process, so that only
/// a sum over processes can exceed it.
pub fn check_footprint(samples: &[Sample], scenario: &Scenario) -> Vec<Violation> {
    let mut reported = HashSet::new();
    let mut violations = Vec::new();
    for sample in samples {
        let Some(excess) = describe_excess(sample, scenario.nodes.descriptors) else { continue };
        if reported.insert(sample.node) {
            let description = format!("node {} holds {excess}, all its processes together", sample.node);
            let sampled_at = Timestamp::from_micros((sample.at_s * 1e6) as u64);
            violations.push(Violation::without_events(Rule::Size, sampled_at, description));
        }
    }
    violations
}

fn describe_excess(sample: &Sample, max_descriptors: usize) -> Option<String> {
    let Sample { memory_mb, descriptors, .. } = sample;
    if *descriptors > max_descriptors {
        Some(format!("{descriptors} descriptors of {max_descriptors}"))
    } else if *memory_mb > MEMORY_MB {
        Some(format!("{memory_mb:.0} MB of {MEMORY_MB:.0}"))
    } else {
        None
    }
}
