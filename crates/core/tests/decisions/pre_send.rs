//! Pre-send checks: deadlines for sending attempts, and the revocation of attempts before they are sent.

use crate::common::*;

/// Returns the `send_deadline` of the attempt that the actions send.
#[track_caller]
fn send_deadline(actions: &[Action]) -> Option<Timestamp> {
    let sent = actions.iter().find_map(|action| match action {
        Action::SendAttempt { send_deadline, .. } => Some(*send_deadline),
        _ => None,
    });
    sent.unwrap_or_else(|| panic!("no attempt is sent: {actions:?}"))
}

#[test]
fn retry_has_a_key_then_it_has_a_send_deadline_within_its_window_and_other_attempts_have_none() {
    for (class, may_have_run) in [(0, true), (1, true), (1, false), (2, false)] {
        let mut node = TestNode::new(settings(), &endpoints(2));
        let begin = node.now;
        assert_eq!(send_deadline(&node.submit(1, class, 0.1)), None);
        node.now += millis(100);
        let outcome = if may_have_run { Outcome::Lost } else { Outcome::Rejected };
        let retry_deadline = send_deadline(&node.end_attempt(1, 0, outcome));
        // The window begins with the first attempt that may have run. The retry needs a part of the window to
        // reach its worker.
        let window_end = (class == 1 && may_have_run).then_some(begin + seconds(5));
        assert_eq!(
            retry_deadline.is_some(),
            window_end.is_some(),
            "class {class}, may have run: {may_have_run}"
        );
        assert!(
            retry_deadline
                .zip(window_end)
                .is_none_or(|(send_deadline, end)| send_deadline < end && send_deadline > node.now),
            "{retry_deadline:?}"
        );
    }
}

#[test]
fn worker_becomes_unavailable_then_its_unaccepted_attempts_are_revoked_once() {
    let workers = endpoints(1);
    let listed = |status, started_at| [Endpoint { status, started_at, ..endpoint(0) }];
    let (draining, removed) =
        (listed(WorkerStatus::Draining, Timestamp::ORIGIN), listed(WorkerStatus::Removed, Timestamp::ORIGIN));
    let (restarted, unchanged) =
        (listed(WorkerStatus::Ready, at(seconds(9))), listed(WorkerStatus::Ready, Timestamp::ORIGIN));
    let list = |endpoints, snapshot| Event::EndpointsChanged { endpoints, update: endpoint_update(snapshot) };
    let disabled = |worker| Event::WorkerDisabled { worker: WorkerId(worker) };
    for (should_revoke, event) in [
        (true, list(&draining, false)),
        (true, list(&removed, false)),
        (true, list(&[], true)),
        (true, list(&restarted, false)),
        (true, disabled(0)),
        (false, list(&unchanged, true)),
        (false, disabled(1)),
    ] {
        let mut node = TestNode::new(settings(), &workers);
        assert!([1, 2].iter().all(|job| node.place_job(*job, 2, 0.005) == Some(0)));
        // The worker completes the attempt that it has accepted. The other attempt is revoked at the first
        // event only.
        node.accept_attempt(1, 0);
        let revoke = [Action::RevokeAttempt { job: JobId(2), attempt: 0 }];
        for expected in [&revoke[usize::from(!should_revoke)..], &[]] {
            let mut actions = node.handle(event.clone());
            actions.retain(|action| matches!(action, Action::RevokeAttempt { .. }));
            assert_eq!(actions, expected, "{event:?}");
        }
    }
}
