//! Admin commands to a node: one line is sent to its admin address, one line is read, and the time is measured.
//!
//! What a command means is known to the callers only.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use curlewusher_model::TimeSpan;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// An operator waits this long for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The testbed waits this much longer, to see how late a late answer is.
const EXTRA_WAIT: Duration = Duration::from_millis(1500);
/// The prefix of an answer that confirms the command.
const CONFIRMATION: &str = "+OK";
/// The first port that is reserved.
const FIRST_PORT: u16 = 10_000;

/// How an admin command ended.
#[derive(Clone, Debug)]
pub struct AdminAnswer {
    /// The answer without its line end; none if no complete line came in time.
    pub line: Option<String>,
    /// Time from the beginning of the connection.
    pub took: TimeSpan,
    /// Whether the connection was refused, since no process listens.
    pub refused: bool,
}

impl AdminAnswer {
    /// Whether the node confirmed the command.
    pub fn is_confirmation(&self) -> bool {
        self.line.as_deref().is_some_and(|line| line.starts_with(CONFIRMATION))
    }
}

/// Why a command has no answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Failure {
    ConnectionRefused,
    Other,
}

/// Sends a command, and waits for its answer as long as an operator would and a little longer.
pub async fn call(address: SocketAddr, command: &str) -> AdminAnswer {
    let begin = Instant::now();
    let answer = timeout(ANSWER_TIMEOUT + EXTRA_WAIT, exchange(address, command)).await;
    let answer = answer.unwrap_or(Err(Failure::Other));
    AdminAnswer {
        took: begin.elapsed().into(),
        refused: answer == Err(Failure::ConnectionRefused),
        line: answer.ok(),
    }
}

async fn exchange(address: SocketAddr, command: &str) -> Result<String, Failure> {
    let mut stream = TcpStream::connect(address).await.map_err(|error| match error.kind() {
        ErrorKind::ConnectionRefused => Failure::ConnectionRefused,
        _ => Failure::Other,
    })?;
    let request = format!("{command}\n");
    stream.write_all(request.as_bytes()).await.map_err(|_| Failure::Other)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).await.map_err(|_| Failure::Other)?;
    if line.ends_with('\n') { Ok(line.trim_end().to_owned()) } else { Err(Failure::Other) }
}

/// A free address for a node that must know it before it starts.
///
/// The loopback address is derived from this process's id, so that neither another testbed nor an outgoing connection,
/// which comes from 127.0.0.1, takes the port before the node does.
pub fn reserve_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let following = |port: u16| Some(port.checked_add(1).unwrap_or(FIRST_PORT));
    let port = NEXT_PORT.fetch_update(Ordering::Relaxed, Ordering::Relaxed, following);
    SocketAddr::from(([127, 77, high, low], port.unwrap_or(FIRST_PORT)))
}
