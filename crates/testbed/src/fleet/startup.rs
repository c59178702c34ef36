//! Startup of a fleet: the servers of the workers, and the initial state of the models.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use curlewusher_model::endpoint_registry::EndpointRegistry;
use curlewusher_model::worker_pool::{PoolInput, WorkerIndex, WorkerPool};
use curlewusher_model::{TimeSpan, Timestamp};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::discovery_state::{DiscoveryState, SentListRecorder, SentLists};
use super::endpoint_encoder::{EndpointAttributes, EndpointEncoder};
use super::error::FleetError;
use super::links::FleetLinks;
use super::message::FleetMessage;
use super::owner::WorkerProcess;
use super::reserved_port::ReservedPort;
use super::sent_requests::SentRequests;
use super::worker_server::{ListenerState, WorkerServer};
use crate::event_log::EventLog;
use crate::proxy::Proxy;
use crate::scenario::Scenario;

/// Builder of the parts of a fleet.
pub(super) struct FleetBuilder<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) links: Arc<FleetLinks>,
    pub(super) sent_requests: SentRequests,
    pub(super) messages: UnboundedSender<FleetMessage>,
    pub(super) log: EventLog,
}

/// Started servers of all workers, by worker.
#[derive(Default)]
pub(super) struct WorkerServers {
    pub(super) processes: Vec<WorkerProcess>,
    pub(super) attributes: Vec<EndpointAttributes>,
    /// Proxies in front of the workers. Empty unless the scenario needs proxies.
    pub(super) proxies: Vec<Proxy>,
    pub(super) tasks: Vec<JoinHandle<()>>,
}

impl FleetBuilder<'_> {
    /// Starts the servers of all workers. Workers that join the fleet later refuse connections until then.
    pub(super) async fn start_workers(&self) -> Result<WorkerServers, FleetError> {
        let grown = self.scenario.grown_workers();
        let mut servers = WorkerServers::default();
        for (worker, machine) in self.scenario.machines().iter().enumerate() {
            let joins_later = grown.contains(&worker);
            let state = if joins_later { ListenerState::Closed } else { ListenerState::Open };
            self.start_worker(worker, machine.cell, state, &mut servers).await?;
        }
        Ok(servers)
    }

    async fn start_worker(
        &self,
        worker: WorkerIndex,
        cell: u32,
        initial_state: ListenerState,
        servers: &mut WorkerServers,
    ) -> Result<(), FleetError> {
        let port = ReservedPort::reserve().map_err(FleetError::WorkerPort)?;
        let mut address = port.address;
        if self.scenario.needs_proxies() {
            let link = self.links.workers[worker].subscribe();
            let proxy = Proxy::start(port.address, link).await.map_err(FleetError::WorkerProxy)?;
            address = proxy.address;
            servers.proxies.push(proxy);
        }
        let (listener, state) = watch::channel(initial_state);
        let server = WorkerServer {
            worker,
            messages: self.messages.clone(),
            sent_requests: self.sent_requests.clone(),
            log: self.log.clone(),
            state,
        };
        let kind = self.scenario.kind_of(worker).name.clone();
        servers.processes.push(WorkerProcess { listener, is_unresponsive: false, cell });
        servers.attributes.push(EndpointAttributes { address, kind, cell });
        servers.tasks.push(tokio::spawn(server.run(port)));
        Ok(())
    }

    /// Creates the model of the workers. Workers that join the fleet later are down.
    pub(super) fn worker_pool(&self) -> WorkerPool {
        let mut pool = WorkerPool::new(self.scenario.machines(), self.scenario.pool_parameters());
        for worker in self.scenario.grown_workers() {
            // The kill has no effects, because the worker has no jobs to lose.
            pool.handle(Timestamp::ZERO, PoolInput::Kill(worker), &mut Vec::new());
        }
        pool
    }

    /// Creates the state of discovery, which lists all workers except those that join the fleet later.
    pub(super) fn discovery_state(
        &self,
        attributes: Vec<EndpointAttributes>,
        sent_lists: SentLists,
    ) -> DiscoveryState {
        let grown = self.scenario.grown_workers();
        let listed = (0..self.scenario.worker_count()).filter(|worker| !grown.contains(worker));
        let registry =
            EndpointRegistry::new(listed, TimeSpan::from_secs_f64(self.scenario.fleet.publication_delay_s));
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let log_start_unix_ms = (unix_time.as_micros() as u64 - self.log.now().as_micros()) / 1000;
        let recorder = SentListRecorder {
            encoder: EndpointEncoder { attributes, log_start_unix_ms },
            links: self.links.clone(),
            lists: sent_lists,
            log: self.log.clone(),
        };
        DiscoveryState::new(registry, recorder)
    }
}
