//! Scripted discovery: endpoint changes, watches and their disturbances, and reloads of the configuration.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::Lifecycle;
use super::settings::node_config;
use super::workers::{EndpointStatus, Worker};
use crate::common::endpoint_list_json;
use crate::randomized_lifecycle::connection::Connection;

/// Interval of the empty lines on a healthy watch.
const HEARTBEAT: Duration = Duration::from_millis(700);

/// A connection from the node to discovery.
pub(super) struct WatchConnection {
    pub(super) connection: Connection,
    /// The response has begun.
    pub(super) open: bool,
    /// Discovery writes nothing on it any more.
    pub(super) silent: bool,
    /// The part of a line that is not written yet.
    pub(super) rest: String,
    pub(super) last_line_at: Instant,
}

impl WatchConnection {
    /// Whether lines are written on it.
    pub(super) fn is_healthy(&self) -> bool {
        self.open && !self.silent && self.connection.is_open()
    }
}

impl Lifecycle {
    /// Changes the status of a worker and notifies all healthy watches.
    pub(super) fn change_endpoint_status(&mut self, a: usize, b: usize) {
        let worker = a % self.workers.len();
        let status = match (self.workers[worker].status, b % 3) {
            (EndpointStatus::InService, 0 | 1) => EndpointStatus::Terminating,
            (EndpointStatus::Terminating, 0) | (EndpointStatus::InService, _) => EndpointStatus::Terminated,
            _ => EndpointStatus::InService,
        };
        self.list_version += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a date").as_millis();
        let this = &mut self.workers[worker];
        if this.status == EndpointStatus::Terminated
            && status == EndpointStatus::InService
            && b.is_multiple_of(2)
        {
            this.since_ms = now;
        }
        (this.status, this.changed_in_version, this.drain) = (status, self.list_version, None);
        self.unconfirmed_drains.retain(|(at, _)| *at != worker);
        let line = endpoint_list_json(self.list_version, false, &[this.endpoint_json()]);
        for at in 0..self.watches.len() {
            if self.watches[at].is_healthy() {
                self.write_watch_line(at, &line, (b / 8).is_multiple_of(3));
            }
        }
        if status != EndpointStatus::InService && self.watches.iter().any(WatchConnection::is_healthy) {
            self.unconfirmed_drains.push((worker, self.lines_written));
        }
    }

    /// Writes a line on a watch, whole or in two parts.
    pub(super) fn write_watch_line(&mut self, at: usize, line: &str, in_parts: bool) {
        let watch = &mut self.watches[at];
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let (first, rest) = chunk.split_at(if in_parts { chunk.len() / 2 } else { chunk.len() });
        let whole = std::mem::take(&mut watch.rest);
        watch.connection.write(&format!("{whole}{first}"));
        rest.clone_into(&mut watch.rest);
        watch.last_line_at = Instant::now();
        self.lines_written += 1;
    }

    /// Makes a healthy watch silent, or ends it in one of several ways.
    pub(super) fn disturb_watch(&mut self, b: usize) {
        let Some(at) = self.watches.iter().rposition(WatchConnection::is_healthy) else { return };
        let watch = &mut self.watches[at];
        match b % 4 {
            0 => watch.silent = true,
            1 => watch.connection.close(true),
            2 => watch.connection.close(false),
            _ => {
                watch.connection.write("0\r\n\r\n");
                watch.connection.close(false);
            }
        }
        self.watch_lines_lost = true;
    }

    /// Reloads a configuration that is invalid, or that names another discovery.
    pub(super) fn reload_config(&mut self, a: usize, b: usize) {
        if self.exited {
            return;
        }
        if b.is_multiple_of(4) {
            return self.node.reload_config("{");
        }
        let at = self.discoveries[a % 2].local_addr().expect("an address");
        let known: Vec<_> = self.workers.iter().map(Worker::endpoint_json).collect();
        self.node.reload_config(&node_config(
            &self.settings,
            at,
            &endpoint_list_json(self.list_version, true, &known),
        ));
    }

    /// Writes the rests of lines and callbacks, and empty lines where one is due.
    pub(super) fn write_heartbeats(&mut self) {
        for watch in &mut self.watches {
            if !watch.rest.is_empty() && watch.is_healthy() {
                let rest = std::mem::take(&mut watch.rest);
                watch.connection.write(&rest);
                watch.last_line_at = Instant::now();
            } else if watch.is_healthy() && watch.last_line_at.elapsed() > HEARTBEAT {
                watch.connection.write("1\r\n\n\r\n");
                watch.last_line_at = Instant::now();
            }
        }
        for callback in &mut self.callbacks {
            let rest = std::mem::take(&mut callback.rest);
            callback.connection.write(&rest);
        }
    }

    /// Reads a watch and responds to its request; returns whether anything had arrived.
    pub(super) fn receive_watch_request(&mut self, at: usize) -> bool {
        let any = self.watches[at].connection.read();
        if let Some(message) = self.watches[at].connection.message() {
            let since =
                message.start_line.split("follow=1&since=").nth(1).and_then(|rest| rest.split(' ').next());
            let Some(since) = since.and_then(|since| since.parse::<u64>().ok()) else {
                // A request to a worker of another test, which had this port before.
                self.watches[at].connection.close(false);
                return any;
            };
            self.watch_requests += 1;
            let first = self.watch_requests == 1;
            let mut draw = self.derived_rng("watch", 0, self.watch_requests);
            let watch = &mut self.watches[at];
            match draw.u8(0..12) {
                0 if !first => watch.connection.close(true),
                1 if !first => {
                    watch.connection.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    watch.connection.close(false);
                }
                drawn => self.open_watch(at, since, drawn),
            }
        }
        if self.watches[at].connection.end.is_some() {
            self.watch_lines_lost = true;
        }
        any
    }

    /// Begins the response to a watch: with all endpoints where the node has none or `drawn` says so, else with those that
    /// changed since its version.
    fn open_watch(&mut self, at: usize, since: u64, drawn: u8) {
        let watch = &mut self.watches[at];
        watch.connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.open = true;
        let is_snapshot = since == 0 || drawn.is_multiple_of(2);
        let is_listed = |worker: &&Worker| {
            if is_snapshot {
                worker.status != EndpointStatus::Terminated
            } else {
                worker.changed_in_version > since
            }
        };
        let endpoints: Vec<_> = self.workers.iter().filter(is_listed).map(Worker::endpoint_json).collect();
        let line = endpoint_list_json(self.list_version, is_snapshot, &endpoints);
        self.write_watch_line(at, &line, drawn == 2);
        for (index, worker) in self.workers.iter().enumerate() {
            if worker.status != EndpointStatus::InService && worker.drain.is_none() {
                self.unconfirmed_drains.push((index, self.lines_written));
            }
        }
    }
}
