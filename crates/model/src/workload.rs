//! Open-loop workload: the jobs that clients submit and their submission times, sampled from a seed before a
//! run begins.
//!
//! Arrivals do not depend on responses. Arrivals, classes, job sizes, data sets and hints are each sampled
//! from a separate random stream, so that a change of one parameter leaves the samples of the others
//! unchanged.

use rand::Rng;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;
use thiserror::Error;

use crate::TimeSpan;

/// Fraction of the jobs of a class that are large. A large job takes the number of slots of its class, and
/// any other job takes one slot.
const LARGE_JOB_FRACTION: f64 = 0.2;

/// Class of jobs.
#[derive(Clone, Debug)]
pub struct JobClass {
    /// Relative frequency of the class. The weights of the classes need not add up to 1.
    pub weight: f64,
    /// Mean work of a job of the class, in seconds on a core of speed 1.
    pub mean_work_seconds: f64,
    /// Number of slots that a large job of the class takes.
    pub large_job_slots: u32,
}

/// Segment of the load curve: a period in which the arrival rate differs from the base rate.
#[derive(Clone, Copy, Debug)]
pub struct LoadSegment {
    /// Start of the segment, relative to the start of the load.
    pub from: TimeSpan,
    /// End of the segment (exclusive), relative to the start of the load.
    pub until: TimeSpan,
    /// Factor by which the base rate is multiplied.
    pub factor: f64,
}

/// Parameters from which a workload is sampled.
#[derive(Clone, Debug)]
pub struct WorkloadSpec {
    /// Seed of the random streams. The same seed and parameters produce the same jobs.
    pub seed: u64,
    /// Duration of the period in which jobs arrive.
    pub duration: TimeSpan,
    /// Base arrival rate, in jobs per second.
    pub arrival_rate: f64,
    /// Periods in which the arrival rate differs from the base rate. If segments overlap, the last one in the
    /// list applies.
    pub load_curve: Vec<LoadSegment>,
    /// Classes of jobs.
    pub classes: Vec<JobClass>,
    /// Number of different data sets that the jobs need.
    pub data_set_count: u64,
    /// Exponent of the Zipf distribution from which the data set of a job is sampled.
    pub zipf_exponent: f64,
    /// Standard deviation of the logarithm of the ratio of a client's work estimate to the actual work.
    pub hint_spread: f64,
}

/// Job of the workload.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedJob {
    /// Intended time of submission, relative to the start of the load.
    pub submit_at: TimeSpan,
    /// Index of the job's class in [`WorkloadSpec::classes`].
    pub class: usize,
    /// Work of the job, in seconds on a core of speed 1.
    pub work_seconds: f64,
    /// Client's estimate of the work, in seconds.
    pub hint_seconds: f64,
    /// Number of slots that the job takes.
    pub slots: u32,
    /// Data set that the job needs.
    pub data_set: u64,
}

/// Error of [`WorkloadSpec::validate`]: a parameter is not a finite number above 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{parameter} must be finite and above 0")]
pub struct InvalidParameter {
    /// Description of the invalid parameter.
    pub parameter: &'static str,
}

/// Creates the random stream for one purpose. The streams of different purposes are independent, so that a
/// change in the use of one leaves the others unchanged.
pub fn random_stream(seed: u64, purpose: &str) -> Pcg64Mcg {
    let mix =
        |state: u64, byte| (state ^ u64::from(byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23);
    Pcg64Mcg::seed_from_u64(purpose.bytes().fold(seed, mix))
}

impl WorkloadSpec {
    /// Checks the parameters.
    ///
    /// # Errors
    ///
    /// Fails if a parameter is not a finite number above 0. The error names the first such parameter.
    pub fn validate(&self) -> Result<(), InvalidParameter> {
        require_positive(self.arrival_rate, "arrival rate")?;
        require_positive(self.duration.as_micros() as f64, "duration")?;
        require_positive(self.total_weight(), "total weight of the classes")?;
        for class in &self.classes {
            require_positive(class.mean_work_seconds, "mean work of a class")?;
            require_positive(f64::from(class.large_job_slots), "number of slots of a large job")?;
        }
        require_positive(self.data_set_count as f64, "number of data sets")
    }

    /// Samples the jobs in the order of their submission.
    ///
    /// # Panics
    ///
    /// Panics if [`WorkloadSpec::validate`] would fail.
    pub fn sample_jobs(&self) -> Vec<PlannedJob> {
        let mut arrivals = ArrivalSampler::new(self);
        let mut sampler = JobSampler::new(self);
        let mut jobs = Vec::new();
        while let Some(submit_at) = arrivals.sample_next() {
            jobs.push(sampler.sample(submit_at));
        }
        jobs
    }

    fn total_weight(&self) -> f64 {
        self.classes.iter().map(|class| class.weight).sum()
    }
}

fn require_positive(value: f64, parameter: &'static str) -> Result<(), InvalidParameter> {
    if value > 0.0 && value.is_finite() { Ok(()) } else { Err(InvalidParameter { parameter }) }
}

/// Poisson process whose rate follows the load curve.
///
/// Arrivals are sampled by thinning. Candidates arrive at the peak rate. Each is accepted with a probability
/// equal to the ratio of the rate at its time to the peak rate.
struct ArrivalSampler<'spec> {
    spec: &'spec WorkloadSpec,
    rng: Pcg64Mcg,
    interarrival_seconds: Exp<f64>,
    peak_factor: f64,
    candidate_seconds: f64,
}

impl<'spec> ArrivalSampler<'spec> {
    fn new(spec: &'spec WorkloadSpec) -> Self {
        let peak_factor = spec.load_curve.iter().map(|segment| segment.factor).fold(1.0, f64::max);
        ArrivalSampler {
            spec,
            rng: random_stream(spec.seed, "arrivals"),
            interarrival_seconds: Exp::new(spec.arrival_rate * peak_factor)
                .expect("the arrival rate must be above 0"),
            peak_factor,
            candidate_seconds: 0.0,
        }
    }

    fn sample_next(&mut self) -> Option<TimeSpan> {
        loop {
            self.candidate_seconds += self.interarrival_seconds.sample(&mut self.rng);
            let candidate = TimeSpan::from_secs_f64(self.candidate_seconds);
            if candidate >= self.spec.duration {
                return None;
            }
            if self.rng.random::<f64>() * self.peak_factor < self.factor_at(candidate) {
                return Some(candidate);
            }
        }
    }

    fn factor_at(&self, offset: TimeSpan) -> f64 {
        let in_segment = |segment: &&LoadSegment| (segment.from..segment.until).contains(&offset);
        self.spec.load_curve.iter().rfind(in_segment).map_or(1.0, |segment| segment.factor)
    }
}

/// Sampler of all properties of a job except its arrival time.
struct JobSampler<'spec> {
    spec: &'spec WorkloadSpec,
    total_weight: f64,
    class_rng: Pcg64Mcg,
    work_rng: Pcg64Mcg,
    data_set_rng: Pcg64Mcg,
    hint_rng: Pcg64Mcg,
    unit_work: Exp<f64>,
    data_sets: Zipf<f64>,
    hint_error: LogNormal<f64>,
}

impl<'spec> JobSampler<'spec> {
    fn new(spec: &'spec WorkloadSpec) -> Self {
        let hint_spread = spec.hint_spread.max(0.0);
        JobSampler {
            spec,
            total_weight: spec.total_weight(),
            class_rng: random_stream(spec.seed, "classes"),
            work_rng: random_stream(spec.seed, "sizes"),
            data_set_rng: random_stream(spec.seed, "keys"),
            hint_rng: random_stream(spec.seed, "hints"),
            unit_work: Exp::new(1.0).expect("1 is a valid rate of an exponential distribution"),
            data_sets: Zipf::new(spec.data_set_count as f64, spec.zipf_exponent.max(0.0))
                .expect("the number of data sets must be above 0"),
            hint_error: LogNormal::new(0.0, hint_spread).expect("the hint spread must be finite"),
        }
    }

    fn sample(&mut self, submit_at: TimeSpan) -> PlannedJob {
        let class = self.sample_class();
        let JobClass { mean_work_seconds, large_job_slots, .. } = self.spec.classes[class];
        // Half of the work is fixed and half is sampled, so that no job has almost no work.
        let work_seconds = mean_work_seconds * (0.5 + 0.5 * self.unit_work.sample(&mut self.work_rng));
        let hint_seconds = work_seconds * self.hint_error.sample(&mut self.hint_rng);
        let is_large = self.work_rng.random::<f64>() < LARGE_JOB_FRACTION;
        let slots = if is_large { large_job_slots } else { 1 };
        let data_set = self.data_sets.sample(&mut self.data_set_rng) as u64;
        PlannedJob { submit_at, class, work_seconds, hint_seconds, slots, data_set }
    }

    fn sample_class(&mut self) -> usize {
        let mut remaining = self.class_rng.random::<f64>() * self.total_weight;
        let index = self.spec.classes.iter().position(|class| {
            remaining -= class.weight;
            remaining < 0.0
        });
        // Because of rounding, `remaining` may still be at least 0 after the last class.
        index.unwrap_or(self.spec.classes.len() - 1)
    }
}
