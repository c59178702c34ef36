//! Figures of operators' work: upgrades and admin commands. They are part of `figures.json`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// An upgrade. Times are seconds from its begin.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpgradeFigures {
    pub node: usize,
    /// Its begin, in seconds from the beginning of the run.
    pub at_s: f64,
    /// When the successor was first ready.
    pub ready_s: Option<f64>,
    /// When the node had a single process again.
    pub ended_s: Option<f64>,
    /// Whether the testbed killed one of both processes.
    pub killed: bool,
    /// Jobs whose connection was refused, or reset before any worker had the job.
    pub harmed: usize,
    /// Requests that the node rejected (429, 503), or that found it closed to new connections.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// How often a readiness check changed to not ready.
    #[serde(rename = "noes")]
    pub not_ready_answers: usize,
}

/// The admin commands of one kind. Written as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(usize, f64)", into = "(usize, f64)")]
pub struct CommandFigures {
    pub count: usize,
    /// The slowest answer, in milliseconds.
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

/// All figures of operators' work.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct OperationFigures {
    /// In the order of their begins.
    pub upgrades: Vec<UpgradeFigures>,
    /// By the first word of the command.
    #[serde(rename = "calls")]
    pub commands: BTreeMap<String, CommandFigures>,
}
