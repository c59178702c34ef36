//! Mode of the listener. The server's state holds the mode, and the listener follows its changes.

/// Handling of the connections in the accept queue of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerMode {
    /// The process leaves the connections for the peer process of the node.
    Paused,
    /// The process accepts connections.
    Accepting,
    /// The process accepts the connections that are in the queue now, within the budget, and then closes the
    /// listener.
    AcceptingBacklog,
    /// The listener is closed or about to be closed.
    Closed,
}
