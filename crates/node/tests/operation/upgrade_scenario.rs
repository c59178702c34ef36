//! Workers and processes of one node, for tests of upgrades.

use std::net::{SocketAddr, TcpStream};

use crate::common::{
    COMPLETED, Node, ReceivedRequest, ScriptedServer, ScriptedWatch, call_operator, endpoint_list_json,
    node_config_for_handover, read_response, wait_until,
};

/// Names of the workers.
const NAMES: [&str; 2] = ["s-1", "s-2"];

/// A process of a node, with discovery of its own.
pub struct NodeProcess {
    pub node: Node,
    pub operators: SocketAddr,
    pub discovery: ScriptedServer,
}

/// The workers that all processes of a node share.
pub struct UpgradeScenario {
    pub workers: Vec<ScriptedServer>,
    pub known: Vec<String>,
}

/// Posts a callback, again while it gets 503 because the job migrates, and asserts that it is acknowledged.
pub fn post_callback_until_acknowledged(node: &Node, id: &str, from: &str, rest: &str) {
    let text = format!(r#"{{"id":"{id}","from":"{from}",{rest}}}"#);
    wait_until("the callback is not acknowledged", || match node.callback(&text) {
        503 => false,
        status => status == 204 || panic!("{status} to {text}"),
    });
}

/// Completes a job of the worker `s-1`.
pub fn complete_job(node: &Node, id: &str) {
    post_callback_until_acknowledged(node, id, "s-1", COMPLETED);
}

/// Waits until the process at this operator address serves.
pub fn wait_until_ready(operators: SocketAddr) {
    wait_until("the process is not ready", || call_operator(operators, "READY\n") == "+OK");
}

impl UpgradeScenario {
    /// So many workers, and no process yet.
    pub fn new(workers: usize) -> UpgradeScenario {
        let workers: Vec<_> = (0..workers).map(|_| ScriptedServer::start()).collect();
        let known = workers.iter().zip(NAMES);
        let known = known.map(|(worker, name)| worker.endpoint_json(name, "in_service")).collect();
        UpgradeScenario { workers, known }
    }

    /// A scenario with so many workers, and the first process of its node, which serves.
    pub fn start(workers: usize) -> (UpgradeScenario, NodeProcess) {
        let scenario = UpgradeScenario::new(workers);
        let (first, _) = scenario.start_first();
        if workers == 1 {
            // While a worker warms up it gets one job at a time.
            scenario.assert_serves(&first.node, "r0", 0);
        }
        (scenario, first)
    }

    /// Starts a process of the older version and sends it the list.
    pub fn start_first(&self) -> (NodeProcess, ScriptedWatch) {
        let discovery = ScriptedServer::start();
        let node = Node::start_older(&node_config_for_handover(discovery.address, &self.known));
        let first = NodeProcess::of(node, discovery);
        let watch = self.send_list(&first);
        first.wait_until_ready();
        (first, watch)
    }

    /// Opens the watch of a process and sends the list of all workers.
    pub fn send_list(&self, process: &NodeProcess) -> ScriptedWatch {
        ScriptedWatch::answer(&process.discovery, &self.known)
    }

    /// Answers a poll with the list of all workers, where the process still waits for that.
    pub fn try_send_list(&self, poll: ReceivedRequest) -> ScriptedWatch {
        let watch = ScriptedWatch::of(poll);
        watch.try_send_line(&endpoint_list_json(42, true, &self.known));
        watch
    }

    /// Starts the next version and waits until it has taken over.
    pub fn start_next_version(&self, older: &NodeProcess) -> NodeProcess {
        let newer = older.start_successor();
        self.send_list(&newer);
        older.node.wait_for_log_line("phase changed node=n0 phase=retired");
        newer.wait_until_ready();
        newer
    }

    /// Submits a job that the first worker has received and not accepted.
    pub fn submit_unaccepted(&self, node: &Node, id: &str) -> (TcpStream, ReceivedRequest) {
        (node.submit_job(id, "order", 8.0), self.workers[0].next_request())
    }

    /// Submits a job that the first worker has accepted.
    pub fn submit_accepted(&self, node: &Node, id: &str) -> TcpStream {
        let (client, got) = self.submit_unaccepted(node, id);
        got.accept();
        client
    }

    /// Asserts that a job at this process is served by that worker, at the first attempt.
    pub fn assert_serves(&self, node: &Node, id: &str, worker: usize) {
        let client = node.submit_job(id, "view", 8.0);
        self.assert_served(node, client, id, worker);
    }

    /// Asserts that a job that was submitted to this process is served by that worker, at the first attempt.
    pub fn assert_served(&self, node: &Node, client: TcpStream, id: &str, worker: usize) {
        let got = self.workers[worker].next_request();
        assert!(got.message.header("x-request-id") == Some(id), "{:?}", got.message);
        got.accept();
        post_callback_until_acknowledged(node, id, NAMES[worker], COMPLETED);
        assert_eq!(read_response(client).status(), 200, "{id}");
    }

    /// Asserts that no worker has got a request besides.
    pub fn assert_no_further_request(&self) {
        assert!(!self.workers.iter().any(ScriptedServer::has_pending_request), "a second attempt");
    }
}

impl NodeProcess {
    /// A process that has started.
    pub fn of(node: Node, discovery: ScriptedServer) -> NodeProcess {
        let operators = node.operator_address();
        NodeProcess { node, operators, discovery }
    }

    /// Starts a successor, which has the saved list only.
    pub fn start_successor(&self) -> NodeProcess {
        let discovery = ScriptedServer::start();
        let node = Node::wait_until_serving(self.node.spawn_beside(discovery.address));
        assert!(node.is_successor(), "{:?}", node.startup_lines);
        assert_eq!(node.address, self.node.address);
        self.node.wait_for_log_line("successor linked node=n0");
        NodeProcess::of(node, discovery)
    }

    /// Sends a line to the operator address; returns the answer.
    pub fn call(&self, line: &str) -> String {
        call_operator(self.operators, &format!("{line}\n"))
    }

    /// Asserts that an operator call succeeds.
    pub fn assert_call_succeeds(&self, line: &str) {
        assert_eq!(self.call(line), "+OK", "{line}");
    }

    /// Waits until it serves.
    pub fn wait_until_ready(&self) {
        wait_until_ready(self.operators);
    }

    /// Sends SIGTERM and asserts that it exits with success.
    pub fn terminate(self) {
        self.node.signal("-TERM");
        assert_eq!(self.node.wait_for_exit().status.code(), Some(0));
    }
}
