//! Discovery falls behind with the lines of its watches, a little more with each, and a worker begins to drain.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::discovery::{Discovery, Lateness};
use crate::lab::{
    CLASSES, Job, Node, NodeConfig, Record, address, free_port, fresh_id, has_trouble, read_message, settings, spawn,
    work_folder,
};
use crate::worker::Worker;

/// Each line is written this much more than 2 s after the line before it, until it is `MOST_LATE` late.
const GROWTH: Duration = Duration::from_millis(700);
const MOST_LATE: Duration = Duration::from_millis(9000);
/// When the worker begins to drain, after the start of the load.
const DRAIN_AT_S: f64 = 40.0;
const LOAD_S: f64 = 55.0;
const JOBS_PER_S: f64 = 14.0;
/// Counts as told 6 s later at the latest; 750 ms from then on nothing is sent; every time limit is 50 ms longer.
const LATEST_TOLD_S: f64 = 6.0;
const GRACE_S: f64 = 0.75 + 0.05;

pub fn play(record_path: &str) -> bool {
    let record = Record::create(record_path);
    let listen = free_port();
    let work_of = Arc::new(|_: &str| 0.15);
    let workers: Vec<Worker> =
        (0..3).map(|i| Worker::start(&format!("s-{i}"), 0, 4, listen, &record, work_of.clone())).collect();
    let lateness = has_trouble().then_some(Lateness { growth: GROWTH, limit: MOST_LATE });
    let discovery = Discovery::start(&workers, &record, lateness);
    let config = NodeConfig {
        listen,
        console: None,
        discovery: discovery.port,
        sockets: 512,
        memory_mb: 192,
        known: discovery.list(),
        settings: settings(3, 0),
        tmp: work_folder().join("tmp"),
    };
    let mut node = Node::start(config, "node");
    node.wait_until_ready();
    record.tell(&format!("the node serves at 127.0.0.1:{listen}, trouble: {}", has_trouble()));

    let start = Instant::now();
    let mut drained_at = None;
    let mut clients = Vec::new();
    while start.elapsed().as_secs_f64() < LOAD_S {
        if drained_at.is_none() && start.elapsed().as_secs_f64() > DRAIN_AT_S {
            discovery.set_status("s-0", "terminating");
            drained_at = Some(record.now());
            record.tell("discovery has the drain of s-0");
        }
        let record = record.clone();
        clients.push(spawn(move || send(listen, &record)));
        thread::sleep(Duration::from_secs_f64(1.0 / JOBS_PER_S));
    }
    let mut answers: HashMap<u16, usize> = HashMap::new();
    for client in clients {
        *answers.entry(client.join().unwrap_or(0)).or_default() += 1;
    }
    if node.has_exited() {
        record.tell("the node has exited: a crash");
        return true;
    }
    let Some(drained_at) = drained_at else { return false };
    let told_at = drained_at + LATEST_TOLD_S;
    let late: Vec<f64> = workers[0]
        .arrivals()
        .iter()
        .filter(|arrival| arrival.first_byte_at > told_at + GRACE_S)
        .map(|arrival| arrival.first_byte_at)
        .collect();
    for at in &late {
        record.line(&format!("LATE SEND to s-0 at {at:.3}: {:.3} s after discovery had its drain", at - drained_at));
    }
    record.tell(&format!("answers: {answers:?}; calls to discovery: {}", discovery.calls()));
    record.tell(&format!(
        "jobs sent to s-0 more than {:.2} s after discovery had its drain: {}",
        LATEST_TOLD_S + GRACE_S,
        late.len()
    ));
    !late.is_empty()
}

/// Sends a job on a new connection and returns the status of its answer, or 0.
fn send(node: u16, record: &Record) -> u16 {
    let job = Job { id: fresh_id(), class: 0, deadline: CLASSES[0].1, work: 0.15 };
    let Ok(mut stream) = TcpStream::connect(address(node)) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
    record.line(&format!("client: job {} is sent", job.id));
    if stream.write_all(&job.request()).is_err() {
        return 0;
    }
    let status = match read_message(&mut BufReader::new(stream)) {
        Ok(Some((answer, _))) => answer.status(),
        _ => 0,
    };
    record.line(&format!("client: job {}: {status}", job.id));
    status
}
