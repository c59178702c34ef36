//! Owns the places that a side of the node has for its connections, which two processes of one node share while both run.
//! It must never close a connection: who holds one makes way when asked to.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Where a place is to be given up and none is free, another connection is asked to make way after this.
const PAUSE: Duration = Duration::from_millis(10);

/// So many places, of which a part can be left to the other process.
#[derive(Clone)]
pub struct ConnectionBudget {
    all: usize,
    half: usize,
    /// Those that are this process's to use, and those that should be.
    kept: Rc<Cell<usize>>,
    wanted: Rc<Cell<usize>>,
    room: Arc<Semaphore>,
}

impl ConnectionBudget {
    /// `half`: those that are left to this process while another of its node runs.
    pub fn new(all: usize, half: usize) -> ConnectionBudget {
        let count = || Rc::new(Cell::new(all));
        ConnectionBudget { all, half, kept: count(), wanted: count(), room: Arc::new(Semaphore::new(all)) }
    }

    /// Places that nobody holds.
    pub fn free(&self) -> usize {
        self.room.available_permits()
    }

    /// So many are to be used at present.
    pub fn target(&self) -> usize {
        self.wanted.get()
    }

    /// Waits for a place; it is free again once what comes back is dropped.
    pub async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.room.clone().acquire_owned().await.ok()
    }

    /// A place that is free now.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.room.clone().try_acquire_owned().ok()
    }

    /// Uses half of the places or all. Those in use are given up as they come free; `make_way` asks for one.
    pub fn set_halved(&self, half: bool, make_way: impl Fn()) {
        let wanted = if half { self.half } else { self.all };
        self.wanted.set(wanted);
        if wanted > self.kept.get() {
            self.room.add_permits(wanted - self.kept.get());
            self.kept.set(wanted);
        }
        while self.kept.get() > wanted {
            match self.room.clone().try_acquire_owned() {
                Ok(place) => self.give_up(place),
                Err(_) => break,
            }
        }
        if self.kept.get() > wanted {
            make_way();
            spawn_local(self.clone().shrink());
        }
    }

    async fn shrink(self) {
        while self.kept.get() > self.wanted.get() {
            if let Ok(Some(place)) = timeout(PAUSE, self.acquire()).await
                && self.kept.get() > self.wanted.get()
            {
                self.give_up(place);
            }
        }
    }

    fn give_up(&self, place: OwnedSemaphorePermit) {
        place.forget();
        self.kept.set(self.kept.get() - 1);
    }
}
