//! Tests of timestamps and time spans: conversions to and from microseconds, and arithmetic.

use std::time::Duration;

use curlewusher_model::{TimeSpan, Timestamp};

#[test]
fn seconds_of_any_sign_and_fraction_then_time_span_is_rounded_and_not_negative() {
    for (seconds, micros) in [(-1.0, 0), (-0.0, 0), (0.000_000_4, 0), (0.000_000_5, 1), (1.5, 1_500_000)] {
        assert_eq!(TimeSpan::from_secs_f64(seconds).as_micros(), micros, "{seconds}");
    }
    assert_eq!(TimeSpan::from_secs_f64(f64::NAN), TimeSpan::ZERO);
    assert_eq!(TimeSpan::from_secs_f64(f64::INFINITY), TimeSpan::MAX);
    assert_eq!(TimeSpan::from_micros(1_234_567).as_secs_f64(), 1_234_567.0 / 1e6);
    assert_eq!(TimeSpan::from_millis(1_999).as_micros(), 1_999_000);
    assert_eq!(TimeSpan::from_micros(1_999).as_millis(), 1);
    assert_eq!(Duration::from(TimeSpan::from_secs(2)), Duration::from_secs(2));
    assert_eq!(TimeSpan::from(Duration::from_nanos(1_999)), TimeSpan::from_micros(1));
}

#[test]
fn timestamps_and_time_spans_combined_then_result_has_the_right_type_and_value() {
    let (early, late) = (Timestamp::from_micros(10), Timestamp::from_micros(25));
    let span = TimeSpan::from_micros(15);
    assert_eq!((early + span, late - span, late - early), (late, early, span));
    assert_eq!((late.saturating_since(early), early.saturating_since(late)), (span, TimeSpan::ZERO));
    assert_eq!((early.abs_diff(late), late.abs_diff(early)), (span, span));
    assert_eq!((span + span, span + span - span), (span * 2, span));
    assert_eq!(span / 4, TimeSpan::from_micros(3));
    assert!(Timestamp::default() == Timestamp::ZERO && early < late && late < Timestamp::MAX);
    assert_eq!(late.as_secs_f64(), 25.0 / 1e6);
}
