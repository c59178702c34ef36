//! Scripted discovery: endpoint changes, watches and their faults, and reloads of the configuration.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::Lifecycle;
use super::settings::node_config;
use super::workers::{EndpointStatus, Worker};
use crate::common::endpoint_list_json;
use crate::randomized_lifecycle::connection::Connection;

/// Interval of the empty lines that keep a healthy watch alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);

/// Connection from the node to discovery.
pub(super) struct WatchConnection {
    pub(super) connection: Connection,
    /// Whether discovery has begun the response.
    pub(super) response_started: bool,
    /// Whether discovery has stopped writing on the connection.
    pub(super) is_stalled: bool,
    /// Part of a line that is not written yet.
    pub(super) rest: String,
    pub(super) last_line_at: Instant,
}

impl WatchConnection {
    /// Returns whether discovery writes lines on the connection.
    pub(super) fn is_healthy(&self) -> bool {
        self.response_started && !self.is_stalled && self.connection.is_open()
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
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is before 1970").as_millis();
        let changed_worker = &mut self.workers[worker];
        if changed_worker.status == EndpointStatus::Terminated
            && status == EndpointStatus::InService
            && b.is_multiple_of(2)
        {
            changed_worker.since_ms = now;
        }
        (changed_worker.status, changed_worker.changed_in_version, changed_worker.drain) =
            (status, self.list_version, None);
        self.unconfirmed_drains.retain(|(index, _)| *index != worker);
        let line = endpoint_list_json(self.list_version, false, &[changed_worker.endpoint_json()]);
        for index in 0..self.watches.len() {
            if self.watches[index].is_healthy() {
                self.write_watch_line(index, &line, (b / 8).is_multiple_of(3));
            }
        }
        if status != EndpointStatus::InService && self.watches.iter().any(WatchConnection::is_healthy) {
            self.unconfirmed_drains.push((worker, self.expected_list_count));
        }
    }

    /// Writes a line on a watch, whole or in two parts.
    pub(super) fn write_watch_line(&mut self, index: usize, line: &str, in_parts: bool) {
        let watch = &mut self.watches[index];
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let (first, rest) = chunk.split_at(if in_parts { chunk.len() / 2 } else { chunk.len() });
        let earlier_rest = std::mem::take(&mut watch.rest);
        watch.connection.write(&format!("{earlier_rest}{first}"));
        rest.clone_into(&mut watch.rest);
        watch.last_line_at = Instant::now();
        self.expected_list_count += 1;
    }

    /// Stops writing on a healthy watch without closing it, or ends it in one of several ways.
    pub(super) fn inject_watch_fault(&mut self, b: usize) {
        let Some(index) = self.watches.iter().rposition(WatchConnection::is_healthy) else { return };
        let watch = &mut self.watches[index];
        match b % 4 {
            0 => watch.is_stalled = true,
            1 => watch.connection.close(true),
            2 => watch.connection.close(false),
            _ => {
                watch.connection.write("0\r\n\r\n");
                watch.connection.close(false);
            }
        }
        self.watch_lines_lost = true;
    }

    /// Reloads a configuration that is invalid, or that names one of the discovery addresses.
    pub(super) fn reload_config(&mut self, a: usize, b: usize) {
        if self.exited {
            return;
        }
        if b.is_multiple_of(4) {
            return self.node.reload_config("{");
        }
        let address = self.discoveries[a % 2].local_addr().expect("the listener has no address");
        let endpoints: Vec<_> = self.workers.iter().map(Worker::endpoint_json).collect();
        self.node.reload_config(&node_config(
            &self.settings,
            address,
            &endpoint_list_json(self.list_version, true, &endpoints),
        ));
    }

    /// Writes the rests of partial lines and callbacks, and an empty line on each watch whose last line is
    /// older than [`HEARTBEAT_INTERVAL`].
    pub(super) fn write_heartbeats(&mut self) {
        for watch in &mut self.watches {
            if !watch.rest.is_empty() && watch.is_healthy() {
                let rest = std::mem::take(&mut watch.rest);
                watch.connection.write(&rest);
                watch.last_line_at = Instant::now();
            } else if watch.is_healthy() && watch.last_line_at.elapsed() > HEARTBEAT_INTERVAL {
                watch.connection.write("1\r\n\n\r\n");
                watch.last_line_at = Instant::now();
            }
        }
        for callback in &mut self.callbacks {
            let rest = std::mem::take(&mut callback.rest);
            callback.connection.write(&rest);
        }
    }

    /// Reads a watch connection and responds to its request. Returns whether anything had arrived.
    pub(super) fn receive_watch_request(&mut self, index: usize) -> bool {
        let received = self.watches[index].connection.read();
        if let Some(message) = self.watches[index].connection.take_message() {
            let since =
                message.start_line.split("follow=1&since=").nth(1).and_then(|rest| rest.split(' ').next());
            let Some(since) = since.and_then(|since| since.parse::<u64>().ok()) else {
                // The request is for a worker of another test, which had this port before.
                self.watches[index].connection.close(false);
                return received;
            };
            self.watch_requests += 1;
            let is_first = self.watch_requests == 1;
            let mut rng = self.derived_rng("watch", 0, self.watch_requests);
            let watch = &mut self.watches[index];
            match rng.u8(0..12) {
                0 if !is_first => watch.connection.close(true),
                1 if !is_first => {
                    watch.connection.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    watch.connection.close(false);
                }
                choice => self.open_watch(index, since, choice),
            }
        }
        if self.watches[index].connection.end.is_some() {
            self.watch_lines_lost = true;
        }
        received
    }

    /// Begins the response to a watch request. The first list has all endpoints if the node has no list or
    /// `choice` is even, otherwise the endpoints that changed since the node's version.
    fn open_watch(&mut self, watch_index: usize, since: u64, choice: u8) {
        let watch = &mut self.watches[watch_index];
        watch.connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.response_started = true;
        let is_snapshot = since == 0 || choice.is_multiple_of(2);
        let is_listed = |worker: &&Worker| {
            if is_snapshot {
                worker.status != EndpointStatus::Terminated
            } else {
                worker.changed_in_version > since
            }
        };
        let endpoints: Vec<_> = self.workers.iter().filter(is_listed).map(Worker::endpoint_json).collect();
        let line = endpoint_list_json(self.list_version, is_snapshot, &endpoints);
        self.write_watch_line(watch_index, &line, choice == 2);
        for (worker_index, worker) in self.workers.iter().enumerate() {
            if worker.status != EndpointStatus::InService && worker.drain.is_none() {
                self.unconfirmed_drains.push((worker_index, self.expected_list_count));
            }
        }
    }
}
