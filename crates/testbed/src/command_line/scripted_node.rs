//! `scripted-node`: runs this program as a node that breaks one rule, or none.

use super::ExitStatus;
use super::error::CommandError;
use super::runtime::scripted_node_runtime;
use crate::scripted::{Flaw, serve};

/// The options of `scripted-node`
#[derive(clap::Args)]
pub struct ScriptedNodeOptions {
    /// What it does wrong
    flaw: Flaw,
}

impl ScriptedNodeOptions {
    pub(super) fn execute(self) -> Result<ExitStatus, CommandError> {
        scripted_node_runtime()?.block_on(serve(self.flaw))?;
        Ok(ExitStatus::Success)
    }
}
