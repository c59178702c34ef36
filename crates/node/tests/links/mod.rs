//! Connections to next hops in their narrow moments: late, second, broken and endless answers, resets,
//! withdrawals.

use std::io::{BufReader, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

use crate::common::*;

const POST: &str = "POST /api/k1?q=2 HTTP/1.1";
const DONE: &str = r#""state":"done","result":"x""#;
const SPOILT: &str = "curlewusher_next_hop_answers_spoilt_total";
const ATTEMPTS: &str = "curlewusher_delivery_attempts_total";

/// Which of two next hops a job went to, what that got, and the other one.
fn went<'a>(one: &'a Server, two: &'a Server) -> (&'a Server, Got, &'a Server) {
    let begun = Instant::now();
    loop {
        assert!(begun.elapsed() < LONG, "the job reached neither");
        std::thread::yield_now();
        if let Some(got) = one.waiting() {
            return (one, got, two);
        }
        if let Some(got) = two.waiting() {
            return (two, got, one);
        }
    }
}

fn withdrawal(hop: &Server, id: &str) -> Got {
    let got = hop.request();
    assert_eq!(got.message.start, format!("DELETE /jobs/{id} HTTP/1.1"));
    got
}

/// A client's job that this next hop has, and has not answered.
fn sent(node: &Node, hop: &Server, id: &str, class: &str, wait: f64) -> (TcpStream, Got) {
    let client = write(node.address, &job(id, class, wait, ""));
    let got = hop.request();
    assert_eq!((got.message.start.as_str(), got.message.header("x-request-id")), (POST, Some(id)));
    (client, got)
}

/// Takes the job on and serves it.
fn serve(node: &Node, client: TcpStream, got: &Got, name: &str, id: &str) {
    got.answer("202 Accepted");
    node.tell(id, name, DONE);
    assert_eq!(answer(client).status(), 200, "{id}");
}

fn until_count(node: &Node, series: &str, count: u64) {
    let begun = Instant::now();
    while node.count(series) < count {
        assert!(begun.elapsed() < LONG, "{series} stays under {count}");
    }
}

#[test]
fn a_job_that_is_not_taken_on_goes_elsewhere_only_once_its_withdrawal_was_heard() {
    // On a cut network the closing of its connection never arrives, and the first copy may run beside the
    // next.
    let (one, two) = (Server::start(), Server::start());
    let (node, _watch, _discovery) = Node::with(&[("s-1", &one), ("s-2", &two)]);
    let client = write(node.address, &job("r1", "view", 8.0, ""));
    let (hop, _silent, other) = went(&one, &two);
    for _ in 0..3 {
        let call = withdrawal(hop, "r1");
        assert!(!other.has_more(), "a second copy beside one that may still run");
        call.reset();
    }
    let call = withdrawal(hop, "r1");
    assert!(!other.has_more(), "a second copy beside one that may still run");
    call.answer("404 Not Found");
    let got = other.request();
    assert_eq!(got.message.start, POST);
    serve(&node, client, &got, if std::ptr::eq(other, &one) { "s-1" } else { "s-2" }, "r1");
}

#[test]
fn a_process_that_is_gone_needs_to_hear_no_withdrawal() {
    let listen = || {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        listener
    };
    let mut hops = vec![("s-1", listen()), ("s-2", listen())];
    let at = |hop: &(&str, TcpListener)| hop.1.local_addr().expect("an address");
    let known: Vec<_> = hops.iter().map(|hop| endpoint(hop.0, at(hop), "in_service")).collect();
    let discovery = Server::start();
    let node = Node::start(&config(discovery.address, &known));
    let watch = Watch::open(&discovery);
    watch.line(&list(42, true, &known));
    let client = write(node.address, &job("r1", "view", 8.0, ""));
    let accepted = |hops: &[(&str, TcpListener)]| {
        let begun = Instant::now();
        loop {
            for (i, hop) in hops.iter().enumerate() {
                match hop.1.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).expect("a stream");
                        stream.set_read_timeout(Some(LONG)).expect("a time-out");
                        return (i, stream);
                    }
                    Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock),
                }
            }
            assert!(begun.elapsed() < LONG, "nothing came");
            std::thread::yield_now();
        }
    };
    // The first one's process is gone: nobody listens there, and what is open says nothing.
    let (i, silent) = accepted(&hops);
    assert_eq!(Message::read(&mut BufReader::new(&silent)).expect("a request").start, POST);
    drop(hops.remove(i));
    let (_, stream) = accepted(&hops);
    assert_eq!(Message::read(&mut BufReader::new(&stream)).expect("a request").start, POST);
    std::io::Write::write_all(&mut &stream, b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        .expect("it reads");
    node.tell("r1", hops[0].0, DONE);
    assert_eq!(answer(client).status(), 200);
}

#[test]
fn the_answer_does_not_wait_for_a_withdrawal() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    let (client, _got) = sent(&node, &hop, "r1", "order", 0.5);
    // While the hop still resets every call, the client has its answer.
    let first = withdrawal(&hop, "r1");
    assert_eq!(answer(client).status(), 502);
    first.reset();
}

#[test]
fn a_head_that_never_ends_is_given_up_by_the_jobs_deadline() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    let (client, got) = sent(&node, &hop, "r1", "order", 0.5);
    got.say("HTTP/1.1 202 Accepted\r\nContent-Le");
    assert_eq!(answer(client).status(), 502);
    withdrawal(&hop, "r1").answer("200 OK");
}
