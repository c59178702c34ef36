//! Endpoint lease: nothing is sent by a list that discovery has not confirmed for too long.

use crate::common::*;

const NOTIFIED_WITHIN: TimeSpan = seconds(6);
/// Nothing may be sent to a draining worker later than this after its drain counts as notified.
const STOP_SENDING_WITHIN: TimeSpan = millis(750);
const POLL_DURATION: TimeSpan = millis(5);
const FAILING_POLL_DURATION: TimeSpan = seconds(2);
const OBSERVED: TimeSpan = seconds(40);

fn lease_settings(nodes: u32) -> Settings {
    Settings {
        endpoints_on_request: true,
        assumed_notified_after: NOTIFIED_WITHIN,
        ..node_settings(nodes, 0)
    }
}

/// A process that has read its saved list, and that discovery has not answered.
fn starting_process(nodes: u32) -> TestNode {
    let mut node = TestNode::starting(lease_settings(nodes), 7);
    node.handle(Event::TimerExpired);
    node.list(&endpoints(4));
    node
}

/// A node whose first poll has just been answered by a list.
fn watching_node(nodes: u32) -> TestNode {
    let mut node = starting_process(nodes);
    while !node.advance(millis(10)).contains(&Action::WatchEndpoints) {}
    node.now += POLL_DURATION;
    node.handle(Event::PollAnswered { duration: POLL_DURATION });
    node.list(&endpoints(4));
    node.confirm_endpoints();
    node
}

/// The times of all sends while each poll fails and a job is submitted every 0.2 s. Each job is served immediately.
fn sends_while_polls_fail(node: &mut TestNode) -> Vec<Timestamp> {
    let (end, mut sends, mut fails_at) = (node.now + OBSERVED, Vec::new(), None);
    for job in 1.. {
        let mut actions = node.submit(job, 0, 0.02);
        actions.extend(node.advance(millis(200)));
        if fails_at.is_some_and(|moment| moment <= node.now) {
            fails_at = None;
            actions.extend(node.handle(Event::WatchFailed));
        }
        for action in actions {
            match action {
                Action::WatchEndpoints => fails_at = Some(node.now + FAILING_POLL_DURATION),
                Action::SendAttempt { job, .. } => {
                    sends.push(node.now);
                    node.end(job.0, 0, Outcome::Done);
                }
                _ => {}
            }
        }
        if node.now >= end {
            break;
        }
    }
    sends
}

#[test]
fn polls_fail_then_the_lease_is_not_renewed() {
    for nodes in [1, 3, 30, 300] {
        let mut node = watching_node(nodes);
        let confirmed_at = node.now;
        node.advance(SECOND);
        node.handle(Event::WatchFailed);
        let sends = sends_while_polls_fail(&mut node);
        let limit = confirmed_at + NOTIFIED_WITHIN + STOP_SENDING_WITHIN;
        let late = sends.iter().filter(|sent_at| **sent_at > limit).count();
        assert_eq!(late, 0, "{nodes} nodes: of {} sends", sends.len());
        assert!(
            sends.iter().any(|sent_at| *sent_at > confirmed_at + NOTIFIED_WITHIN / 2),
            "{nodes} nodes: jobs are served during the lease"
        );
    }
}

#[test]
fn watch_fails_then_the_lease_counts_from_the_last_event_of_the_watch() {
    for silence in [millis(500), millis(1_900)] {
        let mut node = watching_node(300);
        let confirmed_at = node.now;
        node.advance(silence);
        node.handle(Event::WatchFailed);
        let sends = sends_while_polls_fail(&mut node);
        let limit = confirmed_at + NOTIFIED_WITHIN + STOP_SENDING_WITHIN;
        assert!(sends.iter().all(|sent_at| *sent_at <= limit), "{silence:?}: {sends:?} after {limit:?}");
    }
}

#[test]
fn process_starts_with_a_saved_list_then_nothing_is_sent_before_discovery_answers() {
    for nodes in [1, 30, 300] {
        let mut node = starting_process(nodes);
        let sends = sends_while_polls_fail(&mut node);
        assert_eq!(sends, [], "{nodes} nodes");
    }
}

#[test]
fn confirmation_is_handled_late_then_the_lease_counts_from_when_it_was_read() {
    let mut node = starting_process(3);
    let read_at = node.now;
    node.advance(seconds(4));
    node.handle(Event::EndpointsConfirmed { as_of: read_at });
    assert_eq!(node.dispatcher.endpoint_write_deadline(), Some(read_at + NOTIFIED_WITHIN + millis(400)));
    // An earlier confirmation that arrives last does not shorten the lease, and one of the future counts as one of now.
    node.handle(Event::EndpointsConfirmed { as_of: read_at - SECOND });
    assert!(node.dispatcher.check_endpoint_lease(node.now).is_ok());
    node.handle(Event::EndpointsConfirmed { as_of: node.now + SECOND });
    assert_eq!(node.dispatcher.endpoint_write_deadline(), Some(node.now + NOTIFIED_WITHIN + millis(400)));
}

#[test]
fn list_is_unreadable_or_discovery_moves_then_the_lease_is_shortened_and_not_renewed() {
    for (event, left) in
        [(Event::EndpointsMalformed, TimeSpan::ZERO), (Event::DiscoveryAddressChanged, seconds(4))]
    {
        let mut node = watching_node(3);
        node.handle(event.clone());
        assert_eq!(
            node.dispatcher.endpoint_write_deadline(),
            Some(node.now + left + millis(400)),
            "{event:?}"
        );
        node.advance(left + millis(100));
        assert_eq!(node.place(1, 0, 0.1), None, "{event:?}: the job is held");
        node.confirm_endpoints();
        assert_eq!(count_sends(&node.advance(millis(20))), 1, "{event:?}: the job is sent");
        assert_eq!(node.dispatcher.violations().total(), 0);
    }
}

#[test]
fn lease_has_expired_for_long_then_new_jobs_are_rejected_and_client_retries_are_held() {
    let mut node = watching_node(3);
    node.advance(NOTIFIED_WITHIN + SECOND);
    assert!(!has_rejection(&node.submit(1, 2, 0.1)), "the job is held: discovery may confirm the list soon");
    node.advance(seconds(2));
    assert!(has_rejection(&node.submit(2, 2, 0.1)), "rejected: another node may have a valid lease");
    let retry = JobSubmission { is_retry: true, ..submission(3, 2, 0.1, node.now) };
    assert!(
        !has_rejection(&node.submit_job(retry)),
        "a client's retry is held: no node may have a valid lease"
    );
    node.confirm_endpoints();
    assert_eq!(count_sends(&node.advance(millis(20))), 1);
    assert!(!has_rejection(&node.submit(4, 2, 0.1)));
}
