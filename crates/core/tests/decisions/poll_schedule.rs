//! Poll schedule: times at which a node polls for its endpoint list.

use std::collections::VecDeque;

use crate::common::*;

#[test]
fn polls_fail_then_the_node_polls_again_with_backoff() {
    let mut node = TestNode::new(Settings { endpoints_on_request: true, ..settings() }, &endpoints(1));
    let mut polls = Vec::new();
    node.handle(Event::WatchFailed);
    for _ in 0..2_000 {
        if node.advance(millis(10)).contains(&Action::WatchEndpoints) {
            polls.push(node.now);
            node.now += micros(1);
            node.handle(Event::WatchFailed);
        }
    }
    let intervals: Vec<_> = polls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(polls.len() >= 3 && polls.len() < 12, "{intervals:?}");
    assert!(
        intervals.iter().all(|interval| *interval < seconds(10)),
        "the maximum interval between polls is exceeded: {intervals:?}"
    );
    assert!(intervals[1] > intervals[0]);
}

/// Interval between two steps of the simulation.
const STEP: TimeSpan = millis(10);
/// Timeout of a poll.
const POLL_TIMEOUT: TimeSpan = seconds(2);
/// Time that discovery takes to serve a poll, even if the poll has timed out.
const POLL_SERVICE_TIME: TimeSpan = millis(65);

/// Returns the time until all nodes have a list. The nodes start together, and discovery serves one poll
/// after another.
fn time_until_all_have_a_list(nodes: u32) -> Option<TimeSpan> {
    let start = |node_index| {
        let settings = Settings { endpoints_on_request: true, ..node_settings(nodes, node_index) };
        TestNode::without_endpoints(settings, u64::from(node_index))
    };
    let mut test_nodes: Vec<TestNode> = (0..nodes).map(start).collect();
    let mut poll_begins: Vec<Option<Timestamp>> = vec![None; test_nodes.len()];
    let (mut queue, mut free_at, mut nodes_without_list) = (VecDeque::new(), Timestamp::ORIGIN, nodes);
    for now in times(START, at(seconds(60)), STEP) {
        for (index, node) in test_nodes.iter_mut().enumerate() {
            node.now = now;
            if poll_begins[index].is_some_and(|begin| now >= begin + POLL_TIMEOUT) {
                poll_begins[index] = None;
                node.handle(Event::WatchFailed);
            } else if node.handle(Event::TimerExpired).contains(&Action::WatchEndpoints) {
                poll_begins[index] = Some(now);
                queue.push_back((index, now));
            }
        }
        while let Some((index, begin)) = queue.pop_front_if(|_| free_at <= now) {
            free_at = now + POLL_SERVICE_TIME;
            if poll_begins[index].take_if(|current| *current == begin).is_some() {
                test_nodes[index].deliver_endpoints(&endpoints(1));
                nodes_without_list -= 1;
            }
        }
        if nodes_without_list == 0 {
            return Some(now - START);
        }
    }
    None
}

#[test]
fn nodes_start_together_and_polls_are_served_serially_then_all_get_a_list() {
    let (many, few) = (time_until_all_have_a_list(100), time_until_all_have_a_list(3));
    assert!(many.is_some_and(|duration| duration < seconds(30)), "{many:?}");
    assert!(few.is_some_and(|duration| duration < millis(500)), "{few:?}");
}
