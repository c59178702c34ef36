//! TCP proxies on loopback between the nodes and the servers that they connect to. The behaviour of a link
//! can change while connections are open. A proxy never modifies the bytes that it forwards.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Maximum size of one read, in bytes.
const BUFFER_BYTES: usize = 16 << 10;
/// Size of the fragments that a link with [`LinkState::is_fragmented`] forwards, in bytes.
const FRAGMENT_BYTES: usize = 7;

/// Behaviour of a link. The default forwards all bytes without delay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// Whether bytes are dropped in both directions while the connections stay open.
    pub is_cut: bool,
    /// Whether new connections are reset.
    pub is_refusing: bool,
    /// Delay of the bytes that the server sends.
    pub response_delay: Duration,
    /// Whether bytes are forwarded in small fragments.
    pub is_fragmented: bool,
    /// Number of times that all open connections were reset.
    pub resets: u64,
}

impl LinkState {
    /// Resets all open connections, and each new one from now on.
    pub fn refuse(&mut self) {
        self.is_refusing = true;
        self.resets += 1;
    }

    /// Ends a cut. Open connections are reset, since some of their bytes were dropped.
    pub fn heal(&mut self) {
        self.is_cut = false;
        self.resets += 1;
    }
}

/// Proxy in front of one server. Dropping it closes its listener and leaves open connections open.
pub struct Proxy {
    /// Address at which the proxy listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy for the server at `target`. The link follows each change of `state`.
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
                tokio::spawn(forward_connection(client, target, state.clone()));
            }
        });
        Ok(Proxy { address, task })
    }
}

/// Direction in which bytes are forwarded on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// Forwards one connection until either end closes it or the link resets it.
async fn forward_connection(mut client: TcpStream, target: SocketAddr, state: watch::Receiver<LinkState>) {
    if state.borrow().is_refusing {
        return reset_on_close(&client);
    }
    let Ok(mut server) = TcpStream::connect(target).await else { return reset_on_close(&client) };
    // If the option cannot be set, the connection is only slower.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let is_reset = tokio::select! {
        () = forward_bytes(client_read, server_write, state.clone(), Direction::ToServer) => false,
        () = forward_bytes(server_read, client_write, state.clone(), Direction::ToClient) => false,
        () = wait_for_reset(state) => true,
    };
    if is_reset {
        reset_on_close(&client);
        reset_on_close(&server);
    }
}

/// Makes a later close of the connection send a reset.
fn reset_on_close(stream: &TcpStream) {
    // Fails only if the connection is already closed.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Forwards the bytes of one direction until the sender closes it or a read or write fails.
async fn forward_bytes(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    state: watch::Receiver<LinkState>,
    direction: Direction,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else { return };
        let link = *state.borrow();
        if direction == Direction::ToClient && !link.response_delay.is_zero() {
            sleep(link.response_delay).await;
        }
        // The link may have been cut during the delay.
        if state.borrow().is_cut {
            continue;
        }
        let fragment_bytes = if link.is_fragmented { FRAGMENT_BYTES } else { BUFFER_BYTES };
        for bytes in buffer[..count].chunks(fragment_bytes) {
            if to.write_all(bytes).await.is_err() {
                return;
            }
        }
    }
}

/// Waits until the link resets its connections. Never returns if the sender of the link's state was dropped.
async fn wait_for_reset(mut state: watch::Receiver<LinkState>) {
    let before = state.borrow().resets;
    if state.wait_for(|link| link.resets != before).await.is_err() {
        std::future::pending::<()>().await;
    }
}
