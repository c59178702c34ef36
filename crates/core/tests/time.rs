//! `Timestamp` and `TimeSpan`: bounds, rounding and the serialized form.

use std::time::Duration;

use curlewusher_core::{TimeSpan, Timestamp};

const fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

const fn micros(count: u64) -> TimeSpan {
    TimeSpan::from_micros(count)
}

#[test]
fn other_time_is_later_then_the_duration_since_it_is_zero() {
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
fn seconds_are_not_whole_microseconds_then_they_are_rounded_down() {
    assert_eq!(TimeSpan::from_secs_f64(1.25), micros(1_250_000));
    assert_eq!(TimeSpan::from_secs_f64(0.000_001_9), micros(1));
    assert_eq!(TimeSpan::from_secs_f64(0.000_000_9), TimeSpan::ZERO);
}

#[test]
fn seconds_are_negative_or_nan_then_the_duration_is_zero() {
    for seconds in [-0.0, -1e-9, -5.0, f64::NEG_INFINITY, f64::NAN] {
        assert_eq!(TimeSpan::from_secs_f64(seconds), TimeSpan::ZERO, "{seconds}");
    }
}

#[test]
fn seconds_exceed_the_maximum_then_the_duration_is_the_maximum() {
    for seconds in [1e14, f64::MAX, f64::INFINITY] {
        assert_eq!(TimeSpan::from_secs_f64(seconds), TimeSpan::MAX, "{seconds}");
    }
}

/// Nodes of all versions must compute identical estimates from the same times, to the last bit.
#[test]
fn duration_is_converted_to_seconds_then_its_microseconds_are_divided_once() {
    let mut rng = fastrand::Rng::with_seed(1);
    let durations: Vec<TimeSpan> = (0..1_000).map(|_| micros(rng.u64(0..100_000_000))).collect();
    for duration in &durations {
        let expected = duration.as_micros() as f64 / 1e6;
        assert_eq!(duration.as_secs_f64().to_bits(), expected.to_bits(), "{duration:?}");
    }
    // Because of this difference, durations are not of the type `Duration`.
    let rounds_differently =
        |duration: &&TimeSpan| Duration::from(**duration).as_secs_f64() != duration.as_secs_f64();
    assert!(durations.iter().any(|duration| rounds_differently(&duration)));
}

#[test]
fn duration_is_given_in_larger_units_then_it_equals_their_microseconds() {
    assert_eq!(TimeSpan::from_millis(3), micros(3_000));
    assert_eq!(TimeSpan::from_secs(3), micros(3_000_000));
    assert_eq!(Duration::from(TimeSpan::from_millis(3)), Duration::from_millis(3));
    assert_eq!([micros(1), micros(2), micros(4)].into_iter().sum::<TimeSpan>(), micros(7));
}

#[test]
fn timestamp_or_duration_is_serialized_then_it_is_a_bare_number() {
    assert_eq!(serde_json::to_string(&at(5)).expect("serialization failed"), "5");
    assert_eq!(serde_json::to_string(&micros(6)).expect("serialization failed"), "6");
    assert_eq!(serde_json::from_str::<Timestamp>("5").expect("deserialization of a timestamp failed"), at(5));
    assert_eq!(
        serde_json::from_str::<TimeSpan>("6").expect("deserialization of a duration failed"),
        micros(6)
    );
    for invalid in ["-1", "1.5", "\"1\"", "[1]"] {
        let errors = [
            serde_json::from_str::<Timestamp>(invalid)
                .expect_err("an invalid timestamp was accepted")
                .to_string(),
            serde_json::from_str::<TimeSpan>(invalid)
                .expect_err("an invalid duration was accepted")
                .to_string(),
        ];
        assert!(errors.iter().all(|error| error.contains("expected u64")), "{errors:?}");
    }
}
