//! Handling of the events of this process and of the peer's requests by the takeover task. The task passes
//! them to the state machine, or to another part of the node that answers them.

use bytes::Bytes;
use curlewusher_control::takeover::{TakeoverCommand, TakeoverEvent};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tracing::info;

use super::{LocalEvent, TakeoverTask};
use crate::dispatch::JobOwner;
use crate::handover::link::PeerRequest;
use crate::handover::state_transfer::StateTransfer;
use crate::telemetry::logging::NODE;
use crate::upstream::CancellationTarget;

impl TakeoverTask {
    /// Handles an event of this process, and returns the resulting commands.
    pub(super) async fn handle_local_event(&mut self, event: LocalEvent) -> Vec<TakeoverCommand> {
        match event {
            LocalEvent::SuccessorHello(hello) => {
                let (node, listen) = (hello.node.clone(), hello.listen.clone());
                self.pending_hello = Some(hello);
                self.takeover.handle(TakeoverEvent::Hello { node, listen })
            }
            // The link is closed, which `PeerRequest::LinkLost` reports separately.
            LocalEvent::TakeoverResponse(None) => Vec::new(),
            LocalEvent::TakeoverResponse(Some(snapshot)) => {
                let transfer = StateTransfer::decode(&snapshot).or_else(|| self.handshake_state.take());
                if let Some(transfer) = transfer {
                    self.restore(transfer).await;
                }
                self.handshake_state = None;
                self.takeover.handle(TakeoverEvent::TakeoverGranted)
            }
            LocalEvent::Terminate(done) => {
                let commands = self.takeover.handle(TakeoverEvent::Terminate);
                self.execute(commands).await;
                // Sending fails if the process is already exiting because another task has ended.
                let _ = done.send(());
                Vec::new()
            }
        }
    }

    /// Handles a request of the peer, and returns the resulting commands. Spawns a separate task for each
    /// request whose response may take long.
    pub(super) async fn handle_peer_request(&mut self, request: PeerRequest) -> Vec<TakeoverCommand> {
        match request {
            PeerRequest::Callback { body, is_handled } => self.handle_callback(body, is_handled),
            PeerRequest::ClaimJob { job_id, is_unheld } => {
                let server = self.parts.server.clone();
                spawn_local(async move { is_unheld.send(!server.holds_job(job_id).await) });
            }
            PeerRequest::Command { command, result } => {
                let admin = self.parts.admin.clone();
                spawn_local(async move { result.send(admin.execute_peer_command(&command).await) });
            }
            PeerRequest::MigrateJob { job, client, is_adopted, response_written } => {
                let server = self.parts.server.clone();
                spawn_local(server.adopt_job(job, client, is_adopted, response_written));
            }
            PeerRequest::CancelAttempt { worker, job_id } => {
                let target = CancellationTarget { address: worker, request_id: job_id };
                self.parts.upstream.adopt_cancellation(target);
            }
            PeerRequest::Takeover { snapshot } => {
                self.takeover_response = Some(snapshot);
                return self.takeover.handle(TakeoverEvent::TakeoverRequested);
            }
            PeerRequest::HandBack => {
                self.parts.server.stop_migration();
                return self.takeover.handle(TakeoverEvent::HandedBack);
            }
            PeerRequest::LinkLost => return self.handle_link_loss().await,
        }
        Vec::new()
    }

    fn handle_callback(&self, body: Bytes, is_handled: oneshot::Sender<bool>) {
        let server = self.parts.server.clone();
        spawn_local(async move {
            // Sending fails if the link is lost. The worker then sends the callback again.
            let _ = match server.handle_forwarded_callback(body).await {
                Some(JobOwner::Local) => is_handled.send(true),
                Some(JobOwner::Unknown) => is_handled.send(false),
                // Without a response the worker sends the callback again.
                Some(JobOwner::Migrating) | None => Ok(()),
            };
        });
    }

    async fn handle_link_loss(&mut self) -> Vec<TakeoverCommand> {
        self.parts.admin.peer.mark_lost();
        self.set_link(None);
        if let Some(transfer) = self.handshake_state.take() {
            self.restore(transfer).await;
        }
        info!(target: NODE, node = %self.parts.admin.name, "peer lost");
        self.takeover.handle(TakeoverEvent::LinkLost)
    }
}
