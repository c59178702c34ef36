//! Which of the two processes of a node a callback of a worker is for.

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

/// Routes a callback. `owned_here` says whether this process owns its job, `linked` whether there is another
/// process to ask; `linked` is false for a callback that the other process has forwarded, so that it is not
/// sent back.
pub fn route_callback(owned_here: bool, linked: bool) -> CallbackRoute {
    match (owned_here, linked) {
        (true, _) => CallbackRoute::Local,
        (false, true) => CallbackRoute::Forward,
        (false, false) => CallbackRoute::Unknown,
    }
}
