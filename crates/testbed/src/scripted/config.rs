//! Configuration of a scripted node: the subset of a node's configuration that it reads.

use std::net::SocketAddr;

use serde::Deserialize;

use super::error::ScriptedNodeError;

/// Environment variable with the path of the configuration file.
const CONFIG_PATH_VARIABLE: &str = "RELAY_CONFIG";

/// Configuration of a scripted node.
#[derive(Deserialize)]
pub(super) struct Config {
    /// Address for connections of clients and workers.
    pub(super) listen: SocketAddr,
    /// Address of the node's discovery server.
    pub(super) discovery: SocketAddr,
    /// Address for admin commands, if the node accepts any.
    #[serde(rename = "console")]
    pub(super) admin_address: Option<SocketAddr>,
}

impl Config {
    /// Reads the file that the environment variable `RELAY_CONFIG` names.
    pub(super) fn read() -> Result<Config, ScriptedNodeError> {
        let path = std::env::var(CONFIG_PATH_VARIABLE).map_err(|_| ScriptedNodeError::ConfigUnset)?;
        match std::fs::read_to_string(&path) {
            Ok(text) => serde_json::from_str(&text)
                .map_err(|problem| ScriptedNodeError::ConfigInvalid { path, problem }),
            Err(problem) => Err(ScriptedNodeError::ConfigUnreadable { path, problem }),
        }
    }
}
