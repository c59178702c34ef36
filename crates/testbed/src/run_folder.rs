//! Folder of a run, which holds the nodes' configurations and logs, and the report.

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Name of the file in the folder that a run keeps locked while it lasts.
const LOCK_FILE: &str = "run.lock";

/// Errors of [`RunFolder::claim`].
#[derive(Debug, Error)]
pub enum RunFolderError {
    /// Another run uses the folder.
    #[error("{}: another run has this folder; wait for its end, or name another with --out", folder.display())]
    InUse {
        /// Path of the folder.
        folder: PathBuf,
    },
    /// The folder cannot be created or written to.
    #[error("{}: {source}", folder.display())]
    Write {
        /// Path of the folder.
        folder: PathBuf,
        /// Error that the operating system reported.
        source: io::Error,
    },
}

/// Exclusive claim of a run on its folder, released on drop. If two runs shared a folder, their nodes would
/// read each other's configurations, and their attempts would count as duplicates.
pub struct RunFolder {
    /// Locked file. The operating system releases the lock when the file is closed.
    _lock: File,
}

impl RunFolder {
    /// Creates a folder if it does not exist, and claims it.
    ///
    /// # Errors
    ///
    /// Fails if another run uses the folder, or if the folder cannot be created or written to.
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
