//! The state that the two processes of a scripted node share in an upgrade, as files in the node's temporary folder.
//!
//! | file | meaning |
//! | --- | --- |
//! | `drained` | the node is drained |
//! | `out-NAME` | the worker is disabled |
//! | `calls-PID` | the address at which that process receives callbacks that arrived at the other one |

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use super::error::CommandError;

const DRAINED_FILE: &str = "drained";
const CALLBACK_FILE_PREFIX: &str = "calls-";

/// The folder that the processes of a node share.
pub(super) struct SharedFolder(PathBuf);

impl SharedFolder {
    /// The temporary folder of this process, which the testbed gives to each node.
    pub(super) fn of_process() -> Self {
        SharedFolder(std::env::temp_dir())
    }

    /// Whether the node is drained.
    pub(super) fn is_drained(&self) -> bool {
        self.0.join(DRAINED_FILE).exists()
    }

    /// Drains the node, or ends its drain.
    pub(super) fn set_drained(&self, is_drained: bool) -> Result<(), CommandError> {
        set_marker(self.0.join(DRAINED_FILE), is_drained)
    }

    /// Whether an operator has disabled a worker.
    pub(super) fn is_disabled(&self, worker: &str) -> bool {
        self.disabled_file(worker).exists()
    }

    /// Disables a worker, or enables it again.
    pub(super) fn set_disabled(&self, worker: &str, is_disabled: bool) -> Result<(), CommandError> {
        set_marker(self.disabled_file(worker), is_disabled)
    }

    fn disabled_file(&self, worker: &str) -> PathBuf {
        self.0.join(format!("out-{worker}"))
    }

    /// Publishes the address at which this process receives callbacks from the other one.
    pub(super) fn publish_callback_address(&self, address: SocketAddr) -> io::Result<()> {
        std::fs::write(self.0.join(own_callback_file()), address.to_string())
    }

    /// The addresses that other processes have published.
    pub(super) fn callback_addresses_of_others(&self) -> impl Iterator<Item = String> {
        let own = own_callback_file();
        let files = std::fs::read_dir(&self.0).into_iter().flatten().flatten();
        files.filter_map(move |file| {
            let name = file.file_name().to_string_lossy().into_owned();
            if !name.starts_with(CALLBACK_FILE_PREFIX) || name == own {
                return None;
            }
            std::fs::read_to_string(file.path()).ok()
        })
    }
}

fn own_callback_file() -> String {
    format!("{CALLBACK_FILE_PREFIX}{}", std::process::id())
}

/// Creates or removes a file whose existence is its meaning.
fn set_marker(file: PathBuf, exists: bool) -> Result<(), CommandError> {
    if exists {
        std::fs::write(file, "").map_err(|_| CommandError::FolderNotWritable)
    } else {
        // The file need not exist: commands may be repeated.
        let _ = std::fs::remove_file(file);
        Ok(())
    }
}
