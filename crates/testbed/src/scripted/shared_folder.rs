//! State that the two processes of a scripted node share during an upgrade, as files in the node's temporary
//! folder.
//!
//! | file | meaning |
//! | --- | --- |
//! | `drained` | exists while the node is drained |
//! | `out-NAME` | exists while the worker of that name is disabled |
//! | `calls-PID` | address at which the process with that id receives callbacks that its peer forwards |

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use super::error::CommandError;

const DRAINED_FILE: &str = "drained";
const CALLBACK_FILE_PREFIX: &str = "calls-";

/// Folder that the processes of a node share.
pub(super) struct SharedFolder(PathBuf);

impl SharedFolder {
    /// Returns the temporary folder of this process. The testbed sets one for each node.
    pub(super) fn of_current_process() -> Self {
        SharedFolder(std::env::temp_dir())
    }

    /// Returns whether the node is drained.
    pub(super) fn is_drained(&self) -> bool {
        self.0.join(DRAINED_FILE).exists()
    }

    /// Starts or ends the drain of the node.
    pub(super) fn set_drained(&self, is_drained: bool) -> Result<(), CommandError> {
        set_marker(self.0.join(DRAINED_FILE), is_drained)
    }

    /// Returns whether an operator has disabled a worker.
    pub(super) fn is_disabled(&self, worker: &str) -> bool {
        self.disabled_file(worker).exists()
    }

    /// Disables or enables a worker.
    pub(super) fn set_disabled(&self, worker: &str, is_disabled: bool) -> Result<(), CommandError> {
        set_marker(self.disabled_file(worker), is_disabled)
    }

    fn disabled_file(&self, worker: &str) -> PathBuf {
        self.0.join(format!("out-{worker}"))
    }

    /// Publishes the address at which this process receives callbacks that its peer forwards.
    pub(super) fn publish_callback_address(&self, address: SocketAddr) -> io::Result<()> {
        std::fs::write(self.0.join(own_callback_file()), address.to_string())
    }

    /// Returns the addresses that other processes of the node have published.
    pub(super) fn peer_callback_addresses(&self) -> impl Iterator<Item = String> {
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

/// Creates or removes a marker file.
fn set_marker(file: PathBuf, exists: bool) -> Result<(), CommandError> {
    if exists {
        std::fs::write(file, "").map_err(|_| CommandError::FolderNotWritable)
    } else {
        // Fails if the file does not exist, which is no error because operators may repeat a command.
        let _ = std::fs::remove_file(file);
        Ok(())
    }
}
