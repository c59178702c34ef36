//! The records that one process of a node writes for another, byte for byte, and what is refused of them.
//! `CURLEWUSHER_RECORD=1` writes the recorded files anew; the figures rest on the platform's `exp` and `ln`.

mod common;

use common::golden::assert_golden;
use common::*;
use curlewusher_core::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Job numbers from here on are those of the job that moves.
const MOVING: u64 = 100;

fn workers() -> Vec<Endpoint> {
    let cold = |id| if id == 3 { 9 * SECOND } else { 0 };
    (0..5)
        .map(|id| Endpoint {
            kind: KindId(id as u32 / 2 % 2),
            started_at: cold(id),
            zone: ZoneId(7),
            ..listing(id)
        })
        .collect()
}

/// A node whose workers have each something to tell: speeds, slots, keys, failures, a start, a return.
fn taught_node() -> Node {
    let mut node = Node::new(Settings { overload_factor: 30.0, ..settings() }, &workers());
    for job in 0..24 {
        let (key, slots) = (Some(1000 + job % 7), if job % 5 == 0 { 2.0 } else { 1.0 });
        let actions =
            node.tell(Event::JobSubmitted(JobSubmission { key, slots, ..offer(job, 0, 0.05, node.now) }));
        let worker = sent(&actions).expect("a free worker");
        node.pass(1_000);
        node.start(job, 0);
        node.pass(40_000 + 9_000 * worker);
        let outcome = match job {
            22 => Outcome::Unreachable,
            20 | 23 => Outcome::Error,
            _ => Outcome::Done,
        };
        node.end(job, 0, outcome);
        if outcome != Outcome::Done {
            node.pass(50_000);
            node.end(job, 1, Outcome::Done);
        }
    }
    for out in [true, false] {
        node.tell(Event::MaintenanceChanged { worker: WorkerId(4), disabled: out });
        node.pass(SECOND / 2);
    }
    node
}

/// The same with a job of two attempts that have ended and one that is half done.
fn node_with_moving_job() -> Node {
    let mut node = taught_node();
    let offered = JobSubmission { key: Some(77), slots: 2.0, ..offer(MOVING, 0, 0.4, node.now) };
    node.tell(Event::JobSubmitted(offered));
    for (attempt, outcome) in [(0, Outcome::Unreachable), (1, Outcome::Error)] {
        node.pass(20_000);
        node.end(MOVING, attempt, outcome);
    }
    node.pass(3_000);
    node.start(MOVING, 2);
    node.pass(100_000);
    node.tell(Event::AttemptProgressed { job: JobId(MOVING), attempt: 2, fraction_done: 0.5 });
    node
}

/// All objects in a value, each with a field put in that no record has.
fn with_unknown_fields(value: &Value) -> Vec<Value> {
    let inner = |make: &dyn Fn(Value) -> Value, value: &Value| -> Vec<Value> {
        with_unknown_fields(value).into_iter().map(make).collect()
    };
    match value {
        Value::Object(fields) => {
            let put = |name: &str, value| {
                let mut fields = fields.clone();
                fields.insert(name.to_owned(), value);
                Value::Object(fields)
            };
            let nested = fields.iter().flat_map(|(name, field)| inner(&|changed| put(name, changed), field));
            std::iter::once(put("unknown", Value::from(1))).chain(nested).collect()
        }
        Value::Array(items) => {
            let put = |at: usize, value| {
                let mut items = items.clone();
                items[at] = value;
                Value::Array(items)
            };
            items.iter().enumerate().flat_map(|(at, item)| inner(&|changed| put(at, changed), item)).collect()
        }
        _ => Vec::new(),
    }
}

/// Whether two values are the same but for rounding: `serde_json` reads a fraction to within a unit of its last place.
fn same_but_for_rounding(left: &Value, right: &Value) -> bool {
    match (left, right) {
        (Value::Number(left), Value::Number(right)) if left.is_f64() && right.is_f64() => {
            let bits = |number: &serde_json::Number| number.as_f64().map(f64::to_bits);
            bits(left).zip(bits(right)).is_some_and(|(left, right)| left.abs_diff(right) <= 1)
        }
        (Value::Array(left), Value::Array(right)) => {
            left.len() == right.len() && left.iter().zip(right).all(|(l, r)| same_but_for_rounding(l, r))
        }
        (Value::Object(left), Value::Object(right)) => {
            let same =
                |(name, field)| right.get(name).is_some_and(|other| same_but_for_rounding(field, other));
            left.len() == right.len() && left.iter().all(same)
        }
        _ => left == right,
    }
}

/// Holds a record against its file, and what is read of that against what was written. Of unknown fields none passes.
#[track_caller]
fn assert_record<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(name: &str, record: &T) {
    let written = serde_json::to_string(record).expect("it can be written");
    assert_golden(name, &format!("{written}\n"));
    let read: T = serde_json::from_str(&written).expect("it can be read");
    let value = serde_json::to_value(record).expect("it has a form");
    let again = serde_json::to_value(&read).expect("it has a form");
    assert!(same_but_for_rounding(&again, &value), "{again} was read from {value}");
    let changed = with_unknown_fields(&value);
    assert!(!changed.is_empty());
    for changed in changed {
        let error = serde_json::from_value::<T>(changed.clone()).expect_err("an unknown field");
        assert!(error.to_string().starts_with("unknown field `unknown`"), "{error}: {changed}");
    }
}

#[test]
fn learned_state_written_then_the_recorded_bytes() {
    let node = node_with_moving_job();
    assert_record("state_snapshot.json", &node.dispatcher.snapshot());
}

#[test]
fn learned_state_inherited_then_told_the_same_again() {
    let older = node_with_moving_job();
    let mut newer = Node::new(settings(), &workers());
    newer.now = older.now;
    newer.dispatcher.restore(newer.now, &older.dispatcher.snapshot());
    assert_eq!(newer.dispatcher.snapshot(), older.dispatcher.snapshot());
}

#[test]
fn job_released_then_the_recorded_bytes_and_adopted_the_same_again() {
    let mut older = node_with_moving_job();
    let moved = older.dispatcher.release_job(JobId(MOVING)).expect("an open job");
    assert_record("migrated_job.json", &moved);
    let mut newer = Node::new(settings(), &workers());
    newer.now = older.now;
    assert!(newer.dispatcher.adopt_job(newer.now, JobId(1), &moved, &mut Vec::new()));
    assert_eq!(newer.dispatcher.release_job(JobId(1)), Some(moved));
}

#[test]
fn outcomes_written_then_the_recorded_names() {
    let outcomes = [
        Outcome::Done,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::Unreachable,
        Outcome::Lost,
        Outcome::Cancelled,
        Outcome::NotSent,
    ];
    let written = serde_json::to_string(&outcomes).expect("it can be written");
    assert_golden("outcomes.json", &format!("{written}\n"));
    assert_eq!(serde_json::from_str::<[Outcome; 8]>(&written).expect("it can be read"), outcomes);
}
