//! The endpoint watch: stalls, split and malformed lists, and changes of the discovery address.

use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    Node, ReceivedRequest, ScriptedServer, ScriptedWatch, TEST_TIMEOUT, endpoint_json, endpoint_list_json,
    node_config, wait_for_counter,
};

/// Head of the response to a watch request.
const WATCH_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Counter of the endpoint lists and changes that a node has read.
const CHANGES: &str = "curlewusher_transport_map_changes_total";
/// Counter of failed polls and watches.
const FAILURES: &str = "curlewusher_transport_map_failures_total";

/// Returns a text as a chunk of a chunked body.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Submits three jobs, whose ids begin with `id_prefix`, and asserts that the worker serves all of them.
fn assert_all_jobs_go_to(node: &Node, worker: &ScriptedServer, name: &str, id_prefix: &str) {
    for i in 0..3 {
        let id = format!("{id_prefix}{i}");
        node.assert_serves(worker, &id, "view", name);
    }
}

/// Asserts that jobs are sent only to `other`, and none to `drained`.
fn assert_drained(node: &Node, drained: &ScriptedServer, other: &ScriptedServer, name: &str) {
    assert_all_jobs_go_to(node, other, name, "r");
    assert!(!drained.has_pending_request(), "a job was sent to the draining worker");
}

/// Returns the version since which a poll requests changes.
fn polled_version(poll: &ReceivedRequest) -> &str {
    let version = poll.message.start_line.strip_prefix("GET /v1/endpoints?follow=1&since=");
    version.and_then(|rest| rest.split(' ').next()).unwrap_or_else(|| panic!("{}", poll.message.start_line))
}

/// The node reads a list that is split at any position like the complete list. The line before the first part
/// is in the same write, so that its count shows that the node has read the first part.
#[test]
fn list_is_split_anywhere_then_it_is_read_completely() {
    let ([first, second], node, watch, discovery) = Node::start_with_two_workers();
    wait_for_counter(&node, CHANGES, 2);
    let endpoint_with_weight = |status, weight: &str| {
        first.endpoint_json("s-1", status).replace(r#""weight":1.0"#, &format!(r#""weight":{weight}"#))
    };
    let list = endpoint_list_json(
        42,
        false,
        &[endpoint_with_weight("in_service", "10.25e-1"), endpoint_with_weight("terminating", "0.5E+0")],
    );
    assert!(list.contains("e-1") && list.contains("E+0"), "{list}");
    for cut in 1..list.len() {
        watch.write_raw(&chunk(&("{\"index\":42}\n".to_owned() + &list[..cut])));
        wait_for_counter(&node, CHANGES, 1 + 2 * cut as u64);
        watch.write_raw(&chunk(&(list[cut..].to_owned() + "\n")));
        wait_for_counter(&node, CHANGES, 2 + 2 * cut as u64);
        assert_eq!(node.counter(FAILURES), 0, "reading failed for the list split after {}", &list[..cut]);
    }
    assert_all_jobs_go_to(&node, &second, "s-2", "r");
    assert!(
        !first.has_pending_request() && !discovery.has_pending_request(),
        "a job was sent to the draining worker, or the watch was reopened"
    );
    watch.close();
}

#[test]
fn list_is_indented_and_sent_byte_by_byte_then_it_is_read() {
    let ([first, second], node, watch, discovery) = Node::start_with_two_workers();
    wait_for_counter(&node, CHANGES, 2);
    let unused_address = "127.0.0.1:9".parse().expect("the address is malformed");
    let mut all_endpoints: Vec<_> = (0..200)
        .map(|i| endpoint_json(&format!(r#"s-{i}\\\"}}]{{["#), unused_address, "terminating"))
        .collect();
    all_endpoints.push(first.endpoint_json("s-1", "terminating"));
    all_endpoints.push(second.endpoint_json("s-2", "in_service"));
    let indented = |index, snapshot, endpoints: &[String]| {
        let list = endpoint_list_json(index, snapshot, endpoints);
        list.replace(",\"", ",\n    \"").replace("{\"", "{\n\n  \"") + "\n"
    };
    let byte_by_byte = |text: &str| text.chars().map(|c| chunk(&c.to_string())).collect::<String>();
    // All endpoints are sent byte by byte in lists of 20 each, then in one list in larger pieces. A node on a
    // busy machine could not read that list byte by byte before its watch counts as stalled.
    for (part, index) in all_endpoints.chunks(20).zip(43..) {
        watch.write_raw(&byte_by_byte(&indented(index, false, part)));
    }
    let snapshot_text: Vec<_> = indented(54, true, &all_endpoints).chars().collect();
    watch.write_raw(
        &snapshot_text.chunks(20).map(|part| chunk(&part.iter().collect::<String>())).collect::<String>(),
    );
    // A line with two complete lists and without a newline follows byte by byte.
    let two_lists = endpoint_list_json(55, false, &[]) + &endpoint_list_json(56, false, &all_endpoints[..1]);
    watch.write_raw(&byte_by_byte(&two_lists));
    wait_for_counter(&node, CHANGES, 2 + 11 + 1 + 2);
    assert_drained(&node, &first, &second, "s-2");
    assert_eq!(node.counter(FAILURES), 0);
    watch.close();
    assert_eq!(ScriptedWatch::open(&discovery).since(), "56");
}

#[test]
fn list_has_no_final_newline_then_it_is_applied() {
    let (discovery, first, second) =
        (ScriptedServer::start(), ScriptedServer::start(), ScriptedServer::start());
    let endpoint = first.endpoint_json("s-1", "in_service");
    let node = Node::start(&node_config(discovery.address, &[endpoint]));
    let list = endpoint_list_json(
        50,
        true,
        &[first.endpoint_json("s-1", "terminating"), second.endpoint_json("s-2", "in_service")],
    );
    let length = list.len();
    discovery.next_request().write_raw(&format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{list}"));
    assert_eq!(polled_version(&discovery.next_request()), "50");
    assert_drained(&node, &first, &second, "s-2");
}

#[test]
fn bytes_never_complete_a_list_then_watch_counts_as_stalled() {
    for (start, piece) in [(r#"{"index":43,"#, ""), ("{", " "), ("", " "), ("{", "\n")] {
        let (node, watch, discovery) = Node::start_with_workers(&[]);
        wait_for_counter(&node, CHANGES, 2);
        watch.write_raw(&chunk(&format!("{start} ")));
        let started_at = Instant::now();
        let next = loop {
            if let Some(next) = discovery.try_next_request() {
                break next;
            }
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "the watch did not count as stalled with {start:?} and {piece:?}"
            );
            // Discovery sends slowly. The node may have closed the connection meanwhile.
            thread::sleep(Duration::from_millis(50));
            if !piece.is_empty() {
                watch.try_write(&chunk(piece));
            }
        };
        assert_eq!((polled_version(&next), node.counter(FAILURES)), ("42", 1));
    }
}

#[test]
fn list_is_malformed_then_watch_is_reopened_before_the_next_list_is_read() {
    let malformed_lists = ["\u{0}\u{1}nonsense", r#"{"index":43,"snapshot":fal"#, "[", "}", "{]", r#"{"a "#];
    for malformed in malformed_lists {
        let (worker, node, watch, discovery) = Node::start_with_worker();
        wait_for_counter(&node, CHANGES, 2);
        let next = endpoint_list_json(44, false, &[worker.endpoint_json("s-1", "terminated")]);
        watch.write_raw(&(chunk(&format!("{malformed}\n")) + &chunk(&next)));
        let reopened = ScriptedWatch::open(&discovery);
        assert_eq!((reopened.since(), node.counter(FAILURES)), ("42", 1), "{malformed}");
        let log_line = node.wait_for_log_line("endpoint watch failed");
        assert!(log_line.contains("see ") && !log_line.contains("silent"), "{log_line}");
        reopened.send_endpoints(45, true, &[worker.endpoint_json("s-1", "in_service")]);
        wait_for_counter(&node, CHANGES, 3);
        assert_all_jobs_go_to(&node, &worker, "s-1", "r");
    }
}

#[test]
fn watch_is_abandoned_then_its_connection_is_closed() {
    // Discovery stops writing, so that it notices nothing but the close of the connection.
    let discovery = ScriptedServer::start();
    let _node = Node::start(&node_config(discovery.address, &[]));
    let first = discovery.next_request();
    first.write_raw(WATCH_RESPONSE_HEAD);
    first.write_raw(&chunk("\n"));
    discovery.wait_for_connection_close(0);
    // Discovery does not respond to the next poll.
    let second = discovery.next_request();
    discovery.wait_for_connection_close(second.connection);
}

/// Returns the poll that the node sends while an unanswered poll is still open.
fn next_hedged_poll(server: &ScriptedServer, unanswered: &ReceivedRequest) -> ReceivedRequest {
    let next = std::iter::repeat_with(|| server.next_event())
        .find(|event| !event.message.start_line.is_empty() || event.connection == unanswered.connection)
        .expect("the iterator ended");
    assert_ne!(
        next.connection, unanswered.connection,
        "the unanswered poll was closed before a hedged poll was sent"
    );
    next
}

/// Responds to a pending poll with the head of the response and a list.
fn open_watch(poll: &ReceivedRequest, list: &str) {
    poll.write_raw(&format!("{WATCH_RESPONSE_HEAD}{}", chunk(&format!("{list}\n"))));
}

#[test]
fn discovery_pushes_lists_then_watch_opens_at_start_and_reopens_at_once() {
    let (discovery, first, second) =
        (ScriptedServer::start(), ScriptedServer::start(), ScriptedServer::start());
    let endpoints = [first.endpoint_json("s-1", "in_service"), second.endpoint_json("s-2", "in_service")];
    let config = node_config(discovery.address, &endpoints).replace(r#""subscribe""#, r#""automatic""#);
    let node = Node::start(&config);
    let watch = ScriptedWatch::open(&discovery);
    assert_eq!(watch.since(), "41");
    watch.send_endpoints(42, false, &[first.endpoint_json("s-1", "terminating")]);
    wait_for_counter(&node, CHANGES, 2);
    assert_drained(&node, &first, &second, "s-2");
    // The node polls after the end of the watch and after each of several failures.
    watch.close();
    for i in 0..8 {
        let poll = discovery.next_request();
        assert_eq!(polled_version(&poll), "42", "poll {i}");
        poll.respond("503 Service Unavailable");
    }
    // The node also sends a second poll beside an unanswered one. The first poll with a response becomes the
    // watch, and the other poll is cancelled.
    let unanswered = discovery.next_request();
    let hedged = next_hedged_poll(&discovery, &unanswered);
    open_watch(&hedged, &endpoint_list_json(43, true, &[first.endpoint_json("s-1", "in_service")]));
    discovery.wait_for_connection_close(unanswered.connection);
    wait_for_counter(&node, CHANGES, 3);
    assert_all_jobs_go_to(&node, &first, "s-1", "q");
}

#[test]
fn poll_after_stall_gets_no_response_then_it_is_hedged() {
    let (worker, node, watch, discovery) = Node::start_with_worker();
    watch.send_line("");
    let unanswered = discovery.next_request();
    let hedged = next_hedged_poll(&discovery, &unanswered);
    assert_eq!((polled_version(&unanswered), polled_version(&hedged)), ("42", "42"));
    let other = ScriptedServer::start();
    let drains = [worker.endpoint_json("s-1", "terminating"), other.endpoint_json("s-2", "in_service")];
    open_watch(&hedged, &endpoint_list_json(43, false, &drains));
    wait_for_counter(&node, CHANGES, 3);
    discovery.wait_for_connection_close(unanswered.connection);
    assert_drained(&node, &worker, &other, "s-2");
}

#[test]
fn watch_stalls_before_first_line_then_polls_are_hedged() {
    let discovery = ScriptedServer::start();
    let node = Node::start(&node_config(discovery.address, &[]));
    let first = discovery.next_request();
    first.write_raw(WATCH_RESPONSE_HEAD);
    discovery.wait_for_connection_close(first.connection);
    let unanswered = discovery.next_request();
    let hedged = next_hedged_poll(&discovery, &unanswered);
    open_watch(&hedged, &endpoint_list_json(42, true, &[]));
    discovery.wait_for_connection_close(unanswered.connection);
    wait_for_counter(&node, CHANGES, 2);
    // If neither poll opens a watch, the dispatch task is notified, and it polls.
    hedged.close();
    for _ in 0..4 {
        assert_eq!(polled_version(&discovery.next_request()), "42");
    }
}

#[test]
fn poll_of_new_discovery_address_gets_no_response_then_it_is_hedged() {
    let (worker, node, watch, old_discovery) = Node::start_with_worker();
    watch.send_line("");
    let new_discovery = ScriptedServer::start();
    node.reload_config(&node_config(new_discovery.address, &[]));
    let unanswered = new_discovery.next_request();
    let hedged = next_hedged_poll(&new_discovery, &unanswered);
    assert_eq!((polled_version(&unanswered), polled_version(&hedged)), ("0", "0"));
    open_watch(&hedged, &endpoint_list_json(7, true, &[worker.endpoint_json("s-1", "in_service")]));
    new_discovery.wait_for_connection_close(unanswered.connection);
    old_discovery.wait_for_connection_close(0);
    assert!(!old_discovery.has_pending_request(), "the node still polled the old address");
    assert_all_jobs_go_to(&node, &worker, "s-1", "r");
}

#[test]
fn old_discovery_answers_after_change_of_address_then_its_list_is_applied() {
    let (discovery, first, second) =
        (ScriptedServer::start(), ScriptedServer::start(), ScriptedServer::start());
    let endpoints = [first.endpoint_json("s-1", "in_service"), second.endpoint_json("s-2", "in_service")];
    let node = Node::start(&node_config(discovery.address, &endpoints));
    // The node becomes ready only with a first response. Its next poll is in flight when the address changes.
    ScriptedWatch::open_with_endpoints(&discovery, &endpoints).close();
    let earlier_poll = discovery.next_request();
    let new_discovery = ScriptedServer::start();
    node.reload_config(&node_config(new_discovery.address, &endpoints));
    assert_eq!(polled_version(&new_discovery.next_request()), "0");
    // The node applies a drain even if a poll delivers it that was in flight when the address changed.
    open_watch(&earlier_poll, &endpoint_list_json(43, false, &[first.endpoint_json("s-1", "terminating")]));
    wait_for_counter(&node, CHANGES, 3);
    assert_drained(&node, &first, &second, "s-2");
    // The new discovery has its own versions, so that the node sends it no version of the old one.
    assert_eq!(polled_version(&new_discovery.next_request()), "0");
}

#[test]
fn new_discovery_fails_while_old_watch_is_open_then_it_is_retried_until_it_answers() {
    let (worker, node, old_watch, _discovery) = Node::start_with_worker();
    wait_for_counter(&node, CHANGES, 2);
    let new_discovery = ScriptedServer::start();
    node.reload_config(&node_config(new_discovery.address, &[]));
    // Guards against a list of the old watch that counts as the response for which the dispatch task waits.
    for i in 1..6 {
        new_discovery.next_request().respond("503 Service Unavailable");
        wait_for_counter(&node, FAILURES, i);
        old_watch.send_endpoints(42 + i, false, &[worker.endpoint_json("s-1", "in_service")]);
        wait_for_counter(&node, CHANGES, 2 + i);
    }
    let watch = ScriptedWatch::open(&new_discovery);
    assert_eq!(watch.since(), "0");
}

#[test]
fn lists_and_end_of_watch_arrive_in_one_read_then_all_lists_are_applied() {
    let (first, second) = (ScriptedServer::start(), ScriptedServer::start());
    let workers = [("s-1", &first), ("s-2", &second)];
    let (node, watch, discovery) = Node::start_with_workers(&workers);
    let drain_line = |index, name, worker: &ScriptedServer| {
        chunk(&(endpoint_list_json(index, false, &[worker.endpoint_json(name, "terminating")]) + "\n"))
    };
    wait_for_counter(&node, CHANGES, 2);
    // The paused node reads everything at once when it continues.
    node.signal("-STOP");
    watch.write_raw(&(drain_line(43, "s-2", &second) + &drain_line(44, "s-1", &first)));
    watch.close();
    node.signal("-CONT");
    let reopened = discovery.next_request();
    assert_eq!(polled_version(&reopened), "44");
    // The same applies to a snapshot on the reopened watch with a change directly behind it and the end of
    // the watch.
    let snapshot =
        endpoint_list_json(45, true, &workers.map(|(name, worker)| worker.endpoint_json(name, "in_service")))
            + "\n";
    reopened.write_raw(&format!(
        "{WATCH_RESPONSE_HEAD}{}{}",
        chunk(&snapshot),
        drain_line(46, "s-1", &first)
    ));
    reopened.close();
    assert_eq!(polled_version(&discovery.next_request()), "46");
    assert_drained(&node, &first, &second, "s-2");
}

#[test]
fn watch_stalls_then_it_is_reopened_from_the_last_version() {
    // The node counts as notified even of a change that does not arrive. It must therefore not treat a
    // stalled watch as one without changes.
    let (discovery, worker) = (ScriptedServer::start(), ScriptedServer::start());
    let _node = Node::start(&node_config(discovery.address, &[worker.endpoint_json("s-1", "in_service")]));
    let first = ScriptedWatch::open(&discovery);
    first.send_line("");
    assert_eq!(ScriptedWatch::open(&discovery).since(), "41");
}

#[test]
fn worker_drains_then_it_gets_no_job_and_broken_watch_resumes_from_last_version() {
    let ([first, second], node, watch, discovery) = Node::start_with_two_workers();
    watch.send_endpoints_and_wait(43, false, &[first.endpoint_json("s-1", "terminating")], &node);
    for id in ["r1", "r2", "r3"] {
        node.assert_serves(&second, id, "view", "s-2");
    }
    assert!(!first.has_pending_request());
    watch.close();
    assert_eq!(ScriptedWatch::open(&discovery).since(), "43");
}
