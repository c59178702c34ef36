//! What the node reports about itself: metrics and the log.

pub mod logging;
pub mod metrics;
