//! One run: a node as a process, with scripted discovery, workers and clients on one thread.
//!
//! The seed determines every event. After each event the run reads all sockets, the node answers a request,
//! and the run checks the invariants. Only the pauses of the run wait for time to pass, and no check depends
//! on their duration.

mod callbacks;
mod clients;
mod discovery;
mod invariants;
mod settings;
mod sockets;
mod workers;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use fastrand::Rng;

use self::callbacks::PendingCallback;
use self::clients::{ClientConnection, RequestForm};
use self::discovery::WatchConnection;
use self::settings::{RandomSettings, node_config};
use self::workers::{RunningAttempt, Worker, WorkerConnection};
use super::connection::Connection;
use super::job_model::{Job, JobRules, Outcome};
use crate::common::{Node, TEST_TIMEOUT, endpoint_list_json};

/// Minimum time after SIGTERM for which the node must still serve new connections.
const MIN_ACCEPT_DURATION: Duration = Duration::from_millis(400);
/// Operators' file of the node. The message of a violation includes the log lines of the job.
const OPERATOR_FILE: &str = "[log]\nlevel = \"debug\"\nlines_per_s = 100000\nwaiting_lines = 65536\n";

/// Counts of a run, each with its name.
pub type Tally = [(&'static str, usize); 9];

/// The state of one run.
pub struct Lifecycle {
    seed: u64,
    rng: Rng,
    node: Node,
    settings: String,
    rules: JobRules,
    /// Maximum deadline of each class, in milliseconds.
    deadlines_ms: [u64; 3],
    /// Listeners of discovery at two addresses. A valid reload names one of them.
    discoveries: [TcpListener; 2],
    /// Version of the latest endpoint list.
    list_version: u64,
    workers: Vec<Worker>,
    worker_connections: Vec<WorkerConnection>,
    running_attempts: Vec<RunningAttempt>,
    clients: Vec<ClientConnection>,
    callbacks: Vec<PendingCallback>,
    watches: Vec<WatchConnection>,
    /// Number of watch requests that discovery has received.
    watch_requests: usize,
    metrics_connection: Option<Connection>,
    jobs: Vec<Job>,
    event_count: u64,
    started_at: Instant,
    /// Earliest possible arrival time of everything that is read from now on.
    earliest_arrival: Instant,
    /// Number of endpoint lists that the node will have counted once it has read everything written so far.
    expected_list_count: u64,
    /// Drained workers of which the node may not be notified yet, each with the value of
    /// `expected_list_count` at which the node is notified.
    unconfirmed_drains: Vec<(usize, u64)>,
    /// Whether lines of a broken watch may be counted in `expected_list_count` although the node has not read
    /// them.
    watch_lines_lost: bool,
    /// Number of the event up to which the node is paused; zero while the node runs.
    paused_until_event: u64,
    /// Time at which the node was sent SIGTERM.
    terminated_at: Option<Instant>,
    exited: bool,
}

/// Opens a non-blocking listener on a free port.
fn listen() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binding a port failed");
    listener.set_nonblocking(true).expect("setting the socket option failed");
    listener
}

impl Lifecycle {
    /// Starts the node of this seed and waits until it has opened a watch.
    pub fn new(seed: u64) -> Lifecycle {
        let mut rng = Rng::with_seed(seed);
        let worker_count = rng.usize(3..=5);
        let workers: Vec<_> = (0..worker_count).map(|number| Worker::start(number, &mut rng)).collect();
        let discoveries = [listen(), listen()];
        let random_settings = RandomSettings::sample(&mut rng);
        let settings = random_settings.json();
        let endpoints: Vec<_> = workers.iter().map(Worker::endpoint_json).collect();
        let discovery = discoveries[0].local_addr().expect("the listener has no address");
        let config = node_config(&settings, discovery, &endpoint_list_json(41, true, &endpoints));
        let node = Node::start_with_operator_file(&config, OPERATOR_FILE);
        let now = Instant::now();
        let mut lifecycle = Lifecycle {
            seed,
            rng,
            node,
            settings,
            rules: random_settings.rules,
            deadlines_ms: random_settings.deadlines_ms,
            discoveries,
            list_version: 41,
            workers,
            worker_connections: vec![],
            running_attempts: vec![],
            clients: vec![],
            callbacks: vec![],
            watches: vec![],
            watch_requests: 0,
            metrics_connection: None,
            jobs: vec![],
            event_count: 0,
            started_at: now,
            earliest_arrival: now,
            expected_list_count: 1,
            unconfirmed_drains: vec![],
            watch_lines_lost: false,
            paused_until_event: 0,
            terminated_at: None,
            exited: false,
        };
        if !lifecycle.read_until(TEST_TIMEOUT, |lifecycle| {
            lifecycle.watches.iter().any(|watch| watch.response_started)
        }) {
            lifecycle.fail(None, "the node opened no watch");
        }
        lifecycle.synchronize();
        lifecycle
    }

    /// Executes the run. Panics if an invariant is violated.
    pub fn run(mut self) -> Tally {
        let initial_descriptors = self.open_descriptor_count();
        let event_count = self.rng.u64(30..70);
        let is_terminated_early = self.rng.u8(0..3) == 0;
        let sigterm_event = if is_terminated_early { self.rng.u64(10..event_count) } else { event_count };
        while self.event_count < sigterm_event {
            self.run_random_event();
        }
        if !is_terminated_early {
            self.assert_no_resources_remain(initial_descriptors);
        }
        self.send_sigterm();
        let last_event = self.event_count + if is_terminated_early { 80 } else { 0 };
        while self.event_count < last_event && !self.exited {
            self.run_random_event();
        }
        self.wait_for_exit();
        let count_jobs = |has_outcome: fn(&Outcome) -> bool| {
            self.jobs.iter().filter(|job| has_outcome(&job.outcome)).count()
        };
        let attempts = || self.jobs.iter().flat_map(|job| &job.attempts);
        [
            ("events", self.event_count as usize),
            ("jobs", self.jobs.len()),
            ("attempts", attempts().count()),
            ("withdrawals", attempts().map(|attempt| attempt.cancellation_count as usize).sum()),
            ("served", count_jobs(|outcome| *outcome == Outcome::Answered(200))),
            ("refused", count_jobs(|outcome| *outcome == Outcome::Answered(503))),
            ("failed", count_jobs(|outcome| *outcome == Outcome::Answered(502))),
            ("left", count_jobs(|outcome| *outcome == Outcome::ClientDisconnected)),
            ("crossed", count_jobs(|outcome| *outcome == Outcome::ClosedUnserved)),
        ]
    }

    /// Executes one random event. The random numbers do not depend on the behaviour of the node: each event
    /// takes the same ones, and its handler derives its choices from `a` and `b`.
    fn run_random_event(&mut self) {
        self.event_count += 1;
        let (kind, a, b) = (self.rng.u8(0..64), self.rng.usize(0..1 << 16), self.rng.usize(0..1 << 16));
        match kind {
            0..=23 => self.submit_job(a, b, RequestForm::Whole),
            24..=26 => self.submit_job(a, b, RequestForm::FirstPart),
            27..=28 => self.submit_job(a, b, RequestForm::WithPipelinedData),
            29..=30 => self.finish_partial_request(a),
            31..=35 => self.disconnect_client(a, b % 2 == 0),
            36..=40 => self.change_endpoint_status(a, b),
            41..=42 => self.inject_watch_fault(b),
            43 => self.reload_config(a, b),
            62..=63 => self.inject_idle_connection_fault(a, b),
            44..=46 => self.pause_node(2 + a as u64 % 3),
            47..=49 => self.read_for(Duration::from_millis(60 + a as u64 % 150)),
            _ => self.read_for(Duration::from_millis(2 + a as u64 % 40)),
        }
        self.run_worker_actions();
        self.write_heartbeats();
        if self.paused_until_event > 0 && self.event_count >= self.paused_until_event {
            self.resume_node();
        }
        self.synchronize();
    }

    /// Reads all sockets for this duration, unless the node is paused.
    fn read_for(&mut self, duration: Duration) {
        if self.paused_until_event == 0 {
            self.read_until(duration, |lifecycle| lifecycle.exited);
        }
    }

    /// Pauses the node for the next `event_count` events, all of which it then finds at once.
    fn pause_node(&mut self, event_count: u64) {
        if self.paused_until_event == 0 && !self.exited {
            self.synchronize();
            self.node.signal("-STOP");
            self.paused_until_event = self.event_count + event_count;
        }
    }

    /// Resumes the node if it is paused.
    fn resume_node(&mut self) {
        if self.paused_until_event > 0 {
            self.node.signal("-CONT");
            self.paused_until_event = 0;
        }
    }
}
