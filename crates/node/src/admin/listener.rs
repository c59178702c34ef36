//! Owns the second address, for operators alone: its listener, its callers, and the bounds on both, on a thread of its own,
//! so that a call does not wait behind what the node's clients do. It must never carry a call out: it hands each to the
//! node's task for calls, and answers what that says.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use curlewusher_control::command::{
    AdminCommand, CommandError, CommandParseError, CommandResult, MAX_LINE_BYTES, format_response,
};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use tracing::{error, warn};

use crate::lifecycle::{Lifecycle, Phase};
use crate::telemetry::logging::NODE;

/// So many callers at once. Where all places are taken the one that came first goes: those that finish their call are
/// gone within milliseconds.
pub const CALLERS: usize = 24;
/// Descriptors that the second address takes: its callers, its listener and its thread's event queue.
pub const SOCKETS: usize = CALLERS + 4;
/// A line comes within this; whoever is slower has been forgotten by its sender.
const LINE_TIME: Duration = Duration::from_secs(10);
/// An operator waits 1 s for an answer: what is not done so early is said not to be.
const DONE_WITHIN: Duration = Duration::from_millis(900);
const WRITE_TIME: Duration = Duration::from_millis(500);
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Calls that wait for the node's task.
const CALLS_ROOM: usize = 64;

/// A call on its way to the node's task, and where its verdict goes.
pub type PendingCommand = (AdminCommand, oneshot::Sender<CommandResult>);

/// Why there is no second address.
#[derive(Debug, Error)]
pub enum ConsoleError {
    /// The address cannot be listened on.
    #[error("console: {at}: {cause}; give `console` an address of this machine that no other program has")]
    Address { at: SocketAddr, cause: io::Error },
    /// The system gives no thread for it.
    #[error("console: no thread: {0}; raise the limit on processes, or leave `console` out")]
    Thread(io::Error),
}

/// Listens at the second address and answers calls until the program ends. Returns where, and what is to be done.
pub fn open(
    at: SocketAddr,
    lifecycle: Lifecycle,
) -> Result<(SocketAddr, mpsc::Receiver<PendingCommand>), ConsoleError> {
    let address = |cause| ConsoleError::Address { at, cause };
    let listener = std::net::TcpListener::bind(at).map_err(address)?;
    listener.set_nonblocking(true).map_err(address)?;
    let at = listener.local_addr().map_err(address)?;
    let (hand, handed) = mpsc::channel(CALLS_ROOM);
    // The runtime is made on its thread: where there is none it would be dropped here, within another, and panic.
    let serve = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(take_callers(listener, lifecycle, hand))
    };
    let serve = move || {
        if let Err(e) = serve() {
            // The channel is closed by this, which ends the program.
            error!(target: NODE, "console: {at}: {e}");
        }
    };
    std::thread::Builder::new().name("console".into()).spawn(serve).map_err(ConsoleError::Thread)?;
    Ok((at, handed))
}

async fn take_callers(
    listener: std::net::TcpListener,
    lifecycle: Lifecycle,
    hand: mpsc::Sender<PendingCommand>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let mut callers: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                callers.retain(|caller| !caller.is_finished());
                if callers.len() >= CALLERS
                    && let Some(first) = callers.pop_front()
                {
                    first.abort();
                }
                let caller = tokio::spawn(hear(stream, lifecycle.clone(), hand.clone()));
                callers.push_back(caller.abort_handle());
            }
            Err(e) => {
                warn!(target: NODE, "an operator's connection could not be accepted: {e}");
                if let Some(first) = callers.pop_front() {
                    first.abort();
                }
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// One connection: one line, one answer.
async fn hear(mut stream: TcpStream, lifecycle: Lifecycle, hand: mpsc::Sender<PendingCommand>) {
    let _ = stream.set_nodelay(true);
    let Ok(Some(line)) = timeout(LINE_TIME, read_line(&mut stream)).await else { return };
    let said = match AdminCommand::parse(&line) {
        Ok(call) => Ok(carry_out(call, &lifecycle, &hand).await),
        Err(error) => Err(error),
    };
    // An operator who has left needs no answer.
    let _ = timeout(WRITE_TIME, async {
        stream.write_all(format_response(&said).as_bytes()).await?;
        stream.shutdown().await?;
        // What came after the line is read, as far as it is there: closing on it would reset the answer.
        let mut rest = [0; MAX_LINE_BYTES];
        while matches!(said, Err(CommandParseError::TooLong | CommandParseError::NotAscii))
            && stream.read(&mut rest).await? > 0
        {}
        Ok::<_, io::Error>(())
    })
    .await;
}

/// A line with its end, or as much of a longer one as shows that it is too long, or what came before the end of the
/// connection; none where nothing did.
async fn read_line(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut line = Vec::with_capacity(MAX_LINE_BYTES + 1);
    while line.len() <= MAX_LINE_BYTES {
        let mut part = [0; MAX_LINE_BYTES];
        let count = stream.read(&mut part).await.ok()?;
        if count == 0 {
            return (!line.is_empty()).then_some(line);
        }
        let end = part[..count].iter().position(|b| *b == b'\n');
        line.extend_from_slice(&part[..end.map_or(count, |end| end + 1)]);
        if end.is_some() {
            break;
        }
    }
    Some(line)
}

async fn carry_out(
    call: AdminCommand,
    lifecycle: &Lifecycle,
    hand: &mpsc::Sender<PendingCommand>,
) -> CommandResult {
    if call == AdminCommand::Ready {
        // Said without the node's task: it is asked most when that is busiest. A process whose successor serves is
        // ready as well, for it would take the node back.
        return match lifecycle.phase() {
            Phase::Ready | Phase::Superseded { drained: false } => Ok(()),
            phase => Err(CommandError::NotReady(phase)),
        };
    }
    let (verdict, said) = oneshot::channel();
    hand.try_send((call, verdict)).map_err(|_| CommandError::TimedOut)?;
    timeout(DONE_WITHIN, said).await.ok().and_then(Result::ok).unwrap_or(Err(CommandError::TimedOut))
}
