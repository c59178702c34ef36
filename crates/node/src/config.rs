//! Owns the configuration: where it is, how it is read, and what stands before what. It must never start anything or
//! change what runs: it is read whole, and others take from it what counts.

use std::net::SocketAddr;
use std::path::PathBuf;

use curlewusher_settings::operator::Operator;
use serde::Deserialize;

use crate::transport_map::ListMessage;

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
    known: ListMessage,
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
    pub known: ListMessage,
    pub site: curlewusher_settings::Site,
    pub operator: Operator,
}

/// The variables that stand before what a field of the file says.
pub const VARIABLES: [(&str, &str); 4] = [
    ("name", "RELAY_NAME"),
    ("listen", "RELAY_LISTEN"),
    ("discovery", "RELAY_DISCOVERY"),
    ("console", "RELAY_CONSOLE"),
];

/// Where the configuration is: in the environment, and in the operator's file if there is one.
pub struct Told {
    pub operator: Option<PathBuf>,
}

impl Told {
    pub fn variable(&self, name: &str) -> Option<String> {
        std::env::var(name).ok()
    }

    /// Path and text of the platform's file.
    pub fn platform(&self) -> Result<(String, String), String> {
        let path = self.variable("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("RELAY_CONFIG: {path}: {e}"))?;
        Ok((path, text))
    }

    /// Path and text of the operator's file.
    pub fn operator(&self) -> Result<Option<(String, String)>, String> {
        let Some(path) = &self.operator else { return Ok(None) };
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| format!("operator file: {name}: {e}"))?;
        Ok(Some((name, text)))
    }
}

impl Config {
    /// Reads the file that RELAY_CONFIG names. The other variables stand before what it says.
    pub fn read(told: &Told) -> Result<Self, String> {
        Self::parse(told, |name| told.variable(name))
    }

    /// Reads the file again, for SIGHUP: here what it says of discovery stands before RELAY_DISCOVERY, which
    /// is as old as the process. The whole file must be good, or nothing of it counts.
    pub fn read_again(told: &Told) -> Result<Self, String> {
        Self::parse(told, |name| told.variable(name).filter(|_| name != "RELAY_DISCOVERY"))
    }

    fn parse(told: &Told, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let operator = match told.operator()? {
            None => Operator::default(),
            Some((path, text)) => {
                Operator::parse(&text).map_err(|e| format!("operator file: {path}: {e}"))?
            }
        };
        let (_, text) = told.platform()?;
        let json = &mut serde_json::Deserializer::from_str(&text);
        let file: File = serde_path_to_error::deserialize(json).map_err(|e| format!("config: {e}"))?;
        let address = |name: &str, field: &str, text: String| {
            let text = variable(name).unwrap_or(text);
            text.parse().map_err(|_| format!("config: {field}: not an address and port: {text}"))
        };
        let site =
            curlewusher_settings::read_from(file.settings).map_err(|e| format!("config: settings.{e}"))?;
        if file.limits.sockets < 64 {
            return Err("config: limits.sockets: under 64 a node cannot serve".into());
        }
        Ok(Config {
            name: variable("RELAY_NAME").unwrap_or(file.name),
            listen: address("RELAY_LISTEN", "listen", file.listen)?,
            discovery: address("RELAY_DISCOVERY", "discovery", file.discovery)?,
            console: match variable("RELAY_CONSOLE").or(file.console) {
                Some(text) => Some(address("RELAY_CONSOLE", "console", text)?),
                None => None,
            },
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|_| format!("config: seed: not a hexadecimal number of 64 bits: {}", file.seed))?,
            limits: file.limits,
            known: file.known,
            site,
            operator,
        })
    }
}
