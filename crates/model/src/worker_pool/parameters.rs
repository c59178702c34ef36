//! Fixed parameters of the machines and of the worker pool.

use crate::TimeSpan;

/// Ratio of the duration of a fetch at full speed to the mean work of a job. The deployment has ratios from
/// 0.71 to 1.4.
const FETCH_TO_JOB_RATIO: f64 = 1.0;
/// Mean work of a job in the operators' deployment, in seconds.
const MEAN_WORK_SECONDS: f64 = 1.4;

/// Machine on which a worker runs.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Cell of the machine. The workers of a cell share the deduplication of jobs: a job that one of them has
    /// completed is not run again by another if it has the same idempotency key.
    pub cell: u32,
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core, in seconds of work per second.
    pub speed: f64,
    /// Maximum total number of slots of the jobs that run at the same time.
    pub slots: u32,
    /// Memory capacity, in the units of [`JobDemand::memory`](super::JobDemand::memory).
    pub memory: f64,
    /// Maximum number of queued jobs.
    pub queue_capacity: usize,
    /// Maximum number of cached data sets.
    pub cache_capacity: usize,
}

/// Parameters common to all workers.
#[derive(Clone, Debug)]
pub struct PoolParameters {
    /// Fraction of its capacity that a worker has when it starts. The fraction rises linearly to 1 over
    /// `warm_up_duration`.
    pub initial_capacity_fraction: f64,
    /// Duration of the warm-up.
    pub warm_up_duration: TimeSpan,
    /// Factor that bounds the work offered during warm-up. A worker that is warming up crashes when the work
    /// offered to it within `overload_window` exceeds this multiple of the work that its current capacity
    /// allows in that time.
    pub overload_factor: f64,
    /// Period over which the offered work is summed.
    pub overload_window: TimeSpan,
    /// Loss of capacity through contention. If the demand is twice the number of cores, the capacity is
    /// multiplied by 1 / (1 + `contention_penalty`).
    pub contention_penalty: f64,
    /// Duration of a fetch at full speed, in seconds.
    pub fetch_seconds: f64,
    /// Maximum number of concurrent fetches that the archive serves at full speed.
    pub archive_concurrency: f64,
    /// Period after the first arrival of a job with an idempotency key in which its cell drops duplicates of
    /// it.
    pub deduplication_window: TimeSpan,
    /// Interval between progress reports of a job.
    pub progress_interval: TimeSpan,
}

impl Default for PoolParameters {
    /// Returns the parameters of the operators' deployment: the middle of each specified range.
    fn default() -> Self {
        PoolParameters {
            initial_capacity_fraction: 0.13,
            warm_up_duration: TimeSpan::from_secs(24),
            overload_factor: 3.0,
            overload_window: TimeSpan::from_secs(2),
            contention_penalty: 0.05,
            fetch_seconds: MEAN_WORK_SECONDS * FETCH_TO_JOB_RATIO,
            archive_concurrency: 24.0,
            deduplication_window: TimeSpan::from_secs(40),
            progress_interval: TimeSpan::from_secs(2),
        }
    }
}
