//! Permission to report that a process is ready, which makes clients connect to it.

use crate::TimeSpan;

/// Maximum time after its start for which a process waits for the first response of discovery. Then it
/// reports that it is ready with its saved list alone. A ready process without a response holds the jobs that
/// it accepts, so clients are better served by other nodes. But if processes waited throughout a long outage
/// of discovery, no node would accept jobs at all.
const MAX_WAIT_FOR_ENDPOINTS: TimeSpan = TimeSpan::from_secs(5);
/// Maximum time after its start for which a successor waits for the first response of discovery. Its
/// predecessor continues to serve in the meantime. An upgrade may take at most 6 s in all.
const MAX_WAIT_BESIDE_PREDECESSOR: TimeSpan = TimeSpan::from_secs(3);

/// Conditions under which a process may report that it is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingPermission {
    /// Whether the configuration has an endpoint list from an earlier run.
    pub has_saved_endpoints: bool,
    /// Whether a predecessor of this process serves.
    pub has_predecessor: bool,
}

impl ServingPermission {
    /// Returns the time after its start at which the process may report that it is ready without a response
    /// of discovery. `None`: never. With a response, it may do so at once.
    pub fn max_discovery_wait(self) -> Option<TimeSpan> {
        match self {
            ServingPermission { has_saved_endpoints: false, .. } => None,
            ServingPermission { has_predecessor: true, .. } => Some(MAX_WAIT_BESIDE_PREDECESSOR),
            ServingPermission { has_predecessor: false, .. } => Some(MAX_WAIT_FOR_ENDPOINTS),
        }
    }
}
