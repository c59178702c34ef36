//! Execution of operators' commands in this process and in its peer. A command succeeds only after this
//! process and the peer, if it is linked, have executed it. The dispatch task keeps the list of disabled
//! workers; this module keeps none.

use std::cell::Cell;
use std::rc::Rc;

use curlewusher_control::command::{AdminCommand, CommandError, CommandResult, format_response};
use curlewusher_control::maintenance::MaintenanceAction;
use tokio::sync::{mpsc, oneshot};
use tracing::info;

use crate::admin::connection::PendingCommand;
use crate::dispatch::DispatchCommand;
use crate::handover::Peer;
use crate::lifecycle::{Lifecycle, PhaseEvent};
use crate::telemetry::logging::NODE;

/// Service that executes commands. Clones share the same state.
#[derive(Clone)]
pub struct AdminService {
    /// Name of the node.
    pub name: Rc<str>,
    /// Phase of this process.
    pub lifecycle: Lifecycle,
    /// Command queue of the dispatch task.
    pub dispatch_commands: mpsc::Sender<DispatchCommand>,
    /// Peer of this process, if there is one.
    pub peer: Peer,
    /// Whether an operator has started or ended a drain at this process, or at the peer while both processes
    /// ran.
    pub drain_set_by_operator: Rc<Cell<bool>>,
}

/// Origin of a command that this process executes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CommandOrigin {
    /// An operator sent the command to this process.
    Operator,
    /// An operator sent the command to the peer, which has executed and forwarded it.
    Peer,
}

impl AdminService {
    /// Executes commands until the listener of the admin address ends. Never returns if there is no admin
    /// address.
    pub async fn serve(self, commands: Option<mpsc::Receiver<PendingCommand>>) {
        let Some(mut commands) = commands else { return std::future::pending().await };
        while let Some(PendingCommand { command, reply }) = commands.recv().await {
            let result = self.execute(&command).await;
            let response = format_response(&Ok(result.clone()));
            info!(target: NODE, node = %self.name, %command, response = response.trim_end(), "admin command completed");
            // Sending fails if the operator no longer waits; the operator may send the command again.
            let _ = reply.send(result);
        }
    }

    /// Executes a command that the peer has received from an operator.
    pub async fn execute_peer_command(&self, command: &AdminCommand) -> CommandResult {
        self.execute_locally(command, CommandOrigin::Peer).await
    }

    async fn execute(&self, command: &AdminCommand) -> CommandResult {
        if self.lifecycle.phase().is_shutting_down() {
            return Err(CommandError::ShuttingDown);
        }
        self.execute_locally(command, CommandOrigin::Operator).await?;
        self.execute_at_peer(command).await
    }

    /// Forwards a command to the peer and returns its result. Succeeds if there is no peer, or if the link to
    /// the peer is lost before its response: the peer has ended then.
    async fn execute_at_peer(&self, command: &AdminCommand) -> CommandResult {
        if self.peer.is_unreachable() {
            return Err(CommandError::TimedOut);
        }
        let Some(link) = self.peer.link() else { return Ok(()) };
        match link.forward_command(command).await {
            Some(result) => result,
            None if link.is_connected() => Err(CommandError::TimedOut),
            None => Ok(()),
        }
    }

    async fn execute_locally(&self, command: &AdminCommand, origin: CommandOrigin) -> CommandResult {
        match command {
            AdminCommand::Ready => Ok(()),
            AdminCommand::Drain => self.apply_drain_event(PhaseEvent::Drain),
            AdminCommand::Undrain => self.apply_drain_event(PhaseEvent::Undrain),
            AdminCommand::Disable(worker) => {
                self.change_maintenance(worker, MaintenanceAction::Disable, origin).await
            }
            AdminCommand::Enable(worker) => {
                self.change_maintenance(worker, MaintenanceAction::Enable, origin).await
            }
        }
    }

    fn apply_drain_event(&self, event: PhaseEvent) -> CommandResult {
        // If there is no transition, the node is already in the requested state, or the process is shutting
        // down.
        let _ = self.lifecycle.apply(event);
        self.drain_set_by_operator.set(true);
        Ok(())
    }

    /// Makes the dispatch task disable or enable a worker. Accepts every worker that the peer has accepted,
    /// even if no endpoint list has contained it yet.
    async fn change_maintenance(
        &self,
        worker: &str,
        action: MaintenanceAction,
        origin: CommandOrigin,
    ) -> CommandResult {
        let (reply, result) = oneshot::channel();
        let name = worker.to_owned();
        let command = match origin {
            CommandOrigin::Operator => DispatchCommand::ChangeMaintenance { name, action, result: reply },
            CommandOrigin::Peer => DispatchCommand::ChangeMaintenanceForPeer { name, action, result: reply },
        };
        self.dispatch_commands.send(command).await.map_err(|_| CommandError::TimedOut)?;
        result.await.unwrap_or(Err(CommandError::TimedOut))
    }
}
