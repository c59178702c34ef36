//! Upgrades while many clients wait for the response to a long request.

use std::net::TcpStream;

use super::upgrade_scenario::{NodeProcess, UpgradeScenario, complete_job};
use crate::common::{job_request, open_request, read_response, wait_for_counter};

/// Counter of the jobs that have migrated to a process.
const MIGRATED_HERE: &str = r#"curlewusher_jobs_moved_total{direction="here"}"#;
/// Number of open jobs.
const JOB_COUNT: u64 = 150;
/// Length of the body of each job, in bytes: the maximum.
const BODY_BYTES: usize = 64 << 10;

/// Submits the jobs. They stay pending, since their only worker is disabled. A client's retry is not rejected
/// for that.
fn submit_pending_jobs(process: &NodeProcess) -> Vec<TcpStream> {
    let submit = |number| {
        let length = format!("Content-Length: {BODY_BYTES}");
        let request = job_request(&format!("j{number}"), "order", 900.0, "X-Retry: 1\r\n");
        let request = request.replace("Content-Length: 4", &length).replace("\r\n\r\nbody", "\r\n\r\n");
        open_request(process.node.address, &(request + &"b".repeat(BODY_BYTES)))
    };
    let clients = (0..JOB_COUNT).map(submit).collect();
    wait_for_counter(&process.node, "curlewusher_jobs_taken_total", JOB_COUNT);
    clients
}

/// Guards against `docs/incidents/2026-12-04-two-serving-processes.md`: the bodies of the open jobs closed the link,
/// and the predecessor served again beside its successor.
#[test]
fn long_requests_are_open_at_takeover_then_all_migrate_and_predecessor_stays_superseded() {
    for is_terminated_at_once in [false, true] {
        let scenario = UpgradeScenario::new(1);
        let (predecessor, _watch) = scenario.start_first();
        predecessor.assert_command_succeeds("DISABLE s-1");
        let mut clients = submit_pending_jobs(&predecessor);
        let successor = scenario.start_and_wait_for_takeover(&predecessor);
        if is_terminated_at_once {
            predecessor.node.signal("-TERM");
        }
        wait_for_counter(&successor.node, MIGRATED_HERE, JOB_COUNT);
        // A command at either process still reaches the other one.
        if !is_terminated_at_once {
            predecessor.assert_command_succeeds("ENABLE s-1");
            successor.assert_command_succeeds("DISABLE s-1");
            predecessor.node.signal("-TERM");
        }
        let lines = predecessor.node.drain_log_lines();
        assert!(!lines.iter().any(|line| line.contains("peer lost")), "{lines:?}");
        assert_eq!(predecessor.node.wait_for_exit().status.code(), Some(0));
        successor.assert_command_succeeds("ENABLE s-1");
        // The worker gets a job, with its whole body, from the successor.
        let request = scenario.workers[0].next_request();
        assert_eq!(request.message.body.len(), BODY_BYTES);
        request.accept();
        let id = request.message.header("x-request-id").expect("the request has no id").to_owned();
        complete_job(&successor.node, &id);
        let number: usize = id[1..].parse().expect("the id has no number");
        assert_eq!(read_response(clients.swap_remove(number)).status(), 200);
    }
}
