//! The program of the nodes under test.

use std::path::{Path, PathBuf};

use super::error::CommandError;
use crate::nodes::Program;
use crate::scripted::Flaw;

/// The node's program, built beside this one.
const NODE_PROGRAM: &str = "curlewusher";

/// The path of the node's program: the one that was named, or the one beside this program.
///
/// # Errors
///
/// There is no file at the path.
pub fn node_path(named: Option<PathBuf>) -> Result<PathBuf, CommandError> {
    let path = named.or_else(path_beside_this_program).ok_or(CommandError::UnknownFolder)?;
    if path.is_file() { Ok(path) } else { Err(CommandError::MissingProgram { program: path }) }
}

fn path_beside_this_program() -> Option<PathBuf> {
    Some(std::env::current_exe().ok()?.parent()?.join(NODE_PROGRAM))
}

/// The program at a path, without arguments.
pub fn program_at(path: PathBuf, folder: PathBuf) -> Program {
    Program { path, arguments: Vec::new(), folder }
}

/// The program of the nodes: the scripted node with a flaw, if one is named, or else the node's program.
///
/// # Errors
///
/// The program cannot be found.
pub fn choose_program(
    node: Option<PathBuf>,
    scripted: Option<Flaw>,
    folder: &Path,
) -> Result<Program, CommandError> {
    let Some(flaw) = scripted else {
        return Ok(program_at(node_path(node)?, folder.to_owned()));
    };
    let path = std::env::current_exe().map_err(CommandError::UnknownProgram)?;
    let arguments = vec!["scripted-node".into(), flaw.to_string()];
    Ok(Program { path, arguments, folder: folder.to_owned() })
}
