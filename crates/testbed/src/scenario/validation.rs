//! Validation of a scenario: ranges of numbers, names of classes, and requirements of faults.

use super::error::{InvalidField, Problem};
use super::{Class, Fault, FaultKind, MAX_SIGTERM_DELAY_S, Scenario};

/// Maximum number of workers in a scenario.
const MAX_WORKERS: usize = 10_000;
/// Maximum length of the body of a request, in bytes, as in the nodes.
const MAX_BODY_BYTES: f64 = 65_536.0;
/// Maximum time in which an ordinary client writes a request, in seconds.
const MAX_WRITE_TIME_S: f64 = 2.0;
/// Maximum duration of an upgrade in excess of its maximum delay, in seconds. The successor is ready within
/// 6 s, the predecessor is killed 3.7 s after SIGTERM, and the starts of the processes take a short time.
const UPGRADE_MARGIN_S: f64 = 10.0;

/// Number in a field, with its valid range.
struct BoundedValue {
    table: &'static str,
    /// Index of the table among the tables of the same name.
    index: usize,
    field: &'static str,
    value: f64,
    min: f64,
    max: f64,
}

impl BoundedValue {
    /// Creates a value in a table that exists once.
    fn in_single_table(table: &'static str, field: &'static str, value: f64, min: f64, max: f64) -> Self {
        BoundedValue { table, index: 0, field, value, min, max }
    }

    fn check(&self) -> Result<(), InvalidField> {
        let BoundedValue { table, index, field, value, min, max } = *self;
        if (min..=max).contains(&value) {
            return Ok(());
        }
        Err(InvalidField { table, index, field, problem: Problem::OutOfRange { value, min, max } })
    }
}

/// Table of a list of tables. Creates the values of the table, with its name and index.
struct IndexedTable {
    table: &'static str,
    index: usize,
}

impl IndexedTable {
    fn bounded_value(&self, field: &'static str, value: f64, min: f64, max: f64) -> BoundedValue {
        BoundedValue { table: self.table, index: self.index, field, value, min, max }
    }
}

impl Scenario {
    /// Checks all fields. Returns an error for the first field that is out of its range or that contradicts
    /// another.
    pub(super) fn validate(&self) -> Result<(), InvalidField> {
        let mut values = self.single_values();
        values.extend(self.long_body_values());
        values.extend(self.machine_kind_values());
        values.extend(self.load_curve_values());
        values.extend(self.class_values());
        values.extend(self.fault_values());
        values.iter().try_for_each(BoundedValue::check)?;
        self.validate_class_names()?;
        self.faults.iter().enumerate().try_for_each(|(index, fault)| self.validate_fault(index, fault))
    }

    /// Returns the values of the fields that exist once.
    fn single_values(&self) -> Vec<BoundedValue> {
        let Scenario { nodes, fleet, load, .. } = self;
        vec![
            BoundedValue::in_single_table("", "length_s", self.length_s, 0.5, 86_400.0),
            BoundedValue::in_single_table("nodes", "count", nodes.count as f64, 1.0, 64.0),
            BoundedValue::in_single_table("nodes", "descriptors", nodes.descriptors as f64, 64.0, 65_536.0),
            BoundedValue::in_single_table("fleet", "workers", fleet.workers as f64, 1.0, MAX_WORKERS as f64),
            BoundedValue::in_single_table("fleet", "bays", fleet.bays as f64, 1.0, 1_000.0),
            BoundedValue::in_single_table("fleet", "kinds", fleet.kinds.len() as f64, 1.0, 64.0),
            BoundedValue::in_single_table("fleet", "queue", fleet.queue as f64, 0.0, 1e6),
            BoundedValue::in_single_table("fleet", "sets_kept", fleet.cached_sets as f64, 1.0, 1e6),
            BoundedValue::in_single_table("fleet", "fetch_s", fleet.fetch_s, 0.0, 3_600.0),
            BoundedValue::in_single_table("fleet", "archive", fleet.archive_concurrency, 0.1, 1e6),
            BoundedValue::in_single_table("fleet", "crowding", fleet.contention_penalty, 0.0, 100.0),
            BoundedValue::in_single_table("fleet", "cold_share", fleet.initial_capacity_fraction, 0.01, 1.0),
            BoundedValue::in_single_table("fleet", "warm_up_s", fleet.warm_up_s, 0.0, 3_600.0),
            BoundedValue::in_single_table("fleet", "list_late_s", fleet.publication_delay_s, 0.0, 5.0),
            BoundedValue::in_single_table("fleet", "list_call_s", fleet.discovery_call_s, 0.0, 2.0),
            BoundedValue::in_single_table("load", "rate", load.rate, 0.1, 100_000.0),
            BoundedValue::in_single_table("load", "sets", load.sets as f64, 1.0, 1e9),
            BoundedValue::in_single_table("load", "skew", load.skew, 0.0, 10.0),
            BoundedValue::in_single_table("load", "hint_spread", load.hint_spread, 0.0, 5.0),
            BoundedValue::in_single_table("load", "retries", f64::from(load.retries), 0.0, 100.0),
            BoundedValue::in_single_table("load", "new_connections", load.new_connections, 0.0, 1.0),
            BoundedValue::in_single_table(
                "load",
                "split.share",
                load.split.map_or(0.0, |split| split.share),
                0.0,
                1.0,
            ),
            BoundedValue::in_single_table(
                "load",
                "split.pause_s",
                load.split.map_or(0.0, |split| split.pause_s),
                0.0,
                60.0,
            ),
            BoundedValue::in_single_table(
                "nodes",
                "memory_mb",
                f64::from(nodes.memory_limit_mb()),
                16.0,
                65_536.0,
            ),
            BoundedValue::in_single_table("load", "pipelined", load.pipelined.unwrap_or(0.0), 0.0, 1.0),
            BoundedValue::in_single_table("load", "retry_wait_s", load.retry_wait_s, 0.0, 3_600.0),
            BoundedValue::in_single_table("", "class", self.classes.len() as f64, 1.0, 64.0),
        ]
    }

    fn long_body_values(&self) -> impl Iterator<Item = BoundedValue> {
        let values = |field, value, min, max| BoundedValue::in_single_table("load", field, value, min, max);
        self.load.long_bodies.into_iter().flat_map(move |long| {
            [
                values("long_bodies.share", long.share, 0.0, 1.0),
                values("long_bodies.bytes", long.bytes as f64, 1.0, MAX_BODY_BYTES),
                values("long_bodies.piece_bytes", long.piece_bytes as f64, 1.0, MAX_BODY_BYTES),
                values("long_bodies.written_in_s", long.written_in_s, 0.0, MAX_WRITE_TIME_S),
            ]
        })
    }

    /// Returns the values of the kinds of machines. Errors of all of them name the field `kinds`, because the
    /// kinds may be written in one line.
    fn machine_kind_values(&self) -> impl Iterator<Item = BoundedValue> {
        let values = |value, min, max| BoundedValue::in_single_table("fleet", "kinds", value, min, max);
        self.fleet.kinds.iter().flat_map(move |kind| {
            [
                values(kind.cores, 0.1, 1_000.0),
                values(kind.speed, 0.01, 100.0),
                values(f64::from(kind.slots), 1.0, 1_000.0),
                values(kind.parts as f64, 1.0, 1_000.0),
            ]
        })
    }

    fn load_curve_values(&self) -> impl Iterator<Item = BoundedValue> {
        self.load.load_curve.iter().enumerate().flat_map(|(index, segment)| {
            let table = IndexedTable { table: "load.tide", index };
            [
                table.bounded_value("from_s", segment.from_s, 0.0, self.length_s),
                table.bounded_value("until_s", segment.until_s, segment.from_s, self.length_s),
                table.bounded_value("factor", segment.factor, 0.0, 1_000.0),
            ]
        })
    }

    fn class_values(&self) -> impl Iterator<Item = BoundedValue> {
        self.classes.iter().enumerate().flat_map(|(index, class)| {
            let table = IndexedTable { table: "class", index };
            [
                table.bounded_value("share", class.share, 1e-6, 1e6),
                table.bounded_value("mean_s", class.mean_s, 0.001, 3_600.0),
                table.bounded_value("slots", f64::from(class.slots), 1.0, 64.0),
                table.bounded_value("aim_s", class.objective_s, 0.0, 3_600.0),
                table.bounded_value("stretch", class.stretch, 0.0, 1_000.0),
                table.bounded_value("give_up_s", class.timeout_s, 0.1, 3_600.0),
                table.bounded_value("worth", class.priority_weight, 0.0, 1e6),
            ]
        })
    }

    fn fault_values(&self) -> impl Iterator<Item = BoundedValue> {
        self.faults.iter().enumerate().flat_map(|(index, fault)| {
            let table = IndexedTable { table: "fault", index };
            let begin = table.bounded_value("at_s", fault.at_s, 0.0, self.length_s);
            let values = [
                Some(begin),
                fault.for_s.map(|value| table.bounded_value("for_s", value, 0.0, 86_400.0)),
                fault.share.map(|value| table.bounded_value("share", value, 0.0, 1.0)),
                fault.factor.map(|value| table.bounded_value("factor", value, 1.0, 1_000.0)),
                fault.delay_s.map(|value| table.bounded_value("delay_s", value, 0.0, MAX_SIGTERM_DELAY_S)),
            ];
            values.into_iter().flatten()
        })
    }

    fn validate_class_names(&self) -> Result<(), InvalidField> {
        for (index, class) in self.classes.iter().enumerate() {
            let invalid = |problem| InvalidField { table: "class", index, field: "name", problem };
            if !has_valid_name(class) {
                return Err(invalid(Problem::InvalidClassName));
            }
            if self.classes[..index].iter().any(|earlier| earlier.name == class.name) {
                return Err(invalid(Problem::DuplicateClassName));
            }
        }
        Ok(())
    }

    fn validate_fault(&self, index: usize, fault: &Fault) -> Result<(), InvalidField> {
        let invalid = |field, problem| Err(InvalidField { table: "fault", index, field, problem });
        if let Some(problem) = self.unknown_target(fault) {
            return invalid("of", problem);
        }
        if let Some(problem) = factor_problem(fault) {
            return invalid("factor", problem);
        }
        let needs_duration = matches!(
            fault.kind,
            FaultKind::NodeDrain | FaultKind::Maintenance | FaultKind::NodePause | FaultKind::IdleClients
        );
        if needs_duration && fault.for_s.is_none() {
            return invalid("for_s", Problem::MissingDuration);
        }
        if fault.delay_s.is_some() && !fault.kind.is_upgrade() {
            return invalid("delay_s", Problem::UnexpectedDelay);
        }
        if fault.victim.is_some() && fault.kind != FaultKind::KillInUpgrade {
            return invalid("whom", Problem::UnexpectedVictim);
        }
        if let Some(other) = self.overlapping_upgrade(index, fault) {
            return invalid("at_s", Problem::OverlappingUpgrade { free_at_s: upgrade_end_s(other) });
        }
        let may_target_all = matches!(
            fault.kind,
            FaultKind::DiscoveryDown
                | FaultKind::DiscoverySlow
                | FaultKind::DiscoveryLinesLate
                | FaultKind::Reload
        );
        let has_share = fault.share.is_some() && fault.kind != FaultKind::Grow;
        if !may_target_all && fault.targets.is_empty() && !has_share {
            return invalid("of", Problem::MissingTargets { kind: fault.kind });
        }
        Ok(())
    }

    fn unknown_target(&self, fault: &Fault) -> Option<Problem> {
        let (count, targets) = match fault.kind {
            kind if kind.targets_nodes() => (self.nodes.count, "nodes"),
            // A fault of this kind creates its targets.
            FaultKind::Grow => (MAX_WORKERS, "places for workers"),
            _ => (self.worker_count(), "workers"),
        };
        let target = *fault.targets.iter().find(|target| **target >= count)?;
        Some(Problem::UnknownTarget { target, count, targets })
    }

    /// Returns another upgrade of the same node that may not have ended when this one begins.
    fn overlapping_upgrade(&self, index: usize, fault: &Fault) -> Option<&Fault> {
        let overlaps = |other: &Fault| {
            let are_upgrades = fault.kind.is_upgrade() && other.kind.is_upgrade();
            let targets = self.targets_of(fault);
            let share_target = self.targets_of(other).iter().any(|node| targets.contains(node));
            let duration_s = other.delay_s.unwrap_or(MAX_SIGTERM_DELAY_S) + UPGRADE_MARGIN_S;
            are_upgrades && share_target && other.at_s <= fault.at_s && fault.at_s < other.at_s + duration_s
        };
        let mut others = self.faults.iter().enumerate().filter(|(other, _)| *other != index);
        others.find(|(_, other)| overlaps(other)).map(|(_, other)| other)
    }
}

fn upgrade_end_s(upgrade: &Fault) -> f64 {
    upgrade.at_s + upgrade.delay_s.unwrap_or(MAX_SIGTERM_DELAY_S) + UPGRADE_MARGIN_S
}

fn has_valid_name(class: &Class) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
    !class.name.is_empty() && class.name.bytes().all(is_allowed)
}

fn factor_problem(fault: &Fault) -> Option<Problem> {
    match fault.factor {
        None if fault.kind.needs_factor() => Some(Problem::MissingFactor),
        Some(_) if !fault.kind.needs_factor() => Some(Problem::UnexpectedFactor),
        None | Some(_) => None,
    }
}
