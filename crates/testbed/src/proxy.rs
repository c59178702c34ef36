//! Owns the proxies between the nodes and what they connect to: TCP on loopback, whose behaviour can change while
//! connections are open. It must never change a byte that it forwards.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Bytes that are read at once.
const BUFFER_BYTES: usize = 16 << 10;
/// Size of the pieces in which bytes are forwarded where the link does so.
const PIECE_BYTES: usize = 7;

/// How a link behaves. The default forwards everything at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// Nothing passes, in neither direction, and nobody is told of that.
    pub is_cut: bool,
    /// Connections are reset as soon as they come up.
    pub is_refusing: bool,
    /// What the server sends arrives so much later.
    pub answer_delay: Duration,
    /// Bytes arrive in small pieces.
    pub in_pieces: bool,
    /// Counts the resets of all open connections.
    pub resets: u64,
}

impl LinkState {
    /// Resets all connections, new ones too.
    pub fn refuse(&mut self) {
        self.is_refusing = true;
        self.resets += 1;
    }

    /// Ends a cut. Connections that were open are reset, since bytes of theirs are missing.
    pub fn heal(&mut self) {
        self.is_cut = false;
        self.resets += 1;
    }
}

/// A proxy in front of one server. Dropped, it is gone with its listener.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy for the server at `target`; the link behaves as `state` says at each moment.
    pub async fn start(target: SocketAddr, state: watch::Receiver<LinkState>) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            loop {
                let Ok((client, _)) = listener.accept().await else { continue };
                tokio::spawn(forward(client, target, state.clone()));
            }
        });
        Ok(Proxy { address, task })
    }
}

/// Forwards one connection until an end closes it or the link resets it.
async fn forward(mut client: TcpStream, target: SocketAddr, state: watch::Receiver<LinkState>) {
    if state.borrow().is_refusing {
        return reset(&client);
    }
    let Ok(mut server) = TcpStream::connect(target).await else { return reset(&client) };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let is_reset = tokio::select! {
        () = pump(client_read, server_write, state.clone(), false) => false,
        () = pump(server_read, client_write, state.clone(), true) => false,
        () = next_reset(state) => true,
    };
    if is_reset {
        reset(&client);
        reset(&server);
    }
}

/// Makes the close of a connection a reset.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Forwards one direction until its end.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    state: watch::Receiver<LinkState>,
    is_answer: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else { return };
        let link = *state.borrow();
        if is_answer && !link.answer_delay.is_zero() {
            sleep(link.answer_delay).await;
        }
        if state.borrow().is_cut {
            continue;
        }
        let piece = if link.in_pieces { PIECE_BYTES } else { BUFFER_BYTES };
        for bytes in buffer[..count].chunks(piece) {
            if to.write_all(bytes).await.is_err() {
                return;
            }
        }
    }
}

/// Returns once the link resets its connections.
async fn next_reset(mut state: watch::Receiver<LinkState>) {
    let before = state.borrow().resets;
    if state.wait_for(|link| link.resets != before).await.is_err() {
        std::future::pending().await
    }
}
