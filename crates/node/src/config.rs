//! Owns the configuration: where it is, how it is read, and what stands before what. It must never start anything or
//! change what runs: it is read whole, and others take from it what counts.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use curlewusher_settings::operator::OperatorFile;
use serde::Deserialize;
use thiserror::Error;

use crate::discovery::endpoint_list::EndpointListMessage;

/// Why what a node was told cannot be used. Each names the place, and says what would be right.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// Nothing says where the platform's file is.
    #[error("RELAY_CONFIG is not set; set it to the path of the platform's JSON file")]
    Unset,
    /// The platform's file is not there or cannot be read.
    #[error("RELAY_CONFIG: {path}: {cause}; name a file that this user can read")]
    Unreadable { path: String, cause: io::Error },
    /// The operator's file is not there or cannot be read.
    #[error("operator file: {path}: {cause}; name a file that this user can read, or none")]
    OperatorUnreadable { path: String, cause: io::Error },
    /// A field of the operator's file cannot be used; the cause has line, field and what would be right.
    #[error("operator file: {path}: {cause}")]
    Operator { path: String, cause: String },
    /// The platform's file is no JSON, or a field has another shape; the cause has place and field.
    #[error("config: {0}")]
    Shape(String),
    /// A field that is to be an address is none.
    #[error("config: {field}: not an address and port: {text}; give one such as 10.0.0.4:8000")]
    Address { field: &'static str, text: String },
    /// The settings cannot be worked with.
    #[error("config: settings.{0}")]
    Settings(#[source] curlewusher_settings::ReadError),
    /// The values in effect cannot be shown.
    #[error("config: settings.{0}")]
    EffectiveSettings(#[source] curlewusher_settings::EffectiveValuesError),
    /// Too few descriptors.
    #[error("config: limits.sockets: under {LEAST_SOCKETS} a node cannot serve; allow it that many")]
    Sockets,
    /// The seed is no number.
    #[error(
        "config: seed: not a hexadecimal number of 64 bits: {0}; give up to 16 digits of 0 to 9 and a to f"
    )]
    Seed(String),
}

const LEAST_SOCKETS: usize = 64;
/// No process has more descriptors, whatever it is allowed.
const MOST_SOCKETS: usize = 1 << 20;

/// What a node may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// File descriptors.
    #[serde(default = "Limits::usual_sockets")]
    pub sockets: usize,
}

impl Limits {
    fn usual_sockets() -> usize {
        1024
    }
}

/// The configuration as it is written.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    /// The second address, for operators; without it there is none.
    #[serde(default)]
    console: Option<String>,
    seed: String,
    limits: Limits,
    known: EndpointListMessage,
    settings: serde_json::Value,
}

/// What this node was told at its start.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub console: Option<SocketAddr>,
    pub seed: u64,
    pub limits: Limits,
    pub known: EndpointListMessage,
    pub site: curlewusher_settings::Site,
    pub operator: OperatorFile,
}

/// The variables that stand before what a field of the file says.
pub const VARIABLES: [(&str, &str); 4] = [
    ("name", "RELAY_NAME"),
    ("listen", "RELAY_LISTEN"),
    ("discovery", "RELAY_DISCOVERY"),
    ("console", "RELAY_CONSOLE"),
];

/// Where the configuration is: in the environment, and in the operator's file if there is one.
pub struct ConfigSources {
    pub operator: Option<PathBuf>,
}

impl ConfigSources {
    pub fn variable(&self, name: &str) -> Option<String> {
        std::env::var(name).ok()
    }

    /// Path and text of the platform's file.
    pub fn platform(&self) -> Result<(String, String), ConfigError> {
        let path = self.variable("RELAY_CONFIG").ok_or(ConfigError::Unset)?;
        match std::fs::read_to_string(&path) {
            Ok(text) => Ok((path, text)),
            Err(cause) => Err(ConfigError::Unreadable { path, cause }),
        }
    }

    /// Path and text of the operator's file.
    pub fn operator(&self) -> Result<Option<(String, String)>, ConfigError> {
        let Some(path) = &self.operator else { return Ok(None) };
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Ok(Some((name, text))),
            Err(cause) => Err(ConfigError::OperatorUnreadable { path: name, cause }),
        }
    }
}

impl Config {
    /// Reads the file that RELAY_CONFIG names. The other variables stand before what it says.
    pub fn read(sources: &ConfigSources) -> Result<Self, ConfigError> {
        Self::parse(sources, |name| sources.variable(name))
    }

    /// Reads the file again, for SIGHUP: here what it says of discovery stands before RELAY_DISCOVERY, which
    /// is as old as the process. The whole file must be good, or nothing of it counts.
    pub fn read_again(sources: &ConfigSources) -> Result<Self, ConfigError> {
        Self::parse(sources, |name| sources.variable(name).filter(|_| name != "RELAY_DISCOVERY"))
    }

    fn parse(
        sources: &ConfigSources,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let operator = match sources.operator()? {
            None => OperatorFile::default(),
            Some((path, text)) => {
                let read = OperatorFile::parse(&text);
                read.map_err(|e| ConfigError::Operator { path, cause: e.to_string() })?
            }
        };
        let (_, text) = sources.platform()?;
        let json = &mut serde_json::Deserializer::from_str(&text);
        let file: File =
            serde_path_to_error::deserialize(json).map_err(|e| ConfigError::Shape(e.to_string()))?;
        let address = |name: &str, field: &'static str, text: String| {
            let text = variable(name).unwrap_or(text);
            text.parse().map_err(|_| ConfigError::Address { field, text })
        };
        let site = curlewusher_settings::read_from(file.settings).map_err(ConfigError::Settings)?;
        if file.limits.sockets < LEAST_SOCKETS {
            return Err(ConfigError::Sockets);
        }
        Ok(Config {
            name: variable("RELAY_NAME").unwrap_or(file.name),
            listen: address("RELAY_LISTEN", "listen", file.listen)?,
            discovery: address("RELAY_DISCOVERY", "discovery", file.discovery)?,
            console: match variable("RELAY_CONSOLE").or(file.console) {
                Some(text) => Some(address("RELAY_CONSOLE", "console", text)?),
                None => None,
            },
            seed: u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed(file.seed))?,
            limits: Limits { sockets: file.limits.sockets.min(MOST_SOCKETS) },
            known: file.known,
            site,
            operator,
        })
    }
}
