//! Division of the file descriptors that the process may use.
//!
//! Some descriptors are reserved for the node itself, and some for the admin address if there is one. The
//! rest is available for connections: one third for connections to workers (upstream), two thirds for
//! connections from clients. While two processes of one node run during a takeover, each of them uses about
//! half of the descriptors, so that both together stay within the limit.
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

/// Maximum number of descriptors reserved for purposes other than client and upstream connections: the
/// standard streams, discovery, the listener, the event queue, and a margin. A node with few descriptors
/// reserves a quarter of them.
const MAX_RESERVED_DESCRIPTORS: usize = 48;
/// Minimum number of descriptors reserved for purposes other than client and upstream connections: 11
/// descriptors that are always open, six concurrent requests to discovery, the requests to its previous
/// address during a change of the address, and the configuration file during a reload.
const MIN_RESERVED_DESCRIPTORS: usize = 24;
/// Minimum number of connections of a process, even if the limit on descriptors leaves fewer. With fewer
/// connections the process cannot serve.
const MIN_CONNECTIONS: usize = 24;
/// Divisor for the share of upstream in all connections: one connection in this many is for upstream.
const UPSTREAM_DIVISOR: usize = 3;

/// Presence of an admin address, whose connections need descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminAddress {
    /// The process has an admin address, and descriptors are reserved for its connections.
    Configured,
    /// The process has no admin address, and no descriptors are reserved for one.
    None,
}

/// Number of connections that a process may have open.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorBudget {
    /// Maximum number of connections while no other process of the node runs.
    max_connections: usize,
    /// Maximum number of connections while another process of the node runs.
    max_connections_halved: usize,
}

impl DescriptorBudget {
    /// Divides this number of descriptors.
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

    /// Returns the maximum number of client and upstream connections together.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Returns the budget of connections to workers.
    pub fn upstream_connections(&self) -> ConnectionBudget {
        ConnectionBudget::new(
            self.max_connections / UPSTREAM_DIVISOR,
            self.max_connections_halved / UPSTREAM_DIVISOR,
        )
    }

    /// Returns the budget of connections from clients: all connections that are not for upstream.
    pub fn client_connections(&self) -> ConnectionBudget {
        ConnectionBudget::new(
            self.max_connections - self.max_connections / UPSTREAM_DIVISOR,
            self.max_connections_halved - self.max_connections_halved / UPSTREAM_DIVISOR,
        )
    }
}

#[cfg(test)]
#[path = "../../tests/unit/descriptor_budget.rs"]
mod tests;
