//! Estimators: running values with their arithmetic and its constants. No estimator refers to a worker or a
//! job.
//!
//! The results must be identical on every machine. The order of the floating-point operations must therefore
//! not change.

use crate::{JobClass, TimeSpan, Timestamp};

/// Initial mean work of a job, in seconds at speed 1. The initial estimate for the jobs of a class without a
/// hint is the latency objective of the class, clamped to between this value and ten times this value.
pub(crate) const DEFAULT_JOB_WORK: f64 = 0.1;
/// Weight of one sample in estimates that many workers share. In estimates that count their samples, the
/// first samples have a higher weight.
pub(super) const SHARED_ESTIMATE_GAIN: f64 = 0.03;
/// Maximum error of one sample of a speed, as a multiple of the mean error. It limits the effect of outliers.
const MAX_SAMPLE_ERROR_FACTOR: f64 = 2.0;
/// Minimum weight of one job in the learned speed of a worker. The first jobs have a higher weight.
const MIN_WORKER_SPEED_GAIN: f64 = 0.08;
/// Weight of the speed of a kind in the speed of a new worker, as a number of jobs.
const KIND_PRIOR_SAMPLES: f64 = 3.0;
/// Time constant of the mean of the start delays at a kind.
const START_DELAY_TIME_CONSTANT: TimeSpan = TimeSpan::from_secs(5);
/// Prior count of starts without delay. It limits the effect of a single delay.
const START_DELAY_PRIOR_COUNT: f64 = 0.5;

/// Sum whose parts decay exponentially with their age.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    value: f64,
    updated_at: Timestamp,
}

impl DecayingSum {
    /// Returns the present sum, decayed with `time_constant`.
    pub fn get(&self, now: Timestamp, time_constant: TimeSpan) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-now.seconds_since(self.updated_at) / time_constant.as_secs_f64()).exp()
    }

    /// Replaces the sum.
    pub fn set(&mut self, now: Timestamp, value: f64) {
        *self = DecayingSum { value, updated_at: now };
    }

    /// Adds a part.
    pub fn add(&mut self, now: Timestamp, value: f64, time_constant: TimeSpan) {
        self.set(now, self.get(now, time_constant) + value);
    }

    /// Returns the sum if it decreases by 1 per second, as a wait does while the work is done. The result may
    /// be negative.
    pub fn linearly_decayed(&self, now: Timestamp) -> f64 {
        self.value - now.seconds_since(self.updated_at)
    }
}

/// Exponential moving average of a quantity. Each value is weighted by the time for which the quantity had
/// it.
#[derive(Clone, Copy, Default)]
pub(crate) struct TimeWeightedAverage {
    average: f64,
    current: f64,
    updated_at: Timestamp,
}

impl TimeWeightedAverage {
    /// Sets the value of the quantity from `now` on. Returns the average up to `now`, over `time_constant`.
    pub fn set(&mut self, now: Timestamp, current: f64, time_constant: TimeSpan) -> f64 {
        let retained = (-now.seconds_since(self.updated_at) / time_constant.as_secs_f64()).exp();
        self.average = self.average * retained + self.current * (1.0 - retained);
        (self.current, self.updated_at) = (current, now);
        self.average
    }
}

/// Exponentially weighted mean of the samples of the last seconds, biased towards 0 while there are few.
#[derive(Clone, Copy, Default)]
pub(crate) struct WindowedMean {
    sum: DecayingSum,
    count: DecayingSum,
}

impl WindowedMean {
    /// Adds a sample.
    pub fn add(&mut self, now: Timestamp, value: f64) {
        self.sum.add(now, value, START_DELAY_TIME_CONSTANT);
        self.count.add(now, 1.0, START_DELAY_TIME_CONSTANT);
    }

    /// Returns the present mean.
    pub fn get(&self, now: Timestamp) -> f64 {
        self.sum.get(now, START_DELAY_TIME_CONSTANT)
            / (self.count.get(now, START_DELAY_TIME_CONSTANT) + START_DELAY_PRIOR_COUNT)
    }
}

/// Token bucket, which is refilled at a rate up to a burst.
#[derive(Clone, Copy)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Returns a bucket that contains `tokens` tokens.
    pub fn with_tokens(tokens: f64) -> Self {
        TokenBucket { tokens, refilled_at: Timestamp::ORIGIN }
    }

    /// Adds the tokens for the time since the last refill: `rate` tokens per second, up to a total of
    /// `burst`.
    pub fn refill(&mut self, now: Timestamp, rate: f64, burst: f64) {
        self.tokens = (self.tokens + now.seconds_since(self.refilled_at) * rate).min(burst);
        self.refilled_at = now;
    }

    /// Returns whether the bucket contains a whole token.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Removes a token if the bucket contains a whole one.
    pub fn take(&mut self) {
        if self.has_token() {
            self.tokens -= 1.0;
        }
    }
}

/// Speed of a kind of machine or of the whole fleet: an approximate median of the logarithms of the measured
/// speeds.
#[derive(Clone, Copy)]
pub(crate) struct SpeedEstimate {
    /// Natural logarithm of the speed.
    pub log_speed: f64,
    /// Speed, the exponential of `log_speed`.
    pub speed: f64,
    /// Number of measured jobs.
    pub samples: u32,
}

impl SpeedEstimate {
    /// Estimate without samples: speed 1.
    pub const UNKNOWN: SpeedEstimate = SpeedEstimate { log_speed: 0.0, speed: 1.0, samples: 0 };

    /// Adds the error of one more job. As with a median, a single sample changes the estimate little.
    pub fn add_sample(&mut self, error: f64, mean_error: f64) {
        self.samples = self.samples.saturating_add(1);
        let limit = if self.samples > 1 { mean_error * MAX_SAMPLE_ERROR_FACTOR } else { f64::INFINITY };
        self.log_speed +=
            SHARED_ESTIMATE_GAIN.max(1.0 / f64::from(self.samples)) * error.clamp(-limit, limit);
        self.speed = self.log_speed.exp();
    }
}

/// Ratio of the speed of a worker to the speed of its kind.
#[derive(Clone, Copy)]
pub(crate) struct SpeedRatio {
    /// Natural logarithm of the ratio.
    pub log_ratio: f64,
    /// Ratio, the exponential of `log_ratio`.
    pub ratio: f64,
    /// Number of measured jobs.
    pub samples: u32,
}

impl SpeedRatio {
    /// Ratio without samples: the worker is as fast as its kind.
    pub const UNKNOWN: SpeedRatio = SpeedRatio { log_ratio: 0.0, ratio: 1.0, samples: 0 };

    /// Returns a ratio that was learned from `samples` jobs.
    pub fn new(log_ratio: f64, samples: u32) -> Self {
        SpeedRatio { log_ratio, ratio: log_ratio.exp(), samples }
    }

    /// Adds the error of one more job.
    pub fn add_sample(&mut self, error: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = MIN_WORKER_SPEED_GAIN.max(1.0 / (f64::from(self.samples) + KIND_PRIOR_SAMPLES));
        self.log_ratio += gain * error;
        self.ratio = self.log_ratio.exp();
    }
}

/// Work of the jobs of a class that come without a hint, in seconds at speed 1.
///
/// Warm-up budgets sum up work and need the mean; speeds are learned from logarithms. The distribution of
/// work has a long tail: with a single value for both, a worker that is warming up would be sent twice the
/// work that it can do.
#[derive(Clone, Copy)]
pub(crate) struct WorkEstimate {
    /// Mean work.
    pub mean: f64,
    /// Mean natural logarithm of the work.
    pub log_mean: f64,
    samples: u32,
}

impl WorkEstimate {
    /// Returns the estimate without samples. The latency objective gives the order of magnitude.
    pub fn from_latency_objective(class: &JobClass) -> Self {
        let mean = class.latency_objective.as_secs_f64().clamp(DEFAULT_JOB_WORK, 10.0 * DEFAULT_JOB_WORK);
        WorkEstimate { mean, log_mean: mean.ln(), samples: 0 }
    }

    /// Adds the work of one more job.
    pub fn add_sample(&mut self, work: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = SHARED_ESTIMATE_GAIN.max(1.0 / f64::from(self.samples));
        self.mean += gain * (work - self.mean);
        self.log_mean += gain * (work.max(1e-6).ln() - self.log_mean);
    }
}
