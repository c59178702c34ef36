//! Shared parts of the tests of the handover: a paused clock on one thread, and both ends of real sockets in
//! one process.

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

/// Maximum number of yields of a test with a paused clock, before the test counts as hung.
const MAX_YIELDS: usize = 3_000_000;
/// Maximum duration of a test with an advancing clock, before the test counts as hung.
const MAX_TEST_TIME: Duration = Duration::from_hours(1);

/// Behavior of the clock of a test. No test waits for real time.
#[derive(Clone, Copy, PartialEq)]
pub enum ClockMode {
    /// The clock does not advance.
    Paused,
    /// The clock advances immediately to the next timer when no task can run.
    Advancing,
}

/// Runs a test on one thread, like the node.
pub fn run<T>(clock: ClockMode, test: impl Future<Output = T>) -> T {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().expect("building the runtime failed");
    LocalSet::new().block_on(&runtime, async {
        let hang = async {
            if clock == ClockMode::Advancing {
                return sleep(MAX_TEST_TIME).await;
            }
            // The runtime's clock advances only while no task can run. Continuous yielding keeps it paused.
            for _ in 0..MAX_YIELDS {
                yield_now().await;
            }
        };
        tokio::select! {
            result = test => result,
            () = hang => panic!("the test hung: an event for which it waited did not occur"),
        }
    })
}

/// Client listener of a node, and its rendezvous in a temporary directory.
pub struct NodeFixture {
    pub directory: TempDir,
    pub listener: TcpListener,
    pub listen: SocketAddr,
    pub rendezvous: Rendezvous,
}

impl NodeFixture {
    pub fn new() -> NodeFixture {
        let directory = TempDir::new().expect("creating the directory failed");
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding a port failed");
        let listen = listener.local_addr().expect("the listener has no address");
        let rendezvous = Rendezvous::new(directory.path(), listen);
        NodeFixture { directory, listener, listen, rendezvous }
    }
}

/// Binds the rendezvous socket. Returns its listener and the receiver of hellos.
pub fn listen_for_successor(rendezvous: &Rendezvous) -> (RendezvousListener, mpsc::Receiver<SuccessorHello>) {
    let (hello_queue, hellos) = mpsc::channel(1);
    (RendezvousListener::bind(rendezvous, hello_queue).expect("binding the rendezvous socket failed"), hellos)
}

/// Both ends of a link.
pub struct LinkPair {
    pub predecessor: LinkEnds,
    pub successor: LinkEnds,
}

/// Creates a link between two ends in this process.
pub fn link_pair() -> LinkPair {
    let (one, other) = UnixStream::pair().expect("creating the socket pair failed");
    LinkPair {
        predecessor: PeerLink::start(one, LinkRole::Predecessor, Decoder::default()),
        successor: PeerLink::start(other, LinkRole::Successor, Decoder::default()),
    }
}

/// Sends a hello, receives it from `hellos` and accepts it. Returns the end of the link at the predecessor,
/// and the [`Predecessor`] that the successor has received.
pub async fn complete_handshake(
    hellos: &mut mpsc::Receiver<SuccessorHello>,
    listener: &TcpListener,
    snapshot: Bytes,
    rendezvous: &Rendezvous,
) -> (LinkEnds, Predecessor) {
    let listen = listener.local_addr().expect("the listener has no address");
    let accept = async {
        let hello = hellos.recv().await.expect("no hello arrived");
        assert_eq!((&*hello.node, &*hello.listen), ("n", &*listen.to_string()));
        hello.accept(listener, snapshot).await.expect("the hello was not accepted")
    };
    let (ends, predecessor) = tokio::join!(accept, contact_predecessor(rendezvous, "n", listen));
    (ends, predecessor.expect("contacting the predecessor failed").expect("no predecessor was found"))
}
