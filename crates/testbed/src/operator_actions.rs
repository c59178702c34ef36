//! What operators do to nodes in service: admin commands, drains and maintenance, each in the order of the on-call page.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::admin_command::{AdminAnswer, call};
use crate::client_connections::ConnectionCounts;
use crate::environment::Environment;
use crate::event_log::{Event, ExpectedAnswer};
use crate::fleet::{FleetCommand, worker_name};
use crate::waiting::{join_all, wait_until};

/// Clients have left a node this long after the command to drain it.
const CLIENTS_LEAVE_WITHIN: Duration = Duration::from_secs(4);
/// A worker in maintenance is down for this long.
const MAINTENANCE_DOWNTIME: Duration = Duration::from_millis(500);

/// Sends an admin command to a node and records the answer; none if the node has no admin address. In an upgrade it goes
/// to the successor as soon as that is ready.
pub async fn send_command(
    environment: &Environment,
    node: usize,
    line: &str,
    expected: ExpectedAnswer,
) -> Option<AdminAnswer> {
    let admin_address = environment.slot(node).await.admin_address?;
    Some(send_command_to(environment, admin_address, node, line, expected).await)
}

/// Sends an admin command to an address of a node and records the answer.
pub async fn send_command_to(
    environment: &Environment,
    admin_address: SocketAddr,
    node: usize,
    line: &str,
    expected: ExpectedAnswer,
) -> AdminAnswer {
    let answer = call(admin_address, line).await;
    // A process that was just started may not listen yet: no command was sent.
    if !(answer.refused && expected == ExpectedAnswer::Either) {
        environment.log.record(Event::AdminCommandEnded {
            node,
            command: line.to_owned(),
            expected,
            answer: answer.line.clone(),
            took: answer.took,
        });
    }
    answer
}

/// Drains a node, counts 4 s later the connections that clients hold to it, and ends the drain.
pub async fn drain_node(environment: &Environment, node: usize, until: Option<Instant>) {
    let begin = Instant::now();
    send_command(environment, node, "DRAIN", ExpectedAnswer::Yes).await;
    if until.is_some_and(|until| until > begin + CLIENTS_LEAVE_WITHIN) {
        sleep_until(begin + CLIENTS_LEAVE_WITHIN).await;
        let ConnectionCounts { idle, fresh } = environment.router.connections.count(node);
        environment.log.record(Event::ConnectionsCounted { node, idle, fresh });
    }
    wait_until(until).await;
    send_command(environment, node, "UNDRAIN", ExpectedAnswer::Yes).await;
}

/// Disables a worker on all nodes, twice since the command may be repeated; restarts it half way; enables it.
pub async fn maintain_worker(environment: &Environment, worker: usize, duration: Duration) {
    let begin = Instant::now();
    let name = worker_name(worker);
    let disable = format!("DISABLE {name}");
    send_to_all_nodes(environment, &disable).await;
    sleep_until(begin + duration / 4).await;
    send_to_all_nodes(environment, &disable).await;
    sleep_until(begin + duration / 2).await;
    environment.fleet.apply(FleetCommand::Kill(worker));
    sleep(MAINTENANCE_DOWNTIME.min(duration / 4)).await;
    environment.fleet.apply(FleetCommand::Start(worker));
    sleep_until(begin + duration).await;
    send_to_all_nodes(environment, &format!("ENABLE {name}")).await;
}

async fn send_to_all_nodes(environment: &Environment, line: &str) {
    let nodes = 0..environment.node_count();
    join_all(nodes.map(|node| send_command(environment, node, line, ExpectedAnswer::Yes))).await;
}
