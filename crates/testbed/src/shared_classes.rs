//! The classes of jobs that soak runs and stress runs share: one of each idempotence.

use crate::scenario::Scenario;

/// The class tables of a scenario, without the clients' timeouts, which differ between runs.
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

/// The clients' timeouts in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ClassTimeouts {
    /// Of the class that is idempotent.
    pub scan_view_s: f64,
    /// Of the class that is idempotent with an idempotency key.
    pub sample_register_s: f64,
    /// Of the class that is not idempotent.
    pub release_order_s: f64,
}

/// A scenario from the text of its other tables, with the shared classes.
///
/// # Panics
///
/// The text is not valid; it is a constant of the caller, which its tests parse.
pub fn scenario_with_shared_classes(other_tables: &str, timeouts: ClassTimeouts) -> Scenario {
    let text = format!("{other_tables}{CLASSES}");
    let mut scenario = Scenario::parse(&text).expect("a constant that the tests parse");
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
