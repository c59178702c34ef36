//! Where the configuration comes from: the platform's file, variables that override fields of it, and the operator's
//! file.

use std::io;
use std::path::{Path, PathBuf};

use super::ConfigError;

/// Variable with the path of the platform's file.
const PLATFORM_FILE_VARIABLE: &str = "RELAY_CONFIG";

/// A variable that overrides a field of the platform's file.
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
    /// All overrides, in the order in which `curlewusher check` shows them.
    pub const ALL: [Override; 4] = [Override::Name, Override::Listen, Override::Discovery, Override::Admin];

    /// Name of the field in the platform's file.
    pub fn field(self) -> &'static str {
        match self {
            Override::Name => "name",
            Override::Listen => "listen",
            Override::Discovery => "discovery",
            Override::Admin => "console",
        }
    }

    /// Name of the variable.
    pub fn variable(self) -> &'static str {
        match self {
            Override::Name => "RELAY_NAME",
            Override::Listen => "RELAY_LISTEN",
            Override::Discovery => "RELAY_DISCOVERY",
            Override::Admin => "RELAY_CONSOLE",
        }
    }

    /// The variable's value, if it is set.
    pub fn value(self) -> Option<String> {
        std::env::var(self.variable()).ok()
    }
}

/// A file of the configuration, read.
#[derive(Default)]
pub struct ConfigFile {
    /// Its path, as messages show it.
    pub path: String,
    /// Its content.
    pub text: String,
}

impl ConfigFile {
    fn read(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        Ok(ConfigFile { path: path.display().to_string(), text })
    }
}

/// Where the configuration comes from: the environment, and the operator's file if there is one.
pub struct ConfigSources {
    /// Path of the operator's file.
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
