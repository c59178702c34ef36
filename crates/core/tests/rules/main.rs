//! The four rules, checked for every action of a node under random events.

#[path = "../common/mod.rs"]
mod common;

mod checker;
mod environment;

use checker::{Checker, Violation};
use common::*;
use environment::Environment;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

#[test]
fn random_events_are_handled_then_no_action_violates_a_rule() {
    let config = Config { cases: 48, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let result = runner.run(&any::<u64>(), |seed| {
        let mut environment = Environment::new(seed);
        let mut run = || {
            environment.change_endpoints()?;
            (0..3_000).try_for_each(|_| environment.step())
        };
        run().map_err(|violation| TestCaseError::fail(format!("{violation:?}")))
    });
    result.unwrap();
}

const NOW: Timestamp = START;
const FAIL: Action = Action::Fail { job: JobId(1) };

/// Returns a checker with four workers and job 1.
fn checker_with_job(class: usize) -> Checker {
    let mut checker = Checker::new(settings());
    checker.endpoints = endpoints(4).into_iter().map(|endpoint| (endpoint.worker, endpoint)).collect();
    checker.record_submission(submission(1, class, 0.1, NOW));
    checker
}

fn send_with_deadline(worker: u64, send_deadline: Option<Timestamp>) -> Action {
    Action::SendAttempt {
        job: JobId(1),
        worker: WorkerId(worker),
        timeout: SECOND,
        send_deadline,
        needs_new_connection: false,
    }
}

fn send(worker: u64) -> Action {
    send_with_deadline(worker, Some(NOW + SECOND))
}

#[test]
fn final_response_is_repeated_or_late_then_rule_1_is_violated() {
    let mut checker = checker_with_job(0);
    assert_eq!(checker.check(NOW, &FAIL), Ok(()));
    assert_eq!(checker.check(NOW, &FAIL), Err(Violation::RepeatedOrLateResponse));
    assert_eq!(checker.check(NOW, &send(0)), Err(Violation::LateAttempt));
    let (mut checker, late) = (checker_with_job(0), NOW + seconds(6));
    assert_eq!(checker.check_all_answered(late), Err(Violation::MissingResponse(JobId(1))));
    assert_eq!(checker.check(late, &FAIL), Err(Violation::RepeatedOrLateResponse));
}

#[test]
fn job_that_may_have_run_is_retried_elsewhere_then_rule_2_is_violated() {
    let mut checker = checker_with_job(2);
    assert_eq!(checker.check(NOW, &send(0)), Ok(()));
    assert_eq!(checker.check(NOW, &send(1)), Err(Violation::UnsafeRetry));
    let reject = Action::Reject { job: JobId(1), retry_after: TimeSpan::ZERO };
    assert_eq!(checker.check(NOW, &reject), Err(Violation::UnsafeRejection));
    let mut checker = checker_with_job(1);
    assert_eq!(checker.check(NOW, &send(0)), Ok(()));
    assert_eq!(checker.check(NOW, &send(2)), Err(Violation::UnsafeRetry));
    for late in [None, Some(NOW), Some(NOW + seconds(5))] {
        assert_eq!(checker.check(NOW, &send_with_deadline(1, late)), Err(Violation::UnsafeRetry));
    }
    assert_eq!(checker.check(NOW, &send(1)), Ok(()));
}

#[test]
fn worker_is_unavailable_then_rule_3_is_violated() {
    let mut checker = checker_with_job(0);
    checker.endpoints.get_mut(&WorkerId(0)).unwrap().status = WorkerStatus::Draining;
    checker.disabled.insert(WorkerId(1));
    for worker in [0, 9, 1] {
        assert_eq!(checker.check(NOW, &send(worker)), Err(Violation::UnavailableWorker));
    }
}

#[test]
fn large_job_is_sent_to_worker_that_is_warming_up_then_rule_4_is_violated() {
    let mut checker = checker_with_job(0);
    checker.endpoints.get_mut(&WorkerId(0)).unwrap().started_at = NOW - micros(1);
    checker.record_submission(submission(1, 0, 2.0, NOW));
    let checked = checker.check(NOW, &send(0));
    assert!(matches!(checked, Err(Violation::WarmUpBudgetExceeded { .. })), "{checked:?}");
}
