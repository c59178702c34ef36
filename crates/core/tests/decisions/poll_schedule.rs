//! Poll schedule: when a node polls for its endpoint list.

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
    let gaps: Vec<_> = polls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(polls.len() >= 3 && polls.len() < 12, "{gaps:?}");
    assert!(gaps.iter().all(|gap| *gap < seconds(10)), "a poll within the maximum interval: {gaps:?}");
    assert!(gaps[1] > gaps[0]);
}

const STEP: TimeSpan = millis(10);
const POLL_TIMEOUT: TimeSpan = seconds(2);
/// Time that discovery takes for each poll, also for one that has timed out.
const SERVICE_TIME: TimeSpan = millis(65);

/// The time until all nodes, which start together, have a list from a discovery that answers one poll after another.
fn time_until_all_have_a_list(nodes: u32) -> Option<TimeSpan> {
    let start = |node_index| {
        let settings = Settings { endpoints_on_request: true, ..node_settings(nodes, node_index) };
        TestNode::starting(settings, u64::from(node_index))
    };
    let mut all: Vec<TestNode> = (0..nodes).map(start).collect();
    let mut poll_begins: Vec<Option<Timestamp>> = vec![None; all.len()];
    let (mut queue, mut free_at, mut without_list) = (VecDeque::new(), Timestamp::ORIGIN, nodes);
    for now in times(START, at(seconds(60)), STEP) {
        for (index, node) in all.iter_mut().enumerate() {
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
            free_at = now + SERVICE_TIME;
            if poll_begins[index].take_if(|current| *current == begin).is_some() {
                all[index].list(&endpoints(1));
                without_list -= 1;
            }
        }
        if without_list == 0 {
            return Some(now - START);
        }
    }
    None
}

#[test]
fn nodes_start_together_and_polls_are_served_serially_then_all_get_a_list() {
    let (many, few) = (time_until_all_have_a_list(100), time_until_all_have_a_list(3));
    assert!(many.is_some_and(|span| span < seconds(30)), "{many:?}");
    assert!(few.is_some_and(|span| span < millis(500)), "{few:?}");
}
