//! Moments and spans: bounds, rounding and the serialized form.

use std::time::Duration;

use curlewusher_core::{TimeSpan, Timestamp};

const fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

const fn micros(count: u64) -> TimeSpan {
    TimeSpan::from_micros(count)
}

#[test]
fn other_moment_is_later_then_the_span_since_it_is_zero() {
    assert_eq!(at(5).saturating_since(at(3)), micros(2));
    assert_eq!(at(3).saturating_since(at(3)), TimeSpan::ZERO);
    assert_eq!(at(3).saturating_since(at(5)), TimeSpan::ZERO);
    assert_eq!(Timestamp::ORIGIN.seconds_since(Timestamp::MAX), 0.0);
    assert_eq!(at(2_500_000).seconds_since(at(500_000)), 2.0);
}

#[test]
fn sum_or_difference_exceeds_the_bounds_then_it_is_the_nearest_bound() {
    assert_eq!(at(5).saturating_add(micros(2)), at(7));
    assert_eq!(at(5).saturating_add(TimeSpan::MAX), Timestamp::MAX);
    assert_eq!(at(5).saturating_sub(micros(2)), at(3));
    assert_eq!(at(5).saturating_sub(micros(6)), Timestamp::ORIGIN);
    assert_eq!(micros(5).saturating_sub(micros(2)), micros(3));
    assert_eq!(micros(5).saturating_sub(micros(6)), TimeSpan::ZERO);
}

#[test]
fn seconds_are_no_whole_microseconds_then_they_are_rounded_down() {
    assert_eq!(TimeSpan::from_secs_f64(1.25), micros(1_250_000));
    assert_eq!(TimeSpan::from_secs_f64(0.000_001_9), micros(1));
    assert_eq!(TimeSpan::from_secs_f64(0.000_000_9), TimeSpan::ZERO);
}

#[test]
fn seconds_are_negative_or_nan_then_the_span_is_zero() {
    for seconds in [-0.0, -1e-9, -5.0, f64::NEG_INFINITY, f64::NAN] {
        assert_eq!(TimeSpan::from_secs_f64(seconds), TimeSpan::ZERO, "{seconds}");
    }
}

#[test]
fn seconds_are_too_many_then_the_span_is_the_longest() {
    for seconds in [1e14, f64::MAX, f64::INFINITY] {
        assert_eq!(TimeSpan::from_secs_f64(seconds), TimeSpan::MAX, "{seconds}");
    }
}

/// Nodes of all versions must compute the same estimates from the same times, to the last bit.
#[test]
fn span_is_converted_to_seconds_then_it_is_one_division_of_its_microseconds() {
    let mut rng = fastrand::Rng::with_seed(1);
    let spans: Vec<TimeSpan> = (0..1_000).map(|_| micros(rng.u64(0..100_000_000))).collect();
    for span in &spans {
        let expected = span.as_micros() as f64 / 1e6;
        assert_eq!(span.as_secs_f64().to_bits(), expected.to_bits(), "{span:?}");
    }
    // This is why spans are not of the type `Duration`.
    let rounds_otherwise = |span: &&TimeSpan| Duration::from(**span).as_secs_f64() != span.as_secs_f64();
    assert!(spans.iter().any(|span| rounds_otherwise(&span)));
}

#[test]
fn span_is_given_in_larger_units_then_it_counts_their_microseconds() {
    assert_eq!(TimeSpan::from_millis(3), micros(3_000));
    assert_eq!(TimeSpan::from_secs(3), micros(3_000_000));
    assert_eq!(Duration::from(TimeSpan::from_millis(3)), Duration::from_millis(3));
    assert_eq!([micros(1), micros(2), micros(4)].into_iter().sum::<TimeSpan>(), micros(7));
}

#[test]
fn moment_or_span_is_serialized_then_it_is_a_bare_number() {
    assert_eq!(serde_json::to_string(&at(5)).expect("JSON"), "5");
    assert_eq!(serde_json::to_string(&micros(6)).expect("JSON"), "6");
    assert_eq!(serde_json::from_str::<Timestamp>("5").expect("a moment"), at(5));
    assert_eq!(serde_json::from_str::<TimeSpan>("6").expect("a span"), micros(6));
    for invalid in ["-1", "1.5", "\"1\"", "[1]"] {
        let errors = [
            serde_json::from_str::<Timestamp>(invalid).expect_err("no moment").to_string(),
            serde_json::from_str::<TimeSpan>(invalid).expect_err("no span").to_string(),
        ];
        assert!(errors.iter().all(|error| error.contains("expected u64")), "{errors:?}");
    }
}
