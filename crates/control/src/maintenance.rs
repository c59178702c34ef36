//! Workers that operators have disabled for maintenance, and the names of all workers that discovery has ever
//! listed.
//!
//! A worker stays disabled from `DISABLE` until `ENABLE`, regardless of the endpoint lists in between and of
//! how often the process of the node is replaced. Only a worker that has been listed at least once can be
//! disabled or enabled, so that a mistyped name is rejected.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::command::{CommandError, CommandResult};

/// Maximum number of workers that can be disabled at once. A worker that has left the endpoint list stays
/// disabled until it is enabled, so the number of disabled workers may exceed the number of listed ones.
pub const MAX_DISABLED_WORKERS: usize = 4096;
/// Maximum number of names that are recorded as listed. A site of a thousand workers that are all replaced
/// ten times a day reaches this limit on the fourth day.
const MAX_LISTED_WORKERS: usize = 32_768;
/// Maximum total length of the names that are recorded as listed, in bytes (1.5 MiB). A successor receives
/// all of them in one frame, together with the state snapshot, whose limit is
/// [`MAX_SNAPSHOT_BYTES`](crate::frame::MAX_SNAPSHOT_BYTES).
const MAX_LISTED_BYTES: usize = 3 << 19;

/// Disabled workers, by their names in the endpoint list. A successor receives the serialized form, which
/// lacks `listed_bytes` and `commanded_here`. Pass a deserialized value only to
/// [`merge_predecessor`](Self::merge_predecessor).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DisabledWorkers {
    #[serde(rename = "out")]
    disabled: BTreeSet<String>,
    #[serde(rename = "listed")]
    ever_listed: BTreeSet<String>,
    /// Total length of the names in `ever_listed`, in bytes.
    #[serde(skip)]
    listed_bytes: usize,
    /// Names of workers for which this process itself has received a command. The state of the predecessor
    /// does not override them.
    #[serde(skip)]
    commanded_here: BTreeSet<String>,
}

/// Action of an operator on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceAction {
    /// The node sends nothing more to the worker.
    Disable,
    /// The node uses the worker again.
    Enable,
}

/// Change of a worker that results from the state of the predecessor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceChange {
    /// Name of the worker in the endpoint list.
    pub name: String,
    /// Action that was applied to the worker.
    pub action: MaintenanceAction,
}

impl DisabledWorkers {
    /// Records names of an endpoint list as listed, up to the limits on their number and total length. The
    /// set of disabled workers stays the same.
    pub fn record_listed<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        for name in names {
            if self.has_capacity_for(name) && !self.ever_listed.contains(name) {
                self.ever_listed.insert(name.to_owned());
                self.listed_bytes += name.len();
            }
        }
    }

    fn has_capacity_for(&self, name: &str) -> bool {
        self.ever_listed.len() < MAX_LISTED_WORKERS && self.listed_bytes + name.len() <= MAX_LISTED_BYTES
    }

    /// Applies an operator's action to a worker.
    ///
    /// # Errors
    /// Returns the errors of [`disable`](Self::disable) and [`enable`](Self::enable).
    pub fn apply(&mut self, name: &str, action: MaintenanceAction) -> CommandResult {
        match action {
            MaintenanceAction::Disable => self.disable(name),
            MaintenanceAction::Enable => self.enable(name),
        }
    }

    /// Disables a worker. Succeeds also if the worker is already disabled.
    ///
    /// # Errors
    /// Fails if no endpoint list has ever contained the worker, or if [`MAX_DISABLED_WORKERS`] workers are
    /// already disabled.
    pub fn disable(&mut self, name: &str) -> CommandResult {
        self.require_ever_listed(name)?;
        if !self.disabled.contains(name) && self.disabled.len() >= MAX_DISABLED_WORKERS {
            return Err(CommandError::TooManyDisabled(MAX_DISABLED_WORKERS));
        }
        self.disabled.insert(name.to_owned());
        self.commanded_here.insert(name.to_owned());
        Ok(())
    }

    /// Enables a worker, regardless of how often it was disabled. Succeeds also if the worker is not
    /// disabled.
    ///
    /// # Errors
    /// Fails if no endpoint list has ever contained the worker.
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

    /// Returns whether a worker is disabled.
    pub fn is_disabled(&self, name: &str) -> bool {
        self.disabled.contains(name)
    }

    /// Returns the names of the disabled workers in lexicographic order.
    pub fn disabled(&self) -> impl Iterator<Item = &str> {
        self.disabled.iter().map(String::as_str)
    }

    /// Applies the state of the predecessor: exactly the workers that it has disabled become disabled.
    /// Workers for which this process itself has received a command are exempt. Returns the changes, ordered
    /// by name.
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
