//! State of a dispatcher: records, estimators and plain arithmetic. No module here makes a decision or refers
//! to the dispatcher.
//!
//! | module | contents |
//! | --- | --- |
//! | `estimators` | decaying sum, averages, token bucket, estimates of speed and work |
//! | `worker`, `job`, `in_flight` | records of a worker, a job, and an attempt in flight |
//! | `worker_events` | updates of a worker's record |
//! | `fleet`, `jobs` | all workers; all jobs and the queue |
//! | `endpoints`, `subset` | workers that accept new work, and the subset of them that this node uses |
//! | `affinity` | workers that are likely to have the data of a key |
//! | `budgets` | quotas of tenants, and budgets of retries and hedged requests |
//! | `load` | demand of the clients, and capacity of the workers |
//! | `estimates` | x, w and r of the cost, derived from the records |
//! | `attempts` | updates of the records when an attempt is sent, starts and ends |
//! | `snapshot`, `migration` | records that are transferred to the peer |
//! | `untrusted` | bounds of values that the peer sent |

mod affinity;
mod attempts;
mod budgets;
mod endpoints;
mod estimates;
mod estimators;
mod fleet;
mod in_flight;
mod job;
mod jobs;
mod load;
mod migration;
mod snapshot;
mod subset;
mod untrusted;
mod worker;
mod worker_events;

pub(crate) use attempts::EndedAttempt;
pub(crate) use budgets::{AdmissionState, Budgets};
pub(crate) use estimates::{RELIABLE_HINT_SHARE, RunEstimate};
pub(crate) use estimators::{SpeedEstimate, SpeedRatio};
pub(crate) use fleet::{Fleet, LATE_START_THRESHOLD, MachineKind};
pub(crate) use in_flight::{InFlightAttempt, Progress};
pub(crate) use job::{Attempt, AttemptId, Job, MAX_ATTEMPTS, MAX_JOB_SLOTS, QueueKey, clamp_job_work};
pub(crate) use jobs::JobTable;
pub(crate) use load::{Capacity, DEMAND_TIME_CONSTANT, Demand};
pub use migration::MigratedJob;
pub use snapshot::StateSnapshot;
pub(crate) use worker::{MAX_WORKER_KEYS, RemoteBacklog, WarmUpSend, Worker};
