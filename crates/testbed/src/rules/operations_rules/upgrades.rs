//! Upgrades of nodes: the times of their steps, and the jobs that they harmed.

use std::collections::{BTreeMap, HashSet};

use curlewusher_model::Timestamp;

use super::violation::{MAX_HARMED_JOBS, OperationsViolation, TimedViolation};
use crate::event_log::Event;
use crate::rules::UPGRADE_EFFECT_MARGIN;
use crate::rules::operation_figures::UpgradeFigures;

/// Upgrade of a node, and the effects that were observed in it.
#[derive(Debug, Default)]
struct UpgradeWindow {
    began_at: Timestamp,
    ended_at: Option<Timestamp>,
    harmed_jobs: HashSet<usize>,
    figures: UpgradeFigures,
}

/// Upgrades of a run.
#[derive(Debug, Default)]
pub(super) struct Upgrades {
    /// Upgrades of each node, oldest first.
    windows: BTreeMap<usize, Vec<UpgradeWindow>>,
}

/// Figures and violations of the upgrades of a run.
pub(super) struct UpgradeOutcome<'log> {
    /// Figures of the upgrades, in order of their starts.
    pub(super) figures: Vec<UpgradeFigures>,
    pub(super) violations: Vec<TimedViolation<'log>>,
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

    /// Returns the last upgrade of a node if it is in progress at a time, or ended at most
    /// [`UPGRADE_EFFECT_MARGIN`] before.
    fn window_at(&mut self, node: usize, at: Timestamp) -> Option<&mut UpgradeWindow> {
        let last = self.windows.get_mut(&node)?.last_mut()?;
        last.ended_at.is_none_or(|ended_at| at <= ended_at + UPGRADE_EFFECT_MARGIN).then_some(last)
    }

    /// Counts a job whose connection to a node was refused or reset.
    pub(super) fn count_harmed_job(&mut self, at: Timestamp, node: usize, job: usize) {
        if let Some(window) = self.window_at(node, at) {
            window.harmed_jobs.insert(job);
        }
    }

    /// Counts a request that a node rejected, or for which no node accepted new connections.
    pub(super) fn count_rejection(&mut self, at: Timestamp, node: usize) {
        if let Some(window) = self.window_at(node, at) {
            window.figures.rejected += 1;
        }
    }

    /// Counts a change of a node's readiness check to not ready.
    pub(super) fn count_not_ready_response(&mut self, at: Timestamp, node: usize) {
        if let Some(window) = self.window_at(node, at) {
            window.figures.not_ready_answers += 1;
        }
    }

    /// Returns the figures and the violations.
    pub(super) fn finish<'log>(self) -> UpgradeOutcome<'log> {
        let mut outcome = UpgradeOutcome { figures: Vec::new(), violations: Vec::new() };
        for window in self.windows.into_values().flatten() {
            outcome.violations.extend(window.check());
            outcome.figures.push(window.into_figures());
        }
        outcome.figures.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
        outcome
    }
}

impl UpgradeWindow {
    /// Returns a violation if the upgrade harmed too many jobs and the testbed killed neither process.
    fn check<'log>(&self) -> Option<TimedViolation<'log>> {
        let (node, jobs) = (self.figures.node, self.harmed_jobs.len());
        let violation = OperationsViolation::HarmfulUpgrade { node, jobs };
        let harms_too_many = jobs > MAX_HARMED_JOBS && !self.figures.killed;
        harms_too_many.then_some(TimedViolation { at: self.began_at, violation })
    }

    fn into_figures(self) -> UpgradeFigures {
        UpgradeFigures { harmed: self.harmed_jobs.len(), ..self.figures }
    }
}
