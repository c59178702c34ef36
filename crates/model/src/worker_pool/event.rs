//! What happens to the worker pool, and what follows from it.

/// A worker, by its index in the pool.
pub type WorkerIndex = usize;
/// An attempt, by a number that the driver gives; no number is used twice.
pub type AttemptNumber = u64;

/// What a job needs of a worker.
#[derive(Clone, Debug)]
pub struct JobDemand {
    /// Work, in seconds on a core of speed 1.
    pub work_seconds: f64,
    /// Slots that it occupies while it runs.
    pub slots: u32,
    /// Units of memory that it occupies while it runs.
    pub memory: f64,
    /// The data set that it needs.
    pub set: u64,
    /// The idempotency key, by which repeats are recognised; none if repeats are not dropped.
    pub key: Option<u64>,
}

/// An attempt that has reached a worker completely.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The worker.
    pub worker: WorkerIndex,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// What the job needs.
    pub demand: JobDemand,
}

/// An event that the driver passes in.
#[derive(Clone, Debug)]
pub enum PoolInput {
    /// An attempt arrives.
    Arrive(Arrival),
    /// An attempt is cancelled.
    Cancel {
        /// The worker that it was sent to.
        worker: WorkerIndex,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The worker's process dies with all of its jobs.
    Kill(WorkerIndex),
    /// The worker's process starts, and warms up.
    Start(WorkerIndex),
    /// The worker's speed is divided by a factor from now on.
    SetSlowdown {
        /// The worker.
        worker: WorkerIndex,
        /// The divisor, above 0; 1 is the machine's own speed.
        factor: f64,
    },
    /// The worker returns the jobs that have not started, and accepts no others.
    Drain(WorkerIndex),
}

/// What follows from an event or from the passing of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PoolEffect {
    /// The worker accepted the attempt, which waits or runs.
    Accepted(AttemptNumber),
    /// The worker rejected the attempt without running it.
    Rejected(AttemptNumber),
    /// The attempt occupies its slots: it fetches its data set or runs.
    Started(AttemptNumber),
    /// A progress report.
    Progressed {
        /// The attempt.
        attempt: AttemptNumber,
        /// Fraction of the work that is done, 0 to 1.
        fraction: f64,
    },
    /// The attempt is complete.
    Completed(AttemptNumber),
    /// The attempt was returned without having started.
    Returned(AttemptNumber),
    /// The attempt died with its worker.
    Lost(AttemptNumber),
    /// The attempt was cancelled.
    Cancelled {
        /// The attempt.
        attempt: AttemptNumber,
        /// Whether it had started.
        had_started: bool,
    },
    /// A worker that was warming up was offered too much work and has crashed.
    Overloaded(WorkerIndex),
}
