//! What operators do to nodes in service: admin commands, drains and maintenance, each in the order of the on-call page.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::client_connections::ConnectionCounts;
use crate::console::{Said, call};
use crate::event_log::{Event, ExpectedAnswer};
use crate::fleet::{FleetCommand, worker_name};
use crate::play::Environment;

/// Clients have left a node this long after the command to drain it.
const CLIENTS_LEAVE_WITHIN: Duration = Duration::from_secs(4);
/// A worker in maintenance is down for this long.
const MAINTENANCE_DOWNTIME: Duration = Duration::from_millis(500);

/// Waits for a moment; never returns if there is none.
pub async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

impl Environment {
    /// Sends an admin command to a node and records the answer. In an upgrade it goes to the successor as soon as that
    /// is ready.
    pub async fn send_command(&self, node: usize, line: &str, expected: ExpectedAnswer) -> Option<Said> {
        let admin_address = self.nodes[node].lock().await.console?;
        Some(self.send_command_to(admin_address, node, line, expected).await)
    }

    /// Sends an admin command to an address of a node and records the answer.
    pub async fn send_command_to(
        &self,
        admin_address: SocketAddr,
        node: usize,
        line: &str,
        expected: ExpectedAnswer,
    ) -> Said {
        let answer = call(admin_address, line).await;
        // A process that was just started may not listen yet: no command was sent.
        if !(answer.refused && expected == ExpectedAnswer::Either) {
            self.log.record(Event::AdminCommandEnded {
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
    pub async fn drain_node(&self, node: usize, until: Option<Instant>) {
        let begin = Instant::now();
        self.send_command(node, "DRAIN", ExpectedAnswer::Yes).await;
        if until.is_some_and(|until| until > begin + CLIENTS_LEAVE_WITHIN) {
            sleep_until(begin + CLIENTS_LEAVE_WITHIN).await;
            let ConnectionCounts { idle, fresh } = self.front.connections.count(node);
            self.log.record(Event::ConnectionsCounted { node, idle, fresh });
        }
        wait_until(until).await;
        self.send_command(node, "UNDRAIN", ExpectedAnswer::Yes).await;
    }

    /// Disables a worker on all nodes, twice since the command may be repeated; restarts it half way; enables it.
    pub async fn maintain_worker(&self, worker: usize, length: Duration) {
        let begin = Instant::now();
        let name = worker_name(worker);
        let disable = format!("DISABLE {name}");
        self.send_to_all_nodes(&disable).await;
        sleep_until(begin + length / 4).await;
        self.send_to_all_nodes(&disable).await;
        sleep_until(begin + length / 2).await;
        self.fleet.apply(FleetCommand::Kill(worker));
        sleep(MAINTENANCE_DOWNTIME.min(length / 4)).await;
        self.fleet.apply(FleetCommand::Start(worker));
        sleep_until(begin + length).await;
        self.send_to_all_nodes(&format!("ENABLE {name}")).await;
    }

    async fn send_to_all_nodes(&self, line: &str) {
        join_all((0..self.nodes.len()).map(|node| self.send_command(node, line, ExpectedAnswer::Yes))).await;
    }
}

/// Runs futures concurrently until all are complete.
pub async fn join_all<F: Future>(futures: impl Iterator<Item = F>) {
    let mut pending: Vec<_> = futures.map(Box::pin).collect();
    std::future::poll_fn(|cx| {
        pending.retain_mut(|future| future.as_mut().poll(cx).is_pending());
        if pending.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
}
