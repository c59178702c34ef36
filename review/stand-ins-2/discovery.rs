//! Discovery: the list, and watches that are written to in order. Lines may be written late.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::lab::{Record, cannot_run, read_message, spawn};
use crate::worker::Worker;

/// Lateness of the lines of a watch: what falls due every 2 s takes this much longer than 2 s, up to a limit.
#[derive(Clone, Copy)]
pub struct Lateness {
    pub growth: Duration,
    pub limit: Duration,
}

/// A line that fell due at a moment.
struct Line {
    due: Instant,
    text: String,
}

struct State {
    index: u64,
    entries: Vec<(Worker, String)>,
    watches: Vec<Sender<Line>>,
    calls: usize,
}

#[derive(Clone)]
pub struct Discovery {
    pub port: u16,
    state: Arc<Mutex<State>>,
    record: Record,
    lateness: Option<Lateness>,
}

impl Discovery {
    pub fn start(workers: &[Worker], record: &Record, lateness: Option<Lateness>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
        let port = listener.local_addr().unwrap().port();
        let entries = workers.iter().map(|worker| (worker.clone(), "in_service".to_owned())).collect();
        let state = Arc::new(Mutex::new(State { index: 41, entries, watches: Vec::new(), calls: 0 }));
        let discovery = Discovery { port, state, record: record.clone(), lateness };
        let serving = discovery.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = serving.clone();
                spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    /// The whole list.
    pub fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        let entries: Vec<String> = state.entries.iter().map(|(worker, status)| worker.entry(status)).collect();
        format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}", state.index, entries.join(","))
    }

    /// Number of calls so far.
    pub fn calls(&self) -> usize {
        self.state.lock().unwrap().calls
    }

    /// Changes the status of a worker. Returns when discovery has the change.
    pub fn set_status(&self, name: &str, status: &str) {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        let index = state.index;
        let Some(entry) = state.entries.iter_mut().find(|(worker, _)| worker.name == name) else { return };
        entry.1 = status.to_owned();
        let text = format!("{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{}]}}", entry.0.entry(status));
        let due = Instant::now();
        state.watches.retain(|watch| watch.send(Line { due, text: text.clone() }).is_ok());
        self.record.line(&format!("discovery: {name} is {status}"));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let Ok(Some((request, _))) = read_message(&mut BufReader::new(stream)) else { return };
        self.state.lock().unwrap().calls += 1;
        self.record.line(&format!("discovery: {}", request.first_line));
        if !request.second_word().contains("follow=1") {
            let list = self.list();
            let _ = write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            return;
        }
        let (sender, lines) = channel();
        let first = self.list();
        self.state.lock().unwrap().watches.push(sender.clone());
        // An empty line falls due every 2 s.
        spawn(move || {
            loop {
                thread::sleep(Duration::from_secs(2));
                if sender.send(Line { due: Instant::now(), text: String::new() }).is_err() {
                    return;
                }
            }
        });
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if writer.write_all(head.as_bytes()).is_ok() && write_line(&mut writer, &first) {
            self.write_lines(&mut writer, &lines);
        }
        self.record.line("discovery: a watch has ended");
    }

    fn write_lines(&self, writer: &mut TcpStream, lines: &Receiver<Line>) {
        let mut last_written = Instant::now();
        while let Ok(line) = lines.recv() {
            if let Some(Lateness { growth, limit }) = self.lateness {
                let at = (last_written + Duration::from_secs(2) + growth).min(line.due + limit).max(line.due);
                thread::sleep(at.saturating_duration_since(Instant::now()));
            }
            last_written = Instant::now();
            if !write_line(writer, &line.text) {
                return;
            }
            let late = line.due.elapsed().as_secs_f64();
            let what = if line.text.is_empty() { "an empty line" } else { "a change" };
            self.record.line(&format!("discovery: {what} is written {late:.2} s after it fell due"));
        }
    }
}

fn write_line(writer: &mut TcpStream, text: &str) -> bool {
    writer.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).is_ok()
}
