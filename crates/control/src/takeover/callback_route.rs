//! Which of the two processes of a node a callback of a worker is for.

use super::job_claims::LocalOwnership;

/// Where a callback goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallbackRoute {
    /// This process owns the job.
    Local,
    /// The other process may own the job; the worker gets its response once that process has answered.
    Forward,
    /// No process owns the job.
    Unknown,
}

/// Whether there is another process to which a callback can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardingPeer {
    /// The link to it is connected.
    Linked,
    /// There is none, or it has forwarded this callback itself and must not receive it again.
    None,
}

/// Routes a callback by whether this process owns its job.
pub fn route_callback(ownership: LocalOwnership, peer: ForwardingPeer) -> CallbackRoute {
    match (ownership, peer) {
        (LocalOwnership::Owned, _) => CallbackRoute::Local,
        (LocalOwnership::NotOwned, ForwardingPeer::Linked) => CallbackRoute::Forward,
        (LocalOwnership::NotOwned, ForwardingPeer::None) => CallbackRoute::Unknown,
    }
}
