//! Sizes that a site of a thousand workers with long names reaches, against the bounds of commands and
//! frames.

use curlewusher_control::command::{AdminCommand, MAX_WORKER_ID_BYTES};
use curlewusher_control::frame::MAX_SNAPSHOT_BYTES;
use curlewusher_control::maintenance::DisabledWorkers;

const WORKERS: usize = 1024;

/// Names of all workers of one generation, each of `length` bytes.
fn worker_names(generation: usize, length: usize) -> Vec<String> {
    (0..WORKERS).map(|n| format!("s-{generation:04}-{n:04}{}", "x".repeat(length - 11))).collect()
}

/// Lists that many generations of workers one after another, disables the last four, and returns the record
/// that a successor receives.
fn disable_last_four_generations(generations: usize, length: usize) -> Vec<u8> {
    let mut workers = DisabledWorkers::default();
    let fleets: Vec<_> = (0..generations).map(|generation| worker_names(generation, length)).collect();
    for fleet in &fleets {
        workers.record_listed(fleet.iter().map(String::as_str));
    }
    for name in fleets.iter().rev().take(4).flatten() {
        assert_eq!(workers.disable(name), Ok(()), "{name}");
    }
    let record = serde_json::to_vec(&workers).expect("serializable");
    let mut successor = DisabledWorkers::default();
    successor.merge_predecessor(&serde_json::from_slice(&record).expect("deserializable"));
    assert_eq!(successor.disabled().count(), 4 * WORKERS);
    record
}

#[test]
fn thousand_workers_replaced_many_times_then_all_can_be_disabled_and_fit_into_a_snapshot() {
    // The state of the workers goes into the same frame: a thousand workers take up to a megabyte.
    let max_record_bytes = MAX_SNAPSHOT_BYTES - (1 << 20);
    assert!(disable_last_four_generations(30, 11).len() < max_record_bytes);
    assert!(disable_last_four_generations(7, 200).len() < max_record_bytes);
}

#[test]
fn longest_worker_id_then_it_fits_into_a_command_line() {
    let id = "x".repeat(MAX_WORKER_ID_BYTES.max(200));
    assert_eq!(AdminCommand::parse(format!("DISABLE {id}\r\n").as_bytes()), Ok(AdminCommand::Disable(id)));
}
