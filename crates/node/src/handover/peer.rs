//! The other process of this node, as far as this process knows it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use rustix::process::{Pid, test_kill_process};

use crate::handover::link::PeerLink;

/// The current link to the other process, shared by all parts that send requests to it.
#[derive(Clone, Default)]
pub struct Peer {
    link: Rc<RefCell<Option<PeerLink>>>,
    may_have_unknown_peer: Rc<Cell<bool>>,
    /// The process at the other end of a link that was lost.
    lost_process: Rc<Cell<Option<Pid>>>,
}

impl Peer {
    /// The link, while it is connected.
    pub fn link(&self) -> Option<PeerLink> {
        self.link.borrow().clone().filter(PeerLink::is_connected)
    }

    /// Replaces the link, or removes it.
    pub fn set_link(&self, link: Option<PeerLink>) {
        *self.link.borrow_mut() = link;
    }

    /// Removes a link that is lost. The process at its other end has ended, or has closed the link and serves
    /// on by itself.
    pub fn mark_lost(&self) {
        let link = self.link.take();
        self.lost_process.set(link.and_then(|link| link.peer_pid()));
    }

    /// Whether another process of this node may serve that this one has no link to.
    pub fn may_have_unknown_peer(&self) -> bool {
        // Forgotten once it has ended: its process id may be given to another.
        self.lost_process.set(self.lost_process.get().filter(|pid| test_kill_process(*pid).is_ok()));
        self.may_have_unknown_peer.get() || self.lost_process.get().is_some()
    }

    /// Records that another process may serve unknown to this one, because the rendezvous cannot be used.
    pub fn mark_unknown_peer_possible(&self) {
        self.may_have_unknown_peer.set(true);
    }
}
