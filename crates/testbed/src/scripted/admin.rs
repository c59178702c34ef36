//! Admin commands: each is one line on its own connection.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::error::CommandError;
use super::flaw::Flaw;
use super::node::ScriptedNode;

/// Delay of each response of a node with the flaw [`Flaw::AnswersCommandsLate`].
const LATE_RESPONSE_DELAY: Duration = Duration::from_millis(1400);

impl ScriptedNode {
    /// Accepts connections and executes their admin commands.
    pub(super) async fn serve_admin(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            tokio::spawn(self.clone().handle_command(stream));
        }
    }

    /// Reads one command, executes it and sends the response.
    async fn handle_command(self: Arc<Self>, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        if stream.read_line(&mut line).await.is_err() {
            return;
        }
        let response = match self.execute(&line) {
            Ok(()) => "+OK\n".to_owned(),
            Err(reason) => format!("-ERR {reason}\n"),
        };
        if self.flaw == Flaw::AnswersCommandsLate {
            sleep(LATE_RESPONSE_DELAY).await;
        }
        // Fails if the operator has closed the connection.
        let _ = stream.write_all(response.as_bytes()).await;
    }

    /// Executes a command.
    fn execute(&self, line: &str) -> Result<(), CommandError> {
        let mut words = line.split_whitespace();
        match (words.next(), words.next()) {
            (Some("READY"), None) if self.flaw == Flaw::NeverReady => Err(CommandError::NotReady),
            (Some("READY"), None) => Ok(()),
            (Some("DRAIN"), None) => self.shared.set_drained(true),
            (Some("UNDRAIN"), None) if self.flaw == Flaw::StaysDrained => Ok(()),
            (Some("UNDRAIN"), None) => self.shared.set_drained(false),
            (Some("DISABLE" | "ENABLE"), Some(worker)) if !self.accepts_worker(worker) => {
                Err(CommandError::UnknownWorker)
            }
            (Some("DISABLE"), Some(_)) if self.flaw == Flaw::ForgetsDisabledWorkers => Ok(()),
            (Some("DISABLE"), Some(worker)) => self.shared.set_disabled(worker, true),
            (Some("ENABLE"), Some(_)) if self.flaw == Flaw::NeverEnablesWorkers => Ok(()),
            (Some("ENABLE"), Some(worker)) => self.shared.set_disabled(worker, false),
            _ => Err(CommandError::UnknownCommand),
        }
    }

    /// Returns whether commands may name a worker.
    fn accepts_worker(&self, worker: &str) -> bool {
        self.flaw == Flaw::AcceptsUnknownWorkers || self.workers.was_listed(worker)
    }
}
