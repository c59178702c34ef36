//! Client for admin commands: sends one line to a node's admin address, reads one line, and measures the
//! time. It does not interpret the commands.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use curlewusher_model::TimeSpan;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Time for which an operator waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that the testbed waits beyond [`RESPONSE_TIMEOUT`], to measure how late a late response is.
const LATE_RESPONSE_MARGIN: Duration = Duration::from_millis(1500);
/// Prefix of a response that confirms the command.
const CONFIRMATION_PREFIX: &str = "+OK";
/// First port that [`reserve_address`] returns.
const FIRST_RESERVED_PORT: u16 = 10_000;

/// Outcome of an admin command.
#[derive(Clone, Debug)]
pub struct CommandOutcome {
    /// Response line without its line break, or `None` if no complete line arrived in time.
    pub response: Option<String>,
    /// Time from the beginning of the connection attempt to the outcome.
    pub duration: TimeSpan,
    /// Whether the connection was refused because no process listens at the address.
    pub is_refused: bool,
}

impl CommandOutcome {
    /// Returns whether the node confirmed the command.
    pub fn is_confirmed(&self) -> bool {
        self.response.as_deref().is_some_and(|line| line.starts_with(CONFIRMATION_PREFIX))
    }
}

/// Reason for which a command has no response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ExchangeError {
    ConnectionRefused,
    Other,
}

/// Sends a command and waits for its response, up to [`LATE_RESPONSE_MARGIN`] longer than an operator would.
pub async fn send_admin_command(address: SocketAddr, command: &str) -> CommandOutcome {
    let started_at = Instant::now();
    let response = timeout(RESPONSE_TIMEOUT + LATE_RESPONSE_MARGIN, exchange(address, command)).await;
    let response = response.unwrap_or(Err(ExchangeError::Other));
    CommandOutcome {
        duration: started_at.elapsed().into(),
        is_refused: response == Err(ExchangeError::ConnectionRefused),
        response: response.ok(),
    }
}

async fn exchange(address: SocketAddr, command: &str) -> Result<String, ExchangeError> {
    let mut stream = TcpStream::connect(address).await.map_err(|error| match error.kind() {
        ErrorKind::ConnectionRefused => ExchangeError::ConnectionRefused,
        _ => ExchangeError::Other,
    })?;
    let request = format!("{command}\n");
    stream.write_all(request.as_bytes()).await.map_err(|_| ExchangeError::Other)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).await.map_err(|_| ExchangeError::Other)?;
    if line.ends_with('\n') { Ok(line.trim_end().to_owned()) } else { Err(ExchangeError::Other) }
}

/// Returns a free address for a node whose address must be chosen before the node starts.
///
/// The IP address is a loopback address derived from this process's id. Therefore neither another testbed nor
/// an outgoing connection, whose source address is 127.0.0.1, occupies the port before the node does.
pub fn reserve_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_RESERVED_PORT);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let next_port = |port: u16| Some(port.checked_add(1).unwrap_or(FIRST_RESERVED_PORT));
    let port = NEXT_PORT.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next_port);
    SocketAddr::from(([127, 77, high, low], port.unwrap_or(FIRST_RESERVED_PORT)))
}
