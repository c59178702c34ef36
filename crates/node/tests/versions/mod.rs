//! Two processes of one node that are of different versions. What the older one says was recorded from an earlier version
//! in `tests/golden`: frames with their bytes in `link_*.txt`, and the long payloads in `older_*.json` with the times of
//! that day. The real program must say the same, and must understand it as a successor.
//!
//! To record anew: `CURLEWUSHER_RECORD=1 cargo test -p curlewusher-node --test node versions -- --test-threads=1`.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use curlewusher_control::command::{AdminCommand, CommandError};
use curlewusher_control::frame::Frame;

use crate::common::{
    Node, ScriptedProcess, ScriptedServer, ScriptedWatch, assert_matches_golden, call_operator,
    callback_request, job_request, node_config_for_handover, open_request, read_response, send_request,
    wait_for_counter,
};

/// Digits of a moment in microseconds since the Unix epoch.
const TIME_DIGITS: usize = 16;
/// A measured figure has more decimals than one that was given.
const GIVEN_DECIMALS: usize = 3;
/// Where the workers `s-1` and `s-2` are in golden files.
const RECORDED: [&str; 2] = ["10.0.0.1:80", "10.0.0.2:80"];

/// A text with each run of digits and points replaced by what `number` makes of it.
fn replace_numbers(text: &str, mut number: impl FnMut(&str) -> String) -> String {
    let is_part = |c: char| c.is_ascii_digit() || c == '.';
    let parts = text.chars().collect::<Vec<_>>();
    let parts = parts.chunk_by(|one, next| is_part(*one) == is_part(*next)).map(String::from_iter);
    parts.map(|part| if part.starts_with(is_part) { number(&part) } else { part }).collect()
}

fn is_time(number: &str) -> bool {
    number.len() == TIME_DIGITS && !number.contains('.')
}

/// A payload without what differs from run to run.
fn mask_varying_numbers(payload: &str) -> String {
    let payload = replace_numbers(payload, |number| match number.split_once('.') {
        None if is_time(number) => "TIME".to_owned(),
        Some((_, decimals)) if decimals.len() > GIVEN_DECIMALS => "MEASURED".to_owned(),
        _ => number.to_owned(),
    });
    // Slots that were seen at work are counted now and then, so that one may or may not have been.
    payload.replace("-MEASURED", "MEASURED").replace(r#""seen_slots":1.0"#, r#""seen_slots":0.0"#)
}

/// Compares a payload with the recorded one of that name.
fn assert_matches_payload(name: &str, payload: &str) {
    let file = format!("tests/golden/{name}");
    if std::env::var_os("CURLEWUSHER_RECORD").is_some_and(|record| record == "1") {
        std::fs::write(&file, payload).expect("a place for the golden file");
    }
    let golden = std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{file}: {error}"));
    assert_eq!(mask_varying_numbers(payload), mask_varying_numbers(&golden), "{file}");
}
/// The callback of worker `s-2` that completes the job which has moved.
const MOVED_JOB_COMPLETED: &str = r#"{"id":"moved","from":"s-2","state":"done","result":"x"}"#;

/// Two workers, and their addresses in golden files.
struct Workers([ScriptedServer; 2]);

impl Workers {
    fn start() -> Workers {
        Workers([ScriptedServer::start(), ScriptedServer::start()])
    }

    fn known(&self) -> Vec<String> {
        let named = self.0.iter().zip(["s-1", "s-2"]);
        named.map(|(worker, name)| worker.endpoint_json(name, "in_service")).collect()
    }

    /// A payload of today as it is recorded.
    fn recorded(&self, payload: &[u8]) -> String {
        let text = String::from_utf8(payload.to_vec()).expect("text");
        let addresses = self.0.iter().zip(RECORDED);
        addresses.fold(text, |text, (worker, recorded)| text.replace(&worker.address.to_string(), recorded))
    }

    /// A recorded payload as though the job in it had been taken now.
    fn replayed(&self, name: &str) -> String {
        let read = |name| std::fs::read_to_string(format!("tests/golden/{name}")).expect("it was recorded");
        let job = read("older_move.json");
        let taken = job.split(r#""taken":"#).nth(1).and_then(|rest| rest[..TIME_DIGITS].parse::<u64>().ok());
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after it").as_micros() as u64;
        let later = now - taken.expect("a time");
        let text = replace_numbers(&read(name), |number| match number.parse::<u64>() {
            Ok(time) if is_time(number) => (time + later).to_string(),
            _ => number.to_owned(),
        });
        let addresses = self.0.iter().zip(RECORDED);
        addresses.fold(text, |text, (worker, recorded)| text.replace(recorded, &worker.address.to_string()))
    }
}

/// A job that moves, as bytes: the length of the record, the record, and the request's body.
fn with_body(record: &str) -> Bytes {
    [&(record.len() as u32).to_be_bytes(), record.as_bytes(), b"body"].concat().into()
}

fn without_body(job: &[u8]) -> &[u8] {
    let length = u32::from_be_bytes(job[..4].try_into().expect("four bytes")) as usize;
    assert_eq!(&job[4 + length..], b"body");
    &job[4..4 + length]
}

/// The link between both processes at the test's end, and all that is said on it.
struct RecordedExchange<'a> {
    other: ScriptedProcess,
    names: [&'static str; 2],
    workers: &'a Workers,
    text: String,
}

impl<'a> RecordedExchange<'a> {
    /// `names`: what the test plays, and what the program is.
    fn new(other: ScriptedProcess, names: [&'static str; 2], workers: &'a Workers) -> RecordedExchange<'a> {
        RecordedExchange { other, names, workers, text: String::new() }
    }

    /// Records a frame: its bytes, or of a payload that varies the header and the part that stays the same.
    fn record(&mut self, by: usize, seq: u64, frame: &Frame) {
        let bytes = frame.encode(seq).expect("short");
        let steady_header = bytes[..14].escape_ascii();
        let line = match frame {
            Frame::Accepted(_) | Frame::TakeoverGranted(_) => format!("{steady_header} and what was learned"),
            Frame::MigrateJob(_) => format!("{steady_header} and a job"),
            Frame::CancelAttempt { .. } => {
                format!("{steady_header} and {}", self.workers.recorded(&bytes[22..]))
            }
            _ => bytes.escape_ascii().to_string(),
        };
        self.text.extend([self.names[by], ": ", &line, "\n"]);
    }

    fn send(&mut self, seq: u64, frame: &Frame) {
        self.record(0, seq, frame);
        self.other.send_frame(seq, frame);
    }

    /// A job with its client's socket.
    fn send_job(&mut self, seq: u64, job: Bytes, client: &TcpStream) {
        let frame = Frame::MigrateJob(job);
        self.record(0, seq, &frame);
        self.other.send_with_descriptor(client, &frame.encode(seq).expect("short"));
    }

    fn next_frame(&mut self) -> (u64, Frame) {
        let (seq, frame) = self.other.next_frame();
        self.record(1, seq, &frame);
        (seq, frame)
    }

    /// What is received next, which must be this.
    fn expect_frame(&mut self, frame: &Frame) -> u64 {
        let (seq, received) = self.next_frame();
        assert_eq!(&received, frame);
        seq
    }
}

/// Sends a request on a thread of its own, since it is answered only after what the test sends on the link.
fn spawn<T: Send + 'static>(ask: impl FnOnce() -> T + Send + 'static) -> std::thread::JoinHandle<T> {
    std::thread::spawn(ask)
}

/// A job with all that a request can have, which has failed at `s-1` and is retried at `s-2`, and an earlier one.
fn serve_and_hold(node: &Node, operators: SocketAddr, workers: &Workers) -> TcpStream {
    let assert_succeeds = |line: &str| assert_eq!(call_operator(operators, &format!("{line}\n")), "+OK");
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

/// Before the takeover, each process answers claims, callbacks and operator commands of the other.
fn exchange_requests(newer: &mut RecordedExchange<'_>, address: SocketAddr, operators: SocketAddr) {
    for (seq, id) in [(1, "moved"), (2, "new")] {
        newer.send(seq, &Frame::ClaimJob(id.into()));
        newer.expect_frame(&Frame::ClaimResult(id == "new"));
    }
    newer.send(3, &Frame::Command(AdminCommand::Disable("s-9".into())));
    newer.expect_frame(&Frame::CommandResult(Ok(())));
    newer.send(4, &Frame::Command(AdminCommand::Enable("s-9".into())));
    newer.expect_frame(&Frame::CommandResult(Ok(())));
    let response = spawn(move || send_request(address, &job_request("copy", "view", 8.0, "")).status());
    let seq = newer.expect_frame(&Frame::ClaimJob("copy".into()));
    newer.send(seq, &Frame::ClaimResult(false));
    assert_eq!(response.join().expect("an answer"), 409);
    let callback = r#"{"id":"theirs","from":"s-1","state":"failed"}"#;
    let response = spawn(move || send_request(address, &callback_request(callback)).status());
    let seq = newer.expect_frame(&Frame::Callback(callback.into()));
    newer.send(seq, &Frame::CallbackResult(true));
    assert_eq!(response.join().expect("an answer"), 204);
    for (command, result) in
        [(AdminCommand::Drain, Ok(())), (AdminCommand::Enable("s-2".into()), Err(CommandError::ShuttingDown))]
    {
        let line = format!("{command}\n");
        let response = spawn(move || call_operator(operators, &line));
        let seq = newer.expect_frame(&Frame::Command(command));
        newer.send(seq, &Frame::CommandResult(result.clone()));
        assert_eq!(response.join().expect("an answer").starts_with("+OK"), result.is_ok());
    }
}

#[test]
fn newer_process_takes_over_and_gives_back_then_frames_are_as_recorded() {
    let workers = Workers::start();
    let named = [("s-1", &workers.0[0]), ("s-2", &workers.0[1])];
    let (node, _watch, _discovery) = Node::start_with_config(&named, node_config_for_handover);
    let (address, operators) = (node.address, node.operator_address());
    let client = serve_and_hold(&node, operators, &workers);
    let hello = |name: &str| Frame::Hello { node: name.into(), listen: "127.0.0.1:0".into() };

    let mut stranger = RecordedExchange::new(ScriptedProcess::connect(&node), ["newer", "older"], &workers);
    stranger.send(0, &hello("another"));
    stranger.next_frame();
    let mut newer = RecordedExchange::new(ScriptedProcess::connect(&node), ["newer", "older"], &workers);
    newer.text = stranger.text;
    newer.send(0, &hello("n0"));
    newer.other.read_listener();
    let (_, Frame::Accepted(learned)) = newer.next_frame() else { panic!("no welcome") };
    assert_matches_payload("older_welcome.json", &workers.recorded(&learned));

    exchange_requests(&mut newer, address, operators);

    newer.send(5, &Frame::TakeoverRequest);
    let (5, Frame::TakeoverGranted(learned)) = newer.next_frame() else { panic!("not handed over") };
    assert_matches_payload("older_yours.json", &workers.recorded(&learned));
    let (seq, Frame::MigrateJob(moved)) = newer.next_frame() else { panic!("no job moves") };
    assert_matches_payload("older_move.json", &workers.recorded(without_body(&moved)));
    newer.send(seq, &Frame::MigrationResult(false));
    newer.send(6, &Frame::HandBack);
    newer.send(7, &Frame::Command(AdminCommand::Undrain));
    newer.expect_frame(&Frame::CommandResult(Ok(())));
    newer.send(8, &Frame::Callback(MOVED_JOB_COMPLETED.into()));
    newer.expect_frame(&Frame::CallbackResult(true));
    assert_matches_golden("link_newer_played.txt", &newer.text);
    drop(newer);
    // It serves on, alone.
    let result = read_response(client);
    assert_eq!((result.status(), result.body.as_str()), (200, "x"));
    while call_operator(operators, "READY\n") != "+OK" {}
    let client = open_request(address, &job_request("after", "view", 8.0, ""));
    workers.0[1].next_request().accept();
    while node.callback(r#"{"id":"after","from":"s-2","state":"done","result":"y"}"#) == 503 {}
    assert_eq!(read_response(client).body, "y");
}

/// The program as successor of an older process that says what was recorded, with the recorded job in its hands.
struct SuccessorOfRecorded<'a> {
    older: RecordedExchange<'a>,
    node: Node,
    operators: SocketAddr,
    /// Where the job's client waits for its answer.
    client: TcpStream,
    _discovery: (ScriptedServer, ScriptedWatch),
}

fn start_successor(workers: &Workers) -> SuccessorOfRecorded<'_> {
    let discovery = ScriptedServer::start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let text = node_config_for_handover(discovery.address, &workers.known());
    let accepted = workers.replayed("older_welcome.json");
    let (other, node) = ScriptedProcess::accept_successor_with(&text, &listener, accepted.into());
    let operators = node.operator_address();
    let mut older = RecordedExchange::new(other, ["older", "newer"], workers);
    let watch = ScriptedWatch::open(&discovery);
    watch.send_endpoints(42, true, &workers.known());
    let seq = older.expect_frame(&Frame::TakeoverRequest);
    older.send(seq, &Frame::TakeoverGranted(workers.replayed("older_yours.json").into()));
    let clients = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let client = open_request(clients.local_addr().expect("bound"), "");
    let (served, _) = clients.accept().expect("it has connected");
    older.send_job(1, with_body(&workers.replayed("older_move.json")), &served);
    older.expect_frame(&Frame::MigrationResult(true));
    assert_eq!(node.address, listener.local_addr().expect("bound"));
    SuccessorOfRecorded { older, node, operators, client, _discovery: (discovery, watch) }
}

#[test]
fn older_process_recorded_hands_over_then_the_program_serves_with_what_it_had_learned() {
    let workers = Workers::start();
    let SuccessorOfRecorded { mut older, node, operators, client, .. } = start_successor(&workers);
    // The drain and the worker that is out are known from there.
    assert!(call_operator(operators, "READY\n").starts_with("-ERR drained"));
    let undrain = spawn(move || call_operator(operators, "UNDRAIN\n"));
    let seq = older.expect_frame(&Frame::Command(AdminCommand::Undrain));
    older.send(seq, &Frame::CommandResult(Ok(())));
    assert_eq!(undrain.join().expect("an answer"), "+OK");
    assert_eq!(call_operator(operators, "READY\n"), "+OK");
    for id in ["r1", "r2", "r3", "r4"] {
        let client = node.submit_job(id, "view", 8.0);
        let seq = older.expect_frame(&Frame::ClaimJob(id.into()));
        older.send(seq, &Frame::ClaimResult(true));
        workers.0[1].next_request().accept();
        node.post_callback(id, "s-2", r#""state":"done","result":"y""#);
        assert_eq!(read_response(client).status(), 200);
    }
    older.send(2, &Frame::ClaimJob("moved".into()));
    older.expect_frame(&Frame::ClaimResult(false));
    older.send(3, &Frame::CancelAttempt { worker: workers.0[1].address, job_id: "w".into() });
    let withdrawal = workers.0[1].next_request();
    assert_eq!(withdrawal.message.start_line, "DELETE /jobs/w HTTP/1.1");
    withdrawal.respond("200 OK");
    assert_matches_golden("link_older_played.txt", &older.text);
    assert_eq!(node.callback(MOVED_JOB_COMPLETED), 204);
    let result = read_response(client);
    assert_eq!((result.status(), result.body.as_str()), (200, "x"));
    assert!(!workers.0.iter().any(ScriptedServer::has_pending_request), "a second attempt");
}

#[test]
fn older_process_recorded_is_lost_after_its_job_came_then_the_program_answers_it() {
    let workers = Workers::start();
    let SuccessorOfRecorded { older, node, client, .. } = start_successor(&workers);
    drop(older);
    // Until the loss is seen a word may be asked for again.
    while node.callback(MOVED_JOB_COMPLETED) == 503 {}
    assert_eq!(read_response(client).body, "x");
}

#[test]
fn older_process_recorded_gets_the_node_back_then_the_job_comes_as_it_went() {
    let workers = Workers::start();
    let SuccessorOfRecorded { mut older, node, client, .. } = start_successor(&workers);
    node.signal("-TERM");
    older.expect_frame(&Frame::HandBack);
    let (seq, Frame::MigrateJob(job)) = older.next_frame() else { panic!("no job moves") };
    let went = std::fs::read_to_string("tests/golden/older_move.json").expect("it was recorded");
    assert_eq!(mask_varying_numbers(&workers.recorded(without_body(&job))), mask_varying_numbers(&went));
    older.send(seq, &Frame::MigrationResult(false));
    older.send(2, &Frame::Callback(MOVED_JOB_COMPLETED.into()));
    let mut next = older.next_frame();
    while matches!(next.1, Frame::MigrateJob(_)) {
        older.send(next.0, &Frame::MigrationResult(false));
        next = older.next_frame();
    }
    assert_eq!(next.1, Frame::CallbackResult(true));
    assert_eq!(read_response(client).body, "x");
    assert_eq!(node.wait_for_exit().status.code(), Some(0));
}
