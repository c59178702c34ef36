//! What the node says about itself: metrics and the log.

pub mod logging;
pub mod metrics;
