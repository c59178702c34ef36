//! Upgrades of nodes: their course, and the jobs that they harmed.

use std::collections::{BTreeMap, HashSet};

use curlewusher_model::Timestamp;

use super::violation::{Finding, MAX_HARMED_JOBS, OperationsViolation};
use crate::event_log::Event;
use crate::rules::UPGRADE_AFTERMATH;
use crate::rules::operation_figures::UpgradeFigures;

#[derive(Debug, Default)]
struct UpgradeWindow {
    began_at: Timestamp,
    ended_at: Option<Timestamp>,
    harmed_jobs: HashSet<usize>,
    figures: UpgradeFigures,
}

/// All upgrades of a run, by node and oldest first.
#[derive(Debug, Default)]
pub(super) struct Upgrades {
    windows: BTreeMap<usize, Vec<UpgradeWindow>>,
}

/// What the upgrades of a run came to.
pub(super) struct UpgradeOutcome<'log> {
    /// In the order of their begins.
    pub(super) figures: Vec<UpgradeFigures>,
    pub(super) findings: Vec<Finding<'log>>,
}

impl Upgrades {
    /// Records a step of an upgrade; ignores other events.
    pub(super) fn observe(&mut self, at: Timestamp, event: &Event) {
        match event {
            Event::UpgradeBegan { node } => self.begin(at, *node),
            Event::SuccessorReady { node } => {
                if let Some(window) = self.window_at(*node, at) {
                    window.figures.ready_s = Some((at - window.began_at).as_secs_f64());
                }
            }
            Event::ProcessExited { node, killed, .. } => {
                if let Some(window) = self.window_at(*node, at) {
                    window.figures.killed |= killed;
                }
            }
            Event::UpgradeEnded { node } => {
                if let Some(window) = self.window_at(*node, at) {
                    window.ended_at = Some(at);
                    window.figures.ended_s = Some((at - window.began_at).as_secs_f64());
                }
            }
            _ => {}
        }
    }

    fn begin(&mut self, at: Timestamp, node: usize) {
        let figures = UpgradeFigures { node, at_s: at.as_secs_f64(), ..UpgradeFigures::default() };
        let window = UpgradeWindow { began_at: at, figures, ..UpgradeWindow::default() };
        self.windows.entry(node).or_default().push(window);
    }

    /// The upgrade of a node that was in progress at a moment, or had just ended.
    fn window_at(&mut self, node: usize, at: Timestamp) -> Option<&mut UpgradeWindow> {
        let last = self.windows.get_mut(&node)?.last_mut()?;
        last.ended_at.is_none_or(|ended_at| at <= ended_at + UPGRADE_AFTERMATH).then_some(last)
    }

    /// Counts a job that met a refused or reset connection of a node.
    pub(super) fn count_harmed_job(&mut self, at: Timestamp, node: usize, job: usize) {
        if let Some(window) = self.window_at(node, at) {
            window.harmed_jobs.insert(job);
        }
    }

    /// Counts a request that a node rejected.
    pub(super) fn count_rejection(&mut self, at: Timestamp, node: usize) {
        if let Some(window) = self.window_at(node, at) {
            window.figures.rejected += 1;
        }
    }

    /// Counts a readiness check that a node answered by no.
    pub(super) fn count_not_ready_answer(&mut self, at: Timestamp, node: usize) {
        if let Some(window) = self.window_at(node, at) {
            window.figures.not_ready_answers += 1;
        }
    }

    /// Returns the figures and what was wrong.
    pub(super) fn finish<'log>(self) -> UpgradeOutcome<'log> {
        let mut outcome = UpgradeOutcome { figures: Vec::new(), findings: Vec::new() };
        for window in self.windows.into_values().flatten() {
            outcome.findings.extend(window.check());
            outcome.figures.push(window.into_figures());
        }
        outcome.figures.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
        outcome
    }
}

impl UpgradeWindow {
    fn check<'log>(&self) -> Option<Finding<'log>> {
        let (node, jobs) = (self.figures.node, self.harmed_jobs.len());
        let violation = OperationsViolation::HarmfulUpgrade { node, jobs };
        let harms_too_many = jobs > MAX_HARMED_JOBS && !self.figures.killed;
        harms_too_many.then_some(Finding { at: self.began_at, violation })
    }

    fn into_figures(self) -> UpgradeFigures {
        UpgradeFigures { harmed: self.harmed_jobs.len(), ..self.figures }
    }
}
