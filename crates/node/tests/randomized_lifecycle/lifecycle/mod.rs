//! One run: a node as a process, with discovery, workers and clients that are all scripted here, on one thread.
//!
//! Every event is drawn from the seed. After each, all sockets are read, the node answers a request, and the invariants
//! are checked. Nothing but the pauses of the run waits for time to pass, and no check depends on those.

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
use self::settings::{DrawnSettings, node_config};
use self::workers::{RunningAttempt, Worker, WorkerConnection};
use super::connection::Connection;
use super::job_model::{Job, JobRules, Outcome};
use crate::common::{Node, TEST_TIMEOUT, endpoint_list_json};

/// For this long after SIGTERM new connections must still be served.
const SERVES_NEW_CONNECTIONS_FOR: Duration = Duration::from_millis(400);
/// The log lines on a job are shown where an invariant is broken.
const OPERATOR_FILE: &str = "[log]\nlevel = \"debug\"\nlines_per_s = 100000\nwaiting_lines = 65536\n";

/// What happened in a run: names and counts.
pub type Tally = [(&'static str, usize); 9];

/// The state of one run.
pub struct Lifecycle {
    seed: u64,
    rng: Rng,
    node: Node,
    settings: String,
    rules: JobRules,
    deadlines_ms: [u64; 3],
    discoveries: [TcpListener; 2],
    list_version: u64,
    workers: Vec<Worker>,
    worker_connections: Vec<WorkerConnection>,
    running_attempts: Vec<RunningAttempt>,
    clients: Vec<ClientConnection>,
    callbacks: Vec<PendingCallback>,
    watches: Vec<WatchConnection>,
    watch_requests: usize,
    metrics_connection: Option<Connection>,
    jobs: Vec<Job>,
    event_count: u64,
    started_at: Instant,
    /// All that is read from now on has arrived after this.
    earliest_arrival: Instant,
    /// Endpoint lists that the node will have counted once it has read all that was written.
    lines_written: u64,
    /// Drained workers, each with the value of `lines_written` by which the node knows.
    unconfirmed_drains: Vec<(usize, u64)>,
    watch_lines_lost: bool,
    /// The event up to which the node is paused; zero where it runs.
    paused_until_event: u64,
    terminated_at: Option<Instant>,
    exited: bool,
}

/// A non-blocking listener on a free port.
fn listen() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a socket");
    listener
}

impl Lifecycle {
    /// Starts the node of this seed and waits for its watch.
    pub fn new(seed: u64) -> Lifecycle {
        let mut rng = Rng::with_seed(seed);
        let worker_count = rng.usize(3..=5);
        let workers: Vec<_> = (0..worker_count).map(|number| Worker::start(number, &mut rng)).collect();
        let discoveries = [listen(), listen()];
        let drawn = DrawnSettings::draw(&mut rng);
        let settings = drawn.json();
        let known: Vec<_> = workers.iter().map(Worker::endpoint_json).collect();
        let discovery = discoveries[0].local_addr().expect("an address");
        let config = node_config(&settings, discovery, &endpoint_list_json(41, true, &known));
        let node = Node::start_with_operator_file(&config, OPERATOR_FILE);
        let now = Instant::now();
        let mut lifecycle = Lifecycle {
            seed,
            rng,
            node,
            settings,
            rules: drawn.rules,
            deadlines_ms: drawn.deadlines_ms,
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
            lines_written: 1,
            unconfirmed_drains: vec![],
            watch_lines_lost: false,
            paused_until_event: 0,
            terminated_at: None,
            exited: false,
        };
        if !lifecycle.read_until(TEST_TIMEOUT, |lifecycle| lifecycle.watches.iter().any(|watch| watch.open)) {
            lifecycle.fail(None, "no watch was opened");
        }
        lifecycle.settle();
        lifecycle
    }

    /// Plays the run. Panics where an invariant does not hold.
    pub fn run(mut self) -> Tally {
        let descriptors = self.open_descriptors();
        let event_count = self.rng.u64(30..70);
        let early = self.rng.u8(0..3) == 0;
        let last = if early { self.rng.u64(10..event_count) } else { event_count };
        while self.event_count < last {
            self.play_random_event();
        }
        if !early {
            self.assert_idle_node_keeps_nothing(descriptors);
        }
        self.send_sigterm();
        let after = self.event_count + if early { 80 } else { 0 };
        while self.event_count < after && !self.exited {
            self.play_random_event();
        }
        self.wait_for_exit();
        let outcome =
            |outcome: fn(&Outcome) -> bool| self.jobs.iter().filter(|job| outcome(&job.outcome)).count();
        let attempts = || self.jobs.iter().flat_map(|job| &job.attempts);
        [
            ("events", self.event_count as usize),
            ("jobs", self.jobs.len()),
            ("attempts", attempts().count()),
            ("withdrawals", attempts().map(|attempt| attempt.withdrawals as usize).sum()),
            ("served", outcome(|outcome| *outcome == Outcome::Answered(200))),
            ("refused", outcome(|outcome| *outcome == Outcome::Answered(503))),
            ("failed", outcome(|outcome| *outcome == Outcome::Answered(502))),
            ("left", outcome(|outcome| *outcome == Outcome::ClientLeft)),
            ("crossed", outcome(|outcome| *outcome == Outcome::ClosedUnserved)),
        ]
    }

    /// Plays one event. What is drawn does not depend on what the node does.
    fn play_random_event(&mut self) {
        self.event_count += 1;
        let (kind, a, b) = (self.rng.u8(0..64), self.rng.usize(0..1 << 16), self.rng.usize(0..1 << 16));
        match kind {
            0..=23 => self.submit_job(a, b, RequestForm::Whole),
            24..=26 => self.submit_job(a, b, RequestForm::FirstPart),
            27..=28 => self.submit_job(a, b, RequestForm::WithPipelinedData),
            29..=30 => self.finish_partial_request(a),
            31..=35 => self.disconnect_client(a, b % 2 == 0),
            36..=40 => self.change_endpoint_status(a, b),
            41..=42 => self.disturb_watch(b),
            43 => self.reload_config(a, b),
            62..=63 => self.disturb_idle_connections(a, b),
            44..=46 => self.pause_node(2 + a as u64 % 3),
            47..=49 => self.let_time_pass(Duration::from_millis(60 + a as u64 % 150)),
            _ => self.let_time_pass(Duration::from_millis(2 + a as u64 % 40)),
        }
        self.run_worker_actions();
        self.write_heartbeats();
        if self.paused_until_event > 0 && self.event_count >= self.paused_until_event {
            self.resume_node();
        }
        self.settle();
    }

    /// Reads what comes for this long.
    fn let_time_pass(&mut self, time: Duration) {
        if self.paused_until_event == 0 {
            self.read_until(time, |lifecycle| lifecycle.exited);
        }
    }

    /// Pauses the node over the next events, all of which it then finds at once.
    fn pause_node(&mut self, event_count: u64) {
        if self.paused_until_event == 0 && !self.exited {
            self.settle();
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
