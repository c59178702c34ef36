//! The open-loop workload: which jobs clients submit, and when, drawn from a seed before a run begins.
//!
//! Arrivals do not depend on answers. Arrivals, classes, sizes, data sets and hints are drawn from random streams of
//! their own, so that a change of one parameter leaves the other draws as they are.

use rand::Rng;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;
use thiserror::Error;

use crate::TimeSpan;

/// Part of a class's jobs that take the class's number of slots; the others take one.
const LARGE_JOB_FRACTION: f64 = 0.2;

/// A class of jobs.
#[derive(Clone, Debug)]
pub struct JobClass {
    /// Its weight among the classes; weights need not add up to 1.
    pub share: f64,
    /// Mean work of a job, in seconds on a core of speed 1.
    pub mean_seconds: f64,
    /// Slots of a large job.
    pub slots: u32,
}

/// A segment of the load curve: a span of time in which the arrival rate differs from the base rate.
#[derive(Clone, Copy, Debug)]
pub struct LoadSegment {
    /// Its beginning, counted from the beginning of the load.
    pub from: TimeSpan,
    /// Its end, exclusive, counted in the same way.
    pub until: TimeSpan,
    /// Multiple of the base rate.
    pub factor: f64,
}

/// The parameters that a workload is drawn from.
#[derive(Clone, Debug)]
pub struct WorkloadSpec {
    /// The same seed and parameters draw the same jobs.
    pub seed: u64,
    /// The span of time in which jobs arrive.
    pub length: TimeSpan,
    /// Base arrival rate, in jobs a second.
    pub rate: f64,
    /// Where the rate differs from the base; of overlapping segments the last one holds.
    pub load_curve: Vec<LoadSegment>,
    /// The classes of jobs.
    pub classes: Vec<JobClass>,
    /// Number of data sets that jobs need.
    pub sets: u64,
    /// Exponent of Zipf's law by which the data sets are requested.
    pub skew: f64,
    /// Standard deviation of the logarithm of the hint's error.
    pub hint_spread: f64,
}

/// A job of the workload.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedJob {
    /// Intended time of submission, counted from the beginning of the load.
    pub submit_at: TimeSpan,
    /// Index of its class.
    pub class: usize,
    /// Its work, in seconds on a core of speed 1.
    pub work_seconds: f64,
    /// The client's estimate of the work, in seconds.
    pub hint_seconds: f64,
    /// Slots that it takes.
    pub slots: u32,
    /// The data set that it needs.
    pub set: u64,
}

/// A parameter that no workload can be drawn from. Remedy: a finite value above 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{parameter}: must be above 0")]
pub struct InvalidParameter {
    /// The parameter.
    pub parameter: &'static str,
}

/// The random stream of one concern, so that a change in one concern does not shuffle another.
pub fn random_stream(seed: u64, concern: &str) -> Pcg64Mcg {
    let mix =
        |state: u64, byte| (state ^ u64::from(byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23);
    Pcg64Mcg::seed_from_u64(concern.bytes().fold(seed, mix))
}

impl WorkloadSpec {
    /// Checks the parameters.
    ///
    /// # Errors
    ///
    /// If a parameter is not finite and above 0; the error names the first such one.
    pub fn validate(&self) -> Result<(), InvalidParameter> {
        require_positive(self.rate, "rate")?;
        require_positive(self.length.as_micros() as f64, "length")?;
        require_positive(self.total_share(), "share of all classes together")?;
        for class in &self.classes {
            require_positive(class.mean_seconds, "mean work of a class")?;
            require_positive(f64::from(class.slots), "slots of a class")?;
        }
        require_positive(self.sets as f64, "sets")
    }

    /// Draws the jobs in the order of their submission.
    ///
    /// # Panics
    /// If [`WorkloadSpec::validate`] would fail.
    pub fn draw(&self) -> Vec<PlannedJob> {
        let mut arrivals = Arrivals::new(self);
        let mut jobs = JobSampler::new(self);
        let mut drawn = Vec::new();
        while let Some(submit_at) = arrivals.draw_next() {
            drawn.push(jobs.draw(submit_at));
        }
        drawn
    }

    fn total_share(&self) -> f64 {
        self.classes.iter().map(|class| class.share).sum()
    }
}

fn require_positive(value: f64, parameter: &'static str) -> Result<(), InvalidParameter> {
    if value > 0.0 && value.is_finite() { Ok(()) } else { Err(InvalidParameter { parameter }) }
}

/// A Poisson process whose rate follows the load curve, drawn by thinning: candidates come at the peak rate, and each
/// is accepted with the ratio of its moment's rate to the peak.
struct Arrivals<'spec> {
    spec: &'spec WorkloadSpec,
    random: Pcg64Mcg,
    gap_seconds: Exp<f64>,
    peak_factor: f64,
    candidate_seconds: f64,
}

impl<'spec> Arrivals<'spec> {
    fn new(spec: &'spec WorkloadSpec) -> Self {
        let peak_factor = spec.load_curve.iter().map(|segment| segment.factor).fold(1.0, f64::max);
        Arrivals {
            spec,
            random: random_stream(spec.seed, "arrivals"),
            gap_seconds: Exp::new(spec.rate * peak_factor).expect("validated: a rate above 0"),
            peak_factor,
            candidate_seconds: 0.0,
        }
    }

    fn draw_next(&mut self) -> Option<TimeSpan> {
        loop {
            self.candidate_seconds += self.gap_seconds.sample(&mut self.random);
            let candidate = TimeSpan::from_secs_f64(self.candidate_seconds);
            if candidate >= self.spec.length {
                return None;
            }
            if self.random.random::<f64>() * self.peak_factor < self.factor_at(candidate) {
                return Some(candidate);
            }
        }
    }

    fn factor_at(&self, offset: TimeSpan) -> f64 {
        let in_segment = |segment: &&LoadSegment| (segment.from..segment.until).contains(&offset);
        self.spec.load_curve.iter().rfind(in_segment).map_or(1.0, |segment| segment.factor)
    }
}

/// Draws everything about a job but its arrival.
struct JobSampler<'spec> {
    spec: &'spec WorkloadSpec,
    total_share: f64,
    class_random: Pcg64Mcg,
    size_random: Pcg64Mcg,
    set_random: Pcg64Mcg,
    hint_random: Pcg64Mcg,
    size: Exp<f64>,
    set: Zipf<f64>,
    hint_error: LogNormal<f64>,
}

impl<'spec> JobSampler<'spec> {
    fn new(spec: &'spec WorkloadSpec) -> Self {
        let hint_spread = spec.hint_spread.max(0.0);
        JobSampler {
            spec,
            total_share: spec.total_share(),
            class_random: random_stream(spec.seed, "classes"),
            size_random: random_stream(spec.seed, "sizes"),
            set_random: random_stream(spec.seed, "keys"),
            hint_random: random_stream(spec.seed, "hints"),
            size: Exp::new(1.0).expect("1 is above 0"),
            set: Zipf::new(spec.sets as f64, spec.skew.max(0.0)).expect("validated: sets above 0"),
            hint_error: LogNormal::new(0.0, hint_spread).expect("a spread that is not negative"),
        }
    }

    fn draw(&mut self, submit_at: TimeSpan) -> PlannedJob {
        let class = self.draw_class();
        let JobClass { mean_seconds, slots, .. } = self.spec.classes[class];
        // Half fixed and half drawn, so that no job has almost no work.
        let work_seconds = mean_seconds * (0.5 + 0.5 * self.size.sample(&mut self.size_random));
        let hint_seconds = work_seconds * self.hint_error.sample(&mut self.hint_random);
        let is_large = self.size_random.random::<f64>() < LARGE_JOB_FRACTION;
        let slots = if is_large { slots } else { 1 };
        let set = self.set.sample(&mut self.set_random) as u64;
        PlannedJob { submit_at, class, work_seconds, hint_seconds, slots, set }
    }

    fn draw_class(&mut self) -> usize {
        let mut remaining = self.class_random.random::<f64>() * self.total_share;
        let drawn = self.spec.classes.iter().position(|class| {
            remaining -= class.share;
            remaining < 0.0
        });
        // Rounding may leave nothing for the last class to take.
        drawn.unwrap_or(self.spec.classes.len() - 1)
    }
}
