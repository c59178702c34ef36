//! Workers and processes of one node for tests of upgrades.

use std::net::{SocketAddr, TcpStream};

use crate::common::{
    COMPLETION_FIELDS, Node, ReceivedRequest, ScriptedServer, ScriptedWatch, endpoint_list_json,
    node_config_for_handover, read_response, send_admin_command, wait_until,
};

/// Names of the workers.
const WORKER_NAMES: [&str; 2] = ["s-1", "s-2"];

/// Process of a node, with a scripted discovery of its own.
pub struct NodeProcess {
    pub node: Node,
    pub admin_address: SocketAddr,
    pub discovery: ScriptedServer,
}

/// Workers that all processes of a node share.
pub struct UpgradeScenario {
    pub workers: Vec<ScriptedServer>,
    /// Endpoints of the workers, as discovery lists them.
    pub endpoints: Vec<String>,
}

/// Posts a callback, and repeats it while it gets 503 because the job migrates. Asserts that it is
/// acknowledged.
pub fn post_callback_until_acknowledged(node: &Node, id: &str, from: &str, rest: &str) {
    let callback = format!(r#"{{"id":"{id}","from":"{from}",{rest}}}"#);
    wait_until("the callback was not acknowledged", || match node.send_callback(&callback) {
        503 => false,
        status => status == 204 || panic!("{status} to {callback}"),
    });
}

/// Posts the callback that completes a job at the worker `s-1`.
pub fn complete_job(node: &Node, id: &str) {
    post_callback_until_acknowledged(node, id, "s-1", COMPLETION_FIELDS);
}

/// Waits until the process with this admin address is ready.
pub fn wait_until_ready(admin_address: SocketAddr) {
    wait_until("the process did not become ready", || send_admin_command(admin_address, "READY\n") == "+OK");
}

impl UpgradeScenario {
    /// Starts this number of workers, and no process yet.
    pub fn new(worker_count: usize) -> UpgradeScenario {
        let workers: Vec<_> = (0..worker_count).map(|_| ScriptedServer::start()).collect();
        let named = workers.iter().zip(WORKER_NAMES);
        let endpoints = named.map(|(worker, name)| worker.endpoint_json(name, "in_service")).collect();
        UpgradeScenario { workers, endpoints }
    }

    /// Starts this number of workers and the first process of the node, and waits until it is ready.
    pub fn start(worker_count: usize) -> (UpgradeScenario, NodeProcess) {
        let scenario = UpgradeScenario::new(worker_count);
        let (first, _) = scenario.start_first();
        if worker_count == 1 {
            // Warms up the worker, which gets one job at a time until then.
            scenario.assert_serves(&first.node, "r0", 0);
        }
        (scenario, first)
    }

    /// Starts the first process of the node, of the older version if there is one. Sends it the list of all
    /// workers and waits until it is ready. Returns the process and its open watch.
    pub fn start_first(&self) -> (NodeProcess, ScriptedWatch) {
        let discovery = ScriptedServer::start();
        let node = Node::start_older_version(&node_config_for_handover(discovery.address, &self.endpoints));
        let first = NodeProcess::new(node, discovery);
        let watch = self.send_list(&first);
        first.wait_until_ready();
        (first, watch)
    }

    /// Opens the watch of a process and sends the list of all workers.
    pub fn send_list(&self, process: &NodeProcess) -> ScriptedWatch {
        ScriptedWatch::open_with_endpoints(&process.discovery, &self.endpoints)
    }

    /// Answers a poll with the list of all workers. The process may have closed the connection meanwhile.
    pub fn try_send_list(&self, poll: ReceivedRequest) -> ScriptedWatch {
        let watch = ScriptedWatch::from_request(poll);
        watch.try_send_line(&endpoint_list_json(42, true, &self.endpoints));
        watch
    }

    /// Starts a successor and waits until it has taken over.
    pub fn start_and_wait_for_takeover(&self, predecessor: &NodeProcess) -> NodeProcess {
        let successor = predecessor.start_successor();
        self.send_list(&successor);
        predecessor.node.wait_for_log_line("phase changed node=n0 phase=retired");
        successor.wait_until_ready();
        successor
    }

    /// Submits a job, and returns its client and the request that the first worker has received but not
    /// accepted.
    pub fn submit_unaccepted(&self, node: &Node, id: &str) -> (TcpStream, ReceivedRequest) {
        (node.submit_job(id, "order", 8.0), self.workers[0].next_request())
    }

    /// Submits a job and has it accepted by the first worker. Returns its client.
    pub fn submit_accepted(&self, node: &Node, id: &str) -> TcpStream {
        let (client, request) = self.submit_unaccepted(node, id);
        request.accept();
        client
    }

    /// Submits a job to this process, and asserts that this worker serves it at the first attempt.
    pub fn assert_serves(&self, node: &Node, id: &str, worker: usize) {
        let client = node.submit_job(id, "view", 8.0);
        self.assert_served(node, client, id, worker);
    }

    /// Asserts that this worker serves a job that was submitted to this process, at the first attempt.
    pub fn assert_served(&self, node: &Node, client: TcpStream, id: &str, worker: usize) {
        let request = self.workers[worker].next_request();
        assert!(request.message.header("x-request-id") == Some(id), "{:?}", request.message);
        request.accept();
        post_callback_until_acknowledged(node, id, WORKER_NAMES[worker], COMPLETION_FIELDS);
        assert_eq!(read_response(client).status(), 200, "{id}");
    }

    /// Asserts that no worker has received another request.
    pub fn assert_no_further_request(&self) {
        assert!(
            !self.workers.iter().any(ScriptedServer::has_pending_request),
            "a duplicate attempt was sent"
        );
    }
}

impl NodeProcess {
    /// Wraps a process that has logged its admin address.
    pub fn new(node: Node, discovery: ScriptedServer) -> NodeProcess {
        let admin_address = node.admin_address();
        NodeProcess { node, admin_address, discovery }
    }

    /// Starts a successor, which has only the saved endpoint list.
    pub fn start_successor(&self) -> NodeProcess {
        let discovery = ScriptedServer::start();
        let node = Node::wait_until_serving(self.node.spawn_peer(discovery.address));
        assert!(node.is_successor(), "{:?}", node.startup_lines);
        assert_eq!(node.address, self.node.address);
        self.node.wait_for_log_line("successor linked node=n0");
        NodeProcess::new(node, discovery)
    }

    /// Sends a line to the admin address and returns the response.
    pub fn send_command(&self, line: &str) -> String {
        send_admin_command(self.admin_address, &format!("{line}\n"))
    }

    /// Asserts that an operator command succeeds.
    pub fn assert_command_succeeds(&self, line: &str) {
        assert_eq!(self.send_command(line), "+OK", "{line}");
    }

    /// Waits until the process is ready.
    pub fn wait_until_ready(&self) {
        wait_until_ready(self.admin_address);
    }

    /// Sends SIGTERM and asserts that the process exits with success.
    pub fn terminate(self) {
        self.node.signal("-TERM");
        assert_eq!(self.node.wait_for_exit().status.code(), Some(0));
    }
}
