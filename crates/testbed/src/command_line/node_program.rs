//! Program of the nodes under test.

use std::path::{Path, PathBuf};

use super::error::CommandError;
use crate::nodes::Program;
use crate::scripted::Flaw;

/// File name of the node's program, which is built into the folder of this program.
const NODE_PROGRAM: &str = "curlewusher";

/// Returns the path of the node's program: the one that was named, or else the one in the folder of this
/// program.
///
/// # Errors
///
/// Fails if no file exists at the path, or if the folder of this program cannot be determined.
pub fn node_path(named: Option<PathBuf>) -> Result<PathBuf, CommandError> {
    let path = named.or_else(default_node_path).ok_or(CommandError::UnknownFolder)?;
    if path.is_file() { Ok(path) } else { Err(CommandError::MissingProgram { program: path }) }
}

/// Returns the path of the node's program in the folder of this program.
fn default_node_path() -> Option<PathBuf> {
    Some(std::env::current_exe().ok()?.parent()?.join(NODE_PROGRAM))
}

/// Returns the program at a path, without arguments.
pub fn program_without_arguments(path: PathBuf, folder: PathBuf) -> Program {
    Program { path, arguments: Vec::new(), folder }
}

/// Returns the program of the nodes: the scripted node with a flaw if one is named, or else the node's
/// program.
///
/// # Errors
///
/// Fails if the program cannot be found.
pub fn choose_program(
    node: Option<PathBuf>,
    scripted: Option<Flaw>,
    folder: &Path,
) -> Result<Program, CommandError> {
    let Some(flaw) = scripted else {
        return Ok(program_without_arguments(node_path(node)?, folder.to_owned()));
    };
    let path = std::env::current_exe().map_err(CommandError::UnknownProgram)?;
    let arguments = vec!["scripted-node".into(), flaw.to_string()];
    Ok(Program { path, arguments, folder: folder.to_owned() })
}
