//! Upgrades, signals and exits of the nodes' processes, and the missing responses that they allow.

use std::collections::HashMap;

use curlewusher_model::{TimeSpan, Timestamp};

use super::requests::{Failure, Request};
use crate::event_log::{Event, FailureReason};
use crate::rules::{RuleParameters, UPGRADE_EFFECT_MARGIN};

/// Time later than any event. Half of the maximum, so that adding a limit to it does not overflow.
const NEVER: Timestamp = Timestamp::from_micros(u64::MAX / 2);

/// Exit of the process of a node.
#[derive(Debug)]
struct NodeExit {
    at: Timestamp,
    /// Whether the testbed killed the process.
    killed: bool,
}

/// Times of an upgrade: its start, the first readiness of the successor, and its end.
#[derive(Debug)]
struct UpgradeWindow {
    began_at: Timestamp,
    ready_at: Option<Timestamp>,
    ended_at: Option<Timestamp>,
}

impl UpgradeWindow {
    /// Returns whether an observation at a time may be an effect of the upgrade.
    fn contains(&self, at: Timestamp) -> bool {
        self.began_at <= at && self.ended_at.is_none_or(|ended_at| at <= ended_at + UPGRADE_EFFECT_MARGIN)
    }
}

/// Events of the processes of a node, each list oldest first.
#[derive(Debug, Default)]
struct NodeHistory {
    exits: Vec<NodeExit>,
    sigterms: Vec<Timestamp>,
    /// Times at which the testbed killed one of the two processes of an upgrade.
    kills: Vec<Timestamp>,
    upgrades: Vec<UpgradeWindow>,
    /// Periods in which idle clients filled the node's descriptors: their start, and their end if they have
    /// left.
    idle_client_periods: Vec<(Timestamp, Option<Timestamp>)>,
}

/// Events of the processes of all nodes.
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
                self.node_mut(*node).idle_client_periods.push((at, None));
            }
            Event::IdleClients { node, present: false } => {
                if let Some((_, left_at)) = self.node_mut(*node).idle_client_periods.last_mut() {
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

    /// Returns the time from which a node counts as notified of an entry that it was sent at `sent_at`.
    ///
    /// An entry sent since the start of the node's last upgrade counts at the earliest `successor_grace`
    /// after the successor was ready. While the successor is not ready, the entry does not count yet. If the
    /// upgrade ended without a ready successor, the entry counts from `sent_at`.
    pub(super) fn notification_time(
        &self,
        node: usize,
        sent_at: Timestamp,
        successor_grace: TimeSpan,
    ) -> Timestamp {
        let upgrade = self.by_node.get(&node).and_then(|history| history.upgrades.last());
        let Some(upgrade) = upgrade.filter(|upgrade| sent_at >= upgrade.began_at) else { return sent_at };
        match (upgrade.ready_at, upgrade.ended_at) {
            (Some(ready_at), _) => sent_at.max(ready_at + successor_grace),
            (None, Some(_)) => sent_at,
            (None, None) => NEVER,
        }
    }

    /// Returns whether a request may lack a response because of an upgrade or an exit of its node.
    pub(super) fn allows_missing_response(&self, request: &Request, parameters: &RuleParameters) -> bool {
        let history = self.by_node.get(&request.node);
        history.is_some_and(|history| {
            history.upgrade_allows_missing_response(request)
                || history.exit_allows_missing_response(request, parameters)
        })
    }
}

impl NodeHistory {
    /// Returns whether the connection ended in an upgrade in one of the two ways that [`Rule::OneAnswer`]
    /// does not cover:
    ///
    /// - The node reset the connection without reading the request; [`Rule::Upgrade`] counts such jobs.
    /// - The testbed killed a process of the node at most [`UPGRADE_EFFECT_MARGIN`] before or after the
    ///   failure. The peer of that process must still respond to its own requests.
    ///
    /// [`Rule::OneAnswer`]: crate::rules::Rule::OneAnswer
    /// [`Rule::Upgrade`]: crate::rules::Rule::Upgrade
    fn upgrade_allows_missing_response(&self, request: &Request) -> bool {
        let Some(Failure { at, reason, .. }) = request.failure else { return false };
        if !matches!(reason, FailureReason::Reset | FailureReason::Closed) {
            return false;
        }
        let in_upgrade = self.upgrades.iter().any(|window| window.contains(at));
        let was_unread = reason == FailureReason::Reset && request.attempts.is_empty();
        let ended_with_killed_process =
            self.kills.iter().any(|kill| kill.abs_diff(at) <= UPGRADE_EFFECT_MARGIN);
        in_upgrade && was_unread || ended_with_killed_process
    }

    /// Returns whether the node was killed between the send of the request and its deadline plus the
    /// tolerance, or the request raced with the close of its connection.
    fn exit_allows_missing_response(&self, request: &Request, parameters: &RuleParameters) -> bool {
        let open = request.sent_at..=request.deadline() + parameters.tolerance;
        let was_killed = self.exits.iter().any(|exit| exit.killed && open.contains(&exit.at));
        was_killed || self.close_race_allows_missing_response(request, parameters)
    }

    /// Returns whether the node closed the connection between two requests while this request was in transit.
    /// In this case no attempt of the request arrived at a worker, and the client observed the close at most
    /// [`RuleParameters::close_race_tolerance`] after it had sent the first byte.
    ///
    /// A node closes idle connections of clients at the end of its drain. While idle clients fill its
    /// descriptors, it closes connections at any time, including new ones.
    fn close_race_allows_missing_response(&self, request: &Request, parameters: &RuleParameters) -> bool {
        let Some(Failure { at, reason, on_new_connection }) = request.failure else { return false };
        let is_close_race = matches!(reason, FailureReason::Reset | FailureReason::Closed)
            && request.attempts.is_empty()
            && at <= request.sent_at + parameters.close_race_tolerance;
        let has_idle_clients = self.has_idle_clients(request.sent_at, parameters);
        let closes_idle = !on_new_connection && self.is_past_drain_grace(request.sent_at, parameters);
        is_close_race && (has_idle_clients || closes_idle)
    }

    /// Returns whether a time is after the drain grace that follows the last SIGTERM, and no exit of the
    /// process since that SIGTERM is more than [`RuleParameters::close_race_tolerance`] before the time.
    fn is_past_drain_grace(&self, at: Timestamp, parameters: &RuleParameters) -> bool {
        let sigterm = self.sigterms.iter().copied().rfind(|sigterm| *sigterm <= at);
        sigterm.is_some_and(|sigterm| {
            let has_exited =
                |exit: &NodeExit| exit.at >= sigterm && at > exit.at + parameters.close_race_tolerance;
            at > sigterm + parameters.drain_grace && !self.exits.iter().any(has_exited)
        })
    }

    /// Returns whether idle clients filled the node's descriptors at a time, or had left at most
    /// [`RuleParameters::close_race_tolerance`] before.
    fn has_idle_clients(&self, at: Timestamp, parameters: &RuleParameters) -> bool {
        self.idle_client_periods.iter().any(|(began_at, left_at)| {
            *began_at <= at && left_at.is_none_or(|left_at| at <= left_at + parameters.close_race_tolerance)
        })
    }
}
