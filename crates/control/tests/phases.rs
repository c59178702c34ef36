//! Invariants of the transition table of phases, checked with random sequences of events.

use curlewusher_control::phase::{Phase, PhaseEvent};
use proptest::prelude::*;

fn phase_events() -> impl Strategy<Value = PhaseEvent> {
    prop::sample::select(vec![
        PhaseEvent::EndpointsAvailable,
        PhaseEvent::Drain,
        PhaseEvent::Undrain,
        PhaseEvent::HandedOver,
        PhaseEvent::RolledBack,
        PhaseEvent::Terminate,
        PhaseEvent::ShutdownCompleted,
    ])
}

proptest! {
    /// The latest of DRAIN and UNDRAIN stays in effect, and a shutdown is never reversed. A node accepts new
    /// clients if and only if it is not drained and this process or its successor has an endpoint list.
    #[test]
    fn events_in_any_order_then_phases_keep_their_invariants(
        events in prop::collection::vec(phase_events(), 0..40),
    ) {
        let mut phase = Phase::Starting { drained: false };
        let (mut drained, mut has_endpoints) = (false, false);
        for event in events {
            let before = phase;
            phase = phase.next(event).unwrap_or(phase);
            if before.is_shutting_down() {
                prop_assert!(phase.is_shutting_down());
                continue;
            }
            match event {
                PhaseEvent::Drain => drained = true,
                PhaseEvent::Undrain => drained = false,
                PhaseEvent::EndpointsAvailable | PhaseEvent::HandedOver => has_endpoints = true,
                PhaseEvent::RolledBack | PhaseEvent::Terminate | PhaseEvent::ShutdownCompleted => {}
            }
            prop_assert_eq!(phase.is_shutting_down(), event == PhaseEvent::Terminate);
            if !phase.is_shutting_down() {
                prop_assert_eq!(phase.is_drained(), drained, "{:?} after {:?}", phase, event);
                prop_assert_eq!(phase.accepts_new_clients(), has_endpoints && !drained);
            }
        }
    }
}

#[test]
fn each_phase_then_clients_are_accepted_or_redirected_unless_it_is_starting() {
    for phase in Phase::ALL {
        assert!(
            phase.accepts_new_clients()
                || phase.redirects_clients()
                || phase == Phase::Starting { drained: false }
        );
        assert!(phase.next(PhaseEvent::Terminate).is_some() != phase.is_shutting_down());
        assert!(!phase.operator_advice().is_empty());
    }
}
