//! Epochs of a worker's address, by which connections to a process that is gone are told from those of its
//! successor.

use std::rc::Rc;

/// The time from one discarding of a worker's connections to the next. A connection of an earlier epoch is
/// not kept, and not used either: it may lead to a process that is gone.
#[derive(Clone, Default)]
pub struct Epoch(Rc<()>);

impl Epoch {
    /// Whether both are the same epoch of the same address.
    pub fn is_same(&self, other: &Epoch) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }

    /// Whether anything holds this epoch beside the caller, such as a connection in use.
    pub fn is_in_use(&self) -> bool {
        Rc::strong_count(&self.0) > 1
    }
}
