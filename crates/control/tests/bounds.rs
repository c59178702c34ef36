//! Limits of commands and frames, compared with the sizes at a site of a thousand workers with long names.

use curlewusher_control::command::{AdminCommand, MAX_WORKER_ID_BYTES};
use curlewusher_control::frame::MAX_SNAPSHOT_BYTES;
use curlewusher_control::maintenance::DisabledWorkers;

const WORKERS: usize = 1024;

/// Returns the names of all workers of one generation, each `length` bytes long.
fn worker_names(generation: usize, length: usize) -> Vec<String> {
    (0..WORKERS).map(|index| format!("s-{generation:04}-{index:04}{}", "x".repeat(length - 11))).collect()
}

/// Lists the given number of generations of workers one after another, disables the last four, and returns
/// the record that a successor receives.
fn disable_last_four_generations(generations: usize, length: usize) -> Vec<u8> {
    let mut workers = DisabledWorkers::default();
    let worker_generations: Vec<_> =
        (0..generations).map(|generation| worker_names(generation, length)).collect();
    for names in &worker_generations {
        workers.record_listed(names.iter().map(String::as_str));
    }
    for name in worker_generations.iter().rev().take(4).flatten() {
        assert_eq!(workers.disable(name), Ok(()), "{name}");
    }
    let record = serde_json::to_vec(&workers).expect("the value can be serialized");
    let mut successor = DisabledWorkers::default();
    successor.merge_predecessor(&serde_json::from_slice(&record).expect("the value can be deserialized"));
    assert_eq!(successor.disabled().count(), 4 * WORKERS);
    record
}

#[test]
fn thousand_workers_replaced_many_times_then_all_can_be_disabled_and_fit_into_a_snapshot() {
    // The frame also contains the state of the workers, which takes up to a megabyte for a thousand workers.
    let max_record_bytes = MAX_SNAPSHOT_BYTES - (1 << 20);
    assert!(disable_last_four_generations(30, 11).len() < max_record_bytes);
    assert!(disable_last_four_generations(7, 200).len() < max_record_bytes);
}

#[test]
fn longest_worker_id_then_it_fits_into_a_command_line() {
    let id = "x".repeat(MAX_WORKER_ID_BYTES.max(200));
    assert_eq!(AdminCommand::parse(format!("DISABLE {id}\r\n").as_bytes()), Ok(AdminCommand::Disable(id)));
}
