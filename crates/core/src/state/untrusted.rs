//! Bounds of values that the peer sent. The peer may run another version or have a fault, so its values are
//! checked before they enter the state.

use super::job::MAX_JOB_SLOTS;

/// Maximum absolute value of the natural logarithm of a speed, and maximum mean error of hints.
const MAX_ABS_LOG: f64 = 10.0;
/// Maximum work of a job and maximum wait, in seconds.
const MAX_SECONDS: f64 = 1e4;

/// Clamps the natural logarithm of a speed. Returns `None` if it is infinite or NaN.
pub(crate) fn clamp_log_speed(value: f64) -> Option<f64> {
    value.is_finite().then(|| value.clamp(-MAX_ABS_LOG, MAX_ABS_LOG))
}

/// Clamps a mean error of hints (a natural logarithm). Returns `None` if it is not positive or not finite.
pub(crate) fn clamp_hint_error(value: f64) -> Option<f64> {
    clamp_positive(value, MAX_ABS_LOG)
}

/// Clamps a duration in seconds. Returns `None` if it is not positive or not finite.
pub(crate) fn clamp_seconds(value: f64) -> Option<f64> {
    clamp_positive(value, MAX_SECONDS)
}

/// Clamps a number of slots. Returns `None` if it is not positive or not finite.
pub(crate) fn clamp_slots(value: f64) -> Option<f64> {
    clamp_positive(value, MAX_JOB_SLOTS)
}

fn clamp_positive(value: f64, max: f64) -> Option<f64> {
    (value.is_finite() && value > 0.0).then(|| value.min(max))
}
