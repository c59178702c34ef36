//! Permission to report that a process is ready, which makes clients connect to it.

use crate::TimeSpan;

/// How long after its start a process waits for its first answer of discovery before it reports that it is ready with its
/// saved list alone. A ready process without an answer holds the jobs that it takes, so that clients are better off at
/// other nodes; but while discovery is unavailable for long, no node would take jobs at all.
const MAX_WAIT_FOR_ENDPOINTS: TimeSpan = TimeSpan::from_secs(5);
/// The same for a process beside an older one, which continues to serve meanwhile; an upgrade has 6 s in all.
const MAX_WAIT_BESIDE_PREDECESSOR: TimeSpan = TimeSpan::from_secs(3);

/// When a process may report that it is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingPermission {
    /// The configuration has an endpoint list of an earlier run.
    pub has_saved_endpoints: bool,
    /// Another process of this node serves.
    pub has_predecessor: bool,
}

impl ServingPermission {
    /// How long after its start the process may report that it is ready without an answer of discovery.
    /// None: never. With an answer it may at once.
    pub fn max_discovery_wait(self) -> Option<TimeSpan> {
        match self {
            ServingPermission { has_saved_endpoints: false, .. } => None,
            ServingPermission { has_predecessor: true, .. } => Some(MAX_WAIT_BESIDE_PREDECESSOR),
            ServingPermission { has_predecessor: false, .. } => Some(MAX_WAIT_FOR_ENDPOINTS),
        }
    }
}
