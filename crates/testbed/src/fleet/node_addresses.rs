//! Addresses of the nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;

/// Addresses at which the nodes serve, by node number. Clones share one table.
#[derive(Clone)]
pub struct NodeAddresses(Arc<Mutex<Vec<Option<SocketAddr>>>>);

impl NodeAddresses {
    /// Creates a table for `node_count` nodes, none of which has started.
    pub fn new(node_count: usize) -> Self {
        NodeAddresses(Arc::new(Mutex::new(vec![None; node_count])))
    }

    /// Returns the address of a node, or `None` until it has started.
    pub fn get(&self, node: usize) -> Option<SocketAddr> {
        self.0.lock()[node]
    }

    /// Sets the address of a node that has started.
    pub fn set(&self, node: usize, address: SocketAddr) {
        self.0.lock()[node] = Some(address);
    }
}
