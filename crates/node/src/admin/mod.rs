//! Owns how operators' calls are carried out, in this process and in the other one of its node. It must never answer yes
//! before both hold what was called for, and never keep a list of its own: bans are the dispatch task's.

pub mod listener;

use std::cell::Cell;
use std::rc::Rc;

use curlewusher_control::command::{AdminCommand, CommandError, CommandResult, answer};
use tokio::sync::{mpsc, oneshot};
use tracing::info;

use crate::admin::listener::PendingCommand;
use crate::dispatch::DispatchCommand;
use crate::handover::Peer;
use crate::lifecycle::{Lifecycle, PhaseEvent};
use crate::telemetry::logging::NODE;

/// Carries out calls.
#[derive(Clone)]
pub struct AdminService {
    pub name: Rc<str>,
    pub lifecycle: Lifecycle,
    pub order: mpsc::Sender<DispatchCommand>,
    pub peer: Peer,
    /// A call for a drain or its end has come to this process, or to the other while both ran.
    pub drain_called: Rc<Cell<bool>>,
}

impl AdminService {
    /// Serves the second address, for as long as there is one.
    pub async fn serve(self, calls: Option<mpsc::Receiver<PendingCommand>>) {
        let Some(mut calls) = calls else { return std::future::pending().await };
        while let Some((call, verdict)) = calls.recv().await {
            let said = self.carry_out(&call).await;
            info!(target: NODE, "curlewusher {}: {call}: {}", self.name, answer(&Ok(said.clone())).trim_end());
            // An operator who no longer waits may ask again.
            let _ = verdict.send(said);
        }
    }

    async fn carry_out(&self, call: &AdminCommand) -> CommandResult {
        if self.lifecycle.phase().is_shutting_down() {
            return Err(CommandError::ShuttingDown);
        }
        self.here(call, false).await?;
        match self.peer.link() {
            // One that is gone meanwhile has nothing to hold any more.
            Some(link) => link.forward_command(call).await.unwrap_or(if link.is_connected() {
                Err(CommandError::TimedOut)
            } else {
                Ok(())
            }),
            None => Ok(()),
        }
    }

    /// A call that came to the other process of this node.
    pub async fn follow(&self, call: &AdminCommand) -> CommandResult {
        self.here(call, true).await
    }

    async fn here(&self, call: &AdminCommand, vouched: bool) -> CommandResult {
        let (verdict, said) = oneshot::channel();
        let order = match (call, vouched) {
            (AdminCommand::Ready, _) => return Ok(()),
            (AdminCommand::Drain | AdminCommand::Undrain, _) => {
                let by = if *call == AdminCommand::Drain { PhaseEvent::Drain } else { PhaseEvent::Undrain };
                // No move of the table: it is so already, or the process ends.
                let _ = self.lifecycle.apply(by);
                self.drain_called.set(true);
                return Ok(());
            }
            (AdminCommand::Disable(name) | AdminCommand::Enable(name), vouched) => {
                let (name, out) = (name.clone(), matches!(call, AdminCommand::Disable(_)));
                match vouched {
                    true => DispatchCommand::SetWorkerDisabledByPeer { name, disabled: out, result: verdict },
                    false => DispatchCommand::SetWorkerDisabled { name, disabled: out, result: verdict },
                }
            }
        };
        self.order.send(order).await.map_err(|_| CommandError::TimedOut)?;
        said.await.unwrap_or(Err(CommandError::TimedOut))
    }
}
