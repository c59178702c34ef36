//! Actions of operators on nodes in service: admin commands, drains and maintenance, with the steps in the
//! order of the on-call page.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::admin_command::{CommandOutcome, send_admin_command};
use crate::client_connections::ConnectionCounts;
use crate::environment::Environment;
use crate::event_log::{Event, ExpectedResponse};
use crate::fleet::{FleetCommand, worker_name};
use crate::waiting::{join_all, wait_until};

/// Time from the DRAIN command until the connections of clients to the node are counted. By then, clients
/// have left it.
const CONNECTION_COUNT_DELAY: Duration = Duration::from_secs(4);
/// Maximum downtime of a worker in maintenance.
const MAX_MAINTENANCE_DOWNTIME: Duration = Duration::from_millis(500);

/// Sends an admin command to a node and records its outcome. Returns `None` if the node has no admin address.
/// During an upgrade, the command goes to the successor once it is ready.
pub async fn send_command(
    environment: &Environment,
    node: usize,
    line: &str,
    expected: ExpectedResponse,
) -> Option<CommandOutcome> {
    let admin_address = environment.slot(node).await.admin_address?;
    Some(send_command_to_address(environment, admin_address, node, line, expected).await)
}

/// Sends an admin command to an admin address of a node and records its outcome.
pub async fn send_command_to_address(
    environment: &Environment,
    admin_address: SocketAddr,
    node: usize,
    line: &str,
    expected: ExpectedResponse,
) -> CommandOutcome {
    let outcome = send_admin_command(admin_address, line).await;
    // A process that has just started may not listen yet. Then the command was not sent, and is not recorded.
    if !(outcome.is_refused && expected == ExpectedResponse::Either) {
        environment.log.record(Event::AdminCommandEnded {
            node,
            command: line.to_owned(),
            expected,
            response: outcome.response.clone(),
            took: outcome.duration,
        });
    }
    outcome
}

/// Drains a node, counts the connections that clients hold to it 4 s later, and ends the drain at `until`.
/// The connections are not counted if the drain ends within 4 s. If `until` is `None`, the connections are
/// not counted and the function never returns.
pub async fn drain_node(environment: &Environment, node: usize, until: Option<Instant>) {
    let started_at = Instant::now();
    send_command(environment, node, "DRAIN", ExpectedResponse::Yes).await;
    if until.is_some_and(|until| until > started_at + CONNECTION_COUNT_DELAY) {
        sleep_until(started_at + CONNECTION_COUNT_DELAY).await;
        let ConnectionCounts { idle, fresh } = environment.router.connections.count(node);
        environment.log.record(Event::ConnectionsCounted { node, idle, fresh });
    }
    wait_until(until).await;
    send_command(environment, node, "UNDRAIN", ExpectedResponse::Yes).await;
}

/// Disables a worker on all nodes, restarts it after half of `duration`, and enables it at the end. Each node
/// gets the DISABLE command twice, since operators may repeat it.
pub async fn maintain_worker(environment: &Environment, worker: usize, duration: Duration) {
    let started_at = Instant::now();
    let name = worker_name(worker);
    let disable = format!("DISABLE {name}");
    send_to_all_nodes(environment, &disable).await;
    sleep_until(started_at + duration / 4).await;
    send_to_all_nodes(environment, &disable).await;
    sleep_until(started_at + duration / 2).await;
    environment.fleet.apply(FleetCommand::Kill(worker));
    sleep(MAX_MAINTENANCE_DOWNTIME.min(duration / 4)).await;
    environment.fleet.apply(FleetCommand::Start(worker));
    sleep_until(started_at + duration).await;
    send_to_all_nodes(environment, &format!("ENABLE {name}")).await;
}

async fn send_to_all_nodes(environment: &Environment, line: &str) {
    let nodes = 0..environment.node_count();
    join_all(nodes.map(|node| send_command(environment, node, line, ExpectedResponse::Yes))).await;
}
