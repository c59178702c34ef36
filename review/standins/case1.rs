//! Case 1: an upgrade while clients have long requests open; then an operator takes a core worker out.
//!
//! The judge is the core worker that was taken out: it notes each job whose first bytes it reads.
#[path = "kit.rs"]
mod kit;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

use kit::*;

/// Clients with a long request.
const CLIENTS: usize = 240;
/// A third of the descriptors: the most connections that clients hold for requests.
const MOST_CONNECTIONS: usize = 1024 / 3;
/// Bytes of the body of a long request; the protocol allows 64 KiB.
const BODY_BYTES: usize = 65_536;
/// Rule on drains: `stopSendingWithinUs` of the settings, and 50 ms for sockets.
const GRACE: u64 = 750 + 50;
/// SIGTERM follows the new process's yes within 6 s; here after this time.
const TERM_AFTER: u64 = 3_000;
/// SIGKILL follows SIGTERM after the longest deadline, counted as 3 s, and 0.7 s.
const KILL_AFTER: u64 = 3_700;

fn main() {
    limit_time(millis(100_000));
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let body_bytes = std::env::var("BODY").ok().and_then(|text| text.parse().ok()).unwrap_or(BODY_BYTES);
    let record = Record::create(&folder.join("record.txt"));
    let temporary = temporary_folder("1");
    let listen = free_address();
    let workers: Vec<Worker> =
        (0..8).map(|n| Worker::start(&record, &format!("s-{n}"), listen, millis(300))).collect();
    // The core workers that are taken out for maintenance.
    let out = &workers[1..4];
    let discovery = Discovery::start(&record, workers.iter().map(|worker| worker.endpoint(1)).collect());
    let config = Config {
        name: "n0".into(),
        listen,
        console: free_address(),
        discovery: discovery.address,
        known: discovery.list(),
        memory_mb: 192,
        sockets: 1024,
        settings: SETTINGS.into(),
    };
    let mut old = Node::start(&record, &config, &temporary, &temporary.join("tmp"), "old");
    old.wait_ready(millis(10_000));
    thread::sleep(millis(1_000));

    let (open, most_open) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let submit = |id: String, class: &'static str, hint: &str, body: String, deadline: &'static str| {
        let text = job_request(&id, class, deadline, "", &body).replace("Hint: 100000", hint);
        let (record, open, most_open) = (record.clone(), open.clone(), most_open.clone());
        thread::spawn(move || {
            most_open.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            let answered = TcpStream::connect(listen).and_then(|mut stream| {
                stream.write_all(text.as_bytes())?;
                read_answer(&stream, Instant::now() + millis(25_500))
            });
            open.fetch_sub(1, Ordering::SeqCst);
            let status = answered.ok().flatten().map_or(0, |answer| answer.status());
            record.line(format!("client: {id} ({class}) answered {status}"));
            status
        })
    };
    let long: Vec<_> = (0..CLIENTS)
        .map(|n| submit(format!("long{n}"), "log-compute", "Hint: 1200000", "b".repeat(body_bytes), "25.000"))
        .collect();
    thread::sleep(millis(200));

    // The disruption: a new version under load.
    let console = if with_trouble() {
        let console = free_address();
        let config = Config { console, known: discovery.list(), ..config.clone() };
        let new = Node::start(&record, &config, &temporary, &temporary.join("tmp"), "new");
        let begin = Instant::now();
        while Node::call(console, "READY") != "+OK" {
            if begin.elapsed() > millis(6_000) {
                cannot_run(format!("the new process is not ready within 6 s: {}", new.log()));
            }
            thread::sleep(millis(5));
        }
        record.say(format!("the new process says yes after {:?}", begin.elapsed()));
        console
    } else {
        config.console
    };
    let yes_at = Instant::now();

    for worker in out {
        let answer = Node::call(console, &format!("DISABLE {}", worker.name));
        record.say(format!("operator: DISABLE {}: {answer}", worker.name));
        if answer != "+OK" {
            cannot_run("the call was not answered with +OK");
        }
    }
    let disabled = Instant::now();
    let (mut short, mut told_to_end) = (Vec::new(), false);
    for n in 0..160 {
        short.push(submit(format!("short{n}"), "scan-view", "Hint: 300000", "x".into(), "6.000"));
        thread::sleep(millis(50));
        if !with_trouble() {
            continue;
        }
        if !told_to_end && yes_at.elapsed() > millis(TERM_AFTER) {
            told_to_end = true;
            old.signal("TERM");
            record.line("SIGTERM to the old process");
        }
        if yes_at.elapsed() > millis(TERM_AFTER + KILL_AFTER) && old.child.try_wait().ok().flatten().is_none() {
            old.signal("KILL");
            record.line("SIGKILL to the old process");
        }
    }
    let mut answers = BTreeMap::new();
    for client in long.into_iter().chain(short) {
        *answers.entry(client.join().unwrap_or(0)).or_insert(0) += 1;
    }
    record.say(format!("answers by status (0: none): {answers:?}"));
    let most_open = most_open.load(Ordering::SeqCst);
    record.say(format!("most connections of clients at once: {most_open}"));
    if most_open > MOST_CONNECTIONS {
        cannot_run("clients held more connections than a third of the descriptors");
    }
    for line in old.log().lines().filter(|line| line.contains("peer") || line.contains("phase")) {
        record.line(format!("old process logs: {line}"));
    }

    let late: Vec<String> = out
        .iter()
        .flat_map(|worker| worker.arrivals().into_iter().map(move |(id, at)| (worker, id, at)))
        .filter_map(|(worker, id, at)| Some((worker, id, at.checked_duration_since(disabled + millis(GRACE))?)))
        .map(|(worker, id, after)| format!("{} {id} {:.3} s", worker.name, after.as_secs_f64()))
        .collect();
    record.say(format!("{} jobs were sent to core workers that are out, after the grace: {late:?}", late.len()));
    finish(if late.is_empty() { HELD } else { BROKEN })
}
