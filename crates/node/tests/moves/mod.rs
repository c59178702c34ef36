//! The dispatch task's narrow moments: words that cross, jobs on their way between two processes of a node,
//! and settings of other customers.

use std::io::{ErrorKind, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};

use bytes::Bytes;
use curlewusher_control::frame::{Decoder, Frame};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};

use crate::common::*;

/// Asks until it is so.
fn until(mut so: impl FnMut() -> bool) {
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

#[test]
fn a_copy_that_starts_while_it_is_withdrawn_does_not_call_off_the_one_that_stays() {
    let hops = [Server::start(), Server::start()];
    let names = ["s-1", "s-2"];
    let two = |discovery, known: &[String]| {
        let text = config(discovery, known).replace(r#""mayDuplicate":false"#, r#""mayDuplicate":true"#);
        // That a next hop is slow to take a job on is not looked at here: on a busy machine it may be.
        text.replace(r#""connectTimeoutUs":500000"#, r#""connectTimeoutUs":6000000"#)
    };
    let (node, _watch, _discovery) = Node::configured(&[("s-1", &hops[0]), ("s-2", &hops[1])], two);
    let next = || {
        let got = first_of(&hops[0], &hops[1]);
        let at = hops.iter().position(|hop| got.local() == hop.address).expect("one of both");
        (got, at)
    };
    // Second copies are earned by the work that came before.
    for n in 0..12 {
        let client = write(node.address, &job(&format!("r{n}"), "view", 8.0, ""));
        let (got, at) = next();
        got.answer("202 Accepted");
        node.tell(&format!("r{n}"), names[at], r#""state":"done","result":"x""#);
        assert_eq!(answer(client).status(), 200);
    }
    let client = write(node.address, &job("c", "view", 8.0, ""));
    let (first, one) = next();
    first.answer("202 Accepted");
    // It does not start there.
    let (second, other) = next();
    assert!(other != one && second.message.start.starts_with("POST"), "{}", second.message.start);
    second.answer("202 Accepted");
    node.tell("c", names[other], r#""state":"started""#);
    let (withdrawal, at) = next();
    assert_eq!((withdrawal.message.start.as_str(), at), ("DELETE /jobs/c HTTP/1.1", one));
    // It starts there now, and the withdrawal is on its way yet.
    let callbacks = "curlewusher_callbacks_total";
    let before = node.count(callbacks);
    node.tell("c", names[one], r#""state":"started""#);
    until(|| node.count(callbacks) > before);
    assert_eq!(node.count("curlewusher_delivery_attempts_given_up_total"), 1, "both copies are called off");
    withdrawal.answer("200 OK");
    node.tell("c", names[other], r#""state":"done","result":"x""#);
    assert_eq!(answer(client).status(), 200);
}

/// The other process of a node, as the test plays it: it answers what is moved to it when the test says so.
/// The descriptors that come to it are closed.
pub struct Other {
    stream: UnixStream,
    decoder: Decoder,
}

impl Other {
    fn of(stream: UnixStream) -> Other {
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Other { stream, decoder: Decoder::default() }
    }

    /// One that has come to the place where the processes of a node meet, and has said nothing yet.
    pub fn comes(node: &Node) -> Other {
        let place = format!("{}/curlewusher-127.0.0.1-0.sock", node.folder());
        Other::of(UnixStream::connect(place).expect("it sits"))
    }

    /// The younger one, which has taken over.
    fn takes_over(node: &Node) -> Other {
        let mut younger = Other::comes(node);
        younger.say(0, Frame::Hello { node: "n0".into(), listen: "127.0.0.1:0".into() });
        younger.read_listener();
        assert!(matches!(younger.hears(), (_, Frame::Accepted(_))));
        younger.say(1, Frame::TakeoverRequest);
        assert!(matches!(younger.hears(), (1, Frame::TakeoverGranted(_))));
        younger
    }

    /// The elder one of a node with that configuration, which it welcomes to this listener.
    fn is_followed(text: &str, listener: &TcpListener) -> (Other, Node) {
        Other::welcomes(text, listener, "".into())
    }

    /// The same, which has learned this.
    pub fn welcomes(text: &str, listener: &TcpListener, learned: Bytes) -> (Other, Node) {
        let file = Node::file(text);
        let folder = format!("{file}.d");
        let seat = UnixListener::bind(format!("{folder}/curlewusher-127.0.0.1-0.sock")).expect("a place");
        let child = Node::spawn_in(&folder, &file, 1024, None);
        let mut elder = Other::of(seat.accept().expect("a hello").0);
        assert!(matches!(elder.hears(), (_, Frame::Hello { .. })));
        elder.say_with(listener, b"+");
        elder.say(0, Frame::Accepted(learned));
        (elder, Node::heard((child, file)))
    }

    /// Reads the byte that carries the listener.
    pub fn read_listener(&mut self) {
        self.stream.read_exact(&mut [0]).expect("a welcome");
    }

    /// Says these bytes, the first of which carries a descriptor.
    pub fn say_with(&mut self, fd: &impl AsFd, bytes: &[u8]) {
        let fds = [fd.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        assert!(control.push(SendAncillaryMessage::ScmRights(&fds)));
        let sent = sendmsg(&self.stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL);
        assert_eq!(sent.expect("it reads"), bytes.len());
    }

    pub fn say(&mut self, seq: u64, frame: Frame) {
        self.stream.write_all(&frame.encode(seq).expect("short")).expect("it reads");
    }

    pub fn hears(&mut self) -> (u64, Frame) {
        loop {
            if let Some(said) = self.decoder.next_frame().expect("a frame") {
                return (said.sequence, said.frame);
            }
            let mut piece = [0; 4096];
            let came = self.stream.read(&mut piece).expect("a frame");
            assert!(came > 0, "the link is lost");
            self.decoder.feed(&piece[..came]);
        }
    }

    /// The next job that is to move here, and the number of that.
    fn moved(&mut self) -> (u64, Frame) {
        let (seq, frame) = self.hears();
        assert!(matches!(frame, Frame::MigrateJob(_)), "{frame:?}");
        (seq, frame)
    }
}

/// The client leaves; returns once the node has dropped its connection.
fn leaves(mut client: TcpStream) {
    client.shutdown(Shutdown::Write).expect("it is open");
    assert_eq!(client.read_to_end(&mut Vec::new()).unwrap_or(0), 0, "no answer");
}

/// With a place for processes of one node to meet.
fn patient(discovery: SocketAddr, known: &[String]) -> String {
    operated(discovery, known).replace(r#""connectTimeoutUs":500000"#, r#""connectTimeoutUs":6000000"#)
}

#[test]
fn a_client_that_leaves_while_its_job_moves_is_gone_and_what_is_out_is_withdrawn() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::configured(&[("s-1", &hop)], patient);
    let client = write(node.address, &job("r1", "order", 60.0, ""));
    hop.request().answer("202 Accepted");
    until(|| node.count("curlewusher_delivery_attempts_accepted_total") == 1);
    let mut younger = Other::takes_over(&node);
    let (seq, _) = younger.moved();
    leaves(client);
    younger.say(seq, Frame::MigrationResult(false));
    let withdrawal = hop.request();
    assert_eq!(withdrawal.message.start, "DELETE /jobs/r1 HTTP/1.1");
    withdrawal.answer("200 OK");
    drop(younger);
    node.says_of("the other process is gone");
    assert_eq!(node.count("curlewusher_clients_gone_total"), 1);
}

#[test]
fn a_client_that_leaves_while_its_job_moves_is_gone_and_the_job_not_sent_on() {
    let hop = Server::start();
    let (node, watch, _discovery) = Node::configured(&[], patient);
    let client = write(node.address, &job("r1", "order", 9.0, ""));
    until(|| node.count("curlewusher_jobs_taken_total") == 1);
    let mut younger = Other::takes_over(&node);
    let (seq, _) = younger.moved();
    leaves(client);
    younger.say(seq, Frame::MigrationResult(false));
    drop(younger);
    node.says_of("the other process is gone");
    watch.line(&list(43, false, &[endpoint("s-1", hop.address, "in_service")]));
    let client = write(node.address, &job("r2", "view", 9.0, ""));
    let got = hop.request();
    assert_eq!(got.message.header("x-request-id"), Some("r2"), "sent on for nobody");
    got.answer("202 Accepted");
    node.tell("r2", "s-1", r#""state":"done","result":"x""#);
    assert_eq!(answer(client).status(), 200);
    assert!(!hop.has_more(), "sent on for nobody");
}

#[test]
fn a_job_that_could_not_be_answered_in_time_after_a_move_stays_where_it_is() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::configured(&[("s-1", &hop)], patient);
    let client = write(node.address, &job("r1", "order", 2.4, ""));
    hop.request().answer("202 Accepted");
    until(|| node.count("curlewusher_delivery_attempts_accepted_total") == 1);
    let mut younger = Other::takes_over(&node);
    // The younger one does not answer; the client gets its answer all the same.
    assert_eq!(answer(client).status(), 502);
    assert!(hop.request().message.start.starts_with("DELETE "));
    assert_eq!(younger.decoder.next_frame(), Ok(None), "it was to move");
    younger.stream.set_nonblocking(true).expect("a socket");
    let said = younger.stream.read(&mut [0]).map_err(|e| e.kind());
    assert_eq!(said, Err(ErrorKind::WouldBlock), "it was to move, or the link is given up");
}

#[test]
fn a_word_for_an_unknown_job_is_to_be_said_again_while_the_other_process_may_serve_on() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::configured(&[("s-1", &hop)], patient);
    let word = r#"{"id":"r9","from":"s-1","state":"failed"}"#;
    assert_eq!(node.callback(word), 204);
    // The younger one gives the link up, and runs on: it is the test itself.
    drop(Other::takes_over(&node));
    node.says_of("the other process is gone");
    assert_eq!(node.callback(word), 503);
    // One that is no more holds nothing.
    let discovery = Server::start();
    let younger = Node::heard(node.spawn_beside(discovery.address));
    node.says_of("a successor has come");
    younger.kill();
    node.says_of("the other process is gone");
    assert_eq!(node.callback(word), 204);
}

/// A job from a new client is the next that the hop gets, and is served.
fn serves(at: SocketAddr, hop: &Server, id: &str) {
    let client = write(at, &job(id, "view", 9.0, ""));
    let got = hop.request();
    assert_eq!(got.message.header("x-request-id"), Some(id), "another one goes out");
    got.answer("202 Accepted");
    let told = format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"x"}}"#);
    let head = format!("POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", told.len());
    assert_eq!(ask(at, &(head + &told)).status(), 204);
    assert_eq!(answer(client).status(), 200);
}

#[test]
fn of_two_processes_never_do_both_hold_a_job_whose_move_breaks_off() {
    // A job that is out nowhere is to move.
    let hops = [Server::start(), Server::start()];
    let (elder, watch, _discovery) = Node::configured(&[], patient);
    let client = write(elder.address, &job("r1", "order", 60.0, ""));
    until(|| elder.count("curlewusher_jobs_taken_total") == 1);
    let mut to_elder = Other::takes_over(&elder);
    let (_, moved) = to_elder.moved();

    // The younger one gets it, and the elder has given the link up before it can hear so.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    let discovery = Server::start();
    let known = [endpoint("s-1", hops[1].address, "in_service")];
    let (mut to_younger, younger) = Other::is_followed(&patient(discovery.address, &known), &listener);
    Watch::open(&discovery).line(&list(42, true, &known));
    let (seq, asks) = to_younger.hears();
    assert_eq!(asks, Frame::TakeoverRequest);
    to_younger.say(seq, Frame::TakeoverGranted("".into()));
    // What it says next does not reach anybody.
    to_younger.stream.shutdown(Shutdown::Read).expect("it is up");
    let socket = TcpStream::connect(at).expect("it listens");
    to_younger.say_with(&socket, &moved.encode(9).expect("short"));
    younger.says_of("the other process is gone");
    serves(at, &hops[1], "r2");
    assert!(!hops[1].has_more(), "it is the elder's");

    drop(to_elder);
    elder.says_of("the other process is gone");
    watch.line(&list(43, false, &[endpoint("s-1", hops[0].address, "in_service")]));
    let got = hops[0].request();
    assert_eq!(got.message.header("x-request-id"), Some("r1"));
    got.answer("202 Accepted");
    elder.tell("r1", "s-1", r#""state":"done","result":"x""#);
    assert_eq!(answer(client).status(), 200);
}

#[test]
fn open_jobs_leave_room_for_what_ends_them_however_many_a_site_allows() {
    // More than the queue has room for besides.
    const JOBS: usize = 4160;
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let most = getrlimit(Resource::Nofile).maximum;
    setrlimit(Resource::Nofile, Rlimit { current: most, maximum: most }).expect("its own to raise");
    // They all wait: no next hop is there, and nobody says of one.
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    let text = config(nowhere, &[]).replace(r#""sockets":1024"#, r#""sockets":16384"#);
    let node = Node::start_within(&text.replace("9000000", "900000000"), 5000);
    let mut clients: Vec<_> =
        (0..JOBS).map(|n| write(node.address, &job(&n.to_string(), "order", 900.0, ""))).collect();
    // On a busy machine that takes long, but it never rests.
    let mut taken = 0;
    while taken < JOBS as u64 {
        let so_far = taken;
        until(|| {
            taken = node.count("curlewusher_jobs_taken_total");
            taken > so_far
        });
    }
    // A call-back is heard, and so is the end of a client.
    node.tell("0", "s-1", r#""state":"started""#);
    clients.pop();
    until(|| node.count("curlewusher_clients_gone_total") == 1);
}

#[test]
fn odd_settings_of_a_site_keep_no_job_from_being_served() {
    let end = u64::MAX;
    for (was, is) in [
        // Nothing could be sent by a connection that is to be up at once.
        (r#""connectTimeoutUs":500000,"#, ""),
        (r#""connectTimeoutUs":500000"#, r#""connectTimeoutUs":0"#),
        (r#","keepaliveUs":120000000"#, ""),
        (r#""keepaliveUs":120000000"#, r#""keepaliveUs":0"#),
        (r#""maxRetryAfterUs":2000000"#, r#""maxRetryAfterUs":0"#),
        (r#""sendCap":3"#, r#""sendCap":1"#),
        (r#""cancel":true"#, r#""cancel":false"#),
        (r#""askWithinUs":10000000"#, r#""askWithinUs":0"#),
        (r#""fallUs":1000000"#, r#""fallUs":0"#),
        (r#""warmUpUs":1000000"#, r#""warmUpUs":0"#),
        (r#""dedupWindowUs":40000000"#, r#""dedupWindowUs":0"#),
        // What stands for 'without end'.
        (r#""objectiveUs":9000000"#, &format!(r#""objectiveUs":{end}"#)),
        (r#""giveUpUs":9000000"#, &format!(r#""giveUpUs":{end}"#)),
        (r#""dedupWindowUs":40000000"#, &format!(r#""dedupWindowUs":{end}"#)),
        (r#""connectTimeoutUs":500000"#, &format!(r#""connectTimeoutUs":{end}"#)),
        (r#""keepaliveUs":120000000"#, &format!(r#""keepaliveUs":{end}"#)),
        (r#""maxRetryAfterUs":2000000"#, &format!(r#""maxRetryAfterUs":{end}"#)),
        (r#""askWithinUs":10000000"#, &format!(r#""askWithinUs":{end}"#)),
        (r#""fallUs":1000000"#, &format!(r#""fallUs":{end}"#)),
        (r#""warmUpUs":1000000"#, &format!(r#""warmUpUs":{end}"#)),
        (r#""sockets":1024"#, &format!(r#""sockets":{end}"#)),
    ] {
        let odd = |discovery, known: &[String]| {
            let text = config(discovery, known);
            assert!(text.contains(was), "{was}");
            text.replace(was, is)
        };
        let hop = Server::start();
        let (node, _watch, _discovery) = Node::configured(&[("s-1", &hop)], odd);
        let request = job("r1", "register", 8.0, "Idempotency-Key: k9\r\n");
        let client = write(node.address, &request);
        let got = hop.request();
        got.answer("202 Accepted");
        node.tell("r1", "s-1", r#""state":"done","result":"x""#);
        assert_eq!(answer(client).status(), 200, "{was} {is}");
    }
}

#[test]
fn a_setting_that_cannot_be_worked_with_is_named_as_it_is_written_with_what_would_be_right() {
    let good = config("127.0.0.1:1".parse().expect("an address"), &[]);
    for (was, is, said) in [
        (r#""sendCap":3"#, r#""sendCap":0"#, "settings.limits.sendCap: max_attempts is zero; give 1 or more"),
        (r#""giveUpUs":9000000"#, r#""giveUpUs":0"#, "settings.services.giveUpUs: "),
        (r#""balancers":1"#, r#""balancers":0"#, "settings.balancers: nodes is zero; give "),
        (r#""coldShare":0.2"#, r#""coldShare":2"#, "settings.rules.coldShare: "),
        (r#""overloadFactor":3.0"#, r#""overloadFactor":-1"#, "settings.rules.overloadFactor: "),
        (r#""discovery":"subscribe""#, r#""discovery":"ask""#, "settings.discovery is neither automatic nor"),
    ] {
        assert!(good.contains(was), "{was}");
        let node = Node::spawn(&good.replace(was, is), 1024).0.wait_with_output().expect("it ends");
        let line = String::from_utf8(node.stderr).expect("text");
        assert_eq!(node.status.code(), Some(2), "{line}");
        assert!(line.contains(said) && line.lines().count() == 1, "{said}: {line}");
    }
}

#[test]
fn a_site_that_does_not_say_how_long_connections_take_has_usual_ones() {
    let text = config("127.0.0.1:1".parse().expect("an address"), &[]);
    let written = r#","connectTimeoutUs":500000,"keepaliveUs":120000000"#;
    assert!(text.contains(written));
    let file = Node::file(&text.replace(written, ""));
    let mut check = std::process::Command::new(env!("CARGO_BIN_EXE_curlewusher"));
    let said = check.arg("check").env("RELAY_CONFIG", file).output().expect("it starts");
    let said = String::from_utf8(said.stdout).expect("text");
    for line in ["connectTimeoutUs = 500000  # default", "keepaliveUs = 1000000  # default"] {
        assert!(said.contains(&format!("settings.limits.{line}")), "{said}");
    }
}

#[test]
fn where_a_site_has_no_advice_on_coming_again_none_is_given() {
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    for (most, advised) in [("2000000", true), ("0", false)] {
        let text = config(nowhere, &[])
            .replace("\"maxRetryAfterUs\":2000000", &format!("\"maxRetryAfterUs\":{most}"));
        let node = Node::start(&text);
        let answer = ask(node.address, &job("r1", "view", 0.3, ""));
        assert_eq!((answer.status(), answer.header("retry-after").is_some()), (503, advised), "{most}");
    }
}
