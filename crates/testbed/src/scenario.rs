//! Owns the form of a scenario file, its defaults and what may stand in it. It must never start anything: a mistake is
//! named with its line before the first process runs.
//!
//! Times are seconds from the beginning of the load, in decimals; work is seconds on a core of speed 1.

use std::path::PathBuf;

use curlewusher_model::worker_pool::{Machine, PoolParameters};
use curlewusher_model::workload::{JobClass, LoadSegment, WorkloadSpec};
use curlewusher_model::{Micros, span};
use serde::{Deserialize, Serialize};

use crate::rules::{RepeatPolicy, RuleParameters};

/// A scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it shows, for the report.
    pub title: String,
    /// Same seed, same jobs, sizes, keys and machines.
    pub seed: u64,
    /// How long clients come.
    pub length_s: f64,
    pub nodes: Nodes,
    #[serde(default)]
    pub fleet: Fleet,
    pub load: Load,
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// The nodes under test.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    pub count: usize,
    /// Descriptors of each.
    #[serde(default = "Nodes::usual_descriptors")]
    pub descriptors: usize,
    /// The operator's file for all of them.
    #[serde(default)]
    pub operator: Option<PathBuf>,
}

impl Nodes {
    fn usual_descriptors() -> usize {
        1024
    }
}

/// The workers, the archive, and discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Up from the beginning.
    pub workers: usize,
    /// Workers are dealt over so many bays in turn.
    pub bays: usize,
    /// Kinds of machine, dealt in turn.
    pub kinds: Vec<Kind>,
    /// Jobs that wait at a worker.
    pub queue: usize,
    /// Sets that a worker keeps.
    pub sets_kept: usize,
    pub fetch_s: f64,
    /// Fetches that the archive serves at full speed.
    pub archive: f64,
    pub crowding: f64,
    pub cold_share: f64,
    pub warm_up_s: f64,
    /// Discovery tells a change this late.
    pub list_late_s: f64,
    /// Discovery serves one call at a time, each this long.
    pub list_call_s: f64,
}

/// A kind of machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    pub cores: f64,
    pub speed: f64,
    pub slots: u32,
    /// How many of them stand for each one of the others.
    #[serde(default = "Kind::one")]
    pub parts: usize,
}

impl Kind {
    fn one() -> usize {
        1
    }
}

impl Default for Fleet {
    fn default() -> Self {
        let kind =
            |name: &str, cores, speed, slots, parts| Kind { name: name.into(), cores, speed, slots, parts };
        Fleet {
            workers: 10,
            bays: 2,
            kinds: vec![
                kind("fast-five", 5.0, 1.3, 5, 3),
                kind("plain-five", 5.0, 0.97, 5, 4),
                kind("old-four", 4.0, 0.7, 4, 4),
            ],
            queue: 60,
            sets_kept: 5,
            fetch_s: 1.4,
            archive: 24.0,
            crowding: 0.05,
            cold_share: 0.13,
            warm_up_s: 24.0,
            list_late_s: 2.0,
            list_call_s: 0.01,
        }
    }
}

/// What clients ask for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Jobs a second.
    pub rate: f64,
    #[serde(default = "Load::usual_sets")]
    pub sets: u64,
    #[serde(default = "Load::usual_skew")]
    pub skew: f64,
    #[serde(default = "Load::usual_hint_spread")]
    pub hint_spread: f64,
    /// Tries of a client after its first.
    #[serde(default = "Load::usual_retries")]
    pub retries: u32,
    /// It waits so long before each, or as it is advised where that is longer.
    #[serde(default)]
    pub retry_wait_s: f64,
    /// The share of jobs that come each on a connection of its own; the others use connections that are held.
    #[serde(default)]
    pub new_connections: f64,
    #[serde(default, rename = "tide")]
    pub tides: Vec<LoadTide>,
}

impl Load {
    fn usual_sets() -> u64 {
        65
    }
    fn usual_skew() -> f64 {
        1.0
    }
    fn usual_hint_spread() -> f64 {
        0.25
    }
    fn usual_retries() -> u32 {
        3
    }
}

/// A stretch of another rate.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadTide {
    pub from_s: f64,
    pub until_s: f64,
    pub factor: f64,
}

/// A class of jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub share: f64,
    pub mean_s: f64,
    #[serde(default = "Class::one_slot")]
    pub slots: u32,
    pub repeats: ClassRepeats,
    /// Wanted within this and `stretch` times its own work.
    pub aim_s: f64,
    pub stretch: f64,
    pub give_up_s: f64,
    /// Worth of a second of its work, answered within the aim.
    pub worth: f64,
}

impl Class {
    fn one_slot() -> u32 {
        1
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClassRepeats {
    Safe,
    Keyed,
    Unsafe,
}

/// Something goes wrong, or is done to the system.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_s: f64,
    /// It ends after this; without it, it lasts.
    #[serde(default)]
    pub for_s: Option<f64>,
    pub kind: FaultKind,
    /// Which workers or nodes, by number from 0.
    #[serde(default)]
    pub of: Vec<usize>,
    /// Or so many of all workers, the lowest numbers first, as a share.
    #[serde(default)]
    pub share: Option<f64>,
    /// How many times slower, for `slow`.
    #[serde(default)]
    pub factor: Option<f64>,
    /// In an upgrade, SIGTERM follows the yes of the newer process after a drawn part of this.
    #[serde(default)]
    pub delay_s: Option<f64>,
    /// Which process dies, for `kill_in_upgrade`; without it, that is drawn.
    #[serde(default)]
    pub whom: Option<Whom>,
}

impl Fault {
    /// A fault with nothing but its kind.
    pub fn of(kind: FaultKind) -> Self {
        let (of, share, factor, delay_s, whom) = (Vec::new(), None, None, None, None);
        Fault { at_s: 0.0, for_s: None, kind, of, share, factor, delay_s, whom }
    }
}

/// One of the two processes of a node that is upgraded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Whom {
    Older,
    Newer,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process dies; after `for_s` it starts again, cold.
    Kill,
    /// It takes what comes and says nothing.
    Silent,
    /// It runs slower by `factor`.
    Slow,
    /// It ends what it has and leaves; after `for_s` it starts again, cold.
    Drain,
    /// Workers that were not there start, cold.
    Grow,
    /// Discovery fails its calls and ends its watches.
    DiscoveryDown,
    /// Discovery moves, and the node is told by SIGHUP.
    Reload,
    /// A node is told to end by SIGTERM, killed 3.7 s after a longest class, and started again after `for_s`.
    NodeStop,
    /// A node is killed, and started again after `for_s`.
    NodeKill,
    /// An operator drains a node, and ends the drain after `for_s`.
    NodeDrain,
    /// An operator calls a worker out on all nodes, and back after `for_s`; half way it is started again,
    /// cold.
    Maintenance,
    /// A newer process of a node is started beside it; the older one gets SIGTERM once that is ready, and a
    /// drawn time.
    Upgrade,
    /// The same, and one of both is killed at a drawn moment.
    KillInUpgrade,
}

impl FaultKind {
    fn on_nodes(self) -> bool {
        use FaultKind::*;
        matches!(self, Reload | NodeStop | NodeKill | NodeDrain | Upgrade | KillInUpgrade)
    }

    pub fn is_upgrade(self) -> bool {
        matches!(self, FaultKind::Upgrade | FaultKind::KillInUpgrade)
    }

    /// Whether it is done by calls to the nodes' second addresses.
    fn needs_console(self) -> bool {
        self.is_upgrade() || matches!(self, FaultKind::NodeDrain | FaultKind::Maintenance)
    }
}

/// The rules' own figures; a scenario does not change them.
const SLACK: Micros = 50_000;
const STOP_WITHIN: Micros = 750_000;
const DRAIN_GRACE: Micros = 700_000;
const NEWER_LEARNS: Micros = 2_000_000;
pub const DEDUP_WINDOW: Micros = 40_000_000;
pub const FALL_WINDOW: Micros = 2_000_000;
pub const OVERLOAD_FACTOR: f64 = 3.0;

/// SIGTERM comes this long after the yes of a newer process at the most, s.
pub const LONGEST_DELAY_S: f64 = 6.0;
/// An upgrade lasts as long as its drawn delay can be and this: the newer process says yes within 6 s, the
/// older one is killed 3.7 s after SIGTERM, and the starts take a moment.
const UPGRADE_LASTS_S: f64 = 10.0;
/// Memory of a node, both of its processes together, MB.
pub const MEMORY_MB: f64 = 192.0;

/// The most workers that ever are in a scenario.
const MOST_WORKERS: usize = 10_000;

/// A figure and its bounds.
struct Bound {
    table: &'static str,
    /// Which of the tables of that name.
    nth: usize,
    field: &'static str,
    value: f64,
    least: f64,
    most: f64,
}

impl Bound {
    fn check(&self) -> Result<(), Mistake> {
        let Bound { table, nth, field, value, least, most } = *self;
        if (least..=most).contains(&value) {
            return Ok(());
        }
        Err(Mistake { table, nth, field, words: format!("{value} is not from {least} to {most}") })
    }
}

/// Where something is wrong, and what.
struct Mistake {
    table: &'static str,
    nth: usize,
    field: &'static str,
    words: String,
}

impl Scenario {
    /// Reads a scenario; the error names line, field and remedy.
    pub fn parse(text: &str) -> Result<Self, String> {
        let scenario: Scenario =
            curlewusher_toml_diagnostics::parse(text).map_err(|error| error.to_string())?;
        let bad = scenario.check().err();
        bad.map_or(Ok(scenario), |Mistake { table, nth, field, words }| {
            let line = curlewusher_toml_diagnostics::line_of(text, table, nth, field);
            Err(format!("line {line}: {}: {words}", [table, field].join(".").trim_matches('.')))
        })
    }

    /// The first figure that is out of its bounds, or that does not go with another.
    fn check(&self) -> Result<(), Mistake> {
        let (nodes, fleet, load) = (&self.nodes, &self.fleet, &self.load);
        let lone = |table, field, value: f64, least, most| Bound { table, nth: 0, field, value, least, most };
        let mut bounds = vec![
            lone("", "length_s", self.length_s, 0.5, 86_400.0),
            lone("nodes", "count", nodes.count as f64, 1.0, 64.0),
            lone("nodes", "descriptors", nodes.descriptors as f64, 64.0, 65_536.0),
            lone("fleet", "workers", fleet.workers as f64, 1.0, MOST_WORKERS as f64),
            lone("fleet", "bays", fleet.bays as f64, 1.0, 1_000.0),
            lone("fleet", "kinds", fleet.kinds.len() as f64, 1.0, 64.0),
            lone("fleet", "queue", fleet.queue as f64, 0.0, 1e6),
            lone("fleet", "sets_kept", fleet.sets_kept as f64, 1.0, 1e6),
            lone("fleet", "fetch_s", fleet.fetch_s, 0.0, 3_600.0),
            lone("fleet", "archive", fleet.archive, 0.1, 1e6),
            lone("fleet", "crowding", fleet.crowding, 0.0, 100.0),
            lone("fleet", "cold_share", fleet.cold_share, 0.01, 1.0),
            lone("fleet", "warm_up_s", fleet.warm_up_s, 0.0, 3_600.0),
            lone("fleet", "list_late_s", fleet.list_late_s, 0.0, 5.0),
            lone("fleet", "list_call_s", fleet.list_call_s, 0.0, 2.0),
            lone("load", "rate", load.rate, 0.1, 100_000.0),
            lone("load", "sets", load.sets as f64, 1.0, 1e9),
            lone("load", "skew", load.skew, 0.0, 10.0),
            lone("load", "hint_spread", load.hint_spread, 0.0, 5.0),
            lone("load", "retries", f64::from(load.retries), 0.0, 100.0),
            lone("load", "new_connections", load.new_connections, 0.0, 1.0),
            lone("load", "retry_wait_s", load.retry_wait_s, 0.0, 3_600.0),
            lone("", "class", self.classes.len() as f64, 1.0, 64.0),
        ];
        for kind in &fleet.kinds {
            // Kinds may be written in one line; then that is where they stand.
            bounds.push(lone("fleet", "kinds", kind.cores, 0.1, 1_000.0));
            bounds.push(lone("fleet", "kinds", kind.speed, 0.01, 100.0));
            bounds.push(lone("fleet", "kinds", f64::from(kind.slots), 1.0, 1_000.0));
            bounds.push(lone("fleet", "kinds", kind.parts as f64, 1.0, 1_000.0));
        }
        for (nth, tide) in load.tides.iter().enumerate() {
            let of = |field, value, least, most| Bound { table: "load.tide", nth, field, value, least, most };
            bounds.push(of("from_s", tide.from_s, 0.0, self.length_s));
            bounds.push(of("until_s", tide.until_s, tide.from_s, self.length_s));
            bounds.push(of("factor", tide.factor, 0.0, 1_000.0));
        }
        for (nth, class) in self.classes.iter().enumerate() {
            let of = |field, value, least, most| Bound { table: "class", nth, field, value, least, most };
            bounds.push(of("share", class.share, 1e-6, 1e6));
            bounds.push(of("mean_s", class.mean_s, 0.001, 3_600.0));
            bounds.push(of("slots", f64::from(class.slots), 1.0, 64.0));
            bounds.push(of("aim_s", class.aim_s, 0.0, 3_600.0));
            bounds.push(of("stretch", class.stretch, 0.0, 1_000.0));
            bounds.push(of("give_up_s", class.give_up_s, 0.1, 3_600.0));
            bounds.push(of("worth", class.worth, 0.0, 1e6));
        }
        for (nth, fault) in self.faults.iter().enumerate() {
            let of = |field, value, least, most| Bound { table: "fault", nth, field, value, least, most };
            bounds.push(of("at_s", fault.at_s, 0.0, self.length_s));
            bounds.extend(fault.for_s.map(|value| of("for_s", value, 0.0, 86_400.0)));
            bounds.extend(fault.share.map(|value| of("share", value, 0.0, 1.0)));
            bounds.extend(fault.factor.map(|value| of("factor", value, 1.0, 1_000.0)));
            bounds.extend(fault.delay_s.map(|value| of("delay_s", value, 0.0, LONGEST_DELAY_S)));
        }
        bounds.iter().try_for_each(Bound::check)?;
        self.check_names()?;
        self.check_faults()
    }

    fn check_names(&self) -> Result<(), Mistake> {
        for (nth, class) in self.classes.iter().enumerate() {
            let mistake = |words: &str| Mistake { table: "class", nth, field: "name", words: words.into() };
            // It travels as a header.
            if class.name.is_empty()
                || !class.name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b))
            {
                return Err(mistake("letters, digits, - and _ only, one at least"));
            }
            if self.classes[..nth].iter().any(|other| other.name == class.name) {
                return Err(mistake("an earlier class has this name; give each its own"));
            }
        }
        Ok(())
    }

    fn check_faults(&self) -> Result<(), Mistake> {
        for (nth, fault) in self.faults.iter().enumerate() {
            let mistake = |field, words: String| Err(Mistake { table: "fault", nth, field, words });
            let (all, what) = match fault.kind {
                kind if kind.on_nodes() => (self.nodes.count, "nodes"),
                // What grows is there from then on.
                FaultKind::Grow => (MOST_WORKERS, "places for workers"),
                _ => (self.workers(), "workers"),
            };
            if let Some(no) = fault.of.iter().find(|no| **no >= all) {
                return mistake("of", format!("{no} is none of the {all} {what}, which count from 0"));
            }
            match (fault.kind, fault.factor) {
                (FaultKind::Slow, None) => return mistake("factor", "a fault of kind slow needs it".into()),
                (FaultKind::Slow, Some(_)) | (_, None) => {}
                (_, Some(_)) => return mistake("factor", "it is for kind slow only".into()),
            }
            if matches!(fault.kind, FaultKind::NodeDrain | FaultKind::Maintenance) && fault.for_s.is_none() {
                return mistake(
                    "for_s",
                    "this kind needs it: an operator calls back what was called out".into(),
                );
            }
            if fault.delay_s.is_some() && !fault.kind.is_upgrade() {
                return mistake("delay_s", "it is for kinds upgrade and kill_in_upgrade only".into());
            }
            if fault.whom.is_some() && fault.kind != FaultKind::KillInUpgrade {
                return mistake("whom", "it is for kind kill_in_upgrade only".into());
            }
            let meets = |other: &&Fault| {
                let apart = other.delay_s.unwrap_or(LONGEST_DELAY_S) + UPGRADE_LASTS_S;
                let both = fault.kind.is_upgrade() && other.kind.is_upgrade();
                let same = self.targets(other).iter().any(|node| self.targets(fault).contains(node));
                both && same && other.at_s <= fault.at_s && fault.at_s < other.at_s + apart
            };
            let others = self.faults.iter().enumerate().filter(|(other, _)| *other != nth);
            if let Some(other) = others.map(|(_, other)| other).find(meets) {
                let free = other.at_s + other.delay_s.unwrap_or(LONGEST_DELAY_S) + UPGRADE_LASTS_S;
                return mistake("at_s", format!("this node may be in an upgrade until {free} s; begin then"));
            }
            let all_or_none = matches!(fault.kind, FaultKind::DiscoveryDown | FaultKind::Reload);
            let of_a_share = fault.share.is_some() && fault.kind != FaultKind::Grow;
            if !all_or_none && fault.of.is_empty() && !of_a_share {
                return mistake(
                    "of",
                    format!("a fault of kind {:?} needs it, or where it is not grow, share", fault.kind),
                );
            }
        }
        Ok(())
    }

    /// Whether the nodes need a second address. Without need they have none: older programs know of none.
    pub fn needs_consoles(&self) -> bool {
        self.faults.iter().any(|fault| fault.kind.needs_console())
    }

    /// Whom a fault is for.
    pub fn targets(&self, fault: &Fault) -> Vec<usize> {
        let all = if fault.kind.on_nodes() { self.nodes.count } else { self.fleet.workers };
        match fault.share {
            Some(share) => (0..(share * all as f64).round() as usize).collect(),
            None if fault.of.is_empty() => (0..all).collect(),
            None => fault.of.clone(),
        }
    }

    /// Workers that are not there at the beginning: those that a fault lets grow.
    pub fn grown(&self) -> Vec<usize> {
        let grows = self.faults.iter().filter(|fault| fault.kind == FaultKind::Grow);
        let mut grown: Vec<usize> = grows.flat_map(|fault| fault.of.iter().copied()).collect();
        grown.sort_unstable();
        grown.dedup();
        grown
    }

    /// All workers that ever are, grown ones included.
    pub fn workers(&self) -> usize {
        let most = self.grown().last().map_or(0, |last| last + 1);
        self.fleet.workers.max(most)
    }

    pub fn kind_of(&self, worker: usize) -> (usize, &Kind) {
        let kinds = &self.fleet.kinds;
        let dealt: Vec<usize> =
            (0..kinds.len()).flat_map(|kind| std::iter::repeat_n(kind, kinds[kind].parts)).collect();
        // A stride that has no factor in common with most sizes mixes the kinds.
        let kind = dealt[(worker * 7) % dealt.len()];
        (kind, &kinds[kind])
    }

    pub fn machines(&self) -> Vec<Machine> {
        let machine = |worker: usize| {
            let kind = self.kind_of(worker).1;
            Machine {
                bay: (worker % self.fleet.bays) as u32,
                cores: kind.cores,
                speed: kind.speed,
                slots: kind.slots,
                memory: f64::from(kind.slots) * 2.0,
                queue: self.fleet.queue,
                sets: self.fleet.sets_kept,
            }
        };
        (0..self.workers()).map(machine).collect()
    }

    pub fn pool_parameters(&self) -> PoolParameters {
        PoolParameters {
            cold_capacity_fraction: self.fleet.cold_share,
            warm_up: span(self.fleet.warm_up_s),
            overload_factor: OVERLOAD_FACTOR,
            overload_window: FALL_WINDOW,
            contention_penalty: self.fleet.crowding,
            fetch_seconds: self.fleet.fetch_s,
            archive_concurrency: self.fleet.archive,
            deduplication_window: DEDUP_WINDOW,
            progress_interval: span(2.0),
        }
    }

    pub fn workload(&self) -> WorkloadSpec {
        let class =
            |class: &Class| JobClass { share: class.share, mean_seconds: class.mean_s, slots: class.slots };
        let segment = |segment: &LoadTide| LoadSegment {
            from: span(segment.from_s),
            until: span(segment.until_s),
            factor: segment.factor,
        };
        WorkloadSpec {
            seed: self.seed,
            length: span(self.length_s),
            rate: self.load.rate,
            load_curve: self.load.tides.iter().map(segment).collect(),
            classes: self.classes.iter().map(class).collect(),
            sets: self.load.sets,
            skew: self.load.skew,
            hint_spread: self.load.hint_spread,
        }
    }

    pub fn rule_parameters(&self) -> RuleParameters {
        let repeats = |class: &Class| match class.repeats {
            ClassRepeats::Safe => RepeatPolicy::Idempotent,
            ClassRepeats::Keyed => RepeatPolicy::IdempotentWithKey { window: DEDUP_WINDOW },
            ClassRepeats::Unsafe => RepeatPolicy::NonIdempotent,
        };
        RuleParameters {
            classes: self.classes.iter().map(repeats).collect(),
            slack: SLACK,
            stop_within: STOP_WITHIN,
            drain_grace: DRAIN_GRACE,
            fall_window: FALL_WINDOW,
            successor_grace: NEWER_LEARNS,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "title = 't'\nseed = 1\nlength_s = 5.0\n[nodes]\ncount = 1\n[load]\nrate = 5.0\n[[class]]\n\
        name = 'view'\nshare = 1.0\nmean_s = 0.1\nrepeats = 'safe'\naim_s = 1.0\nstretch = 2.0\ngive_up_s = 5.0\nworth = 1.0\n";

    #[test]
    fn a_mistake_is_named_with_its_line_and_what_would_be_right() {
        assert!(Scenario::parse(GOOD).is_ok(), "{:?}", Scenario::parse(GOOD));
        let fault = "worth = 1.0\n[[fault]]\nat_s = 1.0\nkind = 'kill'\nof = [0]\n[[fault]]\nat_s = 2.0\n";
        let second = |rest: &str| format!("{fault}{rest}");
        let cases: [(&str, String, [&str; 3]); 32] = [
            ("count = 1", "count = 0".into(), ["line 5", "nodes.count", "from 1 to 64"]),
            ("rate = 5.0", "rte = 5.0".into(), ["line 7", "rte", "`rate`"]),
            ("rate = 5.0", "rate = 'much'".into(), ["line 7", "load.rate", "f64"]),
            ("rate = 5.0", "rate = nan".into(), ["line 7", "load.rate", "from 0.1"]),
            ("rate = 5.0", "rate = 5.0\nsets = 0".into(), ["line 8", "load.sets", "from 1"]),
            ("rate = 5.0", "rate = 5.0\nskew = -1".into(), ["line 8", "load.skew", "from 0"]),
            ("rate = 5.0", "rate = 5.0\nhint_spread = -1".into(), ["line 8", "load.hint_spread", "from 0"]),
            ("rate = 5.0", "rate = 5.0\nretry_wait_s = -1".into(), ["line 8", "load.retry_wait_s", "from 0"]),
            (
                "rate = 5.0",
                "rate = 5.0\n[[load.tide]]\nfrom_s = 1\nuntil_s = 0.5\nfactor = 1".into(),
                ["line 10", "load.tide.until_s", "from 1 to 5"],
            ),
            (
                "rate = 5.0",
                "rate = 5.0\n[fleet]\nlist_call_s = -0.1".into(),
                ["line 9", "fleet.list_call_s", "from 0"],
            ),
            (
                "rate = 5.0",
                "rate = 5.0\n[fleet]\nfetch_s = -0.1".into(),
                ["line 9", "fleet.fetch_s", "from 0"],
            ),
            (
                "rate = 5.0",
                "rate = 5.0\n[fleet]\nwarm_up_s = -1".into(),
                ["line 9", "fleet.warm_up_s", "from 0"],
            ),
            (
                "rate = 5.0",
                "rate = 5.0\n[fleet]\ncrowding = -1".into(),
                ["line 9", "fleet.crowding", "from 0"],
            ),
            ("share = 1.0", "share = -1.0".into(), ["line 10", "class.share", "from"]),
            ("stretch = 2.0", "stretch = -2.0".into(), ["line 14", "class.stretch", "from 0"]),
            ("worth = 1.0", "worth = -1.0".into(), ["line 16", "class.worth", "from 0"]),
            ("name = 'view'", "name = 'a view'".into(), ["line 9", "class.name", "letters"]),
            ("repeats = 'safe'", "repeats = 'often'".into(), ["line 12", "repeats", "`keyed`"]),
            ("worth = 1.0", second("kind = 'slow'\nof = [0]"), ["line 21", "fault.factor", "needs it"]),
            ("worth = 1.0", second("kind = 'kill'\nof = [10]"), ["line 24", "fault.of", "10 workers"]),
            ("worth = 1.0", second("kind = 'node_kill'\nof = [1]"), ["line 24", "fault.of", "1 nodes"]),
            ("worth = 1.0", second("kind = 'grow'\nof = [10000]"), ["line 24", "fault.of", "10000"]),
            (
                "worth = 1.0",
                second("kind = 'kill'\nof = [1]\nfor_s = -1"),
                ["line 25", "fault.for_s", "from 0"],
            ),
            ("worth = 1.0", second("kind = 'kill'\nshare = 2"), ["line 24", "fault.share", "from 0 to 1"]),
            (
                "worth = 1.0",
                second("kind = 'kill'\nof = [1]\nfactor = 2"),
                ["line 25", "fault.factor", "slow only"],
            ),
            ("worth = 1.0", second("kind = 'kill'"), ["line 21", "fault.of", "share"]),
            ("worth = 1.0", second("kind = 'maintenance'\nof = [1]"), ["line 21", "fault.for_s", "needs it"]),
            ("worth = 1.0", second("kind = 'upgrade'\nof = [1]"), ["line 24", "fault.of", "1 nodes"]),
            (
                "worth = 1.0",
                second("kind = 'upgrade'\nof = [0]\ndelay_s = 9"),
                ["line 25", "fault.delay_s", "from 0 to 6"],
            ),
            (
                "worth = 1.0",
                second("kind = 'upgrade'\nof = [0]\nwhom = 'newer'"),
                ["line 25", "fault.whom", "kill_in_upgrade only"],
            ),
            (
                "worth = 1.0",
                second("kind = 'upgrade'\nof = [0]\n[[fault]]\nat_s = 4.0\nkind = 'upgrade'\nof = [0]"),
                ["line 26", "fault.at_s", "until 18 s"],
            ),
            ("length_s = 5.0", "length_s = 0".into(), ["line 3", "length_s", "from 0.5"]),
        ];
        for (old, new, parts) in cases {
            let text = GOOD.replace(old, &new);
            let said = Scenario::parse(&text).expect_err(&new);
            assert!(parts.iter().all(|part| said.contains(part)) && !said.contains('\n'), "{new}: {said}");
        }
    }

    #[test]
    fn every_scenario_that_is_shipped_can_be_read() {
        let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
        let files: Vec<_> = std::fs::read_dir(folder).expect("the folder").flatten().collect();
        assert!(!files.is_empty());
        for file in files {
            let text = std::fs::read_to_string(file.path()).expect("a scenario");
            if let Err(problem) = Scenario::parse(&text) {
                panic!("{:?}: {problem}", file.path());
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/golden_scenario.rs"]
mod golden_scenario;
