//! Link between two processes of one node, which carries requests in both directions over one Unix socket.
//!
//! **Invariant: a process closes its end only when it exits or has given up the node.** The loss of the link
//! therefore proves that the peer does not serve, and only then may this process serve in its place. Neither
//! load nor time closes a link: requests wait for capacity of the outbound queue, the reader waits for the
//! takeover task, and a peer that is held up is waited for. A request either has a timeout, after which the
//! link stays open, or waits until the peer responds or has ended. A lost link is never connected again.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `requests` | typed requests to the peer |
//! | `peer_request` | typed requests of the peer |
//! | `reader`, `writer` | the two tasks of a link |
//! | `outbound` | frames that wait to be written |
//! | `state` | state that tasks and requests share |

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
pub use self::requests::{ForwardResult, MIN_TIME_FOR_MIGRATION};
use self::state::LinkState;
use self::writer::write_frames;

/// Maximum number of requests of the peer that wait for the takeover task. Further requests wait at the peer.
const MAX_PENDING_PEER_REQUESTS: usize = 1024;

/// End of a link in this process, with the requests that arrive on it.
pub struct LinkEnds {
    /// Link, which sends requests to the peer.
    pub link: PeerLink,
    /// Receiver of the peer's requests. The last one is [`PeerRequest::LinkLost`].
    pub requests: mpsc::Receiver<PeerRequest>,
}

/// Link to the peer. It uses one descriptor, which is closed after the link is lost and the last clone is
/// dropped.
#[derive(Clone)]
pub struct PeerLink {
    state: Rc<LinkState>,
}

impl PeerLink {
    /// Starts a link on a connection whose handshake is complete. `decoder` contains the bytes that were read
    /// after the handshake.
    pub(super) fn start(stream: UnixStream, role: LinkRole, decoder: Decoder) -> LinkEnds {
        let (request_queue, requests) = mpsc::channel(MAX_PENDING_PEER_REQUESTS + 1);
        // A reserved slot, so that the loss of the link is reported even if the queue is full.
        let link_lost_permit = request_queue.clone().try_reserve_owned().ok();
        let state = Rc::new(LinkState::new(stream, role));
        spawn_local(write_frames(Rc::clone(&state)));
        let reader = FrameReader::new(Rc::clone(&state), request_queue);
        spawn_local(reader.run(decoder, link_lost_permit));
        LinkEnds { link: PeerLink { state }, requests }
    }

    /// Returns whether the link is connected, as far as this process has observed.
    pub fn is_connected(&self) -> bool {
        self.state.is_connected()
    }

    /// Returns whether the peer has not closed its end, but its frames cannot be decoded, so that neither
    /// process can reach the other one.
    pub fn has_failed(&self) -> bool {
        self.state.has_failed()
    }

    /// Closes the link for both processes, because this process has given up the node. Pending requests end without a response, unless the peer has
    /// already written the response. Responses that are already written are still read, because the peer
    /// relies on them.
    pub fn close(&self) {
        self.state.close();
    }

    /// Waits until every frame sent so far is written, or the link is lost.
    pub async fn flush(&self) {
        self.state.flush().await;
    }

    /// Returns the process id of the peer.
    pub(super) fn peer_pid(&self) -> Option<Pid> {
        let credentials = self.state.stream.peer_cred().ok()?;
        credentials.pid().and_then(Pid::from_raw)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/handover/link.rs"]
mod tests;
