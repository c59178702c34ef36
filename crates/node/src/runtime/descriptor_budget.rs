//! How the file descriptors that the process may use are divided.
//!
//! Some are reserved for the node itself, some for the admin address where there is one, and the rest is for
//! connections: a third to workers (upstream), the others from clients. While two processes of one node run
//! during a takeover, each uses about half, so that both together stay within the limit.
//!
//! | `limits.sockets` | admin address | reserved | clients | upstream | clients, halved | upstream, halved |
//! | ---: | --- | ---: | ---: | ---: | ---: | ---: |
//! | 64 | no | 24 | 27 | 13 | 16 | 8 |
//! | 64 | yes | 52 | 16 | 8 | 16 | 8 |
//! | 256 | no | 48 | 139 | 69 | 60 | 30 |
//! | 256 | yes | 76 | 120 | 60 | 51 | 25 |
//! | 1,024 | no | 48 | 651 | 325 | 316 | 158 |
//! | 1,024 | yes | 76 | 632 | 316 | 307 | 153 |

use crate::admin::listener::MAX_ADMIN_DESCRIPTORS;
use crate::connection_budget::ConnectionBudget;

/// Most descriptors reserved for what is no client and no upstream connection: standard streams, discovery,
/// the listener, the event queue, and some to spare. A node with few descriptors reserves a quarter of them.
const MAX_RESERVED_DESCRIPTORS: usize = 48;
/// Fewest descriptors reserved for the same: 11 that are always open, six concurrent calls to discovery, the calls
/// to its previous address while that changes, and the configuration file while it is read.
const MIN_RESERVED_DESCRIPTORS: usize = 24;
/// Fewest connections that a process is given; with fewer it cannot serve.
const MIN_CONNECTIONS: usize = 24;
/// One connection of this many is for upstream.
const UPSTREAM_FRACTION: usize = 3;

/// Whether the process has an admin address, whose callers need descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminAddress {
    /// Descriptors are reserved for its callers.
    Configured,
    /// No descriptors are needed for it.
    None,
}

/// The connections that a process may have open.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorBudget {
    /// While it is the only process of its node.
    max_connections: usize,
    /// While another process of its node runs.
    max_connections_halved: usize,
}

impl DescriptorBudget {
    /// Divides this many descriptors.
    pub fn divide(descriptors: usize, admin_address: AdminAddress) -> Self {
        let admin_descriptors = match admin_address {
            AdminAddress::Configured => MAX_ADMIN_DESCRIPTORS,
            AdminAddress::None => 0,
        };
        let reserved =
            (descriptors / 4).clamp(MIN_RESERVED_DESCRIPTORS, MAX_RESERVED_DESCRIPTORS) + admin_descriptors;
        let max_connections = descriptors.saturating_sub(reserved).max(MIN_CONNECTIONS);
        let max_connections_halved = (descriptors / 2)
            .saturating_sub(reserved / 2 + MAX_ADMIN_DESCRIPTORS / 2)
            .clamp(MIN_CONNECTIONS, max_connections);
        DescriptorBudget { max_connections, max_connections_halved }
    }

    /// Most connections of both kinds together.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// The budget of connections to workers.
    pub fn upstream_connections(&self) -> ConnectionBudget {
        ConnectionBudget::new(
            self.max_connections / UPSTREAM_FRACTION,
            self.max_connections_halved / UPSTREAM_FRACTION,
        )
    }

    /// The budget of connections from clients: what upstream leaves.
    pub fn client_connections(&self) -> ConnectionBudget {
        ConnectionBudget::new(
            self.max_connections - self.max_connections / UPSTREAM_FRACTION,
            self.max_connections_halved - self.max_connections_halved / UPSTREAM_FRACTION,
        )
    }
}

#[cfg(test)]
#[path = "../../tests/unit/descriptor_budget.rs"]
mod tests;
