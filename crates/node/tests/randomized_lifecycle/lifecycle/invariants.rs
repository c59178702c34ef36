//! Points at which the node has handled all that was sent to it, and the invariants that must hold there.

use std::time::{Duration, Instant};

use super::Lifecycle;
use super::discovery::WatchConnection;
use super::workers::EndpointStatus;
use crate::common::TEST_TIMEOUT;
use crate::randomized_lifecycle::connection::Connection;
use crate::randomized_lifecycle::job_model::{DrainRecord, Job, Outcome};

/// Within this time, and a complete round trip after it, the node must notice that a client has disconnected.
const CLIENT_LEFT_KNOWN_WITHIN: Duration = Duration::from_millis(300);
/// Within this time after it has read of a drain, transport included, the node must send nothing more there.
const DRAIN_EFFECTIVE_WITHIN: Duration = Duration::from_millis(800);
/// Whether the node must notice that a client has disconnected while bytes behind its request are unread. Where it does not, a
/// pending job is sent and a running one continues up to the deadline, as in the runs of seeds 46 and 57.
const SEES_CLIENTS_LEAVE_BEHIND_PIPELINED_DATA: bool = true;

impl Lifecycle {
    /// Waits until the node has handled all that was sent to it; then marks what it must know by now, and checks that no
    /// job is overdue.
    pub(super) fn settle(&mut self) {
        if self.paused_until_event > 0 || self.exited {
            return self.read_everything();
        }
        let started_at = Instant::now();
        // A busy machine may stall for seconds, after which everything arrives at once: with the first response the node
        // may not have handled all of it, with the second it has.
        let Some(metrics) = self.fetch_metrics().and_then(|_| self.fetch_metrics()) else { return };
        if !self.read_until(TEST_TIMEOUT, |lifecycle| {
            lifecycle.exited || lifecycle.callbacks.iter().all(|callback| !callback.rest.is_empty())
        }) {
            self.fail(None, "a call-back is not answered");
        }
        let read =
            metrics.lines().find_map(|line| line.strip_prefix("curlewusher_transport_map_changes_total "));
        let read: u64 = read.and_then(|read| read.parse().ok()).expect("a counter");
        if self.watch_lines_lost && self.watches.iter().all(|watch| watch.open && watch.rest.is_empty()) {
            // Lines of a broken watch were counted but not read. What is read next on a watch follows its earlier lines.
            self.watch_lines_lost = false;
            self.lines_written = read;
            self.unconfirmed_drains.iter_mut().for_each(|(_, lines)| *lines = read + 1);
        }
        let now = Instant::now();
        let (event_count, lost) = (self.event_count, self.watch_lines_lost);
        let workers = &mut self.workers;
        self.unconfirmed_drains.retain(|(worker, lines)| {
            let known = read >= *lines && !lost;
            if known && workers[*worker].status != EndpointStatus::InService {
                workers[*worker].drain.get_or_insert(DrainRecord { read: now, event_count, settled: false });
            }
            !known
        });
        for drain in workers.iter_mut().filter_map(|worker| worker.drain.as_mut()) {
            drain.settled |= started_at >= drain.read + DRAIN_EFFECTIVE_WITHIN;
        }
        let is_checked = |job: &&mut Job| SEES_CLIENTS_LEAVE_BEHIND_PIPELINED_DATA || !job.has_pipelined_data;
        for job in self.jobs.iter_mut().filter(is_checked) {
            job.departure_known |=
                job.left_at.is_some_and(|left_at| started_at >= left_at + CLIENT_LEFT_KNOWN_WITHIN);
        }
        if let Some(job) = self.jobs.iter().position(|job| job.is_overdue(started_at)) {
            self.fail(Some(job), "it is not answered in its time");
        }
    }

    /// The text of `/metrics`; none once the node accepts no connections.
    pub(super) fn fetch_metrics(&mut self) -> Option<String> {
        loop {
            if !self.metrics_connection.as_ref().is_some_and(Connection::is_open) {
                self.metrics_connection = Connection::connect(self.node.address);
            }
            let Some(metrics_connection) = &mut self.metrics_connection else {
                if self.terminated_at.is_none() {
                    self.fail(None, "a new connection is refused");
                }
                self.read_until(Duration::from_millis(20), |lifecycle| lifecycle.exited);
                return None;
            };
            metrics_connection.write("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
            let is_complete =
                |connection: &Connection| !connection.is_open() || connection.bytes.ends_with(b"# EOF\n");
            if !self.read_until(TEST_TIMEOUT, |lifecycle| {
                lifecycle.exited || lifecycle.metrics_connection.as_ref().is_none_or(is_complete)
            }) {
                self.fail(None, "it does not show its counters");
            }
            if self.exited {
                return None;
            }
            if let Some(message) = self.metrics_connection.as_mut().and_then(Connection::message) {
                return Some(message.body);
            }
            if self.terminated_at.is_none() {
                self.fail(None, "it does not show its counters");
            }
            self.metrics_connection = None;
        }
    }

    /// The number of file descriptors that the node has open.
    pub(super) fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.node.pid())).expect("it runs").count()
    }

    /// Waits until all jobs are answered and closes all clients; then neither descriptors nor running attempts may remain.
    pub(super) fn assert_idle_node_keeps_nothing(&mut self, descriptors: usize) {
        self.resume_node();
        let started_at = Instant::now();
        while self.jobs.iter().any(Job::is_open) {
            for at in 0..self.clients.len() {
                // The rest of a partial request is never written.
                if let Some(job) = self.clients[at].job.filter(|_| !self.clients[at].rest.is_empty()) {
                    self.clients[at].connection.close(false);
                    self.clients[at].job = None;
                    self.jobs[job].outcome = Outcome::ClientLeft;
                }
            }
            self.play_quiet_event();
            if started_at.elapsed() > TEST_TIMEOUT {
                self.fail(None, "jobs stay open");
            }
        }
        self.clients.clear();
        loop {
            self.play_quiet_event();
            let (now, watched) =
                (self.open_descriptors(), self.watches.iter().any(WatchConnection::is_healthy));
            let unwithdrawn = self.jobs.iter().position(Job::runs_without_withdrawal);
            let done = self.callbacks.is_empty() && self.running_attempts.is_empty() && unwithdrawn.is_none();
            if now <= descriptors && watched && done {
                return;
            }
            if started_at.elapsed() > 2 * TEST_TIMEOUT {
                if unwithdrawn.is_some() {
                    self.fail(
                        unwithdrawn,
                        "no client waits for it, and a worker that accepted it got no withdrawal",
                    );
                }
                let text =
                    format!("{now} descriptors are open, {descriptors} at the start; watched: {watched}");
                self.fail(None, &text);
            }
        }
    }

    /// An event in which clients and discovery do nothing new.
    pub(super) fn play_quiet_event(&mut self) {
        self.run_worker_actions();
        self.write_heartbeats();
        self.settle();
        self.read_until(Duration::from_millis(10), |lifecycle| lifecycle.exited);
    }

    /// Sends SIGTERM. A paused node finds it together with what came before and after.
    pub(super) fn send_sigterm(&mut self) {
        self.settle();
        self.terminated_at = Some(Instant::now());
        self.node.signal("-TERM");
    }

    /// Waits for the exit after SIGTERM, by which every request must be answered.
    pub(super) fn wait_for_exit(&mut self) {
        self.resume_node();
        let started_at = Instant::now();
        while !self.exited {
            self.play_quiet_event();
            if started_at.elapsed() > TEST_TIMEOUT {
                self.fail(None, "the program does not end");
            }
        }
        self.read_everything();
        if let Some(job) = self.jobs.iter().position(|job| job.outcome == Outcome::Pending) {
            self.fail(Some(job), "the program has ended without its answer");
        }
    }

    /// Adds a line to the history of a job, which is shown where the job breaks an invariant.
    pub(super) fn record(&mut self, job: usize, text: &str) {
        let at = self.started_at.elapsed().as_millis();
        self.jobs[job].history.push(format!("event {} at {at} ms: {text}", self.event_count));
    }

    /// Panics with what is known of a job, or of all open ones, and how to repeat the run.
    pub(super) fn fail(&self, job: Option<usize>, what: &str) -> ! {
        let (seed, event) = (self.seed, self.event_count);
        let jobs = match job.and_then(|job| self.jobs.get(job)) {
            Some(job) => format!("{job:#?}"),
            None => format!("{:?}", self.jobs.iter().filter(|job| job.is_open()).collect::<Vec<_>>()),
        };
        let id = job.and_then(|job| self.jobs.get(job)).map_or("WARN", |job| &job.id);
        let about = |line: &String| line.split(['=', ' ']).any(|field| field == id);
        let log_lines: Vec<_> = self.node.drain_log_lines().into_iter().filter(about).collect();
        panic!(
            "run {seed}, event {event}: {what}\nagain: LIVES_SEED={seed} cargo test -p curlewusher-node \
             --locked --test node randomized_lifecycle\n{jobs}\n{}",
            log_lines.join("\n")
        );
    }
}
