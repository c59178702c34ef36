//! The world that a node serves in: workers, the archive they fetch from, discovery's list, and what clients ask for.
//!
//! Everything here is a model without I/O and without a clock: whoever drives it hands in what happens with the time
//! of each, in microseconds of a clock that never goes back, and is told what follows and when to come again. The
//! laboratory drives it by sockets and real time. The same inputs give the same effects.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fluid;
pub mod plan;
pub mod roll;
pub mod world;

/// A moment, or a span of time, in microseconds.
pub type Micros = u64;

/// Seconds as a span; what is negative is nought.
pub fn span(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}
