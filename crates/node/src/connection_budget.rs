//! The number of connections that one side of the node, clients' or upstream, may have open.
//!
//! Each connection holds a [`ConnectionPermit`] for as long as it has a descriptor. While two processes of one node
//! run, each halves its budget, so that both together stay within the limit on descriptors. A budget never closes a
//! connection by itself. It has a size, which counts the permits that exist, and a target size:
//!
//! | size and target | state | what happens |
//! | --- | --- | --- |
//! | equal | settled | permits are acquired and returned |
//! | size above target | shrinking | free permits are removed at once, others as they are returned; where none is free, an eviction is requested |
//! | size below target | growing | the missing permits are added at once |

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewusher_control::takeover::DescriptorShare;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The right to have one connection open; returned to its budget when dropped.
pub type ConnectionPermit = OwnedSemaphorePermit;

/// Longest wait for a permit to be returned before shrinking looks at the target again.
const SHRINK_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A number of connection permits that can be halved. Clones share the permits.
#[derive(Clone)]
pub struct ConnectionBudget {
    full_size: usize,
    halved_size: usize,
    /// Permits that exist, free or in use.
    size: Rc<Cell<usize>>,
    /// Permits that should exist.
    target_size: Rc<Cell<usize>>,
    /// Hands out the permits.
    permits: Arc<Semaphore>,
}

impl ConnectionBudget {
    /// A budget of `full_size` permits, or `halved_size` while another process of the node runs.
    pub fn new(full_size: usize, halved_size: usize) -> ConnectionBudget {
        ConnectionBudget {
            full_size,
            halved_size,
            size: Rc::new(Cell::new(full_size)),
            target_size: Rc::new(Cell::new(full_size)),
            permits: Arc::new(Semaphore::new(full_size)),
        }
    }

    /// Permits that are not in use.
    pub fn free(&self) -> usize {
        self.permits.available_permits()
    }

    /// Connections that may be open at present. While the budget shrinks, more may still be.
    pub fn target(&self) -> usize {
        self.target_size.get()
    }

    /// Waits for a permit. Never returns none: the semaphore is not closed.
    pub async fn acquire(&self) -> Option<ConnectionPermit> {
        self.permits.clone().acquire_owned().await.ok()
    }

    /// A permit that is free now.
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        self.permits.clone().try_acquire_owned().ok()
    }

    /// Resizes the budget to its full size or to half of it. Where it cannot shrink at once, `request_eviction` is
    /// called: it has one connection end soon.
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

    /// Removes permits as they are returned, until the target is reached. The target may change meanwhile.
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
