//! Limit on the number of open connections on one side of the node, towards clients or upstream.
//!
//! Each connection holds a [`ConnectionPermit`] for as long as it has a descriptor. While two processes of
//! one node run, each halves its budget, so that both together stay within the limit on descriptors. A budget
//! never closes a connection by itself. It has a size, which counts the permits that exist, and a target
//! size:
//!
//! | size and target | state | behavior |
//! | --- | --- | --- |
//! | equal | stable | permits are acquired and returned |
//! | size above target | shrinking | free permits are removed at once, others as they are returned; if none is free, an eviction is requested |
//! | size below target | growing | the missing permits are added at once |

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewusher_control::takeover::DescriptorShare;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Permit for one open connection. Dropping the permit returns it to its budget.
pub type ConnectionPermit = OwnedSemaphorePermit;

/// Maximum time that a shrinking budget waits for a permit to be returned before it checks its target again.
const SHRINK_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Budget of connection permits, whose size can be halved. Clones share the permits.
#[derive(Clone)]
pub struct ConnectionBudget {
    /// Number of permits while no other process of the node runs.
    full_size: usize,
    /// Number of permits while another process of the node runs.
    halved_size: usize,
    /// Number of permits that exist, free or in use.
    size: Rc<Cell<usize>>,
    /// Number of permits that should exist.
    target_size: Rc<Cell<usize>>,
    /// Semaphore that hands out the permits.
    permits: Arc<Semaphore>,
}

impl ConnectionBudget {
    /// Creates a budget of `full_size` permits, or `halved_size` while another process of the node runs.
    pub fn new(full_size: usize, halved_size: usize) -> ConnectionBudget {
        ConnectionBudget {
            full_size,
            halved_size,
            size: Rc::new(Cell::new(full_size)),
            target_size: Rc::new(Cell::new(full_size)),
            permits: Arc::new(Semaphore::new(full_size)),
        }
    }

    /// Returns the number of permits that are not in use.
    pub fn free(&self) -> usize {
        self.permits.available_permits()
    }

    /// Returns the number of connections that may be open at present. While the budget shrinks, more
    /// connections may still be open.
    pub fn target(&self) -> usize {
        self.target_size.get()
    }

    /// Waits for a permit. Never returns `None`, since the semaphore is never closed.
    pub async fn acquire(&self) -> Option<ConnectionPermit> {
        self.permits.clone().acquire_owned().await.ok()
    }

    /// Returns a permit if one is free now.
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        self.permits.clone().try_acquire_owned().ok()
    }

    /// Resizes the budget to its full or its halved size. If it cannot shrink at once, calls
    /// `request_eviction`, which makes one connection close soon.
    pub fn set_share(&self, share: DescriptorShare, request_eviction: impl Fn()) {
        self.target_size.set(match share {
            DescriptorShare::All => self.full_size,
            DescriptorShare::Half => self.halved_size,
        });
        self.grow_to_target();
        self.remove_free_permits();
        if self.is_above_target() {
            request_eviction();
            spawn_local(self.clone().shrink_to_target());
        }
    }

    fn is_above_target(&self) -> bool {
        self.size.get() > self.target_size.get()
    }

    fn grow_to_target(&self) {
        let missing = self.target_size.get().saturating_sub(self.size.get());
        if missing > 0 {
            self.permits.add_permits(missing);
            self.size.set(self.target_size.get());
        }
    }

    /// Removes free permits until the target is reached or none is free.
    fn remove_free_permits(&self) {
        while self.is_above_target() {
            let Some(permit) = self.try_acquire() else { return };
            self.remove(permit);
        }
    }

    /// Removes permits as they are returned, until the target is reached. The target may change in the
    /// meantime.
    async fn shrink_to_target(self) {
        while self.is_above_target() {
            if let Ok(Some(permit)) = timeout(SHRINK_CHECK_INTERVAL, self.acquire()).await
                && self.is_above_target()
            {
                self.remove(permit);
            }
        }
    }

    fn remove(&self, permit: ConnectionPermit) {
        permit.forget();
        self.size.set(self.size.get() - 1);
    }
}

#[cfg(test)]
#[path = "../tests/unit/connection_budget.rs"]
mod tests;
