//! Generations of a worker's address, which distinguish connections to a process that has ended from connections to
//! its successor. They are to the pool what the generations of discovery's address are to the endpoint watch.

use std::rc::Rc;

/// The time from one discarding of a worker's connections to the next. A connection of an earlier generation is
/// neither pooled nor used: it may lead to a process that has ended.
#[derive(Clone, Default)]
pub struct AddressGeneration(Rc<()>);

impl AddressGeneration {
    /// Whether both are the same generation of the same address.
    pub fn is_same(&self, other: &AddressGeneration) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }

    /// Whether anything holds this generation beside the caller, such as a connection in use.
    pub fn is_in_use(&self) -> bool {
        Rc::strong_count(&self.0) > 1
    }
}
