//! The event loop of a run: reads all sockets without blocking, and waits where nothing has arrived.

use std::os::fd::AsFd;
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::Lifecycle;
use super::discovery::WatchConnection;
use super::workers::WorkerConnection;
use crate::randomized_lifecycle::connection::Connection;

impl Lifecycle {
    /// Reads all sockets until nothing more has arrived.
    pub(super) fn read_everything(&mut self) {
        while self.poll_sockets() {}
    }

    /// Reads every socket once; returns whether anything had arrived. Responses to clients are checked after the
    /// requests to workers.
    pub(super) fn poll_sockets(&mut self) -> bool {
        let now = Instant::now();
        let mut any = false;
        for client in &mut self.clients {
            any |= client.connection.read();
        }
        any |= self.accept_worker_connections();
        any |= self.accept_watches(now);
        for index in 0..self.worker_connections.len() {
            any |= self.worker_connections[index].connection.read();
            // A part may have been read before, by a check for the end of the connection.
            while let Some(message) = self.worker_connections[index].connection.message() {
                self.receive_worker_request(index, &message);
            }
            self.handle_worker_connection_end(index);
        }
        for at in 0..self.clients.len() {
            self.receive_responses(at);
        }
        for at in 0..self.watches.len() {
            any |= self.receive_watch_request(at);
        }
        for callback in std::mem::take(&mut self.callbacks) {
            any |= self.receive_callback_response(callback);
        }
        if let Some(metrics_connection) = &mut self.metrics_connection {
            any |= metrics_connection.read();
        }
        self.clients.retain(|client| client.connection.is_open());
        self.watches.retain(|watch| watch.connection.is_open());
        if !any {
            self.earliest_arrival = now;
        }
        any
    }

    /// Accepts the connections to workers; returns whether there were any.
    fn accept_worker_connections(&mut self) -> bool {
        let mut any = false;
        for worker in 0..self.workers.len() {
            while let Ok((stream, _)) = self.workers[worker].listener.accept() {
                self.worker_connections.push(WorkerConnection {
                    connection: Connection::new(stream),
                    worker,
                    carries: None,
                    free: true,
                    has_stray_response: false,
                });
                any = true;
            }
        }
        any
    }

    /// Accepts the connections to discovery; returns whether there were any.
    fn accept_watches(&mut self, now: Instant) -> bool {
        let mut any = false;
        for at in 0..2 {
            while let Ok((stream, _)) = self.discoveries[at].accept() {
                let (connection, rest) = (Connection::new(stream), String::new());
                self.watches.push(WatchConnection {
                    connection,
                    open: false,
                    silent: false,
                    rest,
                    last_line_at: now,
                });
                any = true;
            }
        }
        any
    }

    /// Waits until a socket is readable, for this time at the most.
    pub(super) fn wait_for_input(&self, time: Duration) {
        let streams = (self.clients.iter().map(|c| &c.connection))
            .chain(self.worker_connections.iter().map(|l| &l.connection))
            .chain(self.watches.iter().map(|w| &w.connection))
            .chain(self.callbacks.iter().map(|c| &c.connection))
            .chain(&self.metrics_connection);
        let streams = streams
            .filter(|connection| connection.is_open())
            .filter_map(|connection| connection.stream.as_ref());
        let listeners = self.workers.iter().map(|worker| &worker.listener).chain(&self.discoveries);
        let mut all: Vec<_> = streams.map(|s| PollFd::from_borrowed_fd(s.as_fd(), PollFlags::IN)).collect();
        all.extend(listeners.map(|l| PollFd::from_borrowed_fd(l.as_fd(), PollFlags::IN)));
        let time = Timespec { tv_sec: 0, tv_nsec: time.as_nanos().min(999_999_999) as _ };
        let _ = poll(&mut all, Some(&time));
    }

    /// Reads all sockets until `condition` holds, for this time at the most; returns whether it holds.
    pub(super) fn read_until(&mut self, timeout: Duration, condition: impl Fn(&Lifecycle) -> bool) -> bool {
        let started_at = Instant::now();
        loop {
            self.read_everything();
            self.exited = self.exited || self.has_exited();
            if condition(self) {
                return true;
            }
            let Some(left) = timeout.checked_sub(started_at.elapsed()) else { return false };
            self.wait_for_input(left.min(Duration::from_millis(20)));
        }
    }

    /// Whether the node has exited, which it may do after SIGTERM only, with success.
    pub(super) fn has_exited(&mut self) -> bool {
        let Some(status) = self.node.try_exit_status() else { return false };
        if self.terminated_at.is_none() || !status.success() {
            self.fail(None, &format!("the program has ended: {status}"));
        }
        true
    }
}
