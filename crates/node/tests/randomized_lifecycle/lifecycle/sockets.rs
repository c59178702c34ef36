//! The socket loop of a run: reads all sockets without blocking, and waits if nothing has arrived.

use std::os::fd::AsFd;
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::Lifecycle;
use super::discovery::WatchConnection;
use super::workers::WorkerConnection;
use crate::randomized_lifecycle::connection::Connection;

impl Lifecycle {
    /// Reads all sockets until none has unread data.
    pub(super) fn read_everything(&mut self) {
        while self.poll_sockets() {}
    }

    /// Reads every socket once. Returns whether anything had arrived. Checks the responses to clients after
    /// the requests to workers.
    pub(super) fn poll_sockets(&mut self) -> bool {
        let now = Instant::now();
        let mut received = false;
        for client in &mut self.clients {
            received |= client.connection.read();
        }
        received |= self.accept_worker_connections();
        received |= self.accept_watches(now);
        for index in 0..self.worker_connections.len() {
            received |= self.worker_connections[index].connection.read();
            // An earlier check for the end of the connection may have read a part of the message.
            while let Some(message) = self.worker_connections[index].connection.take_message() {
                self.receive_worker_request(index, &message);
            }
            self.handle_worker_connection_end(index);
        }
        for index in 0..self.clients.len() {
            self.receive_responses(index);
        }
        for index in 0..self.watches.len() {
            received |= self.receive_watch_request(index);
        }
        for callback in std::mem::take(&mut self.callbacks) {
            received |= self.receive_callback_response(callback);
        }
        if let Some(metrics_connection) = &mut self.metrics_connection {
            received |= metrics_connection.read();
        }
        self.clients.retain(|client| client.connection.is_open());
        self.watches.retain(|watch| watch.connection.is_open());
        if !received {
            self.earliest_arrival = now;
        }
        received
    }

    /// Accepts the connections to workers. Returns whether there were any.
    fn accept_worker_connections(&mut self) -> bool {
        let mut accepted = false;
        for worker in 0..self.workers.len() {
            while let Ok((stream, _)) = self.workers[worker].listener.accept() {
                self.worker_connections.push(WorkerConnection {
                    connection: Connection::new(stream),
                    worker,
                    carried_attempt: None,
                    is_idle: true,
                    has_stray_response: false,
                });
                accepted = true;
            }
        }
        accepted
    }

    /// Accepts the connections to discovery. Returns whether there were any.
    fn accept_watches(&mut self, now: Instant) -> bool {
        let mut accepted = false;
        for index in 0..2 {
            while let Ok((stream, _)) = self.discoveries[index].accept() {
                let (connection, rest) = (Connection::new(stream), String::new());
                self.watches.push(WatchConnection {
                    connection,
                    response_started: false,
                    is_stalled: false,
                    rest,
                    last_line_at: now,
                });
                accepted = true;
            }
        }
        accepted
    }

    /// Waits until a socket is readable, at most for `timeout`, which is cut to less than one second.
    pub(super) fn wait_for_input(&self, timeout: Duration) {
        let streams = (self.clients.iter().map(|c| &c.connection))
            .chain(self.worker_connections.iter().map(|w| &w.connection))
            .chain(self.watches.iter().map(|w| &w.connection))
            .chain(self.callbacks.iter().map(|c| &c.connection))
            .chain(&self.metrics_connection);
        let streams = streams
            .filter(|connection| connection.is_open())
            .filter_map(|connection| connection.stream.as_ref());
        let listeners = self.workers.iter().map(|worker| &worker.listener).chain(&self.discoveries);
        let mut poll_fds: Vec<_> =
            streams.map(|s| PollFd::from_borrowed_fd(s.as_fd(), PollFlags::IN)).collect();
        poll_fds.extend(listeners.map(|l| PollFd::from_borrowed_fd(l.as_fd(), PollFlags::IN)));
        let timeout = Timespec { tv_sec: 0, tv_nsec: timeout.as_nanos().min(999_999_999) as _ };
        let _ = poll(&mut poll_fds, Some(&timeout));
    }

    /// Reads all sockets until `condition` holds, at most for `timeout`. Returns whether the condition holds.
    pub(super) fn read_until(&mut self, timeout: Duration, condition: impl Fn(&Lifecycle) -> bool) -> bool {
        let started_at = Instant::now();
        loop {
            self.read_everything();
            self.exited = self.exited || self.has_exited();
            if condition(self) {
                return true;
            }
            let Some(remaining) = timeout.checked_sub(started_at.elapsed()) else { return false };
            self.wait_for_input(remaining.min(Duration::from_millis(20)));
        }
    }

    /// Returns whether the node has exited. It may exit only after SIGTERM, and with success.
    pub(super) fn has_exited(&mut self) -> bool {
        let Some(status) = self.node.try_exit_status() else { return false };
        if self.terminated_at.is_none() || !status.success() {
            self.fail(None, &format!("the node exited unexpectedly: {status}"));
        }
        true
    }
}
