//! One connection at the admin address: one line with a command is read, and one line is written in response.

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

/// Longest wait for a complete line.
const READ_LINE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the result of a command. An operator waits 1 s for the response.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time for writing the response.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// A command that is sent to [`AdminService`](crate::admin::service::AdminService).
pub struct PendingCommand {
    /// What an operator has sent.
    pub command: AdminCommand,
    /// Receives the result.
    pub reply: oneshot::Sender<CommandResult>,
}

/// What each connection needs. `READY` is answered from the phase; all other commands go to the service.
#[derive(Clone)]
pub struct CommandHandler {
    /// Phase of this process.
    pub lifecycle: Lifecycle,
    /// Queue of the service.
    pub command_queue: mpsc::Sender<PendingCommand>,
}

impl CommandHandler {
    /// Serves a connection to its end.
    pub async fn serve_connection(self, mut stream: TcpStream) {
        // Without it the response may be delayed, but arrives.
        let _ = stream.set_nodelay(true);
        let Ok(Some(line)) = timeout(READ_LINE_TIMEOUT, read_line(&mut stream)).await else { return };
        let result = match AdminCommand::parse(&line) {
            Ok(command) => Ok(self.carry_out(command).await),
            Err(error) => Err(error),
        };
        // An operator who has closed the connection needs no response.
        let _ = timeout(WRITE_TIMEOUT, respond(&mut stream, &result)).await;
    }

    async fn carry_out(&self, command: AdminCommand) -> CommandResult {
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

    /// Asks nobody else, because it is called most when the node is busiest. A process whose successor serves is
    /// ready as well, since it would take the node back.
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

/// Reads to the end of the connection: closing it with unread input would reset it, and the response with it.
async fn discard_input(stream: &mut TcpStream) -> io::Result<()> {
    let mut buffer = [0; MAX_LINE_BYTES];
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}

/// Returns a line with its end; or what came before the end of the connection, none where that is nothing; or, of a
/// line that is too long, as much as shows that it is.
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
