//! Log of a node's process: all lines go to a file, and the last ones are kept in memory.

use std::collections::VecDeque;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::ChildStderr;
use tokio::sync::oneshot;

/// Number of log lines that are kept for the error of a failed node.
const TAIL_LINES: usize = 12;
/// Text before the address in the log line in which a node announces it.
const ADDRESS_PREFIX: &str = "serves on ";

/// Last lines of a node's log.
#[derive(Clone, Default)]
pub(super) struct LogTail(Arc<Mutex<VecDeque<String>>>);

impl LogTail {
    /// Returns the last lines, oldest first.
    pub(super) fn lines(&self) -> Vec<String> {
        self.0.lock().iter().cloned().collect()
    }

    /// Copies all lines to a file and keeps the last ones in memory. Sends the first address that a line
    /// announces.
    pub(super) async fn follow(
        self,
        stderr: ChildStderr,
        file: PathBuf,
        address_channel: oneshot::Sender<SocketAddr>,
    ) {
        let mut file = OpenOptions::new().create(true).append(true).open(file).ok();
        let mut address_channel = Some(address_channel);
        let mut lines = BufReader::new(stderr).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some(address) = parse_announced_address(&line)
                && let Some(address_channel) = address_channel.take()
            {
                // Fails for the successor of an upgrade, whose start does not wait for its address.
                let _ = address_channel.send(address);
            }
            if let Some(file) = &mut file {
                // A full disk must not end the run. The last lines are still in memory.
                let _ = writeln!(file, "{line}");
            }
            self.push(line);
        }
    }

    /// Appends a line, and drops the oldest one if there are too many.
    fn push(&self, line: String) {
        let mut lines = self.0.lock();
        lines.push_back(line);
        if lines.len() > TAIL_LINES {
            lines.pop_front();
        }
    }
}

/// Returns the address that a line announces, if any.
fn parse_announced_address(line: &str) -> Option<SocketAddr> {
    let rest = line.split(ADDRESS_PREFIX).nth(1)?;
    rest.split(['"', ' ']).next()?.parse().ok()
}
