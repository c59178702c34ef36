//! The dispatch task's narrow moments: words that cross, jobs on their way between two processes of a node, and
//! settings of other customers.

use crate::common::*;

/// Asks until it is so.
fn until(so: impl Fn() -> bool) {
    let since = std::time::Instant::now();
    while !so() {
        assert!(since.elapsed() < LONG, "it never is");
    }
}

/// The first request that comes to either.
fn first_of(one: &Server, two: &Server) -> Got {
    let since = std::time::Instant::now();
    loop {
        if let Some(got) = one.waiting().or_else(|| two.waiting()) {
            return got;
        }
        assert!(since.elapsed() < LONG, "no request");
        std::thread::yield_now();
    }
}

#[test]
fn a_repeat_of_an_earlier_word_ends_no_later_attempt_that_may_run() {
    let (hop, other) = (Server::start(), Server::start());
    let (node, watch, _discovery) = Node::with(&[("s-1", &hop)]);
    let client = write(node.address, &job("r1", "order", 8.0, ""));
    hop.request().answer("202 Accepted");
    node.tell("r1", "s-1", r#""state":"returned""#);
    // It never ran: it goes there once more, and is taken on.
    hop.request().answer("202 Accepted");
    until(|| node.count("curlewusher_delivery_attempts_accepted_total") == 2);
    let changes = "curlewusher_transport_map_changes_total";
    let before = node.count(changes);
    watch.line(&list(43, false, &[endpoint("s-2", other.address, "in_service")]));
    until(|| node.count(changes) > before);
    // The answer to the first call was lost on its way.
    node.tell("r1", "s-1", r#""state":"returned""#);
    let next = first_of(&hop, &other);
    assert_eq!(next.message.start, "DELETE /jobs/r1 HTTP/1.1", "a second copy of one that may run");
    next.answer("200 OK");
    // It may have run by then.
    assert_eq!(answer(client).status(), 502);
    assert_eq!(node.count("curlewusher_delivery_attempts_total"), 2);
}
