//! The idle connections to one worker.

use std::time::Duration;

use tokio::time::Instant;

use crate::upstream::pool::connection::{COOL_DOWN, Connection};
use crate::upstream::pool::generation::AddressGeneration;

/// The idle connections to one worker in its present generation.
#[derive(Default)]
pub struct IdleConnections {
    generation: AddressGeneration,
    /// In the order in which they were last used.
    connections: Vec<Connection>,
}

impl IdleConnections {
    /// The present generation, for a connection to be dialled.
    pub fn generation(&self) -> AddressGeneration {
        self.generation.clone()
    }

    /// Whether a connection is of the present generation.
    pub fn has_generation_of(&self, connection: &Connection) -> bool {
        self.generation.is_same(connection.generation())
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether nothing refers to the present generation, so that the entry can be dropped.
    pub fn is_unused(&self) -> bool {
        self.is_empty() && !self.generation.is_in_use()
    }

    /// Adds a connection that has just become idle.
    pub fn push(&mut self, connection: Connection) {
        self.connections.push(connection);
    }

    /// Adds a connection that was taken and not used, at its place in the order.
    pub fn put_back(&mut self, connection: Connection) {
        let idle_since = connection.idle_since();
        let index = self.connections.partition_point(|other| other.idle_since() <= idle_since);
        self.connections.insert(index, connection);
    }

    /// Closes connections that have been idle for `max_idle` or were closed by the worker.
    pub fn close_expired(&mut self, now: Instant, max_idle: Duration) {
        self.connections.retain(|connection| connection.is_usable(now, max_idle));
    }

    /// Takes the most recently used connection of those that have cooled down, so that the others expire;
    /// if none has, the one that will have first. Closes those that cannot be used any more.
    pub fn take(&mut self, now: Instant, max_idle: Duration) -> Option<Connection> {
        // If the operator's limit is not longer than the pause, no connection is reused.
        self.connections.retain(|connection| max_idle > COOL_DOWN && connection.is_usable(now, max_idle));
        let cooled_down = |connection: &Connection| connection.has_cooled_down(now);
        let index = self.connections.iter().rposition(cooled_down).unwrap_or(0);
        (index < self.connections.len()).then(|| self.connections.remove(index))
    }

    /// Takes the connection that was not used for the longest time.
    pub fn take_oldest(&mut self) -> Option<Connection> {
        (!self.is_empty()).then(|| self.connections.remove(0))
    }
}
