//! Owns an operator's call to a node's second address: one line there, one line back, and how long that took. It must
//! never know what a call means.

use std::net::SocketAddr;
use std::time::Duration;

use curlewusher_model::Micros;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// A caller waits for this, and a little longer to see how late a late answer is.
pub const WAIT: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_millis(1500);

/// How a call ended.
#[derive(Clone, Debug)]
pub struct Said {
    /// The line without its end; none where none came.
    pub line: Option<String>,
    /// Microseconds from the beginning of the connection.
    pub took_us: Micros,
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
    Said { line, took_us: begin.elapsed().as_micros() as Micros, refused }
}

/// No address for a node.
#[derive(Debug, Error)]
#[error("no port for a node on 127.0.0.2: {0}; free some ports, or allow that address")]
pub struct NoPlace(#[from] std::io::Error);

/// A free address for a node that must know it before it starts. It lies beside the one that all connections of the lab
/// come from, so that no connection takes its port before the node listens there.
pub fn free_place() -> Result<SocketAddr, NoPlace> {
    Ok(std::net::TcpListener::bind("127.0.0.2:0")?.local_addr()?)
}
