//! The folder of a run: the nodes' configurations and logs, and the report.

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// The file in the folder that a run has locked while it lasts.
const LOCK_FILE: &str = "run.lock";

/// Why a run has no folder.
#[derive(Debug, Error)]
pub enum RunFolderError {
    /// Another run has it.
    #[error("{}: another run has this folder; wait for its end, or name another with --out", folder.display())]
    InUse {
        /// The folder.
        folder: PathBuf,
    },
    /// It cannot be created or written to.
    #[error("{}: {source}", folder.display())]
    Write {
        /// The folder.
        folder: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
}

/// A folder that belongs to one run until this is dropped. Nodes of two runs that share a folder read each other's
/// configurations, and their attempts count as duplicates.
pub struct RunFolder {
    /// The system unlocks the file as it is closed.
    _lock: File,
}

impl RunFolder {
    /// Creates a folder, if there is none, and claims it.
    ///
    /// # Errors
    ///
    /// Another run has it, or it cannot be written to.
    pub fn claim(folder: &Path) -> Result<RunFolder, RunFolderError> {
        let write_error = |source| RunFolderError::Write { folder: folder.to_owned(), source };
        fs::create_dir_all(folder).map_err(write_error)?;
        let lock = File::create(folder.join(LOCK_FILE)).map_err(write_error)?;
        match lock.try_lock() {
            Ok(()) => Ok(RunFolder { _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(RunFolderError::InUse { folder: folder.to_owned() }),
            Err(TryLockError::Error(source)) => Err(write_error(source)),
        }
    }
}
