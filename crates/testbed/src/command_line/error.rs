//! Errors of the commands.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::checked_run::RunError;
use crate::compare::CompareError;
use crate::scenario::ScenarioError;
use crate::scripted::ScriptedNodeError;

/// Errors of the execution of a command. The messages are for the user who typed the command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The scenario file cannot be read.
    #[error("{}: {source}", file.display())]
    ReadScenario {
        /// Path of the scenario file.
        file: PathBuf,
        /// Error that the operating system reported.
        source: io::Error,
    },
    /// The scenario is invalid.
    #[error("{}: {problem}", file.display())]
    InvalidScenario {
        /// Path of the scenario file.
        file: PathBuf,
        /// Problem of the scenario.
        problem: ScenarioError,
    },
    /// The value of an option is out of its range.
    #[error("{option}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// Option as the user types it.
        option: &'static str,
        /// Value of the option.
        value: f64,
        /// Minimum value.
        min: f64,
        /// Maximum value.
        max: f64,
    },
    /// The folder of this program cannot be determined, and the node's program was not named.
    #[error("the folder of this program cannot be determined: name the node's program with --node")]
    UnknownFolder,
    /// The path of this program, which is also the scripted node, cannot be determined.
    #[error("the path of this program cannot be determined: {0}")]
    UnknownProgram(#[source] io::Error),
    /// The node's program does not exist.
    #[error("no program at {}: build it, or name it with --node", program.display())]
    MissingProgram {
        /// Path of the missing program.
        program: PathBuf,
    },
    /// The asynchronous runtime cannot be started.
    #[error("the runtime does not start: {0}")]
    Runtime(#[source] io::Error),
    /// A run has no result.
    #[error(transparent)]
    Run(#[from] RunError),
    /// The runs cannot be compared.
    #[error(transparent)]
    Compare(#[from] CompareError),
    /// A result cannot be serialized as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The scripted node cannot serve.
    #[error(transparent)]
    ScriptedNode(#[from] ScriptedNodeError),
}

impl CommandError {
    /// Checks that the value of an option is in its range.
    ///
    /// # Errors
    ///
    /// Fails if the value is out of the range.
    pub fn check_range(option: &'static str, value: f64, min: f64, max: f64) -> Result<(), CommandError> {
        if (min..=max).contains(&value) {
            Ok(())
        } else {
            Err(CommandError::OutOfRange { option, value, min, max })
        }
    }
}
