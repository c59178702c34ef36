//! Dispatch task, which owns the dispatcher and all state that its decisions need. Only this task changes
//! them.
//!
//! Each message, command and expired timer becomes an event for the dispatcher, and the actions that the
//! dispatcher returns are performed before the next message is read. The task makes no decisions about jobs
//! itself, handles no protocol, and accesses no socket: an [`AttemptTransport`] sends the attempts.

mod actions;
mod attempt_lifecycle;
mod job_lifecycle;
mod job_migration;

use std::time::Duration;

use curlewusher_control::command::CommandResult;
use curlewusher_control::maintenance::{DisabledWorkers, MaintenanceAction};
use curlewusher_core::{
    Action, Dispatcher, Endpoint, EndpointUpdate, Event, ListEvidence, Outcome, TimeSpan, Timestamp, WorkerId,
};
use tokio::sync::{mpsc, oneshot};
use tracing::trace;

use super::clock::{Clock, time_span};
use super::endpoints::{EndpointTable, ExistingConnections, NamedEndpoint};
use super::jobs::{JobOwner, JobTable};
use super::messages::{
    AnsweredPoll, DispatchCommand, DispatchMessage, EndpointChange, EndpointPollRequest, TransferableState,
};
use super::migration::Migrations;
use super::permission_monitor::PermissionMonitor;
use super::timers::{Timer, TimerQueue};
use crate::attempt::AttemptTransport;
use crate::telemetry::logging::DISPATCH;
use crate::telemetry::metrics::{Counter, Metrics};

/// Parts and connections of a [`DispatchTask`].
pub struct DispatchParts<T: AttemptTransport> {
    /// Dispatcher that decides on each job.
    pub dispatcher: Dispatcher,
    /// Clock of the node.
    pub clock: Clock,
    /// Transport that sends attempts to workers.
    pub worker_client: T,
    /// Messages of clients, workers and discovery.
    pub messages: mpsc::Receiver<DispatchMessage<T::Payload>>,
    /// Commands of operators and of the peer process.
    pub commands: mpsc::Receiver<DispatchCommand>,
    /// Channel that requests polls of the endpoint list of discovery.
    pub poll_requests: mpsc::Sender<EndpointPollRequest>,
    /// Counters of the node.
    pub metrics: Metrics,
    /// Time that a job must have left for its migration to the peer process.
    pub min_time_for_migration: Duration,
}

/// The dispatch task; see the module documentation.
pub struct DispatchTask<T: AttemptTransport> {
    dispatcher: Dispatcher,
    clock: Clock,
    worker_client: T,
    messages: mpsc::Receiver<DispatchMessage<T::Payload>>,
    commands: mpsc::Receiver<DispatchCommand>,
    poll_requests: mpsc::Sender<EndpointPollRequest>,
    metrics: Metrics,
    min_time_for_migration: TimeSpan,
    jobs: JobTable<T::Payload>,
    migrations: Migrations<T::Payload>,
    endpoints: EndpointTable,
    disabled_workers: DisabledWorkers,
    timers: TimerQueue,
    permissions: PermissionMonitor,
    /// Actions of the dispatcher that have not been performed; empty between two events.
    actions: Vec<Action>,
}

impl<T: AttemptTransport> DispatchTask<T> {
    /// Creates a task without jobs and endpoints.
    pub fn new(parts: DispatchParts<T>) -> Self {
        DispatchTask {
            permissions: PermissionMonitor::new(parts.clock, parts.metrics.clone()),
            dispatcher: parts.dispatcher,
            clock: parts.clock,
            worker_client: parts.worker_client,
            messages: parts.messages,
            commands: parts.commands,
            poll_requests: parts.poll_requests,
            metrics: parts.metrics,
            min_time_for_migration: time_span(parts.min_time_for_migration),
            jobs: JobTable::default(),
            migrations: Migrations::default(),
            endpoints: EndpointTable::default(),
            disabled_workers: DisabledWorkers::default(),
            timers: TimerQueue::default(),
            actions: Vec::new(),
        }
    }

    /// Runs until the message queue is closed. `saved_endpoints` is the endpoint list of the configuration,
    /// which is used until discovery has sent its own.
    pub async fn run(mut self, saved_endpoints: Vec<NamedEndpoint>) {
        // The saved list is applied at the time of the first `TimerExpired`. The dispatcher recognizes by
        // that time that the list does not come from discovery.
        let now = self.clock.now();
        self.apply_event_at(now, Event::TimerExpired);
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

    /// Handles the timers that have expired by now.
    fn handle_expired_timers(&mut self) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop_expired(now) {
            match timer {
                Timer::Dispatcher => self.apply_event(Event::TimerExpired),
                Timer::AttemptTimeout(id) => self.cancel_attempt(id, Outcome::TimedOut),
            }
        }
    }

    /// Executes a command of an operator or of the peer process.
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
                // Fails if the link to the successor was lost in the meantime: the snapshot is no longer
                // needed.
                let _ = snapshot_channel.send(TransferableState { disabled_workers, snapshot });
            }
            DispatchCommand::RestoreSnapshot(state) => self.restore_state(&state),
            DispatchCommand::SetSuccessorActive { active } => {
                self.apply_event(Event::SuccessorActive { active });
            }
        }
    }

    /// Disables or enables a worker, and returns the result to the operator.
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
        // An operator that has stopped waiting may repeat the command.
        let _ = result.send(changed);
    }

    /// Notifies the dispatcher that a worker has been disabled or enabled.
    fn apply_maintenance(&mut self, name: &str, action: MaintenanceAction) {
        let worker = WorkerId::from_name(name);
        self.apply_event(match action {
            MaintenanceAction::Disable => Event::WorkerDisabled { worker },
            MaintenanceAction::Enable => Event::WorkerEnabled { worker },
        });
    }

    /// Restores the state of the predecessor of this process.
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
                    // The owner is sent before the callback is handled, which may end the job. Sending fails
                    // if the caller has stopped waiting.
                    let _ = owner.send(self.job_owner(&request_id));
                }
                self.handle_callback(&request_id, &worker_name, state);
            }
            DispatchMessage::QueryJob { request_id, is_open } => {
                // A caller that has stopped waiting needs no result.
                let _ = is_open.send(self.job_owner(&request_id) != JobOwner::Unknown);
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
            DispatchMessage::EndpointHeartbeat { read_at } => {
                let read_at = self.clock.timestamp_of(read_at);
                self.confirm_endpoints(ListEvidence::Heartbeat { read_at });
            }
            DispatchMessage::EndpointsMalformed => self.apply_event(Event::EndpointsMalformed),
            DispatchMessage::DiscoveryAddressChanged => self.apply_event(Event::DiscoveryAddressChanged),
            DispatchMessage::WatchFailed => self.apply_event(Event::WatchFailed),
            DispatchMessage::ShutdownStarted(time_left) => {
                let deadline = self.clock.now() + time_span(time_left);
                self.apply_event(Event::ShutdownStarted { deadline });
            }
        }
    }

    /// Applies an endpoint list, or a change to it, that discovery has sent in response to a poll or over the
    /// open watch.
    fn handle_endpoint_change(&mut self, change: EndpointChange) {
        let EndpointChange { endpoints, update, answered_poll } = change;
        if let Some(poll) = &answered_poll {
            self.apply_event(Event::PollAnswered { duration: time_span(poll.duration) });
        }
        self.update_endpoints(self.clock.now(), endpoints, update);
        if let Some(AnsweredPoll { sent_at: Some(sent_at), duration }) = answered_poll {
            let sent_at = self.clock.timestamp_of(sent_at);
            let read_at = sent_at + time_span(duration);
            self.confirm_endpoints(ListEvidence::PollAnswer { sent_at, read_at });
        }
    }

    /// Applies a complete endpoint list or a change to it.
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
        self.apply_event_at(now, event);
    }

    /// Records that discovery has confirmed the list.
    fn confirm_endpoints(&mut self, evidence: ListEvidence) {
        self.apply_event(Event::EndpointsConfirmed { evidence });
    }

    /// Passes an event to the dispatcher, and performs its actions.
    fn apply_event(&mut self, event: Event) {
        self.apply_event_at(self.clock.now(), event);
    }

    /// Passes an event of the time `now` to the dispatcher, and performs its actions.
    fn apply_event_at(&mut self, now: Timestamp, event: Event) {
        self.dispatcher.handle(now, event, &mut self.actions);
        self.permissions.observe(now, &self.dispatcher);
        self.perform_actions();
    }
}
