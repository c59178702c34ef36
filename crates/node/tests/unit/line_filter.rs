//! Rate limits of the log targets.

use std::time::Duration;

use curlewusher_settings::operator::BoundedInteger;

use super::*;

#[test]
fn a_target_floods_the_log_then_its_lines_are_limited_and_counted_and_others_are_not() {
    let options = LogOptions { lines_per_s: BoundedInteger::new(10), ..LogOptions::default() };
    let filter = LineFilter::new(&options);
    let start = Instant::now();
    let passed = |target, at| (0..100).filter(|_| filter.try_acquire(target, at)).count();
    assert_eq!(passed(0, start), 10);
    assert_eq!(passed(1, start), 10, "the lines of another target counted too");
    assert_eq!(passed(0, start + Duration::from_millis(500)), 5);
    assert_eq!(passed(0, start + Duration::from_mins(1)), 10, "unused lines accumulated beyond one second");
    assert_eq!(filter.rate_limited(), 90 + 90 + 95 + 90);
}
