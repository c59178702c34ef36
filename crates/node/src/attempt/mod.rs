//! What the dispatch task and the client side of workers share of an attempt. Neither of the two uses the other.
//!
//! - [`interface`]: the requests of the dispatch task, and the reports that it receives.
//! - [`send_permit`]: whether the first byte of an attempt may still be sent.
//! - [`cancel_signal`]: whether the dispatch task has requested the cancellation of an attempt.
//! - [`client_presence`]: whether the client of a job is still connected.
//! - [`cancel_flag`]: a flag that revokes permits, with the moment at which it was raised.

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
