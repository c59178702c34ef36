//! Owns which core workers operators have taken out, and which ids were ever listed. It must never judge a worker.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::command::{CommandError, CommandResult};

/// So many core workers can be out at once. One that has left the list is out until it is put back, so that there may be
/// more of them than a list has.
pub const MAX_DISABLED_WORKERS: usize = 4096;
/// So many ids are remembered as listed, and so many bytes of them: a site of a thousand that are all replaced ten
/// times a day reaches it on the fourth day. A successor is told all of them in one frame: see `MAX_SNAPSHOT_BYTES`.
const MAX_LISTED_WORKERS: usize = 32_768;
const MAX_LISTED_BYTES: usize = 3 << 19;

/// The core workers that are out, by their names in discovery's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DisabledWorkers {
    out: BTreeSet<String>,
    listed: BTreeSet<String>,
    /// Bytes of those.
    #[serde(skip)]
    listed_bytes: usize,
    /// Those that calls came for at this process.
    #[serde(skip)]
    called: BTreeSet<String>,
}

/// A worker that has been disabled or enabled by what the predecessor knew.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceChange {
    /// The worker's name in the endpoint list.
    pub name: String,
    /// Whether it is disabled now.
    pub disabled: bool,
}

impl DisabledWorkers {
    /// The list names these; what it says of them changes no ban.
    pub fn record_listed<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        for name in names {
            let room =
                self.listed.len() < MAX_LISTED_WORKERS && self.listed_bytes + name.len() <= MAX_LISTED_BYTES;
            if room && !self.listed.contains(name) {
                self.listed.insert(name.to_owned());
                self.listed_bytes += name.len();
            }
        }
    }

    /// Nothing more to this one; done as well where it is out already.
    pub fn disable(&mut self, name: &str) -> CommandResult {
        self.known(name)?;
        if !self.out.contains(name) && self.out.len() >= MAX_DISABLED_WORKERS {
            return Err(CommandError::TooManyDisabled(MAX_DISABLED_WORKERS));
        }
        self.out.insert(name.to_owned());
        self.called.insert(name.to_owned());
        Ok(())
    }

    /// Back again, however often it was taken out; done as well where it is not out.
    pub fn enable(&mut self, name: &str) -> CommandResult {
        self.known(name)?;
        self.out.remove(name);
        self.called.insert(name.to_owned());
        Ok(())
    }

    fn known(&self, name: &str) -> CommandResult {
        match self.listed.contains(name) {
            true => Ok(()),
            false => Err(CommandError::UnknownWorker(name.to_owned())),
        }
    }

    /// Whether it is out.
    pub fn is_disabled(&self, name: &str) -> bool {
        self.out.contains(name)
    }

    /// Those that are out.
    pub fn disabled(&self) -> impl Iterator<Item = &str> {
        self.out.iter().map(String::as_str)
    }

    /// Takes on what the older process of this node knows: its bans are the node's, but for those that calls have come
    /// for here since. Returns what changes: names, and whether each is out now.
    pub fn merge_predecessor(&mut self, older: DisabledWorkers) -> Vec<MaintenanceChange> {
        self.record_listed(older.listed.iter().map(String::as_str));
        let changed: Vec<MaintenanceChange> = self
            .out
            .symmetric_difference(&older.out)
            .filter(|name| !self.called.contains(*name))
            .map(|name| MaintenanceChange { name: name.clone(), disabled: older.out.contains(name) })
            .collect();
        for MaintenanceChange { name, disabled } in &changed {
            match disabled {
                true => _ = self.out.insert(name.clone()),
                false => _ = self.out.remove(name),
            }
        }
        changed
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    proptest! {
        /// A ban holds from its call until the call back, whatever is listed in between and however often the node
        /// changes its process; an id that no list has named gets a no.
        #[test]
        fn a_ban_holds_until_its_call_back(steps in prop::collection::vec((0u8..4, 0u8..6), 0..60)) {
            let (mut bans, mut told) = (DisabledWorkers::default(), BTreeMap::new());
            for (what, which) in steps {
                let name = format!("s-{which}");
                let listed = told.contains_key(&name);
                match what {
                    0 => {
                        bans.record_listed([name.as_str()]);
                        told.entry(name).or_insert(false);
                    }
                    1 => {
                        prop_assert_eq!(bans.disable(&name).is_ok(), listed);
                        told.entry(name).and_modify(|out| *out = true);
                    }
                    2 => {
                        prop_assert_eq!(bans.enable(&name).is_ok(), listed);
                        told.entry(name).and_modify(|out| *out = false);
                    }
                    _ => {
                        let mut newer = DisabledWorkers::default();
                        newer.merge_predecessor(bans);
                        bans = newer;
                    }
                }
                for (name, out) in &told {
                    prop_assert_eq!(bans.is_disabled(name), *out);
                }
            }
        }
    }
}
