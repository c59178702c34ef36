//! Idle connections to one worker.

use std::time::Duration;

use tokio::time::Instant;

use crate::upstream::pool::connection::{Connection, REUSE_DELAY};
use crate::upstream::pool::generation::AddressGeneration;

/// Idle connections to one worker, all of the current generation of its address.
#[derive(Default)]
pub struct IdleConnections {
    generation: AddressGeneration,
    /// Connections ordered by the time of their last use, the earliest first.
    connections: Vec<Connection>,
}

impl IdleConnections {
    /// Returns the current generation, for a connection to be dialled.
    pub fn generation(&self) -> AddressGeneration {
        self.generation.clone()
    }

    /// Returns whether a connection is of the current generation.
    pub fn is_current(&self, connection: &Connection) -> bool {
        self.generation.is_same(connection.generation())
    }

    /// Returns whether there are no idle connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns whether there are no idle connections and nothing else refers to the current generation, so
    /// that the entry can be dropped.
    pub fn is_unused(&self) -> bool {
        self.is_empty() && !self.generation.is_in_use()
    }

    /// Adds a connection that has just become idle.
    pub fn push(&mut self, connection: Connection) {
        self.connections.push(connection);
    }

    /// Adds a connection that was taken and not used, at its previous position in the order.
    pub fn reinsert(&mut self, connection: Connection) {
        let idle_since = connection.idle_since();
        let index = self.connections.partition_point(|other| other.idle_since() <= idle_since);
        self.connections.insert(index, connection);
    }

    /// Closes connections that have been idle for `max_idle`, and removes those that the worker has closed.
    pub fn close_expired(&mut self, now: Instant, max_idle: Duration) {
        self.connections.retain(|connection| connection.is_usable(now, max_idle));
    }

    /// Takes the most recently used connection that has been idle for [`REUSE_DELAY`], so that the others
    /// expire. If there is none, takes the one that reaches this delay first. Closes connections that can no
    /// longer be used.
    pub fn take(&mut self, now: Instant, max_idle: Duration) -> Option<Connection> {
        // If the operator's limit is not longer than the reuse delay, no connection is reused.
        self.connections.retain(|connection| max_idle > REUSE_DELAY && connection.is_usable(now, max_idle));
        let reusable_now = |connection: &Connection| connection.has_reuse_delay_elapsed(now);
        let index = self.connections.iter().rposition(reusable_now).unwrap_or(0);
        (index < self.connections.len()).then(|| self.connections.remove(index))
    }

    /// Takes the connection that has been idle for the longest time.
    pub fn take_oldest(&mut self) -> Option<Connection> {
        (!self.is_empty()).then(|| self.connections.remove(0))
    }
}
