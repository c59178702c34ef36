//! Comparison of two sides: noise, a steady difference, and invalid pairs.

use super::{compare, comparison_json, summary_line};
use crate::golden::{self, golden};
use crate::report::Figures;

fn run(seed: u64, share: f64, valid: bool) -> Figures {
    Figures { title: "t".into(), seed, share_in_time: share, valid, ..Figures::default() }
}

#[test]
fn noise_then_not_significant_and_steady_gain_then_significant() {
    let pairs = |b: [f64; 4]| {
        (0..4).map(|n| (run(n as u64, 0.5, true), run(n as u64, b[n], true))).collect::<Vec<_>>()
    };
    let noise = compare(&pairs([0.6, 0.4, 0.7, 0.35])).expect("the pairs are valid");
    assert!(!noise.is_significant() && (noise.mean - 0.0125).abs() < 1e-9, "{noise:?}");
    let gain = compare(&pairs([0.60, 0.61, 0.59, 0.60])).expect("the pairs are valid");
    // Computed by hand: the standard deviation is 0.00816, so the half width is 3.182 x 0.00816 / 2.
    assert!(gain.is_significant() && (gain.half_width - 0.01299).abs() < 1e-4, "{gain:?}");
    assert!(
        !compare(&pairs([0.9; 4])[..1]).expect("the pair is valid").is_significant(),
        "a single pair is never significant"
    );
    assert!(compare(&[(run(1, 0.5, true), run(2, 0.5, true))]).is_err());
    assert!(compare(&[(run(1, 0.5, false), run(1, 0.5, true))]).is_err());
}

#[test]
fn pairs_of_runs_then_the_json_and_the_printed_result_are_as_recorded() {
    let pairs = |differences: &[f64]| {
        let pair = |(seed, difference): (usize, &f64)| {
            let seed = seed as u64 + 3;
            // The third pair is invalid.
            (run(seed, 0.5, seed != 5), run(seed, 0.5 + difference, true))
        };
        differences.iter().enumerate().map(pair).collect::<Vec<_>>()
    };
    let result = |pairs: &[(Figures, Figures)]| match compare(pairs) {
        Ok(comparison) => {
            let json = comparison_json(&comparison).expect("the value can be serialized");
            format!("{}\n{json}\n", summary_line(&comparison))
        }
        Err(error) => format!("{error}\n"),
    };
    let other_title = Figures { title: "other".into(), ..run(4, 0.5, true) };
    let results = [
        result(&pairs(&[0.1, -0.1, 0.3, 0.2, -0.15])),
        result(&pairs(&[0.1, 0.11, 0.3, 0.09, 0.10])),
        result(&pairs(&[-0.125])),
        result(&pairs(&[0.1, 0.11])[..0]),
        result(&[(run(4, 0.5, true), other_title)]),
        result(&[(run(1, 0.5, false), run(1, 0.5, true))]),
    ];
    golden!("comparisons.txt").assert_eq(&results.join("\n"));
}
