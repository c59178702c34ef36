//! Inputs and effects of the worker pool.

/// Index of a worker in the pool.
pub type WorkerIndex = usize;
/// Number of an attempt. The driver assigns it and uses no number twice.
pub type AttemptNumber = u64;

/// Resources that a job needs from a worker.
#[derive(Clone, Debug)]
pub struct JobDemand {
    /// Work of the job, in seconds on a core of speed 1.
    pub work_seconds: f64,
    /// Number of slots that the job occupies while it runs.
    pub slots: u32,
    /// Units of memory that the job occupies while it runs.
    pub memory: f64,
    /// Data set that the job needs.
    pub data_set: u64,
    /// Idempotency key that identifies duplicates, or `None` if duplicates of the job are not dropped.
    pub idempotency_key: Option<u64>,
}

/// Attempt that a worker has received completely.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Worker that received the attempt.
    pub worker: WorkerIndex,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Resources that the job needs.
    pub demand: JobDemand,
}

/// Event that the driver passes to the pool.
#[derive(Clone, Debug)]
pub enum PoolInput {
    /// An attempt arrives at a worker.
    Arrive(Arrival),
    /// An attempt is cancelled.
    Cancel {
        /// Worker to which the attempt was sent.
        worker: WorkerIndex,
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// The worker's process is killed, and all of its jobs are lost.
    Kill(WorkerIndex),
    /// The worker's process starts and begins to warm up.
    Start(WorkerIndex),
    /// The worker's speed is divided by a factor from now on.
    SetSlowdown {
        /// Worker whose speed changes.
        worker: WorkerIndex,
        /// Divisor of the machine's speed, above 0. With 1 the worker runs at the machine's full speed.
        factor: f64,
    },
    /// The worker returns the jobs that have not started and accepts no new ones.
    Drain(WorkerIndex),
}

/// Effect of an event or of the passage of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PoolEffect {
    /// The worker accepted the attempt, which is now queued or running.
    Accepted(AttemptNumber),
    /// The worker rejected the attempt without running it.
    Rejected(AttemptNumber),
    /// The attempt started: it occupies its slots, and fetches its data set or runs.
    Started(AttemptNumber),
    /// The attempt reported its progress.
    Progressed {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Completed fraction of the work, from 0 to 1.
        fraction: f64,
    },
    /// The attempt completed.
    Completed(AttemptNumber),
    /// The worker returned the attempt before it started.
    Returned(AttemptNumber),
    /// The attempt was lost when its worker's process was killed or crashed.
    Lost(AttemptNumber),
    /// The attempt was cancelled.
    Cancelled {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Whether the attempt had started.
        had_started: bool,
    },
    /// The worker was offered too much work during its warm-up and crashed.
    Overloaded(WorkerIndex),
}
