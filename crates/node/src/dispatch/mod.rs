//! Dispatching of jobs. One task owns the [`Dispatcher`](curlewusher_core::Dispatcher) and the state that its
//! decisions need. The rest of the node communicates with the task through messages only.
//!
//! | module | content |
//! | --- | --- |
//! | [`messages`] | messages and commands to the task |
//! | [`jobs`], [`attempts`], [`callbacks`] | open jobs, their attempts, and effects of callbacks on attempts |
//! | [`migration`] | jobs in migration between the two processes of the node |
//! | [`endpoints`] | name and address of each listed worker |
//! | [`timers`] | timers of the task |
//! | [`permission_monitor`] | lease on the endpoint list and permission violations |
//! | [`clock`] | clock of the node, and conversions between its times and those of other clocks |
//! | [`outcomes`] | counters of outcomes and responses |
//! | [`task`] | the task itself |

mod attempts;
mod callbacks;
mod clock;
mod endpoints;
mod jobs;
mod messages;
mod migration;
mod outcomes;
mod permission_monitor;
mod task;
mod timers;

pub use attempts::CallbackState;
pub use clock::{Clock, WallTime};
pub use endpoints::NamedEndpoint;
pub use jobs::{JobHandle, JobOwner, JobResponse, SubmittedJob};
pub use messages::{
    AnsweredPoll, DispatchCommand, DispatchMessage, DispatchQueue, EndpointChange, EndpointPollRequest,
    TransferableState, create_queue,
};
pub use migration::{IncomingMigration, JobMigration, MigrationOutcome, OutgoingMigration};
pub use task::{DispatchParts, DispatchTask};
