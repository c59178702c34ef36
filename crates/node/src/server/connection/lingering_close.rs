//! Lingering close of a connection: its write side is shut down, and all data that the remote end still sends
//! is read and discarded for a bounded time. Closing a socket with unread bytes resets the connection, and
//! the reset can destroy a response that the remote end has not read yet.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{Connection, ConnectionState, READ_CHUNK_BYTES};

/// Maximum duration for which a lingering connection is read.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of bytes that are read from a lingering connection.
const MAX_LINGER_BYTES: usize = 256 << 10;

/// Shuts the write side down, and discards all data that the remote end sends until it closes the connection
/// or a limit is reached.
pub async fn discard_and_close(mut stream: TcpStream) {
    // If HTTP ended regularly, hyper has already done this. A connection that is reset yields no more bytes.
    let _ = stream.shutdown().await;
    let discard = async {
        let mut remaining_bytes = MAX_LINGER_BYTES;
        let mut chunk = [0; READ_CHUNK_BYTES];
        while let Ok(read @ 1..) = stream.read(&mut chunk).await
            && read < remaining_bytes
        {
            remaining_bytes -= read;
        }
    };
    // The timeout bounds the wait for a remote end that sends nothing and does not close the connection.
    let _ = timeout(LINGER_TIMEOUT, discard).await;
}

/// Closes a connection with [`discard_and_close`], or immediately when it is evicted or aborted.
pub async fn lingering_close(stream: TcpStream, connection: &Connection) {
    connection.read_expired.set(false);
    connection.enter(ConnectionState::Lingering);
    let closed_early = async {
        while !connection.is_read_expired() && !connection.is_aborted() {
            connection.close_requested().await;
        }
    };
    tokio::select! {
        () = discard_and_close(stream) => {}
        () = closed_early => {}
    }
}
