//! Dispatching of jobs: one task owns the [`Dispatcher`](curlewusher_core::Dispatcher) and the state that its
//! decisions need, and the rest of the node reaches it by messages only.
//!
//! | module | what it owns |
//! | --- | --- |
//! | [`messages`] | what the task is sent |
//! | [`jobs`], [`attempts`], [`callbacks`] | open jobs, their attempts, what callbacks mean for these |
//! | [`migration`] | jobs being migrated between the two processes of the node |
//! | [`endpoints`] | name and address of each listed worker |
//! | [`timers`] | when the task acts without a message |
//! | [`clock`] | the node's clock, and conversions between its moments and those of other clocks |
//! | [`outcomes`] | which counters outcomes and responses go to |
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
    DispatchCommand, DispatchMessage, DispatchQueue, EndpointChange, TransferableState, create_queue,
};
pub use migration::{IncomingMigration, JobMigration, MigrationOutcome, OutgoingMigration};
pub use task::{DispatchParts, DispatchTask};
