//! A core worker: takes jobs with 202, runs them, and tells their fate by callbacks.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::lab::{Record, address, cannot_run, read_message, spawn};

/// An attempt that arrived.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Seconds since the start of the run, at the first byte: "for drains, a send's time is counted from its first".
    pub first_byte_at: f64,
}

#[derive(Default)]
struct State {
    arrivals: Vec<Arrival>,
    /// Jobs in hand; false once a job was given up.
    in_hand: HashMap<String, bool>,
    free_slots: usize,
}

/// Seconds of running of a job, by its id.
pub type WorkOf = Arc<dyn Fn(&str) -> f64 + Send + Sync>;

#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub port: u16,
    pub group: u32,
    node: u16,
    record: Record,
    work_of: WorkOf,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Worker {
    /// Starts a worker with this number of slots, whose callbacks go to the node at port `node`.
    pub fn start(name: &str, group: u32, slots: usize, node: u16, record: &Record, work_of: WorkOf) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
        let port = listener.local_addr().unwrap().port();
        let state = State { free_slots: slots, ..State::default() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let worker = Worker { name: name.to_owned(), port, group, node, record: record.clone(), work_of, state };
        let serving = worker.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    /// Entry of the worker in discovery's list.
    pub fn entry(&self, status: &str) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"127.0.0.1:{}\",\"zone\":\"couva-shed\",\"type\":\"plain-five\",\"group\":{},\"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0}}",
            self.name, self.port, self.group
        )
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.0.lock().unwrap().arrivals.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some((message, first_byte))) = read_message(&mut reader) {
            let answer = if message.first_line.starts_with("DELETE") {
                let id = message.second_word().trim_start_matches("/jobs/").to_owned();
                let held = self.state.0.lock().unwrap().in_hand.get_mut(&id).map(|held| *held = false).is_some();
                self.record.line(&format!("{}: DELETE {id}: {}", self.name, if held { "given up" } else { "not held" }));
                if held { "200 OK" } else { "404 Not Found" }
            } else {
                let id = message.header("x-request-id").to_owned();
                let first_byte_at = self.record.now() - first_byte.elapsed().as_secs_f64();
                let arrival = Arrival { first_byte_at };
                self.record.line(&format!("{}: job {id} arrives, first byte at {first_byte_at:.3}", self.name));
                {
                    let mut state = self.state.0.lock().unwrap();
                    state.arrivals.push(arrival);
                    state.in_hand.insert(id.clone(), true);
                }
                let worker = self.clone();
                spawn(move || worker.run(&id));
                "202 Accepted"
            };
            if writer.write_all(format!("HTTP/1.1 {answer}\r\nContent-Length: 0\r\n\r\n").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn is_in_hand(&self, id: &str) -> bool {
        self.state.0.lock().unwrap().in_hand.get(id).copied().unwrap_or(false)
    }

    fn run(&self, id: &str) {
        let (lock, changed) = &*self.state;
        {
            let mut state = lock.lock().unwrap();
            while state.free_slots == 0 {
                state = changed.wait(state).unwrap();
            }
            state.free_slots -= 1;
        }
        if self.is_in_hand(id) {
            self.call(id, "\"state\":\"started\"");
            let mut left = (self.work_of)(id);
            while left > 0.0 && self.is_in_hand(id) {
                let step = left.min(0.02);
                thread::sleep(Duration::from_secs_f64(step));
                left -= step;
            }
        }
        let done = {
            let mut state = lock.lock().unwrap();
            state.free_slots += 1;
            changed.notify_one();
            state.in_hand.remove(id).unwrap_or(false)
        };
        if done {
            self.record.line(&format!("{}: job {id} has run", self.name));
            self.call(id, &format!("\"state\":\"done\",\"result\":\"result of {id}\""));
        }
    }

    /// Makes a call to the node, and repeats it until it is answered, ten times at most.
    fn call(&self, id: &str, fields: &str) {
        let body = format!("{{\"id\":\"{id}\",\"from\":\"{}\",{fields}}}", self.name);
        for _ in 0..10 {
            if let Some(status) = self.call_once(&body) {
                if status == 200 || status == 204 {
                    return;
                }
                self.record.line(&format!("{}: callback for {id} answered {status}", self.name));
            }
            thread::sleep(Duration::from_millis(200));
        }
        self.record.line(&format!("{}: callback for {id} was not answered", self.name));
    }

    fn call_once(&self, body: &str) -> Option<u16> {
        let mut stream = TcpStream::connect_timeout(&address(self.node), Duration::from_secs(2)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let head = format!(
            "POST /callback HTTP/1.1\r\nHost: backend.local\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        let (message, _) = read_message(&mut BufReader::new(stream)).ok()??;
        Some(message.status())
    }
}
