//! The part of a node's configuration that a scripted node reads.

use std::net::SocketAddr;

use serde::Deserialize;

use super::error::ScriptedNodeError;

/// Names the configuration file.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";

/// The configuration of a scripted node.
#[derive(Deserialize)]
pub(super) struct Config {
    pub(super) listen: SocketAddr,
    pub(super) discovery: SocketAddr,
    /// Where admin commands arrive, if at all.
    #[serde(rename = "console")]
    pub(super) admin_address: Option<SocketAddr>,
}

impl Config {
    /// Reads the file that the environment names.
    pub(super) fn read() -> Result<Config, ScriptedNodeError> {
        let path = std::env::var(CONFIG_VARIABLE).map_err(|_| ScriptedNodeError::ConfigUnset)?;
        match std::fs::read_to_string(&path) {
            Ok(text) => serde_json::from_str(&text)
                .map_err(|problem| ScriptedNodeError::ConfigInvalid { path, problem }),
            Err(problem) => Err(ScriptedNodeError::ConfigUnreadable { path, problem }),
        }
    }
}
