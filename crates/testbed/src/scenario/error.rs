//! Errors of scenario files. Each error is a single line that names the line in the file, the field and the
//! remedy.

use curlewusher_toml_diagnostics::ParseError;
use thiserror::Error;

use super::FaultKind;

/// Errors of [`Scenario::parse`](super::Scenario::parse).
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The text is malformed TOML, or has an unknown field or a value of the wrong type.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// A value is invalid, either alone or in combination with others.
    #[error("line {line}: {field}: {problem}")]
    Invalid {
        /// Number of the line of the field.
        line: usize,
        /// Name of the field, with its table.
        field: String,
        /// Problem of the field.
        #[source]
        problem: Problem,
    },
}

/// Problem of an invalid field.
#[derive(Debug, Error)]
pub enum Problem {
    /// The value is out of its range.
    #[error("{value} is not from {min} to {max}")]
    OutOfRange { value: f64, min: f64, max: f64 },
    /// The name of the class has a character that is not allowed, or is empty. Clients send the name in a
    /// header.
    #[error("letters, digits, - and _ only, one at least")]
    InvalidClassName,
    /// The name of the class is a duplicate.
    #[error("an earlier class has this name; give each its own")]
    DuplicateClassName,
    /// A target of the fault does not exist.
    #[error("{target} is none of the {count} {targets}, which count from 0")]
    UnknownTarget { target: usize, count: usize, targets: &'static str },
    /// The fault has no `factor`, but its kind needs one.
    #[error("a fault of kind slow, discovery_slow or discovery_lines_late needs it")]
    MissingFactor,
    /// The fault has a `factor`, but its kind does not use one.
    #[error("it is for kinds discovery_lines_late, slow and discovery_slow only")]
    UnexpectedFactor,
    /// The fault has no `for_s`, but its kind needs an end.
    #[error("this kind needs it: what was begun has to be ended again")]
    MissingDuration,
    /// The fault has a `delay_s`, but is not an upgrade.
    #[error("it is for kinds upgrade and kill_in_upgrade only")]
    UnexpectedDelay,
    /// The fault names a victim, but its kind does not use one.
    #[error("it is for kind kill_in_upgrade only")]
    UnexpectedVictim,
    /// Another upgrade of the same node may not have ended when this one begins.
    #[error("this node may be in an upgrade until {free_at_s} s; begin then")]
    OverlappingUpgrade { free_at_s: f64 },
    /// The fault has no targets, but its kind needs them.
    #[error("a fault of kind {kind:?} needs it, or where it is not grow, share")]
    MissingTargets { kind: FaultKind },
}

/// Invalid field whose line has not been determined yet.
#[derive(Debug)]
pub(super) struct InvalidField {
    pub(super) table: &'static str,
    /// Index of the table among the tables of the same name.
    pub(super) index: usize,
    pub(super) field: &'static str,
    pub(super) problem: Problem,
}

impl InvalidField {
    /// Determines the line of the field in `text`, and returns the error with it.
    pub(super) fn locate(self, text: &str) -> ScenarioError {
        let InvalidField { table, index, field, problem } = self;
        let line = curlewusher_toml_diagnostics::line_of(text, table, index, field);
        let field = [table, field].join(".").trim_matches('.').to_owned();
        ScenarioError::Invalid { line, field, problem }
    }
}
