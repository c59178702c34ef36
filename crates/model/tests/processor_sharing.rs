//! Tests of processor sharing with fixed times.

use curlewusher_model::Timestamp;
use curlewusher_model::processor_sharing::ProcessorSharing;

#[test]
fn rate_changed_then_completion_time_changes_and_removed_task_returns_its_remaining_work() {
    let at = Timestamp::from_micros;
    let mut sharing = ProcessorSharing::new();
    sharing.set_rate(at(0), 1.0);
    sharing.add(at(0), 1, 2.0);
    sharing.add(at(0), 2, 1.0);
    assert_eq!(sharing.next_completion(), Some(at(1_000_000)));
    sharing.set_rate(at(500_000), 0.5);
    assert_eq!(sharing.next_completion(), Some(at(1_500_000)));
    assert_eq!((sharing.pop_completed(at(1_499_990)), sharing.pop_completed(at(1_500_000))), (None, Some(2)));
    assert_eq!(sharing.remove(at(1_500_000), 1), Some(1.0));
    assert!(sharing.is_empty() && sharing.next_completion().is_none());
}
