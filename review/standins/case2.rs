//! Case 2: usual clients write long requests in small pieces. The platform ends a node that is over its memory.
#[path = "kit.rs"]
mod kit;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

use kit::*;

/// Clients, each with one job on a connection of its own.
const CLIENTS: usize = 10;
/// Bytes of a job's body; the protocol allows 64 KiB.
const BODY_BYTES: usize = 65_536;
/// Bytes of a piece, and the time in which a request is written.
const PIECE_BYTES: usize = 4;
const WRITTEN_IN: std::time::Duration = std::time::Duration::from_secs(2);
/// Memory that the configuration gives the node: the most on a scored day.
const MEMORY_MB: u64 = 192;

fn main() {
    limit_time(millis(100_000));
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let record = Record::create(&folder.join("record.txt"));
    let temporary = temporary_folder("2");
    let listen = free_address();
    let workers: Vec<Worker> =
        (0..10).map(|n| Worker::start(&record, &format!("s-{n}"), listen, millis(300))).collect();
    let discovery = Discovery::start(&record, workers.iter().map(|worker| worker.endpoint(1)).collect());
    let config = Config {
        name: "n0".into(),
        listen,
        console: free_address(),
        discovery: discovery.address,
        known: discovery.list(),
        memory_mb: MEMORY_MB,
        sockets: 1024,
        settings: SETTINGS.into(),
    };
    let mut node = Node::start(&record, &config, &temporary, &temporary.join("tmp"), "n0");
    node.wait_ready(millis(10_000));
    thread::sleep(millis(1_000));
    record.say(format!("memory before: {} kB", node.status_kb("VmRSS")));

    // Some orders are running meanwhile.
    workers.iter().for_each(|worker| worker.run.store(8_000, Ordering::SeqCst));
    let orders: Vec<_> = (0..5)
        .map(|n| {
            let record = record.clone();
            thread::spawn(move || {
                let text = job_request(&format!("order{n}"), "release-order", "25.000", "", "box");
                let answered = TcpStream::connect(listen).and_then(|mut stream| {
                    stream.write_all(text.as_bytes())?;
                    read_answer(&stream, Instant::now() + millis(25_500))
                });
                let status = answered.ok().flatten().map_or(0, |answer| answer.status());
                record.line(format!("client: order{n} answered {status} (0: no answer)"));
                status
            })
        })
        .collect();
    thread::sleep(millis(500));
    workers.iter().for_each(|worker| worker.run.store(300, Ordering::SeqCst));

    // The disruption: requests in small pieces. Without it each request is written at once.
    let piece = if with_trouble() { PIECE_BYTES } else { usize::MAX };
    let written = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, written) = (record.clone(), written.clone());
            thread::spawn(move || {
                let text = job_request(&format!("r{n}"), "log-compute", "25.000", "", &"b".repeat(BODY_BYTES));
                let answered = TcpStream::connect(listen).and_then(|mut stream| {
                    stream.set_nodelay(true)?;
                    let begin = Instant::now();
                    let pieces = (text.len() / piece).max(1) as u32;
                    for (number, part) in text.as_bytes().chunks(piece).enumerate() {
                        let due = WRITTEN_IN * number as u32 / pieces;
                        thread::sleep(due.saturating_sub(begin.elapsed()));
                        stream.write_all(part)?;
                    }
                    record.line(format!("client: r{n} written in {:?}", begin.elapsed()));
                    written.fetch_add(1, Ordering::SeqCst);
                    read_answer(&stream, Instant::now() + millis(25_500))
                });
                let text = match &answered {
                    Ok(Some(answer)) => answer.status().to_string(),
                    Ok(None) => "closed without an answer".to_owned(),
                    Err(error) => error.to_string(),
                };
                record.line(format!("client: r{n} answered: {text}"));
                text
            })
        })
        .collect();

    // The platform: "Over `memory_mb` the node is killed."
    let mut killed = None;
    while clients.iter().any(|client| !client.is_finished()) {
        let used = node.status_kb("VmRSS");
        record.line(format!("platform: the node uses {used} kB"));
        if used > MEMORY_MB * 1024 && killed.is_none() {
            killed = Some(used);
            node.signal("KILL");
            let _ = node.child.wait();
            let written = written.load(Ordering::SeqCst);
            record.say(format!("platform: {used} kB are over {MEMORY_MB} MB: the node is killed; {written} requests were whole"));
        }
        thread::sleep(millis(20));
    }
    let mut answers = BTreeMap::new();
    for client in clients {
        *answers.entry(client.join().unwrap_or_default()).or_insert(0) += 1;
    }
    record.say(format!("highest use (kB): {}", killed.unwrap_or_else(|| node.status_kb("VmHWM"))));
    record.say(format!("answers: {answers:?}"));
    let orders: Vec<u16> = orders.into_iter().map(|order| order.join().unwrap_or(0)).collect();
    record.say(format!("answers to the orders that ran (0: none): {orders:?}"));
    let ended = node.child.try_wait().ok().flatten();
    if let (None, Some(status)) = (killed, ended) {
        record.say(format!("the node ended by itself: {status}"));
    }
    finish(if killed.is_some() || ended.is_some() { BROKEN } else { HELD })
}
