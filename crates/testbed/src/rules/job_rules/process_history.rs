//! Starts and ends of the nodes' processes, and the failures of requests that they excuse.

use std::collections::HashMap;

use curlewusher_model::{TimeSpan, Timestamp};

use super::requests::{Failure, Request};
use crate::event_log::{Event, FailureReason};
use crate::rules::{RuleParameters, UPGRADE_AFTERMATH};

/// Later than any event, and far enough from the largest number that limits can be added.
const NEVER: Timestamp = Timestamp::from_micros(u64::MAX / 2);

#[derive(Debug)]
struct NodeExit {
    at: Timestamp,
    killed: bool,
}

/// An upgrade: its begin, the first readiness of the successor, and its end.
#[derive(Debug)]
struct UpgradeWindow {
    began_at: Timestamp,
    ready_at: Option<Timestamp>,
    ended_at: Option<Timestamp>,
}

impl UpgradeWindow {
    /// Whether what is observed at a moment may be an effect of the upgrade.
    fn contains(&self, at: Timestamp) -> bool {
        self.began_at <= at && self.ended_at.is_none_or(|ended_at| at <= ended_at + UPGRADE_AFTERMATH)
    }
}

/// What happened to the processes of a node, each list oldest first.
#[derive(Debug, Default)]
struct NodeHistory {
    exits: Vec<NodeExit>,
    sigterms: Vec<Timestamp>,
    /// When the testbed killed one of the two processes of an upgrade.
    kills: Vec<Timestamp>,
    upgrades: Vec<UpgradeWindow>,
    /// When idle clients began to fill its descriptors, and when they left.
    idle_client_spans: Vec<(Timestamp, Option<Timestamp>)>,
}

/// What happened to the processes of all nodes.
#[derive(Debug, Default)]
pub(super) struct ProcessHistory {
    by_node: HashMap<usize, NodeHistory>,
}

impl ProcessHistory {
    /// Records an event about a process; ignores other events.
    pub(super) fn observe(&mut self, at: Timestamp, event: &Event) {
        match event {
            Event::NodeExited { node, killed } => {
                self.node_mut(*node).exits.push(NodeExit { at, killed: *killed });
            }
            Event::NodeTerminated { node } => self.node_mut(*node).sigterms.push(at),
            Event::ProcessExited { node, killed: true, .. } => self.node_mut(*node).kills.push(at),
            Event::UpgradeBegan { node } => {
                let window = UpgradeWindow { began_at: at, ready_at: None, ended_at: None };
                self.node_mut(*node).upgrades.push(window);
            }
            Event::SuccessorReady { node } => {
                if let Some(window) = self.node_mut(*node).upgrades.last_mut() {
                    window.ready_at = Some(at);
                }
            }
            Event::IdleClients { node, present: true } => {
                self.node_mut(*node).idle_client_spans.push((at, None));
            }
            Event::IdleClients { node, present: false } => {
                if let Some((_, left_at)) = self.node_mut(*node).idle_client_spans.last_mut() {
                    *left_at = Some(at);
                }
            }
            Event::UpgradeEnded { node } => {
                if let Some(window) = self.node_mut(*node).upgrades.last_mut() {
                    window.ended_at = Some(at);
                }
            }
            _ => {}
        }
    }

    fn node_mut(&mut self, node: usize) -> &mut NodeHistory {
        self.by_node.entry(node).or_default()
    }

    /// From when a node is bound by an entry that it was sent: in an upgrade the successor has a grace from the moment
    /// at which it is ready.
    pub(super) fn bound_from(&self, node: usize, sent_at: Timestamp, successor_grace: TimeSpan) -> Timestamp {
        let upgrade = self.by_node.get(&node).and_then(|history| history.upgrades.last());
        let Some(upgrade) = upgrade.filter(|upgrade| sent_at >= upgrade.began_at) else { return sent_at };
        match (upgrade.ready_at, upgrade.ended_at) {
            (Some(ready_at), _) => sent_at.max(ready_at + successor_grace),
            (None, Some(_)) => sent_at,
            (None, None) => NEVER,
        }
    }

    /// Whether a request may have no response because of what happened to its node.
    pub(super) fn excuses(&self, request: &Request, parameters: &RuleParameters) -> bool {
        let history = self.by_node.get(&request.node);
        history.is_some_and(|history| {
            history.excuses_by_upgrade(request) || history.excuses_by_exit(request, parameters)
        })
    }
}

impl NodeHistory {
    /// Whether the connection ended in an upgrade in a way that another rule accounts for: the node reset it without
    /// reading the request, or it ended with the process that the testbed killed. The other process must still respond
    /// to its own requests.
    fn excuses_by_upgrade(&self, request: &Request) -> bool {
        let Some(Failure { at, reason, .. }) = request.failure else { return false };
        if !matches!(reason, FailureReason::Reset | FailureReason::Closed) {
            return false;
        }
        let in_upgrade = self.upgrades.iter().any(|window| window.contains(at));
        let was_unread = reason == FailureReason::Reset && request.attempts.is_empty();
        let ended_with_killed_process = self.kills.iter().any(|kill| kill.abs_diff(at) <= UPGRADE_AFTERMATH);
        in_upgrade && was_unread || ended_with_killed_process
    }

    /// Whether the node was killed while the request was open, or the request crossed the close of its connection.
    fn excuses_by_exit(&self, request: &Request, parameters: &RuleParameters) -> bool {
        let open = request.sent_at..=request.deadline() + parameters.slack;
        let was_killed = self.exits.iter().any(|exit| exit.killed && open.contains(&exit.at));
        was_killed || self.excuses_by_crossing(request, parameters)
    }

    /// Whether the connection was closed between two requests as this one was on its way: it was forwarded nowhere, and
    /// its first byte was sent a moment before its client saw the close. A node closes connections of clients at the end
    /// of its drain; where idle clients fill its descriptors also before, and new connections too.
    fn excuses_by_crossing(&self, request: &Request, parameters: &RuleParameters) -> bool {
        let Some(Failure { at, reason, on_new_connection }) = request.failure else { return false };
        let is_crossing = matches!(reason, FailureReason::Reset | FailureReason::Closed)
            && request.attempts.is_empty()
            && at <= request.sent_at + parameters.crossing_tolerance;
        let has_idle_clients = self.has_idle_clients(request.sent_at, parameters);
        let closes_idle = !on_new_connection && self.is_drain_over(request.sent_at, parameters);
        is_crossing && (has_idle_clients || closes_idle)
    }

    /// Whether the grace after SIGTERM is over at a moment, and the process has not exited before.
    fn is_drain_over(&self, at: Timestamp, parameters: &RuleParameters) -> bool {
        let sigterm = self.sigterms.iter().copied().rfind(|sigterm| *sigterm <= at);
        sigterm.is_some_and(|sigterm| {
            let has_exited =
                |exit: &NodeExit| exit.at >= sigterm && at > exit.at + parameters.crossing_tolerance;
            at > sigterm + parameters.drain_grace && !self.exits.iter().any(has_exited)
        })
    }

    fn has_idle_clients(&self, at: Timestamp, parameters: &RuleParameters) -> bool {
        self.idle_client_spans.iter().any(|(began_at, left_at)| {
            *began_at <= at && left_at.is_none_or(|left_at| at <= left_at + parameters.crossing_tolerance)
        })
    }
}
