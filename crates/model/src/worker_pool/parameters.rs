//! The fixed figures of the machines and of the model.

use crate::TimeSpan;

/// Work of a fetch, as a multiple of the mean work of a job. Measurements of the deployment gave 0.71 to 1.4.
const FETCH_PER_MEAN_JOB: f64 = 1.0;
/// Mean work of a job in the operators' deployment, in seconds.
const MEAN_JOB_SECONDS: f64 = 1.4;

/// The machine that a worker runs on.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its bay: workers of one bay drop repeats of each other's jobs with the same idempotency key.
    pub bay: u32,
    /// Number of cores.
    pub cores: f64,
    /// Seconds of work that a core does in a second.
    pub speed: f64,
    /// Slots of the jobs that may run at once, in total.
    pub slots: u32,
    /// Units of memory.
    pub memory: f64,
    /// Number of jobs that may wait.
    pub queue: usize,
    /// Number of data sets that it caches.
    pub sets: usize,
}

/// What all workers have in common.
#[derive(Clone, Debug)]
pub struct PoolParameters {
    /// Fraction of its capacity that a worker has when it starts; it rises linearly to 1 over `warm_up`.
    pub initial_capacity_fraction: f64,
    /// Duration of the warm-up.
    pub warm_up: TimeSpan,
    /// A worker that is warming up crashes when the work offered to it within `overload_window` exceeds this multiple
    /// of what its present capacity can do in that time.
    pub overload_factor: f64,
    /// Window over which offered work is added up.
    pub overload_window: TimeSpan,
    /// Fraction of capacity lost, in the manner of 1 / (1 + penalty), when twice the cores are in demand.
    pub contention_penalty: f64,
    /// Seconds that a fetch takes at full speed.
    pub fetch_seconds: f64,
    /// Number of fetches that the archive serves at full speed.
    pub archive_concurrency: f64,
    /// Repeats of a job with an idempotency key are dropped in its bay for this long after the first arrival.
    pub deduplication_window: TimeSpan,
    /// Interval between two progress reports of a job.
    pub progress_interval: TimeSpan,
}

impl Default for PoolParameters {
    /// The operators' deployment, the middle of each stated range.
    fn default() -> Self {
        PoolParameters {
            initial_capacity_fraction: 0.13,
            warm_up: TimeSpan::from_secs(24),
            overload_factor: 3.0,
            overload_window: TimeSpan::from_secs(2),
            contention_penalty: 0.05,
            fetch_seconds: MEAN_JOB_SECONDS * FETCH_PER_MEAN_JOB,
            archive_concurrency: 24.0,
            deduplication_window: TimeSpan::from_secs(40),
            progress_interval: TimeSpan::from_secs(2),
        }
    }
}
