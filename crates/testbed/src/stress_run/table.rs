//! Table of the results of a stress run. Each line has a name and a value.

use std::collections::BTreeMap;
use std::fmt::{Display, Write};

use super::StressRun;
use crate::rules::{OperationFigures, Rule, UpgradeFigures, Violation};

/// Results of a stress run.
pub struct StressResults<'run> {
    /// Parameters of the stress run.
    pub run: StressRun,
    /// Seed of all random times, and of the load.
    pub seed: u64,
    /// Number of times that the node crashed.
    pub crashes: usize,
    /// Figures of upgrades and admin commands.
    pub operations: &'run OperationFigures,
    /// Violations of the rules.
    pub violations: &'run [Violation],
}

impl StressResults<'_> {
    /// Returns the table as text.
    pub fn table(&self) -> String {
        let StressRun { kind, rounds, .. } = self.run;
        let mut table = Table(format!("drill {kind:?}, {rounds} times, seed {}\n", self.seed).to_lowercase());
        let lost_jobs = self.violations.iter().filter(|violation| violation.rule == Rule::OneAnswer).count();
        table.add("jobs lost", lost_jobs);
        if !self.operations.upgrades.is_empty() {
            table.add_upgrades(&self.operations.upgrades);
        }
        for (command, figures) in &self.operations.commands {
            let value = format!("{}, {:.1} ms", figures.count, figures.slowest_ms);
            table.add(&format!("{command}: calls, slowest answer"), value);
        }
        table.add("crashes", self.crashes);
        table.add_violations(self.violations);
        table.0
    }
}

/// Text of a table.
struct Table(String);

impl Table {
    fn add(&mut self, name: &str, value: impl Display) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.0, "{name:<40}{value}");
    }

    fn add_upgrades(&mut self, upgrades: &[UpgradeFigures]) {
        let harmed: usize = upgrades.iter().map(|upgrade| upgrade.harmed).sum();
        let most_harmed = upgrades.iter().map(|upgrade| upgrade.harmed).max().unwrap_or_default();
        let mean_harmed = harmed as f64 / upgrades.len() as f64;
        self.add("jobs harmed an upgrade, max, mean", format!("{most_harmed}, {mean_harmed:.2}"));
        self.add("jobs refused, all", upgrades.iter().map(|upgrade| upgrade.rejected).sum::<usize>());
        let not_ready = upgrades.iter().map(|upgrade| upgrade.not_ready_answers).sum::<usize>();
        self.add("times no to /ready, all", not_ready);
        let ready: Vec<f64> = upgrades.iter().filter_map(|upgrade| upgrade.ready_s).collect();
        self.add("newer ready after, max, mean", max_and_mean(&ready));
        let ended: Vec<f64> = upgrades.iter().filter_map(|upgrade| upgrade.ended_s).collect();
        self.add("one process again after, max, mean", max_and_mean(&ended));
        self.add("upgrades with a kill that hit", upgrades.iter().filter(|upgrade| upgrade.killed).count());
    }

    /// Adds the number of all violations, and the number for each rule in the order of the rules' names.
    fn add_violations(&mut self, violations: &[Violation]) {
        self.add("broken rules", violations.len());
        let mut count_by_rule: BTreeMap<String, usize> = BTreeMap::new();
        for violation in violations {
            *count_by_rule.entry(format!("{:?}", violation.rule)).or_default() += 1;
        }
        for (rule, count) in count_by_rule {
            self.add(&format!("  {rule}"), count);
        }
    }
}

fn max_and_mean(seconds: &[f64]) -> String {
    let mean = seconds.iter().sum::<f64>() / seconds.len().max(1) as f64;
    let max = seconds.iter().copied().fold(0.0, f64::max);
    format!("{max:.2} s, {mean:.2} s, of {}", seconds.len())
}
