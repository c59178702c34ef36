//! Task that owns the models of the workers and of discovery. It passes the messages of the servers and the
//! passing of time to the models, and applies their effects. All decisions are made by the models.

use std::sync::Arc;

use curlewusher_model::Timestamp;
use curlewusher_model::endpoint_registry::EndpointStatus;
use curlewusher_model::worker_pool::{
    Arrival, AttemptNumber, JobDemand, PoolEffect, PoolInput, WorkerIndex, WorkerPool,
};
use curlewusher_model::workload::PlannedJob;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::{interval, sleep_until};

use super::attempt_table::{AttemptTable, InFlightAttempt};
use super::callback::{AttemptReport, CallbackDelivery};
use super::discovery_state::{DiscoveryState, HEARTBEAT_INTERVAL};
use super::message::{Admission, AttemptArrival, FleetCommand, FleetMessage};
use super::sent_requests::{RequestOrigin, expected_result};
use super::worker_server::ListenerState;
use crate::event_log::{Event, EventLog};

/// State of a worker's process that its server shows to the nodes.
pub(super) struct WorkerProcess {
    pub(super) listener: watch::Sender<ListenerState>,
    /// Whether the process reads requests and does not respond. The pool does not get the jobs that arrive.
    pub(super) is_unresponsive: bool,
    pub(super) cell: u32,
}

/// Owner of the models.
pub(super) struct FleetOwner {
    pub(super) pool: WorkerPool,
    pub(super) discovery: DiscoveryState,
    pub(super) workers: Vec<WorkerProcess>,
    pub(super) jobs: Arc<Vec<PlannedJob>>,
    pub(super) attempts: AttemptTable,
    pub(super) callbacks: CallbackDelivery,
    pub(super) log: EventLog,
}

impl FleetOwner {
    /// Runs until the fleet has shut down.
    pub(super) async fn run(mut self, mut messages: UnboundedReceiver<FleetMessage>) {
        let mut heartbeat = interval(HEARTBEAT_INTERVAL);
        loop {
            let next_event = self.next_event();
            let log = self.log.clone();
            let event_due = async move {
                match next_event {
                    Some(at) => sleep_until(log.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = event_due => {}
                _ = heartbeat.tick() => self.discovery.send_heartbeats(),
            }
            let mut effects = Vec::new();
            self.pool.advance_to(self.log.now(), &mut effects);
            self.handle_effects(effects);
            self.discovery.publish();
            self.discovery.write_delayed_lines(self.log.now());
        }
    }

    /// Returns the next time at which one of the models changes without an input.
    fn next_event(&self) -> Option<Timestamp> {
        let discovery = [self.discovery.next_publication(), self.discovery.next_delayed_line()];
        discovery.into_iter().chain([self.pool.next_event()]).flatten().min()
    }

    fn handle_message(&mut self, message: FleetMessage) {
        match message {
            FleetMessage::AttemptArrived(arrival) => self.handle_arrival(arrival),
            FleetMessage::CancelAttempt { worker, request_id } => self.cancel_attempt(worker, request_id),
            FleetMessage::EndpointsPolled(poll) => self.discovery.open_watch(poll),
            FleetMessage::CloseWatches(server) => self.discovery.close_watches(server),
            FleetMessage::Apply(command) => self.apply_command(command),
        }
    }

    fn handle_arrival(&mut self, arrival: AttemptArrival) {
        let AttemptArrival { worker, request_id, origin, head_received_at, admission } = arrival;
        let RequestOrigin { node, job } = origin;
        let demand = demand_of(&self.jobs[job], job);
        let attempt = self.attempts.allocate_number();
        self.log.record(Event::AttemptArrived {
            attempt,
            id: request_id.clone(),
            node,
            worker,
            bay: self.workers[worker].cell,
            work_seconds: demand.work_seconds,
            head_at: head_received_at,
        });
        let callbacks = self.callbacks.open_queue(node);
        let in_flight = InFlightAttempt { request_id, worker, admission: Some(admission), callbacks };
        self.attempts.insert(attempt, in_flight);
        // An unresponsive process has read the attempt. It does not process the attempt and does not respond.
        if !self.workers[worker].is_unresponsive {
            self.drive_pool(PoolInput::Arrive(Arrival { worker, attempt, demand }));
        }
    }

    fn cancel_attempt(&mut self, worker: WorkerIndex, request_id: String) {
        let Some(attempt) = self.attempts.find(worker, request_id) else { return };
        self.drive_pool(PoolInput::Cancel { worker, attempt });
        if self.attempts.contains(attempt) {
            // The attempt arrived at an unresponsive process, so the pool never received it.
            self.log.record(Event::AttemptCancelled { attempt });
            self.attempts.remove(attempt);
        }
    }

    fn apply_command(&mut self, command: FleetCommand) {
        let now = self.log.now();
        match command {
            FleetCommand::Kill(worker) => {
                self.drive_pool(PoolInput::Kill(worker));
                self.set_listener(worker, ListenerState::Closed);
                self.discovery.record_change(now, worker, EndpointStatus::Terminated);
            }
            FleetCommand::Start(worker) => {
                self.drive_pool(PoolInput::Start(worker));
                self.workers[worker].is_unresponsive = false;
                self.log.record_at(now, Event::WorkerStarted { worker });
                self.set_listener(worker, ListenerState::Open);
                self.discovery.record_start(now, worker);
            }
            FleetCommand::SetSlowdown(worker, factor) => {
                self.drive_pool(PoolInput::SetSlowdown { worker, factor });
            }
            FleetCommand::Drain(worker) => {
                self.drive_pool(PoolInput::Drain(worker));
                self.discovery.record_change(now, worker, EndpointStatus::Terminating);
            }
            FleetCommand::SetListedStatus(worker, status) => {
                self.discovery.record_change(now, worker, status);
            }
            FleetCommand::MakeUnresponsive(worker) => {
                self.workers[worker].is_unresponsive = true;
                self.set_listener(worker, ListenerState::Unresponsive);
            }
            FleetCommand::MakeResponsive(worker) => {
                self.workers[worker].is_unresponsive = false;
                self.set_listener(worker, ListenerState::Open);
            }
            FleetCommand::StopDiscovery => self.discovery.stop(),
            FleetCommand::StartDiscovery => self.discovery.start(),
            FleetCommand::DelayWatchLines { growth } => self.discovery.set_lateness_growth(growth),
        }
    }

    fn set_listener(&mut self, worker: WorkerIndex, state: ListenerState) {
        self.workers[worker].listener.send_replace(state);
    }

    fn drive_pool(&mut self, input: PoolInput) {
        let mut effects = Vec::new();
        self.pool.handle(self.log.now(), input, &mut effects);
        self.handle_effects(effects);
    }

    fn handle_effects(&mut self, effects: Vec<PoolEffect>) {
        for effect in effects {
            self.handle_effect(effect);
        }
    }

    fn handle_effect(&mut self, effect: PoolEffect) {
        match effect {
            PoolEffect::Accepted(attempt) => {
                self.log.record(Event::AttemptAccepted { attempt });
                self.attempts.send_admission(attempt, Admission::Accepted);
            }
            PoolEffect::Rejected(attempt) => {
                self.log.record(Event::AttemptRejected { attempt });
                self.attempts.send_admission(attempt, Admission::Rejected);
                self.attempts.remove(attempt);
            }
            PoolEffect::Started(attempt) => {
                self.log.record(Event::AttemptStarted { attempt });
                self.attempts.report(attempt, AttemptReport::Started);
            }
            PoolEffect::Progressed { attempt, fraction } => {
                self.attempts.report(attempt, AttemptReport::Running { fraction });
            }
            PoolEffect::Completed(attempt) => {
                self.log.record(Event::AttemptCompleted { attempt });
                let result = self.attempts.request_id(attempt).map(expected_result).unwrap_or_default();
                self.end_attempt(attempt, AttemptReport::Done { result });
            }
            PoolEffect::Returned(attempt) => {
                self.log.record(Event::AttemptReturned { attempt });
                self.end_attempt(attempt, AttemptReport::Returned);
            }
            PoolEffect::Lost(attempt) => {
                self.log.record(Event::AttemptLost { attempt });
                self.end_attempt(attempt, AttemptReport::Lost);
            }
            PoolEffect::Cancelled { attempt, .. } => {
                self.log.record(Event::AttemptCancelled { attempt });
                self.attempts.remove(attempt);
            }
            PoolEffect::Overloaded(worker) => {
                self.log.record(Event::WorkerOverloaded { worker });
                self.set_listener(worker, ListenerState::Closed);
                self.discovery.record_change(self.log.now(), worker, EndpointStatus::Terminated);
            }
        }
    }

    fn end_attempt(&mut self, attempt: AttemptNumber, report: AttemptReport) {
        self.attempts.report(attempt, report);
        self.attempts.remove(attempt);
    }
}

fn demand_of(planned: &PlannedJob, job: usize) -> JobDemand {
    JobDemand {
        work_seconds: planned.work_seconds,
        slots: planned.slots,
        memory: f64::from(planned.slots),
        data_set: planned.data_set,
        // The model drops duplicates of the jobs of all classes. All requests of a job have the same key.
        idempotency_key: Some(job as u64),
    }
}
