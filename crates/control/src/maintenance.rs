//! Workers that operators have disabled for maintenance, and the names that discovery has ever listed.
//!
//! A worker stays disabled from `DISABLE` until `ENABLE`, whatever the endpoint list states in between
//! and however often the process of the node is replaced. Only a name that was listed once can be disabled or
//! enabled, so that a mistyped name is rejected.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::command::{CommandError, CommandResult};

/// Most workers that can be disabled at once. A worker that has left the endpoint list stays disabled until
/// it is enabled, so there may be more of them than the list has entries.
pub const MAX_DISABLED_WORKERS: usize = 4096;
/// Most names that are remembered as listed: a site of a thousand workers that are all replaced ten times a
/// day reaches this on the fourth day.
const MAX_LISTED_WORKERS: usize = 32_768;
/// Most bytes of names that are remembered as listed, 1.5 MiB. A successor gets all of them in one frame,
/// together with the state snapshot: see [`MAX_SNAPSHOT_BYTES`](crate::frame::MAX_SNAPSHOT_BYTES).
const MAX_LISTED_BYTES: usize = 3 << 19;

/// The disabled workers, by their names in the endpoint list. Its serialized form is what a successor
/// receives; that is only to be given to [`merge_predecessor`](Self::merge_predecessor), since it lacks what
/// the private fields count.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DisabledWorkers {
    #[serde(rename = "out")]
    disabled: BTreeSet<String>,
    #[serde(rename = "listed")]
    ever_listed: BTreeSet<String>,
    /// Bytes of the names in `ever_listed`.
    #[serde(skip)]
    listed_bytes: usize,
    /// Names that this process itself has received a command for: the predecessor's state does not override
    /// these.
    #[serde(skip)]
    commanded_here: BTreeSet<String>,
}

/// What an operator does about a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceAction {
    /// Nothing more is sent to it.
    Disable,
    /// It is used again.
    Enable,
}

/// A worker that has been disabled or enabled by the state of the predecessor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceChange {
    /// The worker's name in the endpoint list.
    pub name: String,
    /// What has become of it.
    pub action: MaintenanceAction,
}

impl DisabledWorkers {
    /// Remembers names of the endpoint list, up to the bounds on their number and bytes. It changes nothing
    /// about which workers are disabled.
    pub fn record_listed<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        for name in names {
            if self.can_remember(name) && !self.ever_listed.contains(name) {
                self.ever_listed.insert(name.to_owned());
                self.listed_bytes += name.len();
            }
        }
    }

    fn can_remember(&self, name: &str) -> bool {
        self.ever_listed.len() < MAX_LISTED_WORKERS && self.listed_bytes + name.len() <= MAX_LISTED_BYTES
    }

    /// Carries out an operator's action on a worker.
    ///
    /// # Errors
    /// Those of [`disable`](Self::disable) and [`enable`](Self::enable).
    pub fn apply(&mut self, name: &str, action: MaintenanceAction) -> CommandResult {
        match action {
            MaintenanceAction::Disable => self.disable(name),
            MaintenanceAction::Enable => self.enable(name),
        }
    }

    /// Disables a worker; succeeds as well if it is disabled already.
    ///
    /// # Errors
    /// If no list has ever named it, or if [`MAX_DISABLED_WORKERS`] are disabled.
    pub fn disable(&mut self, name: &str) -> CommandResult {
        self.require_ever_listed(name)?;
        if !self.disabled.contains(name) && self.disabled.len() >= MAX_DISABLED_WORKERS {
            return Err(CommandError::TooManyDisabled(MAX_DISABLED_WORKERS));
        }
        self.disabled.insert(name.to_owned());
        self.commanded_here.insert(name.to_owned());
        Ok(())
    }

    /// Enables a worker, however often it was disabled; succeeds as well if it is not disabled.
    ///
    /// # Errors
    /// If no list has ever named it.
    pub fn enable(&mut self, name: &str) -> CommandResult {
        self.require_ever_listed(name)?;
        self.disabled.remove(name);
        self.commanded_here.insert(name.to_owned());
        Ok(())
    }

    fn require_ever_listed(&self, name: &str) -> CommandResult {
        if self.ever_listed.contains(name) {
            Ok(())
        } else {
            Err(CommandError::UnknownWorker(name.to_owned()))
        }
    }

    /// Whether a worker is disabled.
    pub fn is_disabled(&self, name: &str) -> bool {
        self.disabled.contains(name)
    }

    /// Names of the disabled workers, in their order as strings.
    pub fn disabled(&self) -> impl Iterator<Item = &str> {
        self.disabled.iter().map(String::as_str)
    }

    /// Takes over the state of the predecessor of this process: exactly its disabled workers are disabled,
    /// except where this process has received a command for a worker itself. Returns the workers that this
    /// changes, ordered by name.
    pub fn merge_predecessor(&mut self, predecessor: &DisabledWorkers) -> Vec<MaintenanceChange> {
        self.record_listed(predecessor.ever_listed.iter().map(String::as_str));
        let changes: Vec<MaintenanceChange> = self
            .disabled
            .symmetric_difference(&predecessor.disabled)
            .filter(|name| !self.commanded_here.contains(*name))
            .map(|name| MaintenanceChange {
                name: name.clone(),
                action: if predecessor.disabled.contains(name) {
                    MaintenanceAction::Disable
                } else {
                    MaintenanceAction::Enable
                },
            })
            .collect();
        for change in &changes {
            self.apply_change(change);
        }
        changes
    }

    fn apply_change(&mut self, change: &MaintenanceChange) {
        match change.action {
            MaintenanceAction::Disable => _ = self.disabled.insert(change.name.clone()),
            MaintenanceAction::Enable => _ = self.disabled.remove(&change.name),
        }
    }
}
