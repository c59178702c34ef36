//! The records that one process of a node writes for another, byte for byte; records with unknown fields are rejected.
//! `CURLEWUSHER_RECORD=1` writes the recorded files anew. Their figures depend on the platform's `exp` and `ln`.

mod common;

use common::golden::assert_golden;
use common::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

const MIGRATED_JOB: u64 = 100;

fn workers() -> Vec<Endpoint> {
    let mut workers = endpoints(5);
    for (index, worker) in workers.iter_mut().enumerate() {
        (worker.zone, worker.kind) = (ZoneId(7), KindId(index as u32 / 2 % 2));
    }
    workers[3].started_at = at(seconds(9));
    workers
}

/// A node whose record of each worker has speeds, slots, keys, failures, a start or maintenance.
fn node_with_observations() -> TestNode {
    let mut node = TestNode::new(Settings { overload_factor: 30.0, ..settings() }, &workers());
    for job in 0..24 {
        let (key, slots) = (Some(1000 + job % 7), if job % 5 == 0 { 2.0 } else { 1.0 });
        let submission = JobSubmission { key, slots, ..submission(job, 0, 0.05, node.now) };
        let actions = node.submit_job(submission);
        let worker = sent_to(&actions).expect("a free worker");
        node.advance(millis(1));
        node.start(job, 0);
        node.advance(millis(40 + 9 * worker));
        let outcome = match job {
            22 => Outcome::Unreachable,
            20 | 23 => Outcome::Error,
            _ => Outcome::Done,
        };
        node.end(job, 0, outcome);
        if outcome != Outcome::Done {
            node.advance(millis(50));
            node.end(job, 1, Outcome::Done);
        }
    }
    for disabled in [true, false] {
        node.set_disabled(4, disabled);
        node.advance(millis(500));
    }
    node
}

/// The same node with a job that has two attempts that have ended and one that is half done.
fn node_with_migrated_job() -> TestNode {
    let mut node = node_with_observations();
    let submission = submission(MIGRATED_JOB, 0, 0.4, node.now);
    node.submit_job(JobSubmission { key: Some(77), slots: 2.0, ..submission });
    for (attempt, outcome) in [(0, Outcome::Unreachable), (1, Outcome::Error)] {
        node.advance(millis(20));
        node.end(MIGRATED_JOB, attempt, outcome);
    }
    node.advance(millis(3));
    node.start(MIGRATED_JOB, 2);
    node.advance(millis(100));
    node.handle(Event::AttemptProgressed { job: JobId(MIGRATED_JOB), attempt: 2, fraction_done: 0.5 });
    node
}

/// JSON pointers of all objects in a value.
fn object_pointers(value: &Value, pointer: &str) -> Vec<String> {
    let nested = |(name, value): (String, &Value)| object_pointers(value, &format!("{pointer}/{name}"));
    match value {
        Value::Object(fields) => {
            let nested = fields.iter().map(|(name, field)| (name.clone(), field)).flat_map(nested);
            std::iter::once(pointer.to_owned()).chain(nested).collect()
        }
        Value::Array(items) => {
            items.iter().enumerate().map(|(index, item)| (index.to_string(), item)).flat_map(nested).collect()
        }
        _ => Vec::new(),
    }
}

/// Whether two values are equal except for rounding: `serde_json` reads a fraction to within a unit of its last place.
fn is_equal_within_rounding(left: &Value, right: &Value) -> bool {
    match (left, right) {
        (Value::Number(left), Value::Number(right)) if left.is_f64() && right.is_f64() => {
            let bits = |number: &serde_json::Number| number.as_f64().map(f64::to_bits);
            bits(left).zip(bits(right)).is_some_and(|(left, right)| left.abs_diff(right) <= 1)
        }
        (Value::Array(left), Value::Array(right)) => {
            left.len() == right.len()
                && left.iter().zip(right).all(|(item, other)| is_equal_within_rounding(item, other))
        }
        (Value::Object(left), Value::Object(right)) => {
            let is_equal =
                |(name, field)| right.get(name).is_some_and(|other| is_equal_within_rounding(field, other));
            left.len() == right.len() && left.iter().all(is_equal)
        }
        _ => left == right,
    }
}

/// Compares a record with its file, and what is read from the file with the record. Unknown fields must be rejected.
#[track_caller]
fn assert_record<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(name: &str, record: &T) {
    let written = serde_json::to_string(record).expect("JSON");
    assert_golden(name, &format!("{written}\n"));
    let read: T = serde_json::from_str(&written).expect("a record");
    let value = serde_json::to_value(record).expect("JSON");
    let again = serde_json::to_value(&read).expect("JSON");
    assert!(is_equal_within_rounding(&again, &value), "{again} was read from {value}");
    let pointers = object_pointers(&value, "");
    assert!(!pointers.is_empty());
    for pointer in pointers {
        let mut changed = value.clone();
        changed.pointer_mut(&pointer).expect("an object")["unknown"] = Value::from(1);
        let error = serde_json::from_value::<T>(changed.clone()).expect_err("an unknown field");
        assert!(error.to_string().starts_with("unknown field `unknown`"), "{error}: {changed}");
    }
}

#[test]
fn state_snapshot_is_written_then_its_bytes_are_as_recorded() {
    let node = node_with_migrated_job();
    assert_record("state_snapshot.json", &node.dispatcher.snapshot());
}

#[test]
fn state_snapshot_is_restored_then_the_next_one_is_equal() {
    let older = node_with_migrated_job();
    let mut newer = TestNode::new(settings(), &workers());
    newer.now = older.now;
    newer.dispatcher.restore(newer.now, &older.dispatcher.snapshot());
    assert_eq!(newer.dispatcher.snapshot(), older.dispatcher.snapshot());
}

#[test]
fn job_is_released_then_its_bytes_are_as_recorded_and_it_is_adopted_unchanged() {
    let mut older = node_with_migrated_job();
    let migrated = older.dispatcher.release_job(JobId(MIGRATED_JOB)).expect("an open job");
    assert_record("migrated_job.json", &migrated);
    let mut newer = TestNode::new(settings(), &workers());
    newer.now = older.now;
    assert!(newer.dispatcher.adopt_job(newer.now, JobId(1), &migrated, &mut Vec::new()));
    assert_eq!(newer.dispatcher.release_job(JobId(1)), Some(migrated));
}

#[test]
fn outcomes_are_written_then_their_names_are_as_recorded() {
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
    let written = serde_json::to_string(&outcomes).expect("JSON");
    assert_golden("outcomes.json", &format!("{written}\n"));
    assert_eq!(serde_json::from_str::<[Outcome; 8]>(&written).expect("a record"), outcomes);
}
