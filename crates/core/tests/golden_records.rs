//! Golden files of the records that one process of a node writes for its peer, compared byte for byte.
//! Records with unknown fields are rejected.
//!
//! `CURLEWUSHER_RECORD=1` writes the golden files. Their values depend on the `exp` and `ln` of the platform.

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

/// Returns a node whose records of its workers contain speeds, slots, keys, failures, a start and
/// maintenance.
fn node_with_observations() -> TestNode {
    let mut node = TestNode::new(Settings { overload_factor: 30.0, ..settings() }, &workers());
    for job in 0..24 {
        let (key, slots) = (Some(1000 + job % 7), if job % 5 == 0 { 2.0 } else { 1.0 });
        let submission = JobSubmission { key, slots, ..submission(job, 0, 0.05, node.now) };
        let actions = node.submit_job(submission);
        let worker = sent_to(&actions).expect("the job was not sent");
        node.advance(millis(1));
        node.start_attempt(job, 0);
        node.advance(millis(40 + 9 * worker));
        let outcome = match job {
            22 => Outcome::Unreachable,
            20 | 23 => Outcome::Error,
            _ => Outcome::Done,
        };
        node.end_attempt(job, 0, outcome);
        if outcome != Outcome::Done {
            node.advance(millis(50));
            node.end_attempt(job, 1, Outcome::Done);
        }
    }
    for disabled in [true, false] {
        node.set_disabled(4, disabled);
        node.advance(millis(500));
    }
    node
}

/// Returns [`node_with_observations`] with one more job, which has two ended attempts and one that is half
/// done.
fn node_with_migrated_job() -> TestNode {
    let mut node = node_with_observations();
    let submission = submission(MIGRATED_JOB, 0, 0.4, node.now);
    node.submit_job(JobSubmission { key: Some(77), slots: 2.0, ..submission });
    for (attempt, outcome) in [(0, Outcome::Unreachable), (1, Outcome::Error)] {
        node.advance(millis(20));
        node.end_attempt(MIGRATED_JOB, attempt, outcome);
    }
    node.advance(millis(3));
    node.start_attempt(MIGRATED_JOB, 2);
    node.advance(millis(100));
    node.handle(Event::AttemptProgressed { job: JobId(MIGRATED_JOB), attempt: 2, fraction_done: 0.5 });
    node
}

/// Returns the JSON pointers of all objects in a value.
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

/// Returns whether two values are equal except for rounding: `serde_json` reads a fraction with an error of
/// at most one unit in the last place.
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

/// Compares a record with its golden file, and the record with what is read back from the file. Requires that
/// unknown fields are rejected.
#[track_caller]
fn assert_record<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(name: &str, record: &T) {
    let written = serde_json::to_string(record).expect("serialization failed");
    assert_golden(name, &format!("{written}\n"));
    let read: T = serde_json::from_str(&written).expect("deserialization failed");
    let value = serde_json::to_value(record).expect("serialization failed");
    let reread = serde_json::to_value(&read).expect("serialization failed");
    assert!(is_equal_within_rounding(&reread, &value), "{reread} was read from {value}");
    let pointers = object_pointers(&value, "");
    assert!(!pointers.is_empty());
    for pointer in pointers {
        let mut changed = value.clone();
        changed.pointer_mut(&pointer).expect("the pointer does not name an object")["unknown"] =
            Value::from(1);
        let error = serde_json::from_value::<T>(changed.clone()).expect_err("an unknown field was accepted");
        assert!(error.to_string().starts_with("unknown field `unknown`"), "{error}: {changed}");
    }
}

#[test]
fn state_snapshot_is_written_then_its_bytes_are_as_recorded() {
    let node = node_with_migrated_job();
    assert_record("state_snapshot.json", &node.dispatcher.snapshot());
}

#[test]
fn state_snapshot_is_restored_then_the_next_snapshot_is_equal() {
    let predecessor = node_with_migrated_job();
    let mut successor = TestNode::new(settings(), &workers());
    successor.now = predecessor.now;
    successor.dispatcher.restore(successor.now, &predecessor.dispatcher.snapshot());
    assert_eq!(successor.dispatcher.snapshot(), predecessor.dispatcher.snapshot());
}

#[test]
fn job_is_released_then_its_bytes_are_as_recorded_and_it_is_adopted_unchanged() {
    let mut predecessor = node_with_migrated_job();
    let migrated = predecessor.dispatcher.release_job(JobId(MIGRATED_JOB)).expect("the job is not open");
    assert_record("migrated_job.json", &migrated);
    let mut successor = TestNode::new(settings(), &workers());
    successor.now = predecessor.now;
    assert!(successor.dispatcher.adopt_job(successor.now, JobId(1), &migrated, &mut Vec::new()));
    assert_eq!(successor.dispatcher.release_job(JobId(1)), Some(migrated));
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
    let written = serde_json::to_string(&outcomes).expect("serialization failed");
    assert_golden("outcomes.json", &format!("{written}\n"));
    assert_eq!(serde_json::from_str::<[Outcome; 8]>(&written).expect("deserialization failed"), outcomes);
}
