//! The log of a node's process: a file with all lines, and the last ones in memory.

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

/// Number of lines that are shown when a node fails.
const TAIL_LINES: usize = 12;
/// What a node writes before the address at which it serves.
const SERVES_ON: &str = "serves on ";

/// The last lines of a node's log.
#[derive(Clone, Default)]
pub(super) struct LogTail(Arc<Mutex<VecDeque<String>>>);

impl LogTail {
    /// The last lines, oldest first.
    pub(super) fn lines(&self) -> Vec<String> {
        self.0.lock().iter().cloned().collect()
    }

    /// Copies all lines to a file and keeps the last ones. Sends the address that the first line with one names.
    pub(super) async fn follow(
        self,
        stderr: ChildStderr,
        file: PathBuf,
        announce: oneshot::Sender<SocketAddr>,
    ) {
        let mut file = OpenOptions::new().create(true).append(true).open(file).ok();
        let mut announce = Some(announce);
        let mut lines = BufReader::new(stderr).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some(address) = announced_address(&line)
                && let Some(announce) = announce.take()
            {
                // The successor of an upgrade is started without a wait for its address.
                let _ = announce.send(address);
            }
            if let Some(file) = &mut file {
                // A disk that is full must not end the run; the last lines are in memory.
                let _ = writeln!(file, "{line}");
            }
            self.push(line);
        }
    }

    fn push(&self, line: String) {
        let mut lines = self.0.lock();
        lines.push_back(line);
        if lines.len() > TAIL_LINES {
            lines.pop_front();
        }
    }
}

fn announced_address(line: &str) -> Option<SocketAddr> {
    let rest = line.split(SERVES_ON).nth(1)?;
    rest.split(['"', ' ']).next()?.parse().ok()
}
