//! Operators take a worker out at the second address of a node that is being upgraded.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::discovery::Discovery;
use crate::lab::{
    CLASSES, Job, Node, NodeConfig, Record, address, cannot_run, console, free_port, fresh_id, has_trouble,
    read_message, settings, spawn, work_folder,
};
use crate::worker::Worker;

const JOBS_PER_S: f64 = 14.0;
/// The call follows SIGTERM by this much.
const CALL_AFTER_S: f64 = 0.3;
/// "From the node's yes, or 1 s after the call".
const CALL_COUNTS_AFTER_S: f64 = 1.0;
/// 750 ms, and every time limit is 50 ms longer.
const GRACE_S: f64 = 0.75 + 0.05;
/// The call back comes this much after the call.
const CALL_BACK_AFTER_S: f64 = 6.0;

pub fn play(record_path: &str) -> bool {
    let record = Record::create(record_path);
    let listen = free_port();
    let work_of = Arc::new(|_: &str| 0.15);
    let workers: Vec<Worker> =
        (0..4).map(|i| Worker::start(&format!("s-{i}"), 0, 4, listen, &record, work_of.clone())).collect();
    let discovery = Discovery::start(&workers, &record, None);
    let first = Node::start(config(listen, &discovery), "first");
    first.wait_until_ready();
    record.tell(&format!("the node serves at 127.0.0.1:{listen}, trouble: {}", has_trouble()));
    let (stop, stopped) = std::sync::mpsc::channel();
    let load = {
        let record = record.clone();
        spawn(move || {
            let mut clients = Vec::new();
            while stopped.try_recv().is_err() {
                let record = record.clone();
                clients.push(spawn(move || send(listen, &record)));
                thread::sleep(Duration::from_secs_f64(1.0 / JOBS_PER_S));
            }
            let mut answers: HashMap<u16, usize> = HashMap::new();
            for client in clients {
                *answers.entry(client.join().unwrap_or(0)).or_default() += 1;
            }
            answers
        })
    };
    thread::sleep(Duration::from_secs(2));
    let mut second = None;
    if has_trouble() {
        let new = Node::start(config(listen, &discovery), "second");
        wait_for_yes(new.config.console.unwrap_or(0));
        record.tell("the new process says yes; SIGTERM to the old one");
        first.signal("TERM");
        second = Some(new);
        thread::sleep(Duration::from_secs_f64(CALL_AFTER_S));
    }
    let called_at = record.now();
    let answer = console(first.config.console.unwrap_or(0), "DISABLE s-0");
    record.tell(&format!("DISABLE s-0 at the second address of the first process: {answer:?}"));
    let Ok(answer) = answer else { cannot_run("the second address does not answer") };
    let counts_at = if answer.starts_with("+OK") { record.now() } else { called_at + CALL_COUNTS_AFTER_S };
    thread::sleep(Duration::from_secs_f64(CALL_BACK_AFTER_S));
    let called_back_at = record.now();
    let serving = second.as_ref().unwrap_or(&first).config.console.unwrap_or(0);
    record.tell(&format!("ENABLE s-0: {:?}", console(serving, "ENABLE s-0")));
    let _ = stop.send(());
    let answers = load.join().unwrap_or_default();
    record.tell(&format!("answers: {answers:?}"));
    let arrivals = workers[0].arrivals();
    let late: Vec<f64> = arrivals
        .iter()
        .map(|arrival| arrival.first_byte_at)
        .filter(|at| *at > counts_at + GRACE_S && *at < called_back_at)
        .collect();
    for at in &late {
        record.line(&format!("LATE SEND to s-0 at {at:.3}: {:.3} s after the call", at - called_at));
    }
    record.tell(&format!(
        "jobs sent to s-0 more than {:.2} s after the call and before the call back: {}",
        counts_at - called_at + GRACE_S,
        late.len()
    ));
    !late.is_empty()
}

fn config(listen: u16, discovery: &Discovery) -> NodeConfig {
    NodeConfig {
        listen,
        console: Some(free_port()),
        discovery: discovery.port,
        sockets: 512,
        memory_mb: 192,
        known: discovery.list(),
        settings: settings(3, 0),
        tmp: work_folder().join("tmp"),
    }
}

fn wait_for_yes(port: u16) {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(6) {
        if console(port, "READY").is_ok_and(|answer| answer.starts_with("+OK")) {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
    cannot_run("the new process did not say yes within 6 s");
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
