//! Reading of scenario files.

use std::path::Path;

use super::error::CommandError;
use crate::scenario::Scenario;

/// Reads and validates a scenario.
///
/// # Errors
///
/// Fails if the file cannot be read, or if the scenario is invalid.
pub fn read_scenario(file: &Path) -> Result<Scenario, CommandError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| CommandError::ReadScenario { file: file.to_owned(), source })?;
    let mut scenario = Scenario::parse(&text)
        .map_err(|problem| CommandError::InvalidScenario { file: file.to_owned(), problem })?;
    // A relative path in the file is relative to the folder of the file.
    if let (Some(operator_file), Some(folder)) = (&scenario.nodes.operator, file.parent()) {
        scenario.nodes.operator = Some(folder.join(operator_file));
    }
    Ok(scenario)
}
