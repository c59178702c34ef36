//! Classes of jobs that soak runs and stress runs share, one for each variant of `Idempotency`.

use crate::scenario::Scenario;

/// Class tables of a scenario. The clients' timeouts in them are placeholders, which [`set_timeouts`]
/// replaces because they differ between runs.
const CLASSES: &str = r#"
[[class]]
name = "scan-view"
share = 0.5
mean_s = 0.1
repeats = "safe"
aim_s = 0.75
stretch = 2.5
give_up_s = 1.0
worth = 1.0
[[class]]
name = "sample-register"
share = 0.25
mean_s = 0.3
repeats = "keyed"
aim_s = 2.0
stretch = 2.0
give_up_s = 1.0
worth = 2.0
[[class]]
name = "release-order"
share = 0.25
mean_s = 0.5
slots = 2
repeats = "unsafe"
aim_s = 1.0
stretch = 2.0
give_up_s = 1.0
worth = 3.0
"#;

/// Clients' timeouts for the shared classes, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ClassTimeouts {
    /// Timeout of the class `scan-view`, whose jobs are idempotent.
    pub scan_view_s: f64,
    /// Timeout of the class `sample-register`, whose jobs are idempotent with an idempotency key.
    pub sample_register_s: f64,
    /// Timeout of the class `release-order`, whose jobs are not idempotent.
    pub release_order_s: f64,
}

/// Parses a scenario from the text of its other tables, with the shared classes added.
///
/// # Panics
///
/// Panics if the text is invalid. The text is a constant of the caller, which the tests of the caller parse.
pub fn scenario_with_shared_classes(other_tables: &str, timeouts: ClassTimeouts) -> Scenario {
    let text = format!("{other_tables}{CLASSES}");
    let mut scenario = Scenario::parse(&text).expect("the constant text of a scenario is valid");
    set_timeouts(&mut scenario, timeouts);
    scenario
}

/// Sets the clients' timeouts of the shared classes.
pub fn set_timeouts(scenario: &mut Scenario, timeouts: ClassTimeouts) {
    let timeouts = [timeouts.scan_view_s, timeouts.sample_register_s, timeouts.release_order_s];
    for (class, timeout_s) in scenario.classes.iter_mut().zip(timeouts) {
        class.timeout_s = timeout_s;
    }
}
