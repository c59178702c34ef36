//! TCP proxies on loopback between the nodes and what they connect to. The behaviour of a link can change while connections
//! are open; the bytes that a proxy forwards are never changed.

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
/// Size of the pieces in which a link with `in_pieces` forwards.
const PIECE_BYTES: usize = 7;

/// How a link behaves. The default forwards everything at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// Bytes are lost in both directions, while the connections stay open.
    pub is_cut: bool,
    /// New connections are reset.
    pub is_refusing: bool,
    /// Delay of what the server sends.
    pub answer_delay: Duration,
    /// Bytes arrive in small pieces.
    pub in_pieces: bool,
    /// Number of times that all open connections were reset.
    pub resets: u64,
}

impl LinkState {
    /// Resets all open connections, and new ones from now on.
    pub fn refuse(&mut self) {
        self.is_refusing = true;
        self.resets += 1;
    }

    /// Ends a cut. Open connections are reset, since bytes of them were lost.
    pub fn heal(&mut self) {
        self.is_cut = false;
        self.resets += 1;
    }
}

/// A proxy in front of one server. Its listener is closed when it is dropped; open connections stay.
pub struct Proxy {
    /// The address at which it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy for the server at `target`; the link always behaves as `state` says.
    ///
    /// # Errors
    ///
    /// Fails if no port can be opened.
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

/// The direction of bytes on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// Forwards one connection until an end closes it or the link resets it.
async fn forward(mut client: TcpStream, target: SocketAddr, state: watch::Receiver<LinkState>) {
    if state.borrow().is_refusing {
        return reset_on_close(&client);
    }
    let Ok(mut server) = TcpStream::connect(target).await else { return reset_on_close(&client) };
    // Without the option a connection is only slower.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let is_reset = tokio::select! {
        () = pump(client_read, server_write, state.clone(), Direction::ToServer) => false,
        () = pump(server_read, client_write, state.clone(), Direction::ToClient) => false,
        () = wait_for_reset(state) => true,
    };
    if is_reset {
        reset_on_close(&client);
        reset_on_close(&server);
    }
}

/// Makes the close of a connection a reset.
fn reset_on_close(stream: &TcpStream) {
    // Fails only on a connection that has ended.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Forwards one direction until its end.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    state: watch::Receiver<LinkState>,
    direction: Direction,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else { return };
        let link = *state.borrow();
        if direction == Direction::ToClient && !link.answer_delay.is_zero() {
            sleep(link.answer_delay).await;
        }
        // The link may have been cut during the delay.
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

/// Returns once the link resets its connections; never returns if its state cannot change any more.
async fn wait_for_reset(mut state: watch::Receiver<LinkState>) {
    let before = state.borrow().resets;
    if state.wait_for(|link| link.resets != before).await.is_err() {
        std::future::pending::<()>().await;
    }
}
