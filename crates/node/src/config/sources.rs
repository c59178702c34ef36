//! Sources of the configuration: the platform's file, environment variables that override fields of it, and
//! the operator's file.

use std::io;
use std::path::{Path, PathBuf};

use super::ConfigError;

/// Environment variable with the path of the platform's file.
const PLATFORM_FILE_VARIABLE: &str = "RELAY_CONFIG";

/// An environment variable that overrides a field of the platform's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Override {
    /// Name of the node.
    Name,
    /// Address for clients and workers.
    Listen,
    /// Address of discovery.
    Discovery,
    /// Address for operators.
    Admin,
}

impl Override {
    /// All overrides, in the order in which `curlewusher check` prints them.
    pub const ALL: [Override; 4] = [Override::Name, Override::Listen, Override::Discovery, Override::Admin];

    /// Returns the name of the field in the platform's file.
    pub fn field(self) -> &'static str {
        match self {
            Override::Name => "name",
            Override::Listen => "listen",
            Override::Discovery => "discovery",
            Override::Admin => "console",
        }
    }

    /// Returns the name of the environment variable.
    pub fn variable(self) -> &'static str {
        match self {
            Override::Name => "RELAY_NAME",
            Override::Listen => "RELAY_LISTEN",
            Override::Discovery => "RELAY_DISCOVERY",
            Override::Admin => "RELAY_CONSOLE",
        }
    }

    /// Returns the value of the environment variable, or `None` if it is not set.
    pub fn value(self) -> Option<String> {
        std::env::var(self.variable()).ok()
    }
}

/// Content of a configuration file.
#[derive(Default)]
pub struct ConfigFile {
    /// Path of the file, for messages.
    pub path: String,
    /// Content of the file.
    pub text: String,
}

impl ConfigFile {
    fn read(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        Ok(ConfigFile { path: path.display().to_string(), text })
    }
}

/// Sources of the configuration: the environment, and the operator's file if there is one.
pub struct ConfigSources {
    /// Path of the operator's file, if there is one.
    pub operator_file: Option<PathBuf>,
}

impl ConfigSources {
    /// Reads the platform's file, whose path is in the environment.
    pub fn read_platform_file() -> Result<ConfigFile, ConfigError> {
        let path = std::env::var(PLATFORM_FILE_VARIABLE).map_err(|_| ConfigError::PlatformFileUnset)?;
        ConfigFile::read(Path::new(&path))
            .map_err(|source| ConfigError::PlatformFileUnreadable { path, source })
    }

    /// Reads the operator's file, if there is one.
    pub fn read_operator_file(&self) -> Result<Option<ConfigFile>, ConfigError> {
        let Some(path) = &self.operator_file else { return Ok(None) };
        let unreadable = |source| {
            let path = path.display().to_string();
            ConfigError::OperatorFileUnreadable { path, source }
        };
        ConfigFile::read(path).map(Some).map_err(unreadable)
    }
}
