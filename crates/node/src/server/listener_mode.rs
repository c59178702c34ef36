//! The state of the listener, which the server's state holds and the listener follows.

/// What a process does with the connections that wait at its listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerMode {
    /// It leaves them for the other process of the node.
    Paused,
    /// It accepts them.
    Accepting,
    /// It accepts those that wait now, and closes the listener.
    AcceptingRest,
    /// It has closed the listener, or is about to.
    Closed,
}
