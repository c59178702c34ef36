//! Owns the form of a scenario file, its defaults and what may stand in it. It must never start anything: a mistake is
//! named with its line before the first process runs.
//!
//! Times are seconds from the beginning of the load, in decimals; work is seconds on a core of speed 1.

use std::path::PathBuf;

use curlewusher_model::plan::{Asking, Tide, Wish};
use curlewusher_model::world::{Machine, Nature};
use curlewusher_model::{Micros, span};
use serde::{Deserialize, Serialize};

use crate::judge::{Repeats, Rules};

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
}

impl FaultKind {
    fn on_nodes(self) -> bool {
        matches!(self, FaultKind::Reload | FaultKind::NodeStop | FaultKind::NodeKill)
    }
}

/// The rules' own figures; a scenario does not change them.
const SLACK: Micros = 50_000;
const STOP_WITHIN: Micros = 750_000;
const DRAIN_GRACE: Micros = 700_000;
pub const DEDUP_WINDOW: Micros = 40_000_000;
pub const FALL_WINDOW: Micros = 2_000_000;
pub const OVERLOAD_FACTOR: f64 = 3.0;

impl Scenario {
    /// Reads a scenario; the error names line, field and remedy.
    pub fn parse(text: &str) -> Result<Self, String> {
        let place = |error: &toml::de::Error| {
            let at = error.span().map_or(0, |span| span.start.min(text.len()));
            format!("line {}", text.as_bytes()[..at].iter().filter(|b| **b == b'\n').count() + 1)
        };
        let flat = |message: &str| message.split_whitespace().collect::<Vec<_>>().join(" ");
        let source =
            toml::Deserializer::parse(text).map_err(|e| format!("{}: {}", place(&e), flat(e.message())))?;
        let scenario: Scenario = serde_path_to_error::deserialize(source).map_err(|e| {
            let path = e.path().to_string();
            let e = e.into_inner();
            format!("{}: {path}: {}", place(&e), flat(e.message()))
        })?;
        scenario.check().map_err(|(section, problem)| {
            // What only shows in the whole is placed at the head of its section.
            let head =
                text.lines().position(|line| line.trim_start().trim_matches(['[', ']', ' ']) == section);
            format!("line {}: {problem}", head.unwrap_or(0) + 1)
        })?;
        Ok(scenario)
    }

    /// The section, and what is wrong in it.
    fn check(&self) -> Result<(), (&'static str, String)> {
        let within = |section, name: &str, value: f64, least: f64, most: f64| {
            if (least..=most).contains(&value) {
                return Ok(());
            }
            Err((section, format!("{section}.{name} is {value}; it must be from {least} to {most}")))
        };
        within("", "length_s", self.length_s, 0.5, 86_400.0)?;
        within("nodes", "count", self.nodes.count as f64, 1.0, 64.0)?;
        within("nodes", "descriptors", self.nodes.descriptors as f64, 64.0, 65_536.0)?;
        let fleet = &self.fleet;
        within("fleet", "workers", fleet.workers as f64, 1.0, 10_000.0)?;
        within("fleet", "bays", fleet.bays as f64, 1.0, 1_000.0)?;
        within("fleet", "kinds", fleet.kinds.len() as f64, 1.0, 64.0)?;
        within("fleet", "archive", fleet.archive, 0.1, 1e6)?;
        within("fleet", "cold_share", fleet.cold_share, 0.01, 1.0)?;
        within("fleet", "list_late_s", fleet.list_late_s, 0.0, 5.0)?;
        for kind in &fleet.kinds {
            within("fleet", "kinds.cores", kind.cores, 0.1, 1_000.0)?;
            within("fleet", "kinds.speed", kind.speed, 0.01, 100.0)?;
            within("fleet", "kinds.parts", kind.parts as f64, 1.0, 1_000.0)?;
        }
        within("load", "rate", self.load.rate, 0.1, 100_000.0)?;
        for class in &self.classes {
            within("class", "mean_s", class.mean_s, 0.001, 3_600.0)?;
            within("class", "give_up_s", class.give_up_s, 0.1, 3_600.0)?;
            within("class", "slots", f64::from(class.slots), 1.0, 64.0)?;
        }
        self.wish().check().map_err(|problem| ("load", problem))?;
        for fault in &self.faults {
            within("fault", "at_s", fault.at_s, 0.0, self.length_s)?;
            let (all, what) =
                if fault.kind.on_nodes() { (self.nodes.count, "nodes") } else { (self.workers(), "workers") };
            if let Some(no) = fault.of.iter().find(|no| **no >= all) {
                return Err(("fault", format!("fault.of names {no}; there are {all} {what}, from 0 on")));
            }
            if let Some(share) = fault.share {
                within("fault", "share", share, 0.0, 1.0)?;
            }
            match (fault.kind, fault.factor) {
                (FaultKind::Slow, Some(factor)) => within("fault", "factor", factor, 1.0, 1_000.0)?,
                (FaultKind::Slow, None) => {
                    return Err(("fault", "a fault of kind slow needs fault.factor".into()));
                }
                (_, Some(_)) => return Err(("fault", "fault.factor is for kind slow only".into())),
                (_, None) => {}
            }
            let all_or_none = matches!(fault.kind, FaultKind::DiscoveryDown | FaultKind::Reload);
            if !all_or_none && fault.of.is_empty() && fault.share.is_none() {
                return Err((
                    "fault",
                    format!("a fault of kind {:?} needs fault.of or fault.share", fault.kind),
                ));
            }
        }
        Ok(())
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
        self.fleet.workers.max(most.min(20_000))
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

    pub fn nature(&self) -> Nature {
        Nature {
            cold_share: self.fleet.cold_share,
            warm_up: span(self.fleet.warm_up_s),
            overload_factor: OVERLOAD_FACTOR,
            fall_window: FALL_WINDOW,
            crowding: self.fleet.crowding,
            fetch_s: self.fleet.fetch_s,
            archive: self.fleet.archive,
            dedup_window: DEDUP_WINDOW,
            progress: span(2.0),
        }
    }

    pub fn wish(&self) -> Wish {
        let class = |c: &Class| Asking { share: c.share, mean_s: c.mean_s, slots: c.slots };
        let tide = |t: &LoadTide| Tide { from: span(t.from_s), until: span(t.until_s), factor: t.factor };
        Wish {
            seed: self.seed,
            length: span(self.length_s),
            rate: self.load.rate,
            tides: self.load.tides.iter().map(tide).collect(),
            classes: self.classes.iter().map(class).collect(),
            sets: self.load.sets,
            skew: self.load.skew,
            hint_spread: self.load.hint_spread,
        }
    }

    pub fn rules(&self) -> Rules {
        let repeats = |class: &Class| match class.repeats {
            ClassRepeats::Safe => Repeats::Safe,
            ClassRepeats::Keyed => Repeats::Keyed { window: DEDUP_WINDOW },
            ClassRepeats::Unsafe => Repeats::Unsafe,
        };
        Rules {
            classes: self.classes.iter().map(repeats).collect(),
            slack: SLACK,
            stop_within: STOP_WITHIN,
            drain_grace: DRAIN_GRACE,
            fall_window: FALL_WINDOW,
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
        for (old, new, parts) in [
            ("count = 1", "count = 0", ["line 4", "nodes.count", "from 1 to 64"]),
            ("rate = 5.0", "rte = 5.0", ["line 7", "rte", "`rate`"]),
            ("rate = 5.0", "rate = 'much'", ["line 7", "load.rate", "f64"]),
            ("repeats = 'safe'", "repeats = 'often'", ["line 12", "repeats", "`keyed`"]),
            (
                "worth = 1.0",
                "worth = 1.0\n[[fault]]\nat_s = 1.0\nkind = 'slow'\nof = [0]",
                ["line 17", "slow", "fault.factor"],
            ),
            (
                "worth = 1.0",
                "worth = 1.0\n[[fault]]\nat_s = 1.0\nkind = 'kill'\nof = [10]",
                ["line 17", "10 workers", "from 0"],
            ),
            (
                "worth = 1.0",
                "worth = 1.0\n[[fault]]\nat_s = 9.0\nkind = 'reload'",
                ["line 17", "fault.at_s", "from 0 to 5"],
            ),
            (
                "worth = 1.0",
                "worth = 1.0\n[[fault]]\nat_s = 1.0\nkind = 'kill'",
                ["line 17", "fault.of", "fault.share"],
            ),
        ] {
            let text = GOOD.replace(old, new);
            let said = Scenario::parse(&text).expect_err(new);
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
