//! Tests of the endpoint registry with fixed times.

use curlewusher_model::endpoint_registry::{EndpointEntry, EndpointRegistry, EndpointStatus, Publication};
use curlewusher_model::{TimeSpan, Timestamp};

#[test]
fn changes_recorded_then_published_once_in_order_after_the_delay_and_unknown_index_returns_none() {
    let mut registry = EndpointRegistry::new(0..3, TimeSpan::from_millis(1));
    let entry = |worker, status| EndpointEntry { worker, status, started_at: None };
    registry.record_change(Timestamp::from_micros(10), entry(1, EndpointStatus::Terminating));
    registry.record_change(Timestamp::from_micros(20), entry(1, EndpointStatus::Terminated));
    assert_eq!(registry.publish(Timestamp::from_micros(1_000)), Publication { index: 1, entries: vec![] });
    assert_eq!(registry.publish(Timestamp::from_micros(1_020)).index, 3);
    assert_eq!(registry.publish(Timestamp::from_micros(2_000)), Publication { index: 3, entries: vec![] });
    assert_eq!(registry.snapshot().len(), 2);
    assert_eq!(registry.changes_since(1), Some(vec![entry(1, EndpointStatus::Terminated)]));
    let [newest, unknown, zero] = [3, 9, 0].map(|index| registry.changes_since(index));
    assert_eq!((newest, unknown, zero), (Some(vec![]), None, None));
}
