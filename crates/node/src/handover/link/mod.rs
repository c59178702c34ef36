//! The link between two processes of one node: requests in both directions over one Unix socket.
//!
//! Each request has a timeout or no response at all, and what waits to be written is bounded, so that a process
//! that does not answer or read cannot delay this one. A link is connected until either side closes it, its
//! stream fails or its writes stall; it is never connected again. Parts:
//!
//! | module | job |
//! | --- | --- |
//! | `requests` | the typed requests to the other process |
//! | `peer_request` | the typed requests of the other process |
//! | `reader`, `writer` | the two tasks of a link |
//! | `outbound` | the frames that wait to be written |
//! | `state` | what tasks and requests share |

mod outbound;
mod peer_request;
mod reader;
mod requests;
mod state;
mod writer;

use std::rc::Rc;

use curlewusher_control::frame::Decoder;
use curlewusher_control::takeover::LinkRole;
use rustix::process::Pid;
use tokio::net::UnixStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

pub(super) use self::outbound::limit_snapshot;
pub use self::peer_request::PeerRequest;
use self::reader::FrameReader;
pub use self::requests::{ForwardResult, MIGRATION_TIMEOUT};
use self::state::LinkState;
use self::writer::write_frames;

/// How many requests of the other process may wait here; further ones are dropped without a response.
const MAX_PENDING_PEER_REQUESTS: usize = 1024;

/// This process's end of a link, and what arrives on it.
pub struct LinkEnds {
    /// Sends requests to the other process.
    pub link: PeerLink,
    /// The other process's requests; the last one is [`PeerRequest::LinkLost`].
    pub requests: mpsc::Receiver<PeerRequest>,
}

/// The link to the other process of this node. It uses one descriptor, until it is lost and the last clone is
/// dropped.
#[derive(Clone)]
pub struct PeerLink {
    state: Rc<LinkState>,
}

impl PeerLink {
    /// Starts a link on a connection whose handshake is done. `decoder` holds what was read after it.
    pub(super) fn start(stream: UnixStream, role: LinkRole, decoder: Decoder) -> LinkEnds {
        let (request_queue, requests) = mpsc::channel(MAX_PENDING_PEER_REQUESTS + 1);
        // A slot of its own, so that the loss of the link is reported however many requests wait.
        let link_lost_permit = request_queue.clone().try_reserve_owned().ok();
        let state = Rc::new(LinkState::new(stream, role));
        spawn_local(write_frames(Rc::clone(&state)));
        let reader = FrameReader::new(Rc::clone(&state), request_queue);
        spawn_local(reader.run(decoder, link_lost_permit));
        LinkEnds { link: PeerLink { state }, requests }
    }

    /// Whether the link is connected, as far as this process knows.
    pub fn is_connected(&self) -> bool {
        self.state.is_connected()
    }

    /// Closes the link for both processes. Pending requests end without a response, unless the other process has
    /// written it already: such responses are still read, since the other process relies on them.
    pub fn close(&self) {
        self.state.close();
    }

    /// Returns once every frame sent so far is written, or the link is lost.
    pub async fn flush(&self) {
        self.state.flush().await;
    }

    /// Process id of the other process.
    pub(super) fn peer_pid(&self) -> Option<Pid> {
        let credentials = self.state.stream.peer_cred().ok()?;
        credentials.pid().and_then(Pid::from_raw)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/handover/link.rs"]
mod tests;
