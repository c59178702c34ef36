//! Execution of the commands of the state machine by the takeover task.

use bytes::Bytes;
use curlewusher_control::takeover::{DescriptorShare, RejectReason, TakeoverCommand, TakeoverEvent};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tracing::{info, warn};

use super::{LocalEvent, TakeoverTask};
use crate::dispatch::DispatchCommand;
use crate::handover::rendezvous_listener::RendezvousListener;
use crate::handover::state_transfer::StateTransfer;
use crate::lifecycle::PhaseEvent;
use crate::telemetry::logging::NODE;

impl TakeoverTask {
    /// Executes commands in their order.
    pub(super) async fn execute(&mut self, commands: Vec<TakeoverCommand>) {
        for command in commands {
            match command {
                TakeoverCommand::AcceptHello => self.accept_successor().await,
                TakeoverCommand::RejectHello(reason) => self.reject_hello(reason).await,
                TakeoverCommand::RequestTakeover => self.request_takeover(),
                TakeoverCommand::GrantTakeover => self.grant_takeover().await,
                TakeoverCommand::HandBack => self.hand_back(),
                TakeoverCommand::CloseLink => self.close_link(),
                TakeoverCommand::StartAccepting => self.parts.server.start_accepting(),
                TakeoverCommand::StopAccepting => self.parts.server.stop_accepting(),
                TakeoverCommand::ApplyPhaseEvent(event) => self.apply_phase_event(event).await,
                TakeoverCommand::SetDescriptorShare(share) => self.set_descriptor_share(share),
                TakeoverCommand::ListenForSuccessor => self.listen_for_successor(),
            }
        }
    }

    async fn accept_successor(&mut self) {
        let snapshot = self.take_snapshot().await;
        let Some(hello) = self.pending_hello.take() else { return };
        let client_listener = self.parts.client_listener.borrow().clone();
        // Without a listener the shutdown is complete. Dropping the hello closes its connection without a
        // response.
        let Some(client_listener) = client_listener else { return };
        match hello.accept(&client_listener, snapshot).await {
            Ok(ends) => {
                info!(target: NODE, node = %self.parts.admin.name, "successor linked");
                self.set_link(Some(ends));
            }
            Err(error) => {
                warn!(target: NODE, %error, "successor not linked");
                let commands = self.takeover.handle(TakeoverEvent::LinkLost);
                Box::pin(self.execute(commands)).await;
            }
        }
    }

    async fn reject_hello(&mut self, reason: RejectReason) {
        if let Some(hello) = self.pending_hello.take() {
            hello.reject(reason).await;
        }
    }

    fn request_takeover(&self) {
        let Some(link) = self.parts.admin.peer.link() else { return };
        let events = self.local_event_queue.clone();
        spawn_local(async move {
            let response = link.request_takeover().await;
            events.send(LocalEvent::TakeoverResponse(response)).await.is_ok()
        });
    }

    async fn grant_takeover(&mut self) {
        let snapshot = self.take_snapshot().await;
        if let Some(response) = self.takeover_response.take() {
            // Sending fails if the link is lost, which is reported separately.
            let _ = response.send(snapshot);
        }
        self.parts.server.start_migration();
    }

    fn hand_back(&self) {
        if let Some(link) = self.parts.admin.peer.link() {
            link.hand_back();
        }
        self.parts.server.start_migration();
    }

    fn close_link(&mut self) {
        if let Some(link) = self.parts.admin.peer.link() {
            link.close();
        }
        self.set_link(None);
    }

    async fn apply_phase_event(&self, event: PhaseEvent) {
        let admin = &self.parts.admin;
        let Some(phase) = admin.lifecycle.apply(event) else { return };
        if event != PhaseEvent::EndpointsAvailable {
            info!(target: NODE, node = %admin.name, %phase, "phase changed");
        }
        if matches!(event, PhaseEvent::HandedOver | PhaseEvent::RolledBack) {
            let active = event == PhaseEvent::HandedOver;
            self.send_to_dispatch(DispatchCommand::SetSuccessorActive { active }).await;
        }
    }

    fn set_descriptor_share(&self, share: DescriptorShare) {
        self.parts.server.set_descriptor_share(share);
        self.parts.upstream.set_descriptor_share(share);
    }

    fn listen_for_successor(&mut self) {
        let Some(rendezvous) = &self.rendezvous else { return };
        match RendezvousListener::bind(rendezvous, self.hello_queue.clone()) {
            Ok(listener) => *self.rendezvous_listener.borrow_mut() = Some(listener),
            Err(error) => {
                self.parts.admin.peer.mark_unknown_peer_possible();
                warn!(target: NODE, %error, "rendezvous listener failed");
            }
        }
        // From now on the next starting process can find this process.
        self.start_lock = None;
    }

    /// Returns the encoded state for a successor, or an empty buffer if the dispatch task has ended or the
    /// state cannot be encoded.
    async fn take_snapshot(&self) -> Bytes {
        let (state_channel, state) = oneshot::channel();
        let admin = &self.parts.admin;
        let is_sent =
            admin.dispatch_commands.send(DispatchCommand::TakeSnapshot(state_channel)).await.is_ok();
        let Some(state) = state.await.ok().filter(|_| is_sent) else { return Bytes::new() };
        StateTransfer::new(admin.lifecycle.phase(), state).encode()
    }
}
