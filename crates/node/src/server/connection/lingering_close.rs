//! The lingering close of a connection: its write side is shut down, and what the peer still sends is read
//! and discarded for a bounded time. To close a socket over unread bytes resets the connection, and the reset
//! can destroy a response that the peer has not read yet.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{Connection, ConnectionState, READ_CHUNK_BYTES};

/// Longest time for which a lingering connection is read.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Most bytes that are read from a lingering connection.
const MAX_LINGER_BYTES: usize = 256 << 10;

/// Shuts the write side down, and discards what the peer sends until it closes or a bound is reached.
pub async fn discard_and_close(mut stream: TcpStream) {
    // Where HTTP ended regularly, hyper has done this already. A connection that is reset yields no more
    // bytes.
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
    // A peer that sends nothing and does not close gets no more time than that.
    let _ = timeout(LINGER_TIMEOUT, discard).await;
}

/// Closes a connection with [`discard_and_close`], or at once when it is evicted or aborted.
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
