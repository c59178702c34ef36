//! Routing of callbacks of workers between the two processes of a node.

use super::job_claims::LocalOwnership;

/// Route of a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallbackRoute {
    /// This process owns the job.
    Local,
    /// The peer may own the job. The worker receives its response once the peer has answered.
    Forward,
    /// No process that this one can reach owns the job.
    Unknown,
}

/// Process to which a callback can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardTarget {
    /// The peer, over a connected link.
    Peer,
    /// No process: there is no connected peer, or the peer itself forwarded this callback and must not
    /// receive it again.
    None,
}

/// Routes a callback based on whether this process owns its job.
pub fn route_callback(ownership: LocalOwnership, peer: ForwardTarget) -> CallbackRoute {
    match (ownership, peer) {
        (LocalOwnership::Owned, _) => CallbackRoute::Local,
        (LocalOwnership::NotOwned, ForwardTarget::Peer) => CallbackRoute::Forward,
        (LocalOwnership::NotOwned, ForwardTarget::None) => CallbackRoute::Unknown,
    }
}
