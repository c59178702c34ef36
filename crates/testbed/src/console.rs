//! Owns an operator's call to a node's second address: one line there, one line back, and how long that took.
//! It must never know what a call means.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering::Relaxed};
use std::time::Duration;

use curlewusher_model::TimeSpan;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// A caller waits for this, and a little longer to see how late a late answer is.
pub const WAIT: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_millis(1500);

const FIRST_PORT: u16 = 10_000;

/// How a call ended.
#[derive(Clone, Debug)]
pub struct Said {
    /// The line without its end; none where none came.
    pub line: Option<String>,
    /// From the beginning of the connection.
    pub took: TimeSpan,
    /// Nobody listened.
    pub refused: bool,
}

impl Said {
    /// Whether it was a yes.
    pub fn yes(&self) -> bool {
        self.line.as_deref().is_some_and(|line| line.starts_with("+OK"))
    }
}

/// Makes a call, and waits for its answer as long as an operator would and a little longer.
pub async fn call(place: SocketAddr, call: &str) -> Said {
    let begin = Instant::now();
    let mut refused = false;
    let asks = async {
        let mut stream = match TcpStream::connect(place).await {
            Ok(stream) => stream,
            Err(e) => {
                refused = e.kind() == std::io::ErrorKind::ConnectionRefused;
                return None;
            }
        };
        stream.write_all(format!("{call}\n").as_bytes()).await.ok()?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).await.ok()?;
        line.ends_with('\n').then(|| line.trim_end().to_owned())
    };
    let line = timeout(WAIT + PATIENCE, asks).await.ok().flatten();
    Said { line, took: begin.elapsed().into(), refused }
}

/// A free address for a node that must know it before it starts. The loopback address is this lab's own by
/// its process, so that neither another lab nor a connection, which comes from 127.0.0.1, takes the port
/// before the node does.
pub fn free_place() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let port = NEXT.fetch_update(Relaxed, Relaxed, |port| Some(port.checked_add(1).unwrap_or(FIRST_PORT)));
    SocketAddr::from(([127, 77, high, low], port.unwrap_or(FIRST_PORT)))
}
