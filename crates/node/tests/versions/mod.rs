//! Compatibility of two processes of one node that run different versions of the program.
//!
//! The golden files hold the frames that a predecessor of an earlier version sent: their bytes in
//! `link_*.txt`, and the long payloads in `older_*.json` with the times of the recording. As predecessor, the
//! program must send the same frames. As successor, it must accept the recorded ones.
//!
//! To record the files again, run
//! `CURLEWUSHER_RECORD=1 cargo test -p curlewusher-node --test node versions -- --test-threads=1`.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use curlewusher_control::command::{AdminCommand, CommandError};
use curlewusher_control::frame::Frame;

use crate::common::{
    Node, ScriptedPeer, ScriptedServer, ScriptedWatch, assert_matches_golden, callback_request, job_request,
    node_config_for_handover, open_request, read_response, send_admin_command, send_request,
    wait_for_counter,
};

/// Number of digits of a time in microseconds since the Unix epoch.
const TIMESTAMP_DIGITS: usize = 16;
/// Maximum number of decimals of a configured number. Measured numbers have more.
const MAX_CONFIGURED_DECIMALS: usize = 3;
/// Addresses of the workers `s-1` and `s-2` in the golden files.
const RECORDED_ADDRESSES: [&str; 2] = ["10.0.0.1:80", "10.0.0.2:80"];

/// Replaces each run of digits and points in a text with the result of `replace`.
fn replace_numbers(text: &str, mut replace: impl FnMut(&str) -> String) -> String {
    let is_numeric = |character: char| character.is_ascii_digit() || character == '.';
    let parts = text.chars().collect::<Vec<_>>();
    let parts = parts.chunk_by(|one, next| is_numeric(*one) == is_numeric(*next)).map(String::from_iter);
    parts.map(|part| if part.starts_with(is_numeric) { replace(&part) } else { part }).collect()
}

/// Returns whether a number is a time in microseconds since the Unix epoch.
fn is_time(number: &str) -> bool {
    number.len() == TIMESTAMP_DIGITS && !number.contains('.')
}

/// Masks the numbers of a payload that differ from run to run.
fn mask_varying_numbers(payload: &str) -> String {
    let payload = replace_numbers(payload, |number| match number.split_once('.') {
        None if is_time(number) => "TIME".to_owned(),
        Some((_, decimals)) if decimals.len() > MAX_CONFIGURED_DECIMALS => "MEASURED".to_owned(),
        _ => number.to_owned(),
    });
    // Slots in use are counted at intervals, so a slot may or may not have been counted.
    payload.replace("-MEASURED", "MEASURED").replace(r#""seen_slots":1.0"#, r#""seen_slots":0.0"#)
}

/// Asserts that a payload is as recorded in this golden file, apart from numbers that differ from run to run.
/// With `CURLEWUSHER_RECORD=1` the file is written instead.
fn assert_matches_payload(name: &str, payload: &str) {
    let file = format!("tests/golden/{name}");
    if std::env::var_os("CURLEWUSHER_RECORD").is_some_and(|record| record == "1") {
        std::fs::write(&file, payload).expect("writing the golden file failed");
    }
    let golden = std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{file}: {error}"));
    assert_eq!(mask_varying_numbers(payload), mask_varying_numbers(&golden), "{file}");
}

/// Callback of the worker `s-2` that completes the migrated job.
const MIGRATED_JOB_COMPLETED: &str = r#"{"id":"moved","from":"s-2","state":"done","result":"x"}"#;

/// Two workers, whose addresses are replaced with fixed ones in the golden files.
struct Workers([ScriptedServer; 2]);

impl Workers {
    fn start() -> Workers {
        Workers([ScriptedServer::start(), ScriptedServer::start()])
    }

    /// Returns the workers as endpoints that are in service.
    fn endpoints(&self) -> Vec<String> {
        let named = self.0.iter().zip(["s-1", "s-2"]);
        named.map(|(worker, name)| worker.endpoint_json(name, "in_service")).collect()
    }

    /// Returns a payload with the recorded addresses in place of the actual ones.
    fn with_recorded_addresses(&self, payload: &[u8]) -> String {
        let text = String::from_utf8(payload.to_vec()).expect("the payload is not UTF-8");
        let addresses = self.0.iter().zip(RECORDED_ADDRESSES);
        addresses.fold(text, |text, (worker, recorded)| text.replace(&worker.address.to_string(), recorded))
    }

    /// Reads a recorded payload. Replaces the recorded addresses with the actual ones, and shifts its times
    /// as if the recorded job had been accepted now.
    fn replayed_payload(&self, name: &str) -> String {
        let read = |name| {
            std::fs::read_to_string(format!("tests/golden/{name}")).expect("reading the golden file failed")
        };
        let job = read("older_move.json");
        let accepted_at =
            job.split(r#""taken":"#).nth(1).and_then(|rest| rest[..TIMESTAMP_DIGITS].parse::<u64>().ok());
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is before 1970").as_micros()
            as u64;
        let shift = now - accepted_at.expect("the recorded job has no time");
        let text = replace_numbers(&read(name), |number| match number.parse::<u64>() {
            Ok(time) if is_time(number) => (time + shift).to_string(),
            _ => number.to_owned(),
        });
        let addresses = self.0.iter().zip(RECORDED_ADDRESSES);
        addresses.fold(text, |text, (worker, recorded)| text.replace(recorded, &worker.address.to_string()))
    }
}

/// Encodes a migrated job: the length of its record, the record, and the request's body.
fn encode_job(record: &str) -> Bytes {
    [&(record.len() as u32).to_be_bytes(), record.as_bytes(), b"body"].concat().into()
}

/// Returns the record of an encoded job, and asserts that the request's body follows it.
fn job_record(job: &[u8]) -> &[u8] {
    let length = u32::from_be_bytes(job[..4].try_into().expect("the length is incomplete")) as usize;
    assert_eq!(&job[4 + length..], b"body");
    &job[4..4 + length]
}

/// Link on which the test acts as one process of a node, with a transcript of all frames.
struct RecordedExchange<'a> {
    peer: ScriptedPeer,
    names: [&'static str; 2],
    workers: &'a Workers,
    transcript: String,
}

impl<'a> RecordedExchange<'a> {
    /// Begins a transcript in which `names` are the names of the scripted process and of the program, in this
    /// order.
    fn new(peer: ScriptedPeer, names: [&'static str; 2], workers: &'a Workers) -> RecordedExchange<'a> {
        RecordedExchange { peer, names, workers, transcript: String::new() }
    }

    /// Adds a frame to the transcript: all its bytes, or the fixed part of its header and a description of
    /// its payload if the payload varies. `sender` is an index into `names`.
    fn record(&mut self, sender: usize, seq: u64, frame: &Frame) {
        let bytes = frame.encode(seq).expect("the frame is too long");
        let fixed_header = bytes[..14].escape_ascii();
        let line = match frame {
            Frame::Accepted(_) | Frame::TakeoverGranted(_) => format!("{fixed_header} and what was learned"),
            Frame::MigrateJob(_) => format!("{fixed_header} and a job"),
            Frame::CancelAttempt { .. } => {
                format!("{fixed_header} and {}", self.workers.with_recorded_addresses(&bytes[22..]))
            }
            _ => bytes.escape_ascii().to_string(),
        };
        self.transcript.extend([self.names[sender], ": ", &line, "\n"]);
    }

    /// Sends and records a frame.
    fn send(&mut self, seq: u64, frame: &Frame) {
        self.record(0, seq, frame);
        self.peer.send_frame(seq, frame);
    }

    /// Sends a job with its client's socket, and records the frame.
    fn send_job(&mut self, seq: u64, job: Bytes, client: &TcpStream) {
        let frame = Frame::MigrateJob(job);
        self.record(0, seq, &frame);
        self.peer.send_with_descriptor(client, &frame.encode(seq).expect("the frame is too long"));
    }

    /// Waits for the next frame and records it.
    fn next_frame(&mut self) -> (u64, Frame) {
        let (seq, frame) = self.peer.next_frame();
        self.record(1, seq, &frame);
        (seq, frame)
    }

    /// Waits for the next frame, which must be this one, and records it. Returns its sequence number.
    fn expect_frame(&mut self, frame: &Frame) -> u64 {
        let (seq, received) = self.next_frame();
        assert_eq!(&received, frame);
        seq
    }
}

/// Sends a request on a thread of its own, since the response depends on frames that the test sends
/// meanwhile.
fn spawn<T: Send + 'static>(request: impl FnOnce() -> T + Send + 'static) -> std::thread::JoinHandle<T> {
    std::thread::spawn(request)
}

/// Completes a job, and leaves another one in flight: its request has all optional headers, its first attempt
/// has failed at `s-1`, and its retry runs at `s-2`. Returns the client of the latter.
fn leave_retried_job_in_flight(node: &Node, admin_address: SocketAddr, workers: &Workers) -> TcpStream {
    let assert_succeeds =
        |line: &str| assert_eq!(send_admin_command(admin_address, &format!("{line}\n")), "+OK");
    assert_succeeds("DISABLE s-1");
    let client = node.submit_job("served", "view", 8.0);
    node.serve_job(client, &workers.0[1].next_request(), "served", "s-2");
    assert_succeeds("ENABLE s-1");
    assert_succeeds("DISABLE s-2");
    let headers = "Idempotency-Key: k9\r\nContent-Type: text/plain\r\n";
    let client = open_request(node.address, &job_request("moved", "view", 60.0, headers));
    workers.0[0].next_request().accept();
    wait_for_counter(node, "curlewusher_delivery_attempts_accepted_total", 2);
    assert_succeeds("DISABLE s-1");
    assert_succeeds("ENABLE s-2");
    node.post_callback("moved", "s-1", r#""state":"failed""#);
    workers.0[1].next_request().accept();
    wait_for_counter(node, "curlewusher_delivery_attempts_accepted_total", 3);
    node.post_callback("moved", "s-2", r#""state":"started""#);
    node.post_callback("moved", "s-2", r#""state":"running","share":0.25"#);
    client
}

/// Asserts that each process answers claims, callbacks and operator commands of its peer before the takeover.
fn exchange_requests(successor: &mut RecordedExchange<'_>, address: SocketAddr, admin_address: SocketAddr) {
    for (seq, id) in [(1, "moved"), (2, "new")] {
        successor.send(seq, &Frame::ClaimJob(id.into()));
        successor.expect_frame(&Frame::ClaimResult(id == "new"));
    }
    successor.send(3, &Frame::Command(AdminCommand::Disable("s-9".into())));
    successor.expect_frame(&Frame::CommandResult(Ok(())));
    successor.send(4, &Frame::Command(AdminCommand::Enable("s-9".into())));
    successor.expect_frame(&Frame::CommandResult(Ok(())));
    let response = spawn(move || send_request(address, &job_request("copy", "view", 8.0, "")).status());
    let seq = successor.expect_frame(&Frame::ClaimJob("copy".into()));
    successor.send(seq, &Frame::ClaimResult(false));
    assert_eq!(response.join().expect("the requesting thread panicked"), 409);
    let callback = r#"{"id":"theirs","from":"s-1","state":"failed"}"#;
    let response = spawn(move || send_request(address, &callback_request(callback)).status());
    let seq = successor.expect_frame(&Frame::Callback(callback.into()));
    successor.send(seq, &Frame::CallbackResult(true));
    assert_eq!(response.join().expect("the requesting thread panicked"), 204);
    for (command, result) in
        [(AdminCommand::Drain, Ok(())), (AdminCommand::Enable("s-2".into()), Err(CommandError::ShuttingDown))]
    {
        let line = format!("{command}\n");
        let response = spawn(move || send_admin_command(admin_address, &line));
        let seq = successor.expect_frame(&Frame::Command(command));
        successor.send(seq, &Frame::CommandResult(result.clone()));
        assert_eq!(
            response.join().expect("the requesting thread panicked").starts_with("+OK"),
            result.is_ok()
        );
    }
}

#[test]
fn successor_takes_over_and_rolls_back_then_frames_are_as_recorded() {
    let workers = Workers::start();
    let named = [("s-1", &workers.0[0]), ("s-2", &workers.0[1])];
    let (node, _watch, _discovery) = Node::start_with_config(&named, node_config_for_handover);
    let (address, admin_address) = (node.address, node.admin_address());
    let client = leave_retried_job_in_flight(&node, admin_address, &workers);
    let hello = |name: &str| Frame::Hello { node: name.into(), listen: "127.0.0.1:0".into() };

    let mut rejected = RecordedExchange::new(ScriptedPeer::connect(&node), ["newer", "older"], &workers);
    rejected.send(0, &hello("another"));
    rejected.next_frame();
    let mut successor = RecordedExchange::new(ScriptedPeer::connect(&node), ["newer", "older"], &workers);
    successor.transcript = rejected.transcript;
    successor.send(0, &hello("n0"));
    successor.peer.read_listener();
    let (_, Frame::Accepted(snapshot)) = successor.next_frame() else {
        panic!("the successor was not accepted")
    };
    assert_matches_payload("older_welcome.json", &workers.with_recorded_addresses(&snapshot));

    exchange_requests(&mut successor, address, admin_address);

    successor.send(5, &Frame::TakeoverRequest);
    let (5, Frame::TakeoverGranted(snapshot)) = successor.next_frame() else {
        panic!("the takeover was not granted")
    };
    assert_matches_payload("older_yours.json", &workers.with_recorded_addresses(&snapshot));
    let (seq, Frame::MigrateJob(job)) = successor.next_frame() else { panic!("no job migrated") };
    assert_matches_payload("older_move.json", &workers.with_recorded_addresses(job_record(&job)));
    successor.send(seq, &Frame::MigrationResult(false));
    successor.send(6, &Frame::HandBack);
    successor.send(7, &Frame::Command(AdminCommand::Undrain));
    successor.expect_frame(&Frame::CommandResult(Ok(())));
    successor.send(8, &Frame::Callback(MIGRATED_JOB_COMPLETED.into()));
    successor.expect_frame(&Frame::CallbackResult(true));
    assert_matches_golden("link_newer_played.txt", &successor.transcript);
    drop(successor);
    // The predecessor continues to serve alone.
    let result = read_response(client);
    assert_eq!((result.status(), result.body.as_str()), (200, "x"));
    while send_admin_command(admin_address, "READY\n") != "+OK" {}
    let client = open_request(address, &job_request("after", "view", 8.0, ""));
    workers.0[1].next_request().accept();
    while node.send_callback(r#"{"id":"after","from":"s-2","state":"done","result":"y"}"#) == 503 {}
    assert_eq!(read_response(client).body, "y");
}

/// Program that runs as the successor of a scripted predecessor, which replays the recording. The recorded
/// job has migrated to the program.
struct ReplayedTakeover<'a> {
    predecessor: RecordedExchange<'a>,
    node: Node,
    admin_address: SocketAddr,
    /// Connection on which the job's client waits for its response.
    client: TcpStream,
    _discovery: (ScriptedServer, ScriptedWatch),
}

/// Starts the program and replays the takeover up to the migration of the recorded job.
fn replay_takeover(workers: &Workers) -> ReplayedTakeover<'_> {
    let discovery = ScriptedServer::start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("binding a port failed");
    let config = node_config_for_handover(discovery.address, &workers.endpoints());
    let accepted = workers.replayed_payload("older_welcome.json");
    let (peer, node) = ScriptedPeer::accept_successor_with_snapshot(&config, &listener, accepted.into());
    let admin_address = node.admin_address();
    let mut predecessor = RecordedExchange::new(peer, ["older", "newer"], workers);
    let watch = ScriptedWatch::open(&discovery);
    watch.send_endpoints(42, true, &workers.endpoints());
    let seq = predecessor.expect_frame(&Frame::TakeoverRequest);
    predecessor.send(seq, &Frame::TakeoverGranted(workers.replayed_payload("older_yours.json").into()));
    let clients = TcpListener::bind("127.0.0.1:0").expect("binding a port failed");
    let client = open_request(clients.local_addr().expect("the listener has no address"), "");
    let (client_socket, _) = clients.accept().expect("accepting the client failed");
    predecessor.send_job(1, encode_job(&workers.replayed_payload("older_move.json")), &client_socket);
    predecessor.expect_frame(&Frame::MigrationResult(true));
    assert_eq!(node.address, listener.local_addr().expect("the listener has no address"));
    ReplayedTakeover { predecessor, node, admin_address, client, _discovery: (discovery, watch) }
}

#[test]
fn recorded_predecessor_hands_over_then_successor_serves_with_its_state() {
    let workers = Workers::start();
    let ReplayedTakeover { mut predecessor, node, admin_address, client, .. } = replay_takeover(&workers);
    // The drain and the disabled worker are part of the predecessor's state.
    assert!(send_admin_command(admin_address, "READY\n").starts_with("-ERR drained"));
    let undrain = spawn(move || send_admin_command(admin_address, "UNDRAIN\n"));
    let seq = predecessor.expect_frame(&Frame::Command(AdminCommand::Undrain));
    predecessor.send(seq, &Frame::CommandResult(Ok(())));
    assert_eq!(undrain.join().expect("the requesting thread panicked"), "+OK");
    assert_eq!(send_admin_command(admin_address, "READY\n"), "+OK");
    for id in ["r1", "r2", "r3", "r4"] {
        let client = node.submit_job(id, "view", 8.0);
        let seq = predecessor.expect_frame(&Frame::ClaimJob(id.into()));
        predecessor.send(seq, &Frame::ClaimResult(true));
        workers.0[1].next_request().accept();
        node.post_callback(id, "s-2", r#""state":"done","result":"y""#);
        assert_eq!(read_response(client).status(), 200);
    }
    predecessor.send(2, &Frame::ClaimJob("moved".into()));
    predecessor.expect_frame(&Frame::ClaimResult(false));
    predecessor.send(3, &Frame::CancelAttempt { worker: workers.0[1].address, job_id: "w".into() });
    let cancellation = workers.0[1].next_request();
    assert_eq!(cancellation.message.start_line, "DELETE /jobs/w HTTP/1.1");
    cancellation.respond("200 OK");
    assert_matches_golden("link_older_played.txt", &predecessor.transcript);
    assert_eq!(node.send_callback(MIGRATED_JOB_COMPLETED), 204);
    let result = read_response(client);
    assert_eq!((result.status(), result.body.as_str()), (200, "x"));
    assert!(!workers.0.iter().any(ScriptedServer::has_pending_request), "a duplicate attempt was sent");
}

#[test]
fn recorded_predecessor_is_lost_after_migration_then_successor_answers_the_job() {
    let workers = Workers::start();
    let ReplayedTakeover { predecessor, node, client, .. } = replay_takeover(&workers);
    drop(predecessor);
    // Until the successor notices the lost link, it may ask the worker to redeliver the callback.
    while node.send_callback(MIGRATED_JOB_COMPLETED) == 503 {}
    assert_eq!(read_response(client).body, "x");
}

#[test]
fn successor_rolls_back_to_recorded_predecessor_then_job_returns_unchanged() {
    let workers = Workers::start();
    let ReplayedTakeover { mut predecessor, node, client, .. } = replay_takeover(&workers);
    node.signal("-TERM");
    predecessor.expect_frame(&Frame::HandBack);
    let (seq, Frame::MigrateJob(job)) = predecessor.next_frame() else { panic!("no job migrated") };
    let recorded =
        std::fs::read_to_string("tests/golden/older_move.json").expect("reading the golden file failed");
    assert_eq!(
        mask_varying_numbers(&workers.with_recorded_addresses(job_record(&job))),
        mask_varying_numbers(&recorded)
    );
    predecessor.send(seq, &Frame::MigrationResult(false));
    predecessor.send(2, &Frame::Callback(MIGRATED_JOB_COMPLETED.into()));
    let mut next = predecessor.next_frame();
    while matches!(next.1, Frame::MigrateJob(_)) {
        predecessor.send(next.0, &Frame::MigrationResult(false));
        next = predecessor.next_frame();
    }
    assert_eq!(next.1, Frame::CallbackResult(true));
    assert_eq!(read_response(client).body, "x");
    assert_eq!(node.wait_for_exit().status.code(), Some(0));
}
