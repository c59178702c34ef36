//! What operators can do on a site of a thousand core workers with long names.

use curlewusher_control::command::{AdminCommand, MAX_WORKER_ID_BYTES};
use curlewusher_control::frame::MAX_SNAPSHOT_BYTES;
use curlewusher_control::maintenance::DisabledWorkers;

const WORKERS: usize = 1024;

/// Names of a whole fleet, each of that length.
fn fleet(generation: usize, length: usize) -> Vec<String> {
    (0..WORKERS).map(|n| format!("s-{generation:04}-{n:04}{}", "x".repeat(length - 11))).collect()
}

/// Lists so many fleets, one after another, takes the last four out, and returns the record for a successor.
fn takes_out_all_of_the_last_four(generations: usize, length: usize) -> Vec<u8> {
    let mut bans = DisabledWorkers::default();
    let fleets: Vec<_> = (0..generations).map(|generation| fleet(generation, length)).collect();
    fleets.iter().for_each(|fleet| bans.record_listed(fleet.iter().map(String::as_str)));
    for name in fleets.iter().rev().take(4).flatten() {
        assert_eq!(bans.disable(name), Ok(()), "{name}");
    }
    let written = serde_json::to_vec(&bans).expect("it can be written");
    let mut newer = DisabledWorkers::default();
    newer.merge_predecessor(serde_json::from_slice(&written).expect("it can be read"));
    assert_eq!(newer.disabled().count(), 4 * WORKERS);
    written
}

#[test]
fn a_thousand_workers_that_are_replaced_many_times_can_all_be_taken_out() {
    // What was learned of the workers goes into the same frame: a thousand take up to a megabyte.
    let room = MAX_SNAPSHOT_BYTES - (1 << 20);
    assert!(takes_out_all_of_the_last_four(30, 11).len() < room);
    assert!(takes_out_all_of_the_last_four(7, 200).len() < room);
}

#[test]
fn the_longest_id_stands_in_a_line_of_the_longest_call() {
    let id = "x".repeat(MAX_WORKER_ID_BYTES.max(200));
    assert_eq!(AdminCommand::parse(format!("DISABLE {id}\r\n").as_bytes()), Ok(AdminCommand::Disable(id)));
}
