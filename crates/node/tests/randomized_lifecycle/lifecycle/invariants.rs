//! Synchronization with the node, and the invariants that must hold once the node has handled everything sent
//! to it.

use std::time::{Duration, Instant};

use super::Lifecycle;
use super::discovery::WatchConnection;
use super::workers::EndpointStatus;
use crate::common::TEST_TIMEOUT;
use crate::randomized_lifecycle::connection::Connection;
use crate::randomized_lifecycle::job_model::{DrainRecord, Job, Outcome};

/// Maximum time until the node must notice that a client has disconnected. The check allows a complete round
/// trip after it.
const MAX_DISCONNECT_NOTIFICATION_DELAY: Duration = Duration::from_millis(300);
/// Maximum time after the node has read a drain during which attempts may still arrive at the worker,
/// including their time in transit.
const MAX_DRAIN_DELAY: Duration = Duration::from_millis(800);
/// Whether the node must notice that a client has disconnected while bytes behind its request are unread. A
/// node that does not notice it sends a pending job, and lets a running one continue up to the deadline. The
/// runs of seeds 46 and 57 contain such jobs.
const NOTICES_DISCONNECT_BEHIND_PIPELINED_DATA: bool = true;

impl Lifecycle {
    /// Waits until the node has handled everything sent to it. Then records which drains and disconnects the
    /// node counts as notified of, and checks that no job is overdue.
    pub(super) fn synchronize(&mut self) {
        if self.paused_until_event > 0 || self.exited {
            return self.read_everything();
        }
        let started_at = Instant::now();
        // A busy machine may stall for seconds, after which everything arrives at once. At the first response
        // the node may not have handled all of it; at the second it has.
        let Some(metrics) = self.fetch_metrics().and_then(|_| self.fetch_metrics()) else { return };
        if !self.read_until(TEST_TIMEOUT, |lifecycle| {
            lifecycle.exited || lifecycle.callbacks.iter().all(|callback| !callback.rest.is_empty())
        }) {
            self.fail(None, "a callback got no response");
        }
        let lists_read =
            metrics.lines().find_map(|line| line.strip_prefix("curlewusher_transport_map_changes_total "));
        let lists_read: u64 = lists_read
            .and_then(|lists_read| lists_read.parse().ok())
            .expect("the metrics have no valid counter");
        if self.watch_lines_lost
            && self.watches.iter().all(|watch| watch.response_started && watch.rest.is_empty())
        {
            // Lines of a broken watch were counted although the node did not read them, so the expected count
            // is reset to the count of the node. The node reads the next line of a watch after all earlier
            // lines of that watch.
            self.watch_lines_lost = false;
            self.expected_list_count = lists_read;
            self.unconfirmed_drains.iter_mut().for_each(|(_, list_count)| *list_count = lists_read + 1);
        }
        let now = Instant::now();
        let (event_count, may_have_lost_lines) = (self.event_count, self.watch_lines_lost);
        let workers = &mut self.workers;
        self.unconfirmed_drains.retain(|(worker, list_count)| {
            let is_notified = lists_read >= *list_count && !may_have_lost_lines;
            if is_notified && workers[*worker].status != EndpointStatus::InService {
                workers[*worker].drain.get_or_insert(DrainRecord {
                    read_at: now,
                    event_count,
                    is_effective: false,
                });
            }
            !is_notified
        });
        for drain in workers.iter_mut().filter_map(|worker| worker.drain.as_mut()) {
            drain.is_effective |= started_at >= drain.read_at + MAX_DRAIN_DELAY;
        }
        let is_checked = |job: &&mut Job| NOTICES_DISCONNECT_BEHIND_PIPELINED_DATA || !job.has_pipelined_data;
        for job in self.jobs.iter_mut().filter(is_checked) {
            job.notified_of_disconnect |= job.disconnected_at.is_some_and(|disconnected_at| {
                started_at >= disconnected_at + MAX_DISCONNECT_NOTIFICATION_DELAY
            });
        }
        if let Some(job) = self.jobs.iter().position(|job| job.is_overdue(started_at)) {
            self.fail(Some(job), "the client got no response by the deadline");
        }
    }

    /// Returns the text of `/metrics`, or `None` once the node accepts no connections.
    pub(super) fn fetch_metrics(&mut self) -> Option<String> {
        loop {
            if !self.metrics_connection.as_ref().is_some_and(Connection::is_open) {
                self.metrics_connection = Connection::connect(self.node.address);
            }
            let Some(metrics_connection) = &mut self.metrics_connection else {
                if self.terminated_at.is_none() {
                    self.fail(None, "the node refused a new connection");
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
                self.fail(None, "the node did not return its metrics");
            }
            if self.exited {
                return None;
            }
            if let Some(message) = self.metrics_connection.as_mut().and_then(Connection::take_message) {
                return Some(message.body);
            }
            if self.terminated_at.is_none() {
                self.fail(None, "the node did not return its metrics");
            }
            self.metrics_connection = None;
        }
    }

    /// Returns the number of file descriptors that the node has open.
    pub(super) fn open_descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.node.pid())).expect("the node is not running").count()
    }

    /// Waits until all jobs are answered and closes all clients. Then waits until no more than `descriptors`
    /// file descriptors are open and no attempts run.
    pub(super) fn assert_no_resources_remain(&mut self, descriptors: usize) {
        self.resume_node();
        let started_at = Instant::now();
        while self.jobs.iter().any(Job::is_open) {
            for index in 0..self.clients.len() {
                // The rest of a partial request is never written.
                if let Some(job) = self.clients[index].job.filter(|_| !self.clients[index].rest.is_empty()) {
                    self.clients[index].connection.close(false);
                    self.clients[index].job = None;
                    self.jobs[job].outcome = Outcome::ClientDisconnected;
                }
            }
            self.run_quiet_event();
            if started_at.elapsed() > TEST_TIMEOUT {
                self.fail(None, "jobs got no response");
            }
        }
        self.clients.clear();
        loop {
            self.run_quiet_event();
            let (open_count, watched) =
                (self.open_descriptor_count(), self.watches.iter().any(WatchConnection::is_healthy));
            let uncancelled = self.jobs.iter().position(Job::has_uncancelled_attempt);
            let done = self.callbacks.is_empty() && self.running_attempts.is_empty() && uncancelled.is_none();
            if open_count <= descriptors && watched && done {
                return;
            }
            if started_at.elapsed() > 2 * TEST_TIMEOUT {
                if uncancelled.is_some() {
                    self.fail(
                        uncancelled,
                        "no client waits for the job, and a worker that accepted it received no cancellation",
                    );
                }
                let text = format!(
                    "{open_count} descriptors are open, {descriptors} at the start; watch open: {watched}"
                );
                self.fail(None, &text);
            }
        }
    }

    /// Executes an event in which clients and discovery do nothing new.
    pub(super) fn run_quiet_event(&mut self) {
        self.run_worker_actions();
        self.write_heartbeats();
        self.synchronize();
        self.read_until(Duration::from_millis(10), |lifecycle| lifecycle.exited);
    }

    /// Sends SIGTERM. A paused node finds the signal together with everything sent before and after it.
    pub(super) fn send_sigterm(&mut self) {
        self.synchronize();
        self.terminated_at = Some(Instant::now());
        self.node.signal("-TERM");
    }

    /// Waits for the exit after SIGTERM, and checks that every request was answered before it.
    pub(super) fn wait_for_exit(&mut self) {
        self.resume_node();
        let started_at = Instant::now();
        while !self.exited {
            self.run_quiet_event();
            if started_at.elapsed() > TEST_TIMEOUT {
                self.fail(None, "the node did not exit");
            }
        }
        self.read_everything();
        if let Some(job) = self.jobs.iter().position(|job| job.outcome == Outcome::Pending) {
            self.fail(Some(job), "the node exited without a response to the job");
        }
    }

    /// Adds a line to the history of a job. The message of a violation includes it.
    pub(super) fn record(&mut self, job: usize, text: &str) {
        let at = self.started_at.elapsed().as_millis();
        self.jobs[job].history.push(format!("event {} at {at} ms: {text}", self.event_count));
    }

    /// Panics with the violation, the observations of a job or of all open jobs, and the command that repeats
    /// the run.
    pub(super) fn fail(&self, job: Option<usize>, violation: &str) -> ! {
        let (seed, event) = (self.seed, self.event_count);
        let jobs = match job.and_then(|job| self.jobs.get(job)) {
            Some(job) => format!("{job:#?}"),
            None => format!("{:?}", self.jobs.iter().filter(|job| job.is_open()).collect::<Vec<_>>()),
        };
        let id = job.and_then(|job| self.jobs.get(job)).map_or("WARN", |job| &job.id);
        let is_about_job = |line: &String| line.split(['=', ' ']).any(|field| field == id);
        let log_lines: Vec<_> = self.node.drain_log_lines().into_iter().filter(is_about_job).collect();
        panic!(
            "run {seed}, event {event}: {violation}\nrepeat with: LIVES_SEED={seed} cargo test \
             -p curlewusher-node --locked --test node randomized_lifecycle\n{jobs}\n{}",
            log_lines.join("\n")
        );
    }
}
