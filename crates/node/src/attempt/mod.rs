//! Types of an attempt that the dispatch task and the worker client share. Neither of the two depends on the
//! other.
//!
//! - [`interface`]: requests of the dispatch task, and reports that it receives.
//! - [`send_permit`]: permit to send the first byte of an attempt.
//! - [`cancel_signal`]: cancellation request from the dispatch task to an attempt.
//! - [`client_presence`]: connection state of the client of a job.
//! - [`cancel_flag`]: flag that revokes permits, with the time at which it was raised.

mod cancel_flag;
mod cancel_signal;
mod client_presence;
mod interface;
mod send_permit;

pub use self::cancel_signal::CancelSignal;
pub use self::client_presence::ClientPresence;
pub use self::interface::{
    AttemptId, AttemptReport, AttemptReporter, AttemptRequest, AttemptTransport, ReportFuture,
};
pub use self::send_permit::{SendLease, SendPermit, SendPermitParts};
