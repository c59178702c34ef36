//! Paired comparison of two sides over the same seeds: the mean difference and its confidence interval.
//!
//! The comparison is computed from the figures of finished runs; this module starts no runs.

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use thiserror::Error;

use crate::report::Figures;

/// Quantile of Student's t distribution for a two-sided 95 % confidence interval.
const CONFIDENCE_QUANTILE: f64 = 0.975;

/// Result of a comparison.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Number of valid pairs.
    pub pairs: usize,
    /// Mean of the differences b - a between the shares of the priority weight that were served in time.
    pub mean: f64,
    /// Half width of the 95 % confidence interval of the mean. It is infinite for a single pair.
    #[serde(rename = "half")]
    pub half_width: f64,
    /// Shares of the valid pairs, in the order of the input.
    pub shares: Vec<PairedShares>,
}

/// Shares of the requested priority weight that both sides served in time for one seed. Serialized as an
/// array `[seed, a, b]`.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(into = "(u64, f64, f64)")]
pub struct PairedShares {
    /// Seed of both runs.
    pub seed: u64,
    /// Share that the first side served in time.
    pub a: f64,
    /// Share that the second side served in time.
    pub b: f64,
}

impl PairedShares {
    fn difference(&self) -> f64 {
        self.b - self.a
    }
}

impl From<PairedShares> for (u64, f64, f64) {
    fn from(shares: PairedShares) -> Self {
        (shares.seed, shares.a, shares.b)
    }
}

/// Errors of [`compare`].
#[derive(Debug, Error)]
pub enum CompareError {
    /// The runs of a pair differ in their scenario or their seed.
    #[error("a pair is no pair: {title_a} seed {seed_a} and {title_b} seed {seed_b}")]
    MismatchedPair {
        /// Title of the first run's scenario.
        title_a: String,
        /// Seed of the first run.
        seed_a: u64,
        /// Title of the second run's scenario.
        title_b: String,
        /// Seed of the second run.
        seed_b: u64,
    },
    /// Each pair has an invalid run.
    #[error("no pair of valid runs is left: give the machine to the runs alone, or ask for less load")]
    NoValidPair,
    /// The t distribution rejected its parameters.
    #[error(transparent)]
    Distribution(#[from] statrs::distribution::StudentsTError),
}

impl Comparison {
    /// Returns whether the confidence interval of the mean difference excludes zero.
    pub fn is_significant(&self) -> bool {
        self.pairs > 1 && self.mean.abs() > self.half_width
    }
}

/// Compares pairs `(a, b)` of runs of the same scenario. Ignores pairs with an invalid run.
///
/// # Errors
///
/// Fails if the runs of a pair differ in scenario or seed, or if no pair is valid.
pub fn compare(pairs: &[(Figures, Figures)]) -> Result<Comparison, CompareError> {
    if let Some((a, b)) = pairs.iter().find(|(a, b)| a.seed != b.seed || a.title != b.title) {
        return Err(CompareError::MismatchedPair {
            title_a: a.title.clone(),
            seed_a: a.seed,
            title_b: b.title.clone(),
            seed_b: b.seed,
        });
    }
    let shares: Vec<PairedShares> = pairs
        .iter()
        .filter(|(a, b)| a.valid && b.valid)
        .map(|(a, b)| PairedShares { seed: a.seed, a: a.share_in_time, b: b.share_in_time })
        .collect();
    if shares.is_empty() {
        return Err(CompareError::NoValidPair);
    }
    let mean = shares.iter().map(PairedShares::difference).sum::<f64>() / shares.len() as f64;
    let half_width = confidence_half_width(&shares, mean)?;
    Ok(Comparison { pairs: shares.len(), mean, half_width, shares })
}

/// Returns the half width of the 95 % confidence interval of the mean difference, from Student's t
/// distribution.
fn confidence_half_width(shares: &[PairedShares], mean: f64) -> Result<f64, CompareError> {
    if shares.len() < 2 {
        return Ok(f64::INFINITY);
    }
    let count = shares.len() as f64;
    let degrees_of_freedom = count - 1.0;
    let squares: f64 = shares.iter().map(|pair| (pair.difference() - mean).powi(2)).sum();
    let variance = squares / degrees_of_freedom;
    let student = StudentsT::new(0.0, 1.0, degrees_of_freedom)?;
    Ok(student.inverse_cdf(CONFIDENCE_QUANTILE) * (variance / count).sqrt())
}

/// Returns the text of `comparison.json`.
///
/// # Errors
///
/// Fails if the comparison cannot be serialized as JSON.
pub fn comparison_json(comparison: &Comparison) -> Result<String, serde_json::Error> {
    serde_json::to_string_pretty(comparison)
}

/// Returns the result as one line for a terminal.
pub fn summary_line(comparison: &Comparison) -> String {
    let verdict =
        if comparison.is_significant() { "a difference" } else { "no difference that these runs can show" };
    format!(
        "b less a: {:+.4} +- {:.4} over {} pairs: {verdict}",
        comparison.mean, comparison.half_width, comparison.pairs
    )
}

#[cfg(test)]
#[path = "../tests/unit/compare.rs"]
mod tests;
