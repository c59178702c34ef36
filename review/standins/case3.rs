//! Case 3: a crowd connects and stops half way, and usual clients hand in jobs on new connections.
#[path = "kit.rs"]
mod kit;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

/// Clients of the crowd: fewer than the thousands that the page allows.
const CROWD: usize = 1_000;
/// Usual clients, one every 100 ms.
const CLIENTS: usize = 10;
/// Descriptors of the node: half of 256.
const SOCKETS: u64 = 128;
/// Time that a client waits, and the half second up to which an answer only earns nothing; 50 ms for sockets.
const DEADLINE: Duration = Duration::from_millis(6_000);
const SLACK: Duration = Duration::from_millis(500 + 50);

fn main() {
    limit_time(millis(100_000));
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let record = Record::create(&folder.join("record.txt"));
    let temporary = temporary_folder("3");
    let listen = free_address();
    let workers: Vec<Worker> =
        (0..4).map(|n| Worker::start(&record, &format!("s-{n}"), listen, millis(100))).collect();
    let discovery = Discovery::start(&record, workers.iter().map(|worker| worker.endpoint(1)).collect());
    let config = Config {
        name: "n0".into(),
        listen,
        console: free_address(),
        discovery: discovery.address,
        known: discovery.list(),
        memory_mb: 96,
        sockets: SOCKETS,
        settings: SETTINGS.into(),
    };
    let mut node = Node::start(&record, &config, &temporary, &temporary.join("tmp"), "n0");
    node.wait_ready(millis(10_000));
    thread::sleep(millis(1_000));

    // The disruption: each client of the crowd writes half a head once, and reads until the node closes.
    for n in 0..if with_trouble() { CROWD } else { 0 } {
        let client = move || {
            let Ok(mut stream) = TcpStream::connect(listen) else { return };
            let _ = stream.write_all(format!("POST /api/{n} HTTP/1.1\r\nHost: backend.local\r\nX-Req").as_bytes());
            let mut buffer = [0; 512];
            while let Ok(1..) = stream.read(&mut buffer) {}
        };
        thread::Builder::new().stack_size(64 << 10).spawn(client).unwrap_or_else(|error| cannot_run(error));
    }
    record.say(format!("crowd: {}", if with_trouble() { CROWD } else { 0 }));
    thread::sleep(millis(300));

    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            thread::sleep(millis(100));
            let record = record.clone();
            thread::spawn(move || {
                let mut stream = TcpStream::connect(listen).unwrap_or_else(|error| cannot_run(error));
                stream.set_nodelay(true).unwrap();
                stream.write_all(job_request(&format!("r{n}"), "scan-view", "6.000", "", "body").as_bytes()).unwrap();
                let sent = Instant::now();
                record.line(format!("client: r{n} sent on a new connection"));
                // A close without an answer in this time would be excused: "new connections may be shut unread then".
                let answer = read_answer(&stream, sent + DEADLINE + SLACK);
                let outcome = match &answer {
                    Ok(Some(answer)) => format!("answered {}", answer.status()),
                    Ok(None) => "shut unread".to_owned(),
                    Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => "shut unread".to_owned(),
                    Err(_) => "neither answered nor shut".to_owned(),
                };
                record.line(format!("client: r{n} {outcome} after {:.3} s", sent.elapsed().as_secs_f64()));
                // Not judged: when the answer would have come.
                if answer.is_err() {
                    if let Ok(Some(late)) = read_answer(&stream, sent + Duration::from_secs(30)) {
                        let after = sent.elapsed().as_secs_f64();
                        record.line(format!("client: r{n} would have got {} after {after:.3} s", late.status()));
                    }
                }
                outcome
            })
        })
        .collect();
    let mut outcomes = BTreeMap::new();
    for client in clients {
        *outcomes.entry(client.join().unwrap_or_default()).or_insert(0) += 1;
    }
    record.say(format!("outcomes: {outcomes:?}"));
    let lost = outcomes.get("neither answered nor shut").copied().unwrap_or(0);
    finish(if lost > 0 { BROKEN } else { HELD })
}
