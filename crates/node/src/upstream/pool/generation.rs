//! Generations of a worker's address, which distinguish connections to a process that has exited from
//! connections to the process that replaced it. The endpoint watch uses generations of discovery's address in
//! the same way.

use std::rc::Rc;

/// Period from one discarding of a worker's connections to the next. A connection of an earlier generation is
/// neither pooled nor used, because it may lead to a process that has exited.
#[derive(Clone, Default)]
pub struct AddressGeneration(Rc<()>);

impl AddressGeneration {
    /// Returns whether both values are the same generation of the same address.
    pub fn is_same(&self, other: &AddressGeneration) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }

    /// Returns whether this generation has other holders than the caller, such as a connection in use.
    pub fn is_in_use(&self) -> bool {
        Rc::strong_count(&self.0) > 1
    }
}
