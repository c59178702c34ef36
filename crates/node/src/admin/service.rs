//! Carries out operators' commands, in this process and in the other one of its node. A command succeeds only once
//! both have carried it out. Which workers are disabled is the dispatch task's to know: no list is kept here.

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

/// Carries out commands. Clones share the same state.
#[derive(Clone)]
pub struct AdminService {
    /// Name of the node.
    pub name: Rc<str>,
    /// Phase of this process.
    pub lifecycle: Lifecycle,
    /// To the dispatch task.
    pub dispatch_commands: mpsc::Sender<DispatchCommand>,
    /// The other process of this node, while there is one.
    pub peer: Peer,
    /// Whether an operator has started or ended a drain at this process, or at the other one while both ran.
    pub drain_requested: Rc<Cell<bool>>,
}

/// Which process of the node an operator has sent a command to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CommandOrigin {
    /// This one.
    Operator,
    /// The other one, which has carried it out and passes it on.
    Peer,
}

impl AdminService {
    /// Carries out commands for as long as the admin address lasts; without one it never returns.
    pub async fn serve(self, commands: Option<mpsc::Receiver<PendingCommand>>) {
        let Some(mut commands) = commands else { return std::future::pending().await };
        while let Some(PendingCommand { command, reply }) = commands.recv().await {
            let result = self.carry_out(&command).await;
            let response = format_response(&Ok(result.clone()));
            info!(target: NODE, node = %self.name, %command, response = response.trim_end(), "admin command completed");
            // An operator who no longer waits may send it again.
            let _ = reply.send(result);
        }
    }

    /// Carries out a command that the other process of this node has received.
    pub async fn apply_peer_command(&self, command: &AdminCommand) -> CommandResult {
        self.carry_out_here(command, CommandOrigin::Peer).await
    }

    async fn carry_out(&self, command: &AdminCommand) -> CommandResult {
        if self.lifecycle.phase().is_shutting_down() {
            return Err(CommandError::ShuttingDown);
        }
        self.carry_out_here(command, CommandOrigin::Operator).await?;
        self.carry_out_at_peer(command).await
    }

    /// Succeeds where there is no other process, or where it ends before it has responded.
    async fn carry_out_at_peer(&self, command: &AdminCommand) -> CommandResult {
        let Some(link) = self.peer.link() else { return Ok(()) };
        match link.forward_command(command).await {
            Some(result) => result,
            None if link.is_connected() => Err(CommandError::TimedOut),
            None => Ok(()),
        }
    }

    async fn carry_out_here(&self, command: &AdminCommand, origin: CommandOrigin) -> CommandResult {
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
        // Without a transition the node is in the requested state already, or the process ends.
        let _ = self.lifecycle.apply(event);
        self.drain_requested.set(true);
        Ok(())
    }

    /// A worker that the other process has accepted is accepted here, even if no endpoint list has named it yet.
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
