//! Access to the peer, the other process of this node.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use rustix::process::{Pid, test_kill_process};

use crate::handover::link::PeerLink;

/// Current link to the peer, shared by all parts that send requests to the peer.
#[derive(Clone, Default)]
pub struct Peer {
    link: Rc<RefCell<Option<PeerLink>>>,
    /// Whether another process of this node may serve without a link, because the rendezvous socket cannot be
    /// used or the search for a predecessor failed.
    may_have_unknown_peer: Rc<Cell<bool>>,
    /// Process at the other end of a lost link, until it has exited.
    lost_process: Rc<Cell<Option<Pid>>>,
}

impl Peer {
    /// Returns the link if it is connected.
    pub fn link(&self) -> Option<PeerLink> {
        self.link.borrow().clone().filter(PeerLink::is_connected)
    }

    /// Returns whether the peer runs but cannot be reached, because its link has failed.
    pub fn is_unreachable(&self) -> bool {
        self.link.borrow().as_ref().is_some_and(PeerLink::has_failed)
    }

    /// Replaces the link, or removes it.
    pub fn set_link(&self, link: Option<PeerLink>) {
        *self.link.borrow_mut() = link;
    }

    /// Removes the lost link, and records the process at its other end until it has exited. The process may
    /// have given up the node and still hold jobs.
    pub fn mark_lost(&self) {
        let link = self.link.take();
        self.lost_process.set(link.and_then(|link| link.peer_pid()));
    }

    /// Returns whether another process of this node may be serving to which this process is not linked.
    pub fn may_have_unknown_peer(&self) -> bool {
        // The id is removed once the process has exited, because the system may assign the id to another
        // process.
        self.lost_process.set(self.lost_process.get().filter(|pid| test_kill_process(*pid).is_ok()));
        self.may_have_unknown_peer.get() || self.is_unreachable() || self.lost_process.get().is_some()
    }

    /// Records that another process of this node may serve without a link, because the rendezvous socket
    /// cannot be used or the search for a predecessor failed.
    pub fn mark_unknown_peer_possible(&self) {
        self.may_have_unknown_peer.set(true);
    }
}
