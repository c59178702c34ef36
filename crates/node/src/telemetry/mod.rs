//! Metrics and log of the node.

pub mod logging;
pub mod metrics;
