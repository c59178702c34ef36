//! Tests of the wire format of gossip.

use super::*;

#[test]
fn entries_are_written_then_read_values_are_rounded_and_clamped() {
    let long_id = WorkerId(0x1234_5678_9abc_def0);
    let mut message = Vec::new();
    append_entry(&mut message, long_id, 1.25, 3.0);
    append_entry(&mut message, WorkerId(7), 1e9, 1e9);
    message.push(9);
    let entries: Vec<_> = read_entries(&message).collect();
    assert_eq!(
        entries,
        [
            GossipEntry { worker_hash: hash_worker_id(long_id), work: 1.265_625, slots: 3.0 },
            GossipEntry { worker_hash: 7, work: 15.875_244_140_625, slots: 255.0 },
        ]
    );
}
