//! Where the nodes serve.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;

/// The addresses at which the nodes serve, by their numbers; none until a node has started.
pub type NodeAddresses = Arc<Mutex<Vec<Option<SocketAddr>>>>;
