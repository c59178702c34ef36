//! Figures of operator actions: upgrades and admin commands. These figures are part of `figures.json`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Figures of an upgrade.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpgradeFigures {
    /// Number of the node.
    pub node: usize,
    /// Start of the upgrade, in seconds from the beginning of the run.
    pub at_s: f64,
    /// Time at which the successor was first ready, in seconds from the start of the upgrade.
    pub ready_s: Option<f64>,
    /// Time at which the node had a single process again, in seconds from the start of the upgrade.
    pub ended_s: Option<f64>,
    /// Whether the testbed killed one of the two processes, as planned or because the successor was not ready
    /// in time.
    pub killed: bool,
    /// Number of jobs whose connection was refused, or reset before any worker had the job.
    pub harmed: usize,
    /// Number of requests that the node rejected (429, 503), or for which no node accepted new connections.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Number of times that the result of the readiness check changed to not ready.
    #[serde(rename = "noes")]
    pub not_ready_answers: usize,
}

/// Figures of the admin commands with the same verb. Serialized as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(usize, f64)", into = "(usize, f64)")]
pub struct CommandFigures {
    /// Number of commands.
    pub count: usize,
    /// Duration of the slowest command, in milliseconds.
    pub slowest_ms: f64,
}

impl From<(usize, f64)> for CommandFigures {
    fn from((count, slowest_ms): (usize, f64)) -> Self {
        CommandFigures { count, slowest_ms }
    }
}

impl From<CommandFigures> for (usize, f64) {
    fn from(figures: CommandFigures) -> Self {
        (figures.count, figures.slowest_ms)
    }
}

/// Figures of all operator actions of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct OperationFigures {
    /// Upgrades, in order of their starts.
    pub upgrades: Vec<UpgradeFigures>,
    /// Admin commands, by verb: the first word of the command.
    #[serde(rename = "calls")]
    pub commands: BTreeMap<String, CommandFigures>,
}
