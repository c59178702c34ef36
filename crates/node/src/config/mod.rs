//! Configuration of the node: the platform's file, the environment variables that override it, and the
//! operator's file, read as a whole. This module starts and changes nothing. Each part of the node takes its
//! values from [`Config`].

mod error;
mod sources;

use std::net::SocketAddr;

use curlewusher_settings::Site;
use curlewusher_settings::operator::OperatorFile;
use serde::Deserialize;

pub use self::error::ConfigError;
pub use self::sources::{ConfigFile, ConfigSources, Override};
use crate::discovery::endpoint_list::EndpointListMessage;

/// Minimum number of file descriptors with which a node can serve.
const MIN_SOCKETS: usize = 64;
/// Maximum number of file descriptors that a node uses, even if its limit is higher.
const MAX_SOCKETS: usize = 1 << 20;
/// Number of file descriptors if the platform's file does not set one.
pub const DEFAULT_SOCKETS: usize = 1024;

/// Resources that a node may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Maximum number of file descriptors.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
}

fn default_sockets() -> usize {
    DEFAULT_SOCKETS
}

/// Content of the platform's file. Error messages contain the name of this type.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    /// Address for operators, if configured.
    #[serde(default, rename = "console")]
    admin: Option<String>,
    seed: String,
    limits: Limits,
    /// Endpoints that were valid when the file was written.
    known: EndpointListMessage,
    settings: serde_json::Value,
}

/// The configuration of a node.
pub struct Config {
    /// Name of the node.
    pub name: String,
    /// Address for clients and workers.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address for operators.
    pub admin: Option<SocketAddr>,
    /// Seed of the dispatcher's random numbers.
    pub seed: u64,
    /// Resources that the node may use.
    pub limits: Limits,
    /// Endpoints that were valid when the file was written.
    pub known: EndpointListMessage,
    /// Parsed settings object of the platform's file.
    pub site: Site,
    /// Content of the operator's file, or its defaults.
    pub operator: OperatorFile,
}

impl Config {
    /// Reads the configuration for a start. Environment variables override the platform's file.
    pub fn read(sources: &ConfigSources) -> Result<Self, ConfigError> {
        Self::read_with_overrides(sources, Override::value)
    }

    /// Reads the configuration again, for a reload. The address of discovery comes from the platform's file,
    /// since the environment variable does not change after the process has started. A configuration with any
    /// error is rejected as a whole.
    pub fn read_again(sources: &ConfigSources) -> Result<Self, ConfigError> {
        Self::read_with_overrides(sources, |field| match field {
            Override::Discovery => None,
            Override::Name | Override::Listen | Override::Admin => field.value(),
        })
    }

    fn read_with_overrides(
        sources: &ConfigSources,
        override_value: impl Fn(Override) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let operator = match sources.read_operator_file()? {
            None => OperatorFile::default(),
            Some(ConfigFile { path, text }) => parse_operator_file(&path, &text)?,
        };
        let file = parse_platform_file(&ConfigSources::read_platform_file()?.text)?;
        let site = curlewusher_settings::read_from(file.settings).map_err(ConfigError::Settings)?;
        if file.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets);
        }
        let address = |field: Override, text: String| {
            parse_address(field.field(), override_value(field).unwrap_or(text))
        };
        let admin = override_value(Override::Admin).or(file.admin);
        Ok(Config {
            name: override_value(Override::Name).unwrap_or(file.name),
            listen: address(Override::Listen, file.listen)?,
            discovery: address(Override::Discovery, file.discovery)?,
            admin: admin.map(|text| parse_address(Override::Admin.field(), text)).transpose()?,
            seed: parse_seed(file.seed)?,
            limits: Limits { sockets: file.limits.sockets.min(MAX_SOCKETS) },
            known: file.known,
            site,
            operator,
        })
    }
}

/// Parses the text of the operator's file. `path` is used in the error message.
pub fn parse_operator_file(path: &str, text: &str) -> Result<OperatorFile, ConfigError> {
    OperatorFile::parse(text).map_err(|source| ConfigError::OperatorFile { path: path.to_owned(), source })
}

fn parse_platform_file(text: &str) -> Result<File, ConfigError> {
    let deserializer = &mut serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(deserializer).map_err(ConfigError::Form)
}

fn parse_address(field: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|source| ConfigError::Address { field, text, source })
}

fn parse_seed(text: String) -> Result<u64, ConfigError> {
    u64::from_str_radix(&text, 16).map_err(|source| ConfigError::Seed { text, source })
}
