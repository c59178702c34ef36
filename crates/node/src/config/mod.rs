//! The configuration: the platform's file, the variables that override it, and the operator's file, read as a whole.
//! Nothing is started or changed here; the parts of the node take from [`Config`] what concerns them.

mod error;
mod sources;

use std::net::SocketAddr;

use curlewusher_settings::Site;
use curlewusher_settings::operator::OperatorFile;
use serde::Deserialize;

pub use self::error::ConfigError;
pub use self::sources::{ConfigFile, ConfigSources, Override};
use crate::discovery::endpoint_list::EndpointListMessage;

/// Fewest file descriptors with which a node can serve.
const MIN_SOCKETS: usize = 64;
/// Most file descriptors that a node uses, whatever it is allowed.
const MAX_SOCKETS: usize = 1 << 20;
/// File descriptors where the platform's file does not set a number.
pub const DEFAULT_SOCKETS: usize = 1024;

/// Resources that a node may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// File descriptors.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
}

fn default_sockets() -> usize {
    DEFAULT_SOCKETS
}

/// The platform's file. Error messages show the name of this type.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    /// The address for operators, if there is to be one.
    #[serde(default, rename = "console")]
    admin: Option<String>,
    seed: String,
    limits: Limits,
    /// The endpoints that were valid when the file was written.
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
    /// The endpoints that were valid when the file was written.
    pub known: EndpointListMessage,
    /// The settings object.
    pub site: Site,
    /// The operator's file, or its defaults.
    pub operator: OperatorFile,
}

impl Config {
    /// Reads the configuration for a start: variables override the platform's file.
    pub fn read(sources: &ConfigSources) -> Result<Self, ConfigError> {
        Self::read_with_overrides(sources, Override::value)
    }

    /// Reads the configuration again, for a reload. For the address of discovery the platform's file counts, as the
    /// variable is as old as the process. A configuration with any error is rejected as a whole.
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

/// Parses the text of the operator's file; the path is for the error.
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
