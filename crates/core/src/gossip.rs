//! The bytes in which nodes tell each other their own work at workers.

use crate::interface::WorkerId;

/// Bytes of one entry: the worker's number made short, work (64 times the root of its seconds), slots.
pub(crate) const ENTRY: usize = 4;
/// Bytes of a message at most, and the entries that fit.
pub(crate) const MOST_BYTES: usize = 256;
pub(crate) const MOST_ENTRIES: usize = MOST_BYTES / ENTRY;

/// A worker's number in two bytes. Among the few workers of a group they seldom meet.
pub(crate) fn short(worker: WorkerId) -> u16 {
    let id = worker.0;
    (id ^ id >> 16 ^ id >> 32 ^ id >> 48) as u16
}

/// Appends an entry.
pub(crate) fn write(data: &mut Vec<u8>, worker: WorkerId, work: f64, slots: f64) {
    data.extend(short(worker).to_le_bytes());
    data.extend([(64.0 * work.sqrt()).ceil() as u8, slots as u8]);
}

/// The entries of a message: worker, work in seconds, slots. What is not whole is passed over.
pub(crate) fn read(data: &[u8]) -> impl Iterator<Item = (u16, f64, f64)> {
    data.chunks_exact(ENTRY)
        .map(|e| (u16::from_le_bytes([e[0], e[1]]), (f64::from(e[2]) / 64.0).powi(2), f64::from(e[3])))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_written_is_read() {
        let mut data = Vec::new();
        write(&mut data, WorkerId(0x1234_5678_9abc_def0), 1.25, 3.0);
        write(&mut data, WorkerId(7), 1e9, 1e9);
        data.push(9);
        let entries: Vec<_> = read(&data).collect();
        assert_eq!(
            entries,
            [(short(WorkerId(0x1234_5678_9abc_def0)), 1.265625, 3.0), (7, 15.875_244_140_625, 255.0)]
        );
    }
}
