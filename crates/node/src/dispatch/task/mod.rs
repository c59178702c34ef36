//! The dispatch task: it owns the dispatcher and everything that the dispatcher's decisions need, and alone
//! changes them.
//!
//! Each message, command and expired timer becomes an event for the dispatcher, and the actions that the
//! dispatcher returns are performed at once, before the next message is read. The task decides nothing about
//! jobs itself, knows no protocol, and touches no socket: attempts are carried by an [`AttemptTransport`].

mod actions;
mod attempt_lifecycle;
mod job_lifecycle;
mod job_migration;

use std::time::Duration;

use curlewusher_control::command::CommandResult;
use curlewusher_control::maintenance::{DisabledWorkers, MaintenanceAction};
use curlewusher_core::{
    Action, Dispatcher, Endpoint, EndpointUpdate, Event, Outcome, TimeSpan, Timestamp, WorkerId,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tracing::trace;

use super::clock::{Clock, time_span};
use super::endpoints::{EndpointTable, ExistingConnections, NamedEndpoint};
use super::jobs::{JobOwner, JobTable};
use super::messages::{DispatchCommand, DispatchMessage, EndpointChange, TransferableState};
use super::migration::Migrations;
use super::permission_monitor::PermissionMonitor;
use super::timers::{Timer, TimerQueue};
use crate::attempt::AttemptTransport;
use crate::telemetry::logging::DISPATCH;
use crate::telemetry::metrics::{Counter, Metrics};

/// What a [`DispatchTask`] is made of and connected to.
pub struct DispatchParts<T: AttemptTransport> {
    /// Decides what to do with each job.
    pub dispatcher: Dispatcher,
    /// The node's clock.
    pub clock: Clock,
    /// Carries attempts to workers.
    pub worker_client: T,
    /// Messages of clients, workers and discovery.
    pub messages: mpsc::Receiver<DispatchMessage<T::Payload>>,
    /// Commands of operators and of the other process of this node.
    pub commands: mpsc::Receiver<DispatchCommand>,
    /// Requests a poll of discovery's endpoint list.
    pub watch_requests: mpsc::Sender<()>,
    /// The node's counters.
    pub metrics: Metrics,
    /// The other process of this node has answered to a migration by then, or counts as having rejected it.
    pub migration_timeout: Duration,
}

/// The task; see the module's documentation.
pub struct DispatchTask<T: AttemptTransport> {
    dispatcher: Dispatcher,
    clock: Clock,
    worker_client: T,
    messages: mpsc::Receiver<DispatchMessage<T::Payload>>,
    commands: mpsc::Receiver<DispatchCommand>,
    watch_requests: mpsc::Sender<()>,
    metrics: Metrics,
    migration_timeout: TimeSpan,
    jobs: JobTable<T::Payload>,
    migrations: Migrations<T::Payload>,
    endpoints: EndpointTable,
    disabled_workers: DisabledWorkers,
    timers: TimerQueue,
    permissions: PermissionMonitor,
    /// The dispatcher's actions; empty between two events.
    actions: Vec<Action>,
}

impl<T: AttemptTransport> DispatchTask<T> {
    /// A task without jobs and without endpoints.
    pub fn new(parts: DispatchParts<T>) -> Self {
        DispatchTask {
            permissions: PermissionMonitor::new(parts.clock, parts.metrics.clone()),
            dispatcher: parts.dispatcher,
            clock: parts.clock,
            worker_client: parts.worker_client,
            messages: parts.messages,
            commands: parts.commands,
            watch_requests: parts.watch_requests,
            metrics: parts.metrics,
            migration_timeout: time_span(parts.migration_timeout),
            jobs: JobTable::default(),
            migrations: Migrations::default(),
            endpoints: EndpointTable::default(),
            disabled_workers: DisabledWorkers::default(),
            timers: TimerQueue::default(),
            actions: Vec::new(),
        }
    }

    /// Runs until the queue of messages is closed. `saved_endpoints` is the list of the configuration, which
    /// counts until discovery has sent its own.
    pub async fn run(mut self, saved_endpoints: Vec<NamedEndpoint>) {
        // The saved list has the same time as the first expiry of a timer: by that the dispatcher knows that
        // it does not come from discovery.
        let now = self.clock.now();
        self.decide(now, Event::TimerExpired);
        self.update_endpoints(now, saved_endpoints, EndpointUpdate::Snapshot);
        loop {
            let next_expiry = self.timers.next_expiry().map(|expiry| self.clock.instant_at(expiry));
            let sleep = async {
                match next_expiry {
                    Some(instant) => tokio::time::sleep_until(instant).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                Some(command) = self.commands.recv() => self.handle_command(command),
                message = self.messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = sleep => {}
            }
            self.handle_expired_timers();
        }
    }

    /// Handles the timers that have expired at this moment.
    fn handle_expired_timers(&mut self) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop_expired(now) {
            match timer {
                Timer::Dispatcher => self.apply_event(Event::TimerExpired),
                Timer::AttemptTimeout(id) => self.cancel_attempt(id, Outcome::TimedOut),
            }
        }
    }

    /// Carries out a command of an operator or of the other process of this node.
    fn handle_command(&mut self, command: DispatchCommand) {
        match command {
            DispatchCommand::ChangeMaintenance { name, action, result } => {
                self.change_maintenance(&name, action, result);
            }
            DispatchCommand::ChangeMaintenanceForPeer { name, action, result } => {
                self.disabled_workers.record_listed([name.as_str()]);
                self.change_maintenance(&name, action, result);
            }
            DispatchCommand::TakeSnapshot(snapshot_channel) => {
                let snapshot = Some(self.dispatcher.snapshot());
                let disabled_workers = self.disabled_workers.clone();
                // Fails where the link to the successor was lost meanwhile: the snapshot is not needed any more.
                let _ = snapshot_channel.send(TransferableState { disabled_workers, snapshot });
            }
            DispatchCommand::RestoreSnapshot(state) => self.restore_state(&state),
            DispatchCommand::SetSuccessorActive { active } => {
                self.apply_event(Event::SuccessorActive { active });
            }
        }
    }

    /// Disables or enables a worker, and answers the operator.
    fn change_maintenance(
        &mut self,
        name: &str,
        action: MaintenanceAction,
        result: oneshot::Sender<CommandResult>,
    ) {
        let changed = self.disabled_workers.apply(name, action);
        if changed.is_ok() {
            self.apply_maintenance(name, action);
        }
        // An operator who does not wait any more may repeat the command.
        let _ = result.send(changed);
    }

    /// Has the dispatcher use a worker no longer, or use it again.
    fn apply_maintenance(&mut self, name: &str, action: MaintenanceAction) {
        let worker = WorkerId::from_name(name);
        self.apply_event(match action {
            MaintenanceAction::Disable => Event::WorkerDisabled { worker },
            MaintenanceAction::Enable => Event::WorkerEnabled { worker },
        });
    }

    /// Adopts what the predecessor of this process knew.
    fn restore_state(&mut self, state: &TransferableState) {
        for change in self.disabled_workers.merge_predecessor(&state.disabled_workers) {
            self.apply_maintenance(&change.name, change.action);
        }
        if let Some(snapshot) = &state.snapshot {
            self.dispatcher.restore(self.clock.now(), snapshot);
        }
    }

    /// Handles a message of a client, a worker, the transport or discovery.
    fn handle_message(&mut self, message: DispatchMessage<T::Payload>) {
        match message {
            DispatchMessage::Submit(job) => self.submit_job(job),
            DispatchMessage::ClientDisconnected(job_handle) => {
                if let Some(id) = job_handle.job_id() {
                    self.handle_client_disconnect(id);
                }
            }
            DispatchMessage::Callback { request_id, worker_name, state, owner } => {
                if let Some(owner) = owner {
                    // Before the callback is handled, which may end the job. A caller that does not wait has
                    // ended.
                    let _ = owner.send(self.job_owner(&request_id));
                }
                self.handle_callback(&request_id, &worker_name, state);
            }
            DispatchMessage::QueryJob { request_id, held } => {
                // A caller that has stopped waiting needs no answer.
                let _ = held.send(self.job_owner(&request_id) != JobOwner::Unknown);
            }
            DispatchMessage::MigrateJob { job_handle, migration_channel } => {
                self.start_outgoing_migration(&job_handle, migration_channel);
            }
            DispatchMessage::MigrationFinished { job_handle, outcome } => {
                self.finish_outgoing_migration(&job_handle, outcome);
            }
            DispatchMessage::ReceiveMigration(incoming) => self.start_incoming_migration(incoming),
            DispatchMessage::MigrationConfirmed { job_handle, outcome } => {
                self.finish_incoming_migration(&job_handle, outcome);
            }
            DispatchMessage::Attempt(report) => self.handle_attempt_report(report),
            DispatchMessage::EndpointsChanged(change) => self.handle_endpoint_change(change),
            DispatchMessage::EndpointsConfirmed { as_of } => self.confirm_endpoints(as_of),
            DispatchMessage::EndpointsMalformed => self.apply_event(Event::EndpointsMalformed),
            DispatchMessage::DiscoveryAddressChanged => self.apply_event(Event::DiscoveryAddressChanged),
            DispatchMessage::WatchFailed => self.apply_event(Event::WatchFailed),
            DispatchMessage::ShutdownStarted(time_left) => {
                let deadline = self.clock.now() + time_span(time_left);
                self.apply_event(Event::ShutdownStarted { deadline });
            }
        }
    }

    /// Applies what discovery has sent in answer to a poll, or over the open watch.
    fn handle_endpoint_change(&mut self, change: EndpointChange) {
        let EndpointChange { endpoints, update, current_as_of, poll_duration } = change;
        if let Some(duration) = poll_duration {
            self.apply_event(Event::PollAnswered { duration: time_span(duration) });
        }
        self.update_endpoints(self.clock.now(), endpoints, update);
        if let Some(as_of) = current_as_of {
            self.confirm_endpoints(as_of);
        }
    }

    /// Applies a list of endpoints or, where it is no snapshot, a change to the list.
    fn update_endpoints(&mut self, now: Timestamp, endpoints: Vec<NamedEndpoint>, update: EndpointUpdate) {
        self.metrics.add(Counter::EndpointListUpdates);
        self.disabled_workers.record_listed(endpoints.iter().map(|listed| &*listed.name));
        let entries: Vec<Endpoint> = endpoints.iter().map(|listed| listed.endpoint.clone()).collect();
        if update == EndpointUpdate::Snapshot {
            self.endpoints.clear();
        }
        for listed in endpoints {
            let address = listed.address;
            trace!(
                target: DISPATCH,
                worker = %listed.name,
                %address,
                endpoint = ?listed.endpoint,
                "endpoint listed"
            );
            if self.endpoints.apply(listed) == ExistingConnections::Stale {
                self.worker_client.discard_connections(address);
            }
        }
        let event = Event::EndpointsChanged { endpoints: &entries, update };
        self.decide(now, event);
    }

    /// Discovery has confirmed the list as it was at this moment, which may be some time ago.
    fn confirm_endpoints(&mut self, as_of: Instant) {
        let as_of = self.clock.moment_of(as_of);
        self.apply_event(Event::EndpointsConfirmed { as_of });
    }

    /// Has the dispatcher handle an event, and performs its actions.
    fn apply_event(&mut self, event: Event) {
        self.decide(self.clock.now(), event);
    }

    fn decide(&mut self, now: Timestamp, event: Event) {
        self.dispatcher.handle(now, event, &mut self.actions);
        self.permissions.observe(now, &self.dispatcher);
        self.perform_actions();
    }
}
