//! Golden test of the JSON form of events, which reports and scripts read: the form must stay the same byte
//! for byte.

use super::*;
use crate::golden::{self, golden};

const REQUEST: &str = "r-1";

fn client_events() -> Vec<Event> {
    let sent = Event::RequestSent {
        id: REQUEST.into(),
        job: 1,
        node: 2,
        class: 3,
        timeout: TimeSpan::from_micros(4),
        delay: TimeSpan::from_micros(5),
    };
    let failed = |reason| Event::RequestFailed { id: REQUEST.into(), reason, on_new_connection: false };
    vec![
        sent,
        Event::ResponseReceived { id: REQUEST.into(), status: 200, has_own_result: true },
        failed(FailureReason::NoNode),
        failed(FailureReason::Unreachable),
        failed(FailureReason::Reset),
        failed(FailureReason::Closed),
        failed(FailureReason::Late),
    ]
}

fn worker_events() -> Vec<Event> {
    let arrived = Event::AttemptArrived {
        attempt: 1,
        id: REQUEST.into(),
        node: 2,
        worker: 3,
        bay: 4,
        work_seconds: 0.5,
        head_at: Timestamp::from_micros(6),
    };
    vec![
        arrived,
        Event::AttemptAccepted { attempt: 1 },
        Event::AttemptRejected { attempt: 1 },
        Event::AttemptStarted { attempt: 1 },
        Event::AttemptCompleted { attempt: 1 },
        Event::AttemptReturned { attempt: 1 },
        Event::AttemptLost { attempt: 1 },
        Event::AttemptCancelled { attempt: 1 },
        Event::EndpointSent { node: 1, worker: 2, in_service: true, started_at: Timestamp::from_micros(3) },
        Event::WorkerStarted { worker: 1 },
        Event::WorkerOverloaded { worker: 1 },
    ]
}

fn node_events() -> Vec<Event> {
    let command = |expected, response: Option<&str>| Event::AdminCommandEnded {
        node: 1,
        command: "READY".into(),
        expected,
        response: response.map(str::to_owned),
        took: TimeSpan::from_micros(9),
    };
    vec![
        Event::NodeReady { node: 1 },
        Event::NodeTerminated { node: 1 },
        Event::NodeExited { node: 1, killed: true },
        Event::ReadinessChanged { node: 1, readiness: Readiness::Yes },
        Event::ReadinessChanged { node: 1, readiness: Readiness::No },
        Event::ReadinessChanged { node: 1, readiness: Readiness::Nothing },
        command(ExpectedResponse::Yes, Some("yes")),
        command(ExpectedResponse::No, None),
        command(ExpectedResponse::Either, Some("no")),
        Event::ConnectionsCounted { node: 1, idle: 2, fresh: 3 },
        Event::UpgradeBegan { node: 1 },
        Event::SuccessorReady { node: 1 },
        Event::ProcessExited { node: 1, is_successor: true, killed: false },
        Event::UpgradeEnded { node: 1 },
        Event::Fault { description: "Kill of 1 begins".into() },
    ]
}

#[test]
fn every_event_then_its_line_is_as_recorded_and_reads_back() {
    let mut lines = String::new();
    let events = [client_events(), worker_events(), node_events()].concat();
    for (at, event) in events.into_iter().enumerate() {
        let record = Record { at: Timestamp::from_micros(at as u64), event };
        let line = serde_json::to_string(&record).expect("the value can be serialized");
        assert_eq!(serde_json::from_str::<Record>(&line).expect("the line is a valid record"), record);
        lines += &(line + "\n");
    }
    golden!("event_log.jsonl").assert_eq(&lines);
}
