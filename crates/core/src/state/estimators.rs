//! Estimators: small running figures with their arithmetic and its constants. None of them refers to a worker or a job.
//!
//! The results must be the same on every machine: the order of the floating-point operations is part of the
//! code.

use crate::{JobClass, TimeSpan, Timestamp};

/// Work of a job without a hint while its class has no samples, in seconds at speed 1. The class then starts
/// from its latency objective, clamped to between this and ten times this.
pub(crate) const DEFAULT_JOB_WORK: f64 = 0.1;
/// Least weight of one sample in estimates that many workers share. The first ones weigh more.
pub(super) const SHARED_ESTIMATE_GAIN: f64 = 0.03;
/// One sample changes a speed by no more than this many times the usual error, so that outliers count little.
const MAX_SAMPLE_ERRORS: f64 = 2.0;
/// Least weight of one job in a worker's learned speed. The first ones weigh more.
const WORKER_SPEED_GAIN: f64 = 0.08;
/// Weight of a kind's speed in that of a new worker, in jobs.
const KIND_PRIOR_SAMPLES: f64 = 3.0;
/// Span over which the start delays at a kind are averaged.
const START_DELAY_TIME_CONSTANT: TimeSpan = TimeSpan::from_secs(5);
/// Prior count of starts without delay, so that a single delay counts little.
const START_DELAY_PRIOR_COUNT: f64 = 0.5;

/// A sum whose parts decay exponentially with their age.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    value: f64,
    updated_at: Timestamp,
}

impl DecayingSum {
    /// The sum now, with a time constant of `tau`.
    pub fn get(&self, now: Timestamp, tau: TimeSpan) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-now.seconds_since(self.updated_at) / tau.as_secs_f64()).exp()
    }

    /// Replaces the sum.
    pub fn set(&mut self, now: Timestamp, value: f64) {
        *self = DecayingSum { value, updated_at: now };
    }

    /// Adds a part.
    pub fn add(&mut self, now: Timestamp, value: f64, tau: TimeSpan) {
        self.set(now, self.get(now, tau) + value);
    }

    /// The sum if it shrinks by 1 a second, as a wait does while the work is done. May be negative.
    pub fn linearly_decayed(&self, now: Timestamp) -> f64 {
        self.value - now.seconds_since(self.updated_at)
    }
}

/// An exponential moving average of a quantity, weighted by the time for which it had each value.
#[derive(Clone, Copy, Default)]
pub(crate) struct TimeWeightedAverage {
    average: f64,
    current: f64,
    updated_at: Timestamp,
}

impl TimeWeightedAverage {
    /// The quantity is `current` from now on. Returns the average up to now, with a time constant of `tau`.
    pub fn set(&mut self, now: Timestamp, current: f64, tau: TimeSpan) -> f64 {
        let old = (-now.seconds_since(self.updated_at) / tau.as_secs_f64()).exp();
        self.average = self.average * old + self.current * (1.0 - old);
        (self.current, self.updated_at) = (current, now);
        self.average
    }
}

/// The mean of the samples of the last seconds, drawn towards 0 where they are few.
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

    /// The mean now.
    pub fn get(&self, now: Timestamp) -> f64 {
        self.sum.get(now, START_DELAY_TIME_CONSTANT)
            / (self.count.get(now, START_DELAY_TIME_CONSTANT) + START_DELAY_PRIOR_COUNT)
    }
}

/// A token bucket: tokens come back at a rate, up to a burst.
#[derive(Clone, Copy)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// A bucket with so many tokens in it.
    pub fn with_tokens(tokens: f64) -> Self {
        TokenBucket { tokens, refilled_at: Timestamp::ORIGIN }
    }

    /// Adds the tokens of the time since the last refill: `rate` a second, up to `burst` in all.
    pub fn refill(&mut self, now: Timestamp, rate: f64, burst: f64) {
        self.tokens = (self.tokens + now.seconds_since(self.refilled_at) * rate).min(burst);
        self.refilled_at = now;
    }

    /// Whether there is a whole token.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token, if there is a whole one.
    pub fn take(&mut self) {
        if self.has_token() {
            self.tokens -= 1.0;
        }
    }
}

/// The speed of a kind of machine, or of the whole fleet: the middle of the logarithms of the speeds that
/// jobs showed.
#[derive(Clone, Copy)]
pub(crate) struct SpeedEstimate {
    /// Natural logarithm of the speed.
    pub log_speed: f64,
    /// The speed itself.
    pub speed: f64,
    /// Number of jobs seen.
    pub samples: u32,
}

impl SpeedEstimate {
    /// Nothing is known: speed 1.
    pub const UNKNOWN: SpeedEstimate = SpeedEstimate { log_speed: 0.0, speed: 1.0, samples: 0 };

    /// Adds the error of one more job. Like a median, the estimate is moved little by any single one.
    pub fn add_sample(&mut self, error: f64, usual_error: f64) {
        self.samples = self.samples.saturating_add(1);
        let limit = if self.samples > 1 { usual_error * MAX_SAMPLE_ERRORS } else { f64::INFINITY };
        self.log_speed +=
            SHARED_ESTIMATE_GAIN.max(1.0 / f64::from(self.samples)) * error.clamp(-limit, limit);
        self.speed = self.log_speed.exp();
    }
}

/// The speed of a worker over that of its kind.
#[derive(Clone, Copy)]
pub(crate) struct SpeedRatio {
    /// Natural logarithm of the ratio.
    pub log_ratio: f64,
    /// The ratio itself.
    pub ratio: f64,
    /// Number of jobs seen.
    pub samples: u32,
}

impl SpeedRatio {
    /// Nothing is known: the worker is as fast as its kind.
    pub const UNKNOWN: SpeedRatio = SpeedRatio { log_ratio: 0.0, ratio: 1.0, samples: 0 };

    /// A ratio that was learned from so many jobs.
    pub fn new(log_ratio: f64, samples: u32) -> Self {
        SpeedRatio { log_ratio, ratio: log_ratio.exp(), samples }
    }

    /// Adds the error of one more job.
    pub fn add_sample(&mut self, error: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = WORKER_SPEED_GAIN.max(1.0 / (f64::from(self.samples) + KIND_PRIOR_SAMPLES));
        self.log_ratio += gain * error;
        self.ratio = self.log_ratio.exp();
    }
}

/// The work of a class's jobs, in seconds at speed 1, for those that come without a hint.
///
/// Warm-up budgets add work up and need its mean, while speeds are learned from logarithms. Work has a long
/// tail: with one figure for both, a worker that is warming up would be sent twice what it can do.
#[derive(Clone, Copy)]
pub(crate) struct WorkEstimate {
    /// Mean work.
    pub mean: f64,
    /// Mean natural logarithm of the work.
    pub log_mean: f64,
    samples: u32,
}

impl WorkEstimate {
    /// The estimate without samples: the latency objective gives the order of magnitude.
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
