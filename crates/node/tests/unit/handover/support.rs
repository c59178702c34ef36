//! What the handover's tests share: a paused clock on one thread, and both ends of real sockets in one process.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use curlewusher_control::frame::Decoder;
use curlewusher_control::takeover::LinkRole;
use tempfile::TempDir;
use tokio::net::UnixStream;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, yield_now};
use tokio::time::sleep;

use crate::handover::handshake::{Predecessor, SuccessorHello, contact_predecessor};
use crate::handover::link::{LinkEnds, PeerLink};
use crate::handover::rendezvous::Rendezvous;
use crate::handover::rendezvous_listener::RendezvousListener;

/// How often a test's thread may yield before the test counts as hung.
const MAX_YIELDS: usize = 3_000_000;
/// In a test whose time advances, it counts as hung after this long.
const MAX_TEST_TIME: Duration = Duration::from_hours(1);

/// How time passes: not at all, or at once to the next timer when nothing else can run. No test waits for time
/// itself.
#[derive(Clone, Copy, PartialEq)]
pub enum Time {
    Paused,
    Advancing,
}

/// Runs a test on one thread, as the node does.
pub fn run<T>(time: Time, test: impl Future<Output = T>) -> T {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let hang = async {
            if time == Time::Advancing {
                return sleep(MAX_TEST_TIME).await;
            }
            // A paused clock advances only while there is nothing to run.
            for _ in 0..MAX_YIELDS {
                yield_now().await;
            }
        };
        tokio::select! {
            result = test => result,
            () = hang => panic!("what the test waits for does not happen"),
        }
    })
}

/// A node's client listener, and its rendezvous in a directory of its own.
pub struct NodeFixture {
    pub directory: TempDir,
    pub listener: TcpListener,
    pub listen: SocketAddr,
    pub rendezvous: Rendezvous,
}

impl NodeFixture {
    pub fn new() -> NodeFixture {
        let directory = TempDir::new().expect("a directory");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let listen = listener.local_addr().expect("bound");
        let rendezvous = Rendezvous::new(directory.path(), listen);
        NodeFixture { directory, listener, listen, rendezvous }
    }
}

pub fn listen_for_successor(rendezvous: &Rendezvous) -> (RendezvousListener, mpsc::Receiver<SuccessorHello>) {
    let (hello_queue, hellos) = mpsc::channel(1);
    (RendezvousListener::bind(rendezvous, hello_queue).expect("a rendezvous listener"), hellos)
}

/// Both ends of a link.
pub struct LinkPair {
    pub predecessor: LinkEnds,
    pub successor: LinkEnds,
}

pub fn link_pair() -> LinkPair {
    let (one, other) = UnixStream::pair().expect("a pair");
    LinkPair {
        predecessor: PeerLink::start(one, LinkRole::Predecessor, Decoder::default()),
        successor: PeerLink::start(other, LinkRole::Successor, Decoder::default()),
    }
}

/// Sends a hello and accepts it as it comes out of `hellos`. Returns the predecessor's end of the link, and what
/// the successor received.
pub async fn complete_handshake(
    hellos: &mut mpsc::Receiver<SuccessorHello>,
    listener: &TcpListener,
    snapshot: Bytes,
    rendezvous: &Rendezvous,
) -> (LinkEnds, Predecessor) {
    let listen = listener.local_addr().expect("bound");
    let accept = async {
        let hello = hellos.recv().await.expect("a hello");
        assert_eq!((&*hello.node, &*hello.listen), ("n", &*listen.to_string()));
        hello.accept(listener, snapshot).await.expect("a link")
    };
    let (ends, predecessor) = tokio::join!(accept, contact_predecessor(rendezvous, "n", listen));
    (ends, predecessor.expect("an answer").expect("a predecessor"))
}
