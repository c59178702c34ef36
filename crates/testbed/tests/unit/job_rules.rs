//! Tests of the rules on jobs with short sequences of events, each with its time in microseconds.

use curlewusher_model::TimeSpan;

use super::*;
use crate::event_log::{Event, FailureReason, Record};
use crate::rules::{RetryPolicy, Rule, RuleParameters};

fn parameters() -> RuleParameters {
    let classes = vec![
        RetryPolicy::Idempotent,
        RetryPolicy::IdempotentWithKey { window: TimeSpan::from_secs(40) },
        RetryPolicy::NonIdempotent,
    ];
    RuleParameters {
        response_tolerance: TimeSpan::from_millis(50),
        max_notification_delay: TimeSpan::from_secs(6),
        classes,
        tolerance: TimeSpan::from_millis(50),
        max_stop_delay: TimeSpan::from_millis(750),
        drain_grace: TimeSpan::from_millis(700),
        close_race_tolerance: TimeSpan::from_millis(200),
        overload_window: TimeSpan::from_secs(2),
        successor_grace: TimeSpan::from_secs(2),
    }
}

fn sent(at: u64, class: usize) -> (u64, Event) {
    let id = "r".to_owned();
    (
        at,
        Event::RequestSent {
            id,
            job: 0,
            node: 0,
            class,
            timeout: TimeSpan::from_secs(1),
            delay: TimeSpan::ZERO,
        },
    )
}

fn responded(at: u64, status: u16) -> (u64, Event) {
    (at, Event::ResponseReceived { id: "r".into(), status, has_own_result: true })
}

fn arrived(at: u64, attempt: u64, cell: u32) -> (u64, Event) {
    let worker = attempt as usize;
    (
        at,
        Event::AttemptArrived {
            attempt,
            id: "r".into(),
            node: 0,
            worker,
            bay: cell,
            work_seconds: 1.0,
            head_at: Timestamp::from_micros(at),
        },
    )
}

fn broken_rules(events: &[(u64, Event)]) -> Vec<Rule> {
    let records: Vec<_> = events
        .iter()
        .map(|(at, event)| Record { at: Timestamp::from_micros(*at), event: event.clone() })
        .collect();
    check(&records, &parameters()).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn missing_response_then_violation_unless_the_node_was_killed_or_the_request_came_late_in_a_drain() {
    let exited = |at, killed| (at, Event::NodeExited { node: 0, killed });
    let sigterm = |at| (at, Event::NodeTerminated { node: 0 });
    let failed =
        |reason| (900_000, Event::RequestFailed { id: "r".into(), reason, on_new_connection: false });
    for (events, broken) in [
        (vec![sent(0, 0), responded(1_050_000, 200)], false),
        (vec![sent(0, 0), responded(1_050_001, 200)], true),
        (vec![sent(0, 0), responded(1, 502), responded(2, 200)], true),
        (vec![sent(0, 0), failed(FailureReason::Closed)], true),
        (vec![sent(0, 0)], true),
        (vec![sent(0, 0), failed(FailureReason::Unreachable)], false),
        (vec![sent(0, 0), exited(500_000, true), failed(FailureReason::Closed)], false),
        (vec![exited(0, true), sent(100, 0), failed(FailureReason::Closed)], true),
        (vec![sigterm(0), sent(700_001, 0), exited(800_000, false), failed(FailureReason::Closed)], false),
        (vec![sigterm(0), sent(700_000, 0), exited(800_000, false), failed(FailureReason::Closed)], true),
    ] {
        assert_eq!(!broken_rules(&events).is_empty(), broken, "{events:?}");
    }
}

#[test]
fn request_races_with_a_connection_close_then_violation_unless_just_sent_and_never_forwarded() {
    let failed = |at, on_new_connection| {
        (at, Event::RequestFailed { id: "r".into(), reason: FailureReason::Closed, on_new_connection })
    };
    let sigterm = (0, Event::NodeTerminated { node: 0 });
    let exited = (1_500_000, Event::NodeExited { node: 0, killed: false });
    let idle_clients = |present| (0, Event::IdleClients { node: 0, present });
    let cases = [
        // Time from the first byte to the close: 0.15 s on a reused connection, 0.8 s on a reused connection,
        // and 0.15 s on a new connection.
        (vec![sigterm.clone(), sent(800_000, 0), failed(950_000, false), exited.clone()], false),
        (vec![sigterm.clone(), sent(800_000, 0), failed(1_600_000, false), exited.clone()], true),
        (vec![sigterm.clone(), sent(800_000, 0), failed(950_000, true), exited.clone()], true),
        // An attempt of the request arrived at a worker.
        (
            vec![sigterm.clone(), sent(800_000, 0), arrived(810_000, 1, 0), failed(950_000, false), exited],
            true,
        ),
        // Idle clients occupy the node's descriptors. In the last case, they disconnect before the request.
        (vec![idle_clients(true), sent(800_000, 0), failed(950_000, true)], false),
        (vec![idle_clients(true), sent(800_000, 0), failed(1_600_000, true)], true),
        (vec![idle_clients(true), idle_clients(false), sent(800_000, 0), failed(950_000, true)], true),
    ];
    for (events, is_violation) in cases {
        let expected: &[Rule] = if is_violation { &[Rule::OneAnswer] } else { &[] };
        assert_eq!(broken_rules(&events), expected, "{events:?}");
    }
}

#[test]
fn retry_then_violation_unless_the_class_allows_it_and_no_attempt_is_outstanding() {
    let (lost, returned) =
        (|attempt| (1, Event::AttemptLost { attempt }), |attempt| (1, Event::AttemptReturned { attempt }));
    for (class, end, cell, at, broken) in [
        (0, Some(lost(1)), 2, 2, false),
        (0, None, 1, 2, true),
        (1, Some(lost(1)), 1, 2, false),
        (1, Some(lost(1)), 2, 2, true),
        (1, Some(returned(1)), 2, 2, false),
        (1, Some(lost(1)), 1, 40_050_002, true),
        (2, Some(lost(1)), 1, 2, true),
        (2, Some(returned(1)), 2, 2, false),
    ] {
        let mut events = vec![sent(0, class), arrived(1, 1, 1)];
        events.extend(end.clone());
        events.extend([arrived(at, 2, cell), responded(900_000, 200)]);
        assert_eq!(broken_rules(&events), if broken { vec![Rule::OneEffect] } else { vec![] }, "{events:?}");
    }
    // A rejection states that a resubmission is safe.
    for (class, end, broken) in
        [(0, lost(1), false), (1, lost(1), true), (2, lost(1), true), (2, returned(1), false)]
    {
        let events = [sent(0, class), arrived(1, 1, 1), end, responded(9, 503)];
        assert_eq!(broken_rules(&events), if broken { vec![Rule::OneEffect] } else { vec![] }, "{events:?}");
    }
}

#[test]
fn connection_lost_in_an_upgrade_then_violation_unless_unread_or_its_process_was_killed() {
    let failed = |at, reason| (at, Event::RequestFailed { id: "r".into(), reason, on_new_connection: false });
    let began = (5, Event::UpgradeBegan { node: 0 });
    let ended = |at| (at, Event::UpgradeEnded { node: 0 });
    let killed = (200_000, Event::ProcessExited { node: 0, is_successor: false, killed: true });
    for (events, broken) in [
        (vec![began.clone(), sent(9, 2), failed(99, FailureReason::Reset)], false),
        (vec![began.clone(), sent(9, 2), failed(99, FailureReason::Closed)], true),
        (vec![began.clone(), sent(9, 2), arrived(20, 1, 1), failed(99, FailureReason::Reset)], true),
        (vec![began.clone(), ended(7), sent(9, 2), failed(500_007, FailureReason::Reset)], false),
        (vec![began.clone(), ended(7), sent(9, 2), failed(500_008, FailureReason::Reset)], true),
        (vec![began.clone(), sent(9, 2), arrived(20, 1, 1), killed.clone()], true),
        (vec![began.clone(), sent(9, 2), killed.clone(), failed(200_100, FailureReason::Closed)], false),
        (vec![began.clone(), sent(9, 2), killed.clone(), failed(900_000, FailureReason::Closed)], true),
        (vec![began, sent(9, 2), killed, failed(900_000, FailureReason::Late)], true),
    ] {
        assert_eq!(!broken_rules(&events).is_empty(), broken, "{events:?}");
    }
}

#[test]
fn successor_sends_to_a_drained_worker_then_violation_only_after_its_grace() {
    let endpoint =
        (100_000, Event::EndpointSent { node: 0, worker: 1, in_service: false, started_at: Timestamp::ZERO });
    let began = |at| (at, Event::UpgradeBegan { node: 0 });
    let ready = (200_000, Event::SuccessorReady { node: 0 });
    for (events, at, broken) in [
        (vec![began(5), endpoint.clone(), ready.clone()], 3_000_000, false),
        (vec![began(5), endpoint.clone(), ready.clone()], 3_000_001, true),
        (vec![endpoint.clone(), began(150_000), ready.clone()], 950_000, true),
        (vec![began(5), endpoint], 9_000_000, false),
    ] {
        let last = [(at, sent(0, 0).1), arrived(at, 1, 1), responded(at + 9, 200)];
        let events: Vec<_> = events.into_iter().chain(last).collect();
        assert_eq!(broken_rules(&events), if broken { vec![Rule::QuietDrain] } else { vec![] }, "{events:?}");
    }
}

#[test]
fn node_sends_to_a_drained_worker_then_violation_until_it_is_in_service_again() {
    let endpoint = |at, in_service| {
        (at, Event::EndpointSent { node: 0, worker: 1, in_service, started_at: Timestamp::ZERO })
    };
    for (events, broken) in [
        (vec![endpoint(0, false), sent(1, 0), arrived(800_000, 1, 1)], false),
        (vec![endpoint(0, false), sent(1, 0), arrived(800_001, 1, 1)], true),
        (vec![endpoint(0, false), endpoint(700_000, false), sent(1, 0), arrived(900_000, 1, 1)], true),
        (vec![endpoint(0, false), endpoint(1, true), sent(1, 0), arrived(900_000, 1, 1)], false),
    ] {
        let events: Vec<_> = events.into_iter().chain([responded(950_000, 200)]).collect();
        assert_eq!(broken_rules(&events), if broken { vec![Rule::QuietDrain] } else { vec![] }, "{events:?}");
    }
}
