//! Messages between two processes of one node, and how they are encoded on the link between them.
//!
//! A [`Frame`] is a request, a response or a notification. [`Frame::encode`] and [`Decoder`] put it behind a
//! header with a version, a number and a checksum; neither performs I/O, and what the decoder holds is
//! bounded whatever the other process sends.
//!
//! | number | frame | response | payload |
//! | --- | --- | --- | --- |
//! | 1 | [`Hello`](Frame::Hello) | `Accepted` or `Rejected` | JSON array: node, listen address |
//! | 2 | [`Accepted`](Frame::Accepted) | | state snapshot |
//! | 3 | [`Rejected`](Frame::Rejected) | | JSON string: the reason |
//! | 4 | [`TakeoverRequest`](Frame::TakeoverRequest) | `TakeoverGranted` | empty |
//! | 5 | [`TakeoverGranted`](Frame::TakeoverGranted) | | state snapshot |
//! | 6 | [`HandBack`](Frame::HandBack) | none | empty |
//! | 7 | [`Callback`](Frame::Callback) | `CallbackResult` | body of the callback |
//! | 8 | [`CallbackResult`](Frame::CallbackResult) | | JSON boolean |
//! | 9 | [`ClaimJob`](Frame::ClaimJob) | `ClaimResult` | job id, UTF-8 |
//! | 10 | [`ClaimResult`](Frame::ClaimResult) | | JSON boolean |
//! | 11 | [`Command`](Frame::Command) | `CommandResult` | line of an operator |
//! | 12 | [`CommandResult`](Frame::CommandResult) | | JSON: `Ok` or `Err` with the error |
//! | 13 | [`CancelAttempt`](Frame::CancelAttempt) | none | JSON array: worker's address, job id |
//! | 14 | [`MigrateJob`](Frame::MigrateJob) | `MigrationResult` | job record |
//! | 15 | [`MigrationResult`](Frame::MigrationResult) | | JSON boolean |

mod codec;
mod error;
mod header;
mod kind;
mod message;
mod payload;

pub use crate::takeover::RejectReason;
pub use codec::{Decoder, ReceivedFrame};
pub use error::FrameError;
pub use header::VERSION;
pub use kind::{MAX_PAYLOAD_BYTES, MAX_SNAPSHOT_BYTES};
pub use message::Frame;
