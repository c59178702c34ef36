//! Rule [`Rule::Size`]: all processes of a node together stay within the resource limits of a single process.

use std::collections::HashSet;

use curlewusher_model::Timestamp;

use super::{Rule, Violation};
use crate::process_cost::Sample;

/// Resource limits of a node, for the sum over all of its processes.
#[derive(Clone, Copy, Debug)]
pub struct FootprintLimits {
    /// Maximum resident memory, in MB.
    pub memory_mb: f64,
    /// Maximum number of open file descriptors. The operating system enforces the same limit for each
    /// process, so only the sum over several processes can exceed it.
    pub descriptors: usize,
}

/// Returns the first violation of [`Rule::Size`] by each node.
pub fn check_footprint(samples: &[Sample], limits: FootprintLimits) -> Vec<Violation> {
    let mut reported = HashSet::new();
    let mut violations = Vec::new();
    for sample in samples {
        let Some(excess) = describe_excess(sample, limits) else { continue };
        if reported.insert(sample.node) {
            let description = format!("node {} holds {excess}, all its processes together", sample.node);
            let sampled_at = Timestamp::from_micros((sample.at_s * 1e6) as u64);
            violations.push(Violation::without_events(Rule::Size, sampled_at, description));
        }
    }
    violations
}

/// Describes the limit that a sample exceeds, or returns `None` if the sample is within both limits. Checks
/// the descriptors first.
fn describe_excess(sample: &Sample, limits: FootprintLimits) -> Option<String> {
    let Sample { memory_mb, descriptors, .. } = sample;
    if *descriptors > limits.descriptors {
        Some(format!("{descriptors} descriptors of {}", limits.descriptors))
    } else if *memory_mb > limits.memory_mb {
        Some(format!("{memory_mb:.0} MB of {:.0}", limits.memory_mb))
    } else {
        None
    }
}
