//! Why a scenario file cannot be used. Each error names the line, the field and the remedy in one line.

use curlewusher_toml_diagnostics::ParseError;
use thiserror::Error;

use super::FaultKind;

/// Why a scenario file cannot be used.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The text is not TOML of the scenario's form.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// A value is not valid, or not in combination with others.
    #[error("line {line}: {field}: {problem}")]
    Invalid {
        line: usize,
        /// The field with its table.
        field: String,
        #[source]
        problem: Problem,
    },
}

/// What is wrong with a field.
#[derive(Debug, Error)]
pub enum Problem {
    #[error("{value} is not from {min} to {max}")]
    OutOfRange { value: f64, min: f64, max: f64 },
    /// The name travels in a header.
    #[error("letters, digits, - and _ only, one at least")]
    InvalidClassName,
    #[error("an earlier class has this name; give each its own")]
    DuplicateClassName,
    #[error("{target} is none of the {count} {targets}, which count from 0")]
    UnknownTarget { target: usize, count: usize, targets: &'static str },
    #[error("a fault of kind slow or discovery_slow needs it")]
    MissingFactor,
    #[error("it is for kinds slow and discovery_slow only")]
    UnexpectedFactor,
    #[error("this kind needs it: what was begun has to be ended again")]
    MissingDuration,
    #[error("it is for kinds upgrade and kill_in_upgrade only")]
    UnexpectedDelay,
    #[error("it is for kind kill_in_upgrade only")]
    UnexpectedVictim,
    #[error("this node may be in an upgrade until {free_at_s} s; begin then")]
    OverlappingUpgrade { free_at_s: f64 },
    #[error("a fault of kind {kind:?} needs it, or where it is not grow, share")]
    MissingTargets { kind: FaultKind },
}

/// A field that is not valid, before its line is known.
#[derive(Debug)]
pub(super) struct InvalidField {
    pub(super) table: &'static str,
    /// Index among the tables of that name.
    pub(super) index: usize,
    pub(super) field: &'static str,
    pub(super) problem: Problem,
}

impl InvalidField {
    pub(super) fn locate(self, text: &str) -> ScenarioError {
        let InvalidField { table, index, field, problem } = self;
        let line = curlewusher_toml_diagnostics::line_of(text, table, index, field);
        let field = [table, field].join(".").trim_matches('.').to_owned();
        ScenarioError::Invalid { line, field, problem }
    }
}
