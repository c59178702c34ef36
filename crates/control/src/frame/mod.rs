//! Messages between two processes of one node, and their encoding on the link.
//!
//! A [`Frame`] is a request, a response or a notification. [`Frame::encode`] adds a header with a version, a
//! kind, a sequence number and a checksum; [`Decoder`] verifies and removes the header. Neither performs I/O.
//! The buffer of the decoder is bounded regardless of the bytes that the peer sends.
//!
//! | number | frame | response | payload |
//! | --- | --- | --- | --- |
//! | 1 | [`Hello`](Frame::Hello) | `Accepted` or `Rejected` | JSON array: node, listen address |
//! | 2 | [`Accepted`](Frame::Accepted) | | state snapshot |
//! | 3 | [`Rejected`](Frame::Rejected) | | JSON string: reason |
//! | 4 | [`TakeoverRequest`](Frame::TakeoverRequest) | `TakeoverGranted` | empty |
//! | 5 | [`TakeoverGranted`](Frame::TakeoverGranted) | | state snapshot |
//! | 6 | [`HandBack`](Frame::HandBack) | none | empty |
//! | 7 | [`Callback`](Frame::Callback) | `CallbackResult` | body of the callback |
//! | 8 | [`CallbackResult`](Frame::CallbackResult) | | JSON boolean |
//! | 9 | [`ClaimJob`](Frame::ClaimJob) | `ClaimResult` | job id, UTF-8 |
//! | 10 | [`ClaimResult`](Frame::ClaimResult) | | JSON boolean |
//! | 11 | [`Command`](Frame::Command) | `CommandResult` | command line, as on the admin address |
//! | 12 | [`CommandResult`](Frame::CommandResult) | | JSON object: `Ok`, or `Err` with the error |
//! | 13 | [`CancelAttempt`](Frame::CancelAttempt) | none | JSON array: worker address, job id |
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
