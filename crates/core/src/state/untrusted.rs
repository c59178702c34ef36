//! Bounds on figures that another process of this node sent. That process may run another version or have a fault, so
//! its figures are checked before they enter the state.

use super::job::MAX_JOB_SLOTS;

/// Maximum of the absolute value of a natural logarithm of a speed, and of the error of hints.
const MAX_LOG: f64 = 10.0;
/// Maximum of a job's work and of a wait, in seconds.
const MAX_SECONDS: f64 = 1e4;

/// A natural logarithm of a speed, clamped; None where it is infinite or NaN.
pub(crate) fn bounded_log_speed(value: f64) -> Option<f64> {
    value.is_finite().then(|| value.clamp(-MAX_LOG, MAX_LOG))
}

/// A mean error of hints (of the natural logarithm); None where it is not a positive number.
pub(crate) fn bounded_hint_error(value: f64) -> Option<f64> {
    bounded_positive(value, MAX_LOG)
}

/// A time span in seconds; None where it is not a positive number.
pub(crate) fn bounded_seconds(value: f64) -> Option<f64> {
    bounded_positive(value, MAX_SECONDS)
}

/// A number of slots; None where it is not a positive number.
pub(crate) fn bounded_slots(value: f64) -> Option<f64> {
    bounded_positive(value, MAX_JOB_SLOTS)
}

fn bounded_positive(value: f64, max: f64) -> Option<f64> {
    (value.is_finite() && value > 0.0).then(|| value.min(max))
}
