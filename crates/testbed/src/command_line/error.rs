//! Why a command could not be carried out.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::checked_run::RunError;
use crate::compare::CompareError;
use crate::scenario::ScenarioError;
use crate::scripted::ScriptedNodeError;

/// Why a command could not be carried out. The messages are for the person who typed it.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The scenario's file cannot be read.
    #[error("{}: {source}", file.display())]
    ReadScenario {
        /// The scenario's file.
        file: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The scenario is not valid.
    #[error("{}: {problem}", file.display())]
    InvalidScenario {
        /// The scenario's file.
        file: PathBuf,
        /// What is wrong with it.
        problem: ScenarioError,
    },
    /// The value of an option is not in its range.
    #[error("{option}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// The option as it is typed.
        option: &'static str,
        /// Its value.
        value: f64,
        /// The least value.
        min: f64,
        /// The greatest value.
        max: f64,
    },
    /// No program of a node was named, and the folder of this program cannot be found.
    #[error("this program's own place is not known: name the node's with --node")]
    UnknownFolder,
    /// The path of this program, which is the scripted node too, cannot be found.
    #[error("this program's own place: {0}")]
    UnknownProgram(#[source] io::Error),
    /// The node's program does not exist.
    #[error("no program at {}: build it, or name it with --node", program.display())]
    MissingProgram {
        /// The path that was looked at.
        program: PathBuf,
    },
    /// The asynchronous runtime does not start.
    #[error("the runtime does not start: {0}")]
    Runtime(#[source] io::Error),
    /// A run has no result.
    #[error(transparent)]
    Run(#[from] RunError),
    /// The runs cannot be compared.
    #[error(transparent)]
    Compare(#[from] CompareError),
    /// A result cannot be expressed in JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The scripted node does not serve.
    #[error(transparent)]
    ScriptedNode(#[from] ScriptedNodeError),
}

impl CommandError {
    /// Checks that the value of an option is in its range.
    ///
    /// # Errors
    ///
    /// The value is not in the range.
    pub fn check_range(option: &'static str, value: f64, min: f64, max: f64) -> Result<(), CommandError> {
        if (min..=max).contains(&value) {
            Ok(())
        } else {
            Err(CommandError::OutOfRange { option, value, min, max })
        }
    }
}
