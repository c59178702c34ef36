//! An upgrade with open jobs, while clients that say nothing connect: the new process adopts the open jobs.

use std::collections::HashMap;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::discovery::Discovery;
use crate::lab::{
    CLASSES, Job, Node, NodeConfig, Record, address, cannot_run, console, free_port, fresh_id, has_trouble, read_message,
    remember, settings, spawn, unacknowledged_bytes, work_folder,
};
use crate::worker::Worker;

/// "256 to 1,024 descriptors", "Half the memory and descriptors".
const SOCKETS: u32 = 192;
const MEMORY_MB: u32 = 96;
/// "For requests, clients hold at most a third of the descriptors."
const MOST_CLIENTS: usize = 64;
/// Long jobs that are open when the new process starts, and the seconds that each runs.
const LONG_JOBS: usize = 40;
const LONG_WORK_S: f64 = 7.0;
/// "others connect in their hundreds and say nothing"
const SILENT_CLIENTS: usize = 900;
const SILENT_PROCESSES: usize = 2;
const CONNECTIONS_PER_THREAD: usize = 10;
/// "When the new process says yes, within 6 s, the old process gets SIGTERM".
const SIGTERM_AFTER_YES_S: f64 = 5.5;
/// Short jobs after the yes, each on a new connection.
const SHORT_JOBS_PER_S: f64 = 5.0;
const SHORT_WORK_S: f64 = 0.2;
const SHORT_LOAD_S: f64 = 12.0;
/// Half a second, and every time limit is 50 ms longer.
const GRACE_S: f64 = 0.55;
/// A job counts only if the node's machine had all of its bytes at least this long before its time was up.
const LEAST_TIME_LEFT_S: f64 = 1.0;

#[derive(Clone, Debug, PartialEq)]
enum End {
    Answered(u16),
    /// The connection was closed without an answer.
    Closed,
    /// Neither an answer nor a close by its time and the grace.
    Nothing,
    NotConnected,
}

struct Fate {
    job: Job,
    sent_at: f64,
    /// When the node's machine had acknowledged all of its bytes.
    taken_at: Option<f64>,
    ended_at: f64,
    end: End,
}

pub fn play(record_path: &str) -> bool {
    let record = Record::create(record_path);
    let listen = free_port();
    let works: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let work_of = {
        let works = works.clone();
        Arc::new(move |id: &str| works.lock().unwrap().get(id).copied().unwrap_or(SHORT_WORK_S))
    };
    let workers: Vec<Worker> =
        (0..14).map(|i| Worker::start(&format!("s-{i}"), i / 7, 5, listen, &record, work_of.clone())).collect();
    let discovery = Discovery::start(&workers, &record, None);
    let mut first = Node::start(config(listen, &discovery), "first");
    first.wait_until_ready();
    let (upgrade, crowd) = (has_trouble() && !is_left_out("UPGRADE"), has_trouble() && !is_left_out("CROWD"));
    record.tell(&format!("the node serves at 127.0.0.1:{listen}, upgrade: {upgrade}, silent clients: {crowd}"));

    let clients = Arc::new(AtomicUsize::new(0));
    let mut jobs = Vec::new();
    for i in 0..LONG_JOBS {
        let job = Job { id: fresh_id(), class: 2 + i % 2, deadline: 25.0, work: LONG_WORK_S };
        works.lock().unwrap().insert(job.id.clone(), LONG_WORK_S);
        jobs.push(start_client(job, listen, &record, &clients));
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(1500));
    let mut second = None;
    if upgrade {
        let new = Node::start(config(listen, &discovery), "second");
        wait_for_yes(new.config.console.unwrap_or(0));
        record.tell("the new process says yes");
        second = Some(new);
    }
    let mut silent: Vec<Child> = Vec::new();
    if crowd {
        record.tell(&format!("{SILENT_CLIENTS} clients connect and say nothing"));
        silent = (0..SILENT_PROCESSES).map(|_| start_silent_part(listen)).collect();
    }
    let start = Instant::now();
    let mut terminated = false;
    while start.elapsed().as_secs_f64() < SHORT_LOAD_S {
        if upgrade && !terminated && start.elapsed().as_secs_f64() > SIGTERM_AFTER_YES_S {
            record.tell("SIGTERM to the old process");
            first.signal("TERM");
            terminated = true;
        }
        if clients.load(Ordering::Relaxed) < MOST_CLIENTS {
            let job = Job { id: fresh_id(), class: 0, deadline: CLASSES[0].1, work: SHORT_WORK_S };
            jobs.push(start_client(job, listen, &record, &clients));
        }
        thread::sleep(Duration::from_secs_f64(1.0 / SHORT_JOBS_PER_S));
    }
    let fates: Vec<Fate> = jobs.into_iter().filter_map(|job| job.join().ok()).collect();
    for part in &mut silent {
        let _ = part.kill();
        let _ = part.wait();
    }
    if second.as_mut().is_some_and(Node::has_exited) || !upgrade && first.has_exited() {
        record.tell("the node has exited: a crash");
        return true;
    }
    judge(&fates, &record)
}

/// Whether a part of the disruption is left out by an environment variable with the value 0, to see the other alone.
fn is_left_out(part: &str) -> bool {
    std::env::var(part).is_ok_and(|value| value == "0")
}

fn judge(fates: &[Fate], record: &Record) -> bool {
    let mut counts: HashMap<String, usize> = HashMap::new();
    let (mut lost, mut slowest) = (0, 0.0_f64);
    for fate in fates {
        let waited = fate.ended_at - fate.sent_at;
        let is_late = waited > fate.job.deadline + GRACE_S;
        let taken_in_time = fate.taken_at.is_some_and(|at| at <= fate.sent_at + fate.job.deadline - LEAST_TIME_LEFT_S);
        let is_lost = taken_in_time && (fate.end == End::Nothing || matches!(fate.end, End::Answered(_)) && is_late);
        if is_lost {
            lost += 1;
            record.line(&format!(
                "LOST {} ({}, {} s): sent {:.3}, at the node's machine {:.3}, {:?} at {:.3}",
                fate.job.id,
                CLASSES[fate.job.class].0,
                fate.job.deadline,
                fate.sent_at,
                fate.taken_at.unwrap_or(0.0),
                fate.end,
                fate.ended_at
            ));
        }
        if fate.job.class == 0 {
            slowest = slowest.max(waited);
        }
        *counts.entry(format!("{} {:?}", CLASSES[fate.job.class].0, fate.end)).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    record.tell(&format!("{counts:?}; the slowest scan-view took {slowest:.2} s"));
    record.tell(&format!("jobs that were taken and lost: {lost}"));
    lost > 0
}

fn config(listen: u16, discovery: &Discovery) -> NodeConfig {
    NodeConfig {
        listen,
        console: Some(free_port()),
        discovery: discovery.port,
        sockets: SOCKETS,
        memory_mb: MEMORY_MB,
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

fn start_client(job: Job, node: u16, record: &Record, clients: &Arc<AtomicUsize>) -> thread::JoinHandle<Fate> {
    let (record, clients) = (record.clone(), clients.clone());
    clients.fetch_add(1, Ordering::Relaxed);
    spawn(move || {
        let fate = send(job, node, &record);
        clients.fetch_sub(1, Ordering::Relaxed);
        fate
    })
}

/// Sends a job on a new connection, waits for its end and closes the connection.
fn send(job: Job, node: u16, record: &Record) -> Fate {
    let mut fate = Fate { job, sent_at: record.now(), taken_at: None, ended_at: 0.0, end: End::NotConnected };
    if let Ok(mut stream) = TcpStream::connect_timeout(&address(node), Duration::from_secs(6)) {
        let _ = stream.set_nodelay(true);
        if stream.write_all(&fate.job.request()).is_ok() {
            fate.sent_at = record.now();
            record.line(&format!("client: job {} ({}) is sent", fate.job.id, CLASSES[fate.job.class].0));
            await_end(&mut fate, stream, record);
        }
    }
    fate.ended_at = record.now();
    record.line(&format!("client: job {}: {:?}", fate.job.id, fate.end));
    fate
}

fn await_end(fate: &mut Fate, stream: TcpStream, record: &Record) {
    let limit = fate.sent_at + fate.job.deadline + GRACE_S + 0.05;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    while record.now() < limit {
        if fate.taken_at.is_none() && unacknowledged_bytes(&stream) == 0 {
            fate.taken_at = Some(record.now());
        }
        match stream.peek(&mut [0; 16]) {
            Ok(1..) => {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                fate.taken_at.get_or_insert(record.now());
                fate.end = match read_message(&mut BufReader::new(stream)) {
                    Ok(Some((answer, _))) => End::Answered(answer.status()),
                    _ => End::Closed,
                };
                return;
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Ok(0) | Err(_) => {
                fate.end = End::Closed;
                return;
            }
        }
    }
    fate.end = End::Nothing;
}

fn start_silent_part(node: u16) -> Child {
    let program = std::env::current_exe().unwrap_or_else(|error| cannot_run(&error.to_string()));
    let mut command = Command::new(program);
    command.args(["silent-part", &node.to_string(), &(SILENT_CLIENTS / SILENT_PROCESSES).to_string()]);
    command.stdin(Stdio::null()).stdout(Stdio::null());
    let child = command.spawn().unwrap_or_else(|error| cannot_run(&error.to_string()));
    remember(&child);
    child
}

/// A part of the silent clients: each connects once and stays until the node closes the connection.
pub fn silent_part(port: &str, count: &str) -> bool {
    let port: u16 = port.parse().unwrap_or_else(|_| cannot_run("port"));
    let count: usize = count.parse().unwrap_or_else(|_| cannot_run("count"));
    let connect = move || {
        let streams: Vec<TcpStream> =
            (0..CONNECTIONS_PER_THREAD).filter_map(|_| TcpStream::connect(address(port)).ok()).collect();
        let readers: Vec<_> = streams
            .into_iter()
            .map(|mut stream| spawn(move || stream.read_to_end(&mut Vec::new()).is_ok()))
            .collect();
        for reader in readers {
            let _ = reader.join();
        }
    };
    let threads: Vec<_> = (0..count / CONNECTIONS_PER_THREAD).map(|_| spawn(connect)).collect();
    for thread in threads {
        let _ = thread.join();
    }
    false
}
