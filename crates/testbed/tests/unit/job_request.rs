//! Serialization of a client's request.

use std::net::SocketAddr;

use curlewusher_model::TimeSpan;
use curlewusher_model::workload::PlannedJob;

use super::JobRequest;
use crate::scenario::Scenario;

const SCENARIO: &str = include_str!("../golden/scenario_full.toml");

/// Renders the request for a job of the class with the given index.
fn rendered(class: usize, is_retry: bool) -> String {
    let scenario = Scenario::parse(SCENARIO).expect("the scenario is valid");
    let planned = PlannedJob {
        data_set: 65,
        hint_seconds: 0.25,
        slots: 2,
        ..scenario.workload().sample_jobs()[0].clone()
    };
    let request = JobRequest {
        id: "j31-1",
        job: 31,
        planned: &planned,
        class: &scenario.classes[class],
        timeout: TimeSpan::from_micros(2_500_001),
        is_retry,
        long_body_bytes: None,
    };
    request.render(SocketAddr::from(([127, 0, 0, 1], 8080)))
}

#[test]
fn first_request_of_a_class_without_key_then_its_text_is_as_expected() {
    let expected = "POST /api/set-65 HTTP/1.1\r\nhost: 127.0.0.1:8080\r\nx-request-id: j31-1\r\nx-class: view\r\n\
                    x-deadline: 2.500001\r\nx-cost-hint: 250000\r\nx-extras: slots=2\r\n\
                    content-length: 14\r\n\r\ninterval=40-55";
    assert_eq!(rendered(0, false), expected);
}

#[test]
fn retry_of_a_class_with_key_then_the_request_has_both_headers() {
    let expected = "POST /api/set-65 HTTP/1.1\r\nhost: 127.0.0.1:8080\r\nx-request-id: j31-1\r\nx-class: sample_2\r\n\
                    x-deadline: 2.500001\r\nx-cost-hint: 250000\r\nx-extras: slots=2\r\n\
                    idempotency-key: 0000000000000000000000000000001f\r\nx-retry: 1\r\n\
                    content-length: 14\r\n\r\ninterval=40-55";
    assert_eq!(rendered(1, true), expected);
}
