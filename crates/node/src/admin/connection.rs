//! Connection to the admin address: reads one line with a command, and writes one line as the response.

use std::io;
use std::time::Duration;

use curlewusher_control::command::{
    AdminCommand, CommandError, CommandParseError, CommandResult, MAX_LINE_BYTES, format_response,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::lifecycle::{Lifecycle, Phase};

/// Maximum time to wait for a complete line.
const READ_LINE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time to wait for the result of a command. An operator waits 1 s for the response.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum time to write the response.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Command sent to [`AdminService`](crate::admin::service::AdminService).
pub struct PendingCommand {
    /// Command of the operator.
    pub command: AdminCommand,
    /// Sender of the result.
    pub reply: oneshot::Sender<CommandResult>,
}

/// Handler of the commands of each connection. Answers `READY` based on the phase, and sends all other
/// commands to the service.
#[derive(Clone)]
pub struct CommandHandler {
    /// Phase of this process.
    pub lifecycle: Lifecycle,
    /// Queue of [`AdminService`](crate::admin::service::AdminService).
    pub command_queue: mpsc::Sender<PendingCommand>,
}

impl CommandHandler {
    /// Serves a connection until it closes.
    pub async fn serve_connection(self, mut stream: TcpStream) {
        // Without this option the response may be delayed, but still arrives.
        let _ = stream.set_nodelay(true);
        let Ok(Some(line)) = timeout(READ_LINE_TIMEOUT, read_line(&mut stream)).await else { return };
        let result = match AdminCommand::parse(&line) {
            Ok(command) => Ok(self.execute(command).await),
            Err(error) => Err(error),
        };
        // The write may fail: an operator who has closed the connection needs no response.
        let _ = timeout(WRITE_TIMEOUT, respond(&mut stream, &result)).await;
    }

    async fn execute(&self, command: AdminCommand) -> CommandResult {
        if command == AdminCommand::Ready {
            return self.check_ready();
        }
        let (reply, result) = oneshot::channel();
        self.command_queue.try_send(PendingCommand { command, reply }).map_err(|_| CommandError::TimedOut)?;
        match timeout(COMMAND_TIMEOUT, result).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(CommandError::TimedOut),
        }
    }

    /// Returns whether this process is ready. Uses only the phase and waits for no other task, because this
    /// command is sent most often when the node is busiest. A process whose successor serves is also ready
    /// unless it is drained, because a rollback would make it serve again.
    fn check_ready(&self) -> CommandResult {
        match self.lifecycle.phase() {
            Phase::Ready | Phase::Superseded { drained: false } => Ok(()),
            phase => Err(CommandError::NotReady(phase)),
        }
    }
}

async fn respond(
    stream: &mut TcpStream,
    result: &Result<CommandResult, CommandParseError>,
) -> io::Result<()> {
    stream.write_all(format_response(result).as_bytes()).await?;
    stream.shutdown().await?;
    if matches!(result, Err(CommandParseError::TooLong | CommandParseError::NotPrintable)) {
        discard_input(stream).await?;
    }
    Ok(())
}

/// Reads and discards all input until the operator closes the connection. Closing the connection with unread
/// input would reset it and lose the response.
async fn discard_input(stream: &mut TcpStream) -> io::Result<()> {
    let mut buffer = [0; MAX_LINE_BYTES];
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}

/// Reads a line and returns it including its line feed. If the operator closes the connection before the line
/// feed, returns what has arrived. Returns `None` if nothing has arrived or a read fails. Of a line that is
/// too long, returns more than [`MAX_LINE_BYTES`] bytes, which shows that it is too long.
async fn read_line(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut line = Vec::with_capacity(MAX_LINE_BYTES + 1);
    while line.len() <= MAX_LINE_BYTES {
        let mut buffer = [0; MAX_LINE_BYTES];
        let count = stream.read(&mut buffer).await.ok()?;
        if count == 0 {
            return (!line.is_empty()).then_some(line);
        }
        let received = &buffer[..count];
        match received.iter().position(|byte| *byte == b'\n') {
            Some(end) => {
                line.extend_from_slice(&received[..=end]);
                break;
            }
            None => line.extend_from_slice(received),
        }
    }
    Some(line)
}
