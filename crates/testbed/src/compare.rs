//! Owns the comparison of two sides over the same seeds: paired differences, and how sure they are. It must never run
//! anything; it is given the figures of both sides.

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::report::Figures;

/// What a comparison says.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    pub pairs: usize,
    /// Mean of b less a, of the share of worth in time.
    pub mean: f64,
    /// Half of the interval that holds the true difference nineteen times in twenty, by Student's t.
    pub half: f64,
    /// a and b of each pair, in the order of the seeds.
    pub shares: Vec<(u64, f64, f64)>,
}

impl Comparison {
    /// Whether the interval leaves out nought.
    pub fn clear(&self) -> bool {
        self.pairs > 1 && self.mean.abs() > self.half
    }
}

/// Compares runs of the same scenario and seeds; each pair must be of one seed, and runs that are not valid do not count.
pub fn compare(pairs: &[(Figures, Figures)]) -> Result<Comparison, String> {
    if let Some((a, b)) = pairs.iter().find(|(a, b)| a.seed != b.seed || a.title != b.title) {
        return Err(format!(
            "a pair is no pair: {} seed {} and {} seed {}",
            a.title, a.seed, b.title, b.seed
        ));
    }
    let shares: Vec<(u64, f64, f64)> = pairs
        .iter()
        .filter(|(a, b)| a.valid && b.valid)
        .map(|(a, b)| (a.seed, a.share_in_time, b.share_in_time))
        .collect();
    if shares.is_empty() {
        return Err(
            "no pair of valid runs is left: give the machine to the runs alone, or ask for less load".into(),
        );
    }
    let count = shares.len() as f64;
    let mean = shares.iter().map(|(_, a, b)| b - a).sum::<f64>() / count;
    let half = if shares.len() < 2 {
        f64::INFINITY
    } else {
        let variance = shares.iter().map(|(_, a, b)| (b - a - mean).powi(2)).sum::<f64>() / (count - 1.0);
        let student = StudentsT::new(0.0, 1.0, count - 1.0).map_err(|e| e.to_string())?;
        student.inverse_cdf(0.975) * (variance / count).sqrt()
    };
    Ok(Comparison { pairs: shares.len(), mean, half, shares })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run(seed: u64, share: f64, valid: bool) -> Figures {
        Figures { title: "t".into(), seed, share_in_time: share, valid, ..Figures::default() }
    }

    #[test]
    fn noise_is_not_taken_for_gain_and_a_steady_gain_is_clear() {
        let pairs = |b: [f64; 4]| {
            (0..4).map(|n| (run(n as u64, 0.5, true), run(n as u64, b[n], true))).collect::<Vec<_>>()
        };
        let noise = compare(&pairs([0.6, 0.4, 0.7, 0.35])).expect("pairs");
        assert!(!noise.clear() && (noise.mean - 0.0125).abs() < 1e-9, "{noise:?}");
        let gain = compare(&pairs([0.60, 0.61, 0.59, 0.60])).expect("pairs");
        // By hand: standard deviation 0.00816, so half of the interval is 3.182 x 0.00816 / 2.
        assert!(gain.clear() && (gain.half - 0.01299).abs() < 1e-4, "{gain:?}");
        assert!(!compare(&pairs([0.9; 4])[..1]).expect("a pair").clear(), "one pair shows nothing");
        assert!(compare(&[(run(1, 0.5, true), run(2, 0.5, true))]).is_err());
        assert!(compare(&[(run(1, 0.5, false), run(1, 0.5, true))]).is_err());
    }
}
