//! Set-up of a node with scripted workers, and requests to a running node: jobs, callbacks and counters.

use std::net::{SocketAddr, TcpStream};

use super::http_message::{HttpMessage, job_request, open_request, read_response, send_request};
use super::node_config::node_config;
use super::process::Node;
use super::scripted_discovery::{ScriptedWatch, endpoint_json};
use super::scripted_server::{ReceivedRequest, ScriptedServer};
use super::wait_until;

/// Fields of a callback that completes a job with the result `x`.
pub const COMPLETION_FIELDS: &str = r#""state":"done","result":"x""#;

/// Waits until a counter of the node has reached `count`.
pub fn wait_for_counter(node: &Node, series: &str, count: u64) {
    wait_until(&format!("{series} does not reach {count}"), || node.counter(series) >= count);
}

impl Node {
    /// Starts a worker `s-1` and a node with this worker as its only endpoint. Returns the worker, the node,
    /// the node's open endpoint watch, and discovery.
    pub fn start_with_worker() -> (ScriptedServer, Node, ScriptedWatch, ScriptedServer) {
        let worker = ScriptedServer::start();
        let (node, watch, discovery) = Node::start_with_workers(&[("s-1", &worker)]);
        (worker, node, watch, discovery)
    }

    /// Starts the workers `s-1` and `s-2` and a node with these two endpoints. Returns the workers, the node,
    /// the node's open endpoint watch, and discovery.
    pub fn start_with_two_workers() -> ([ScriptedServer; 2], Node, ScriptedWatch, ScriptedServer) {
        let workers = [ScriptedServer::start(), ScriptedServer::start()];
        let (node, watch, discovery) =
            Node::start_with_workers(&[("s-1", &workers[0]), ("s-2", &workers[1])]);
        (workers, node, watch, discovery)
    }

    /// Starts a node with these named workers as its endpoints. Returns the node, its open endpoint watch,
    /// and discovery.
    pub fn start_with_workers(workers: &[(&str, &ScriptedServer)]) -> (Node, ScriptedWatch, ScriptedServer) {
        Node::start_with_config(workers, node_config)
    }

    /// Does the same as [`Node::start_with_workers`] with the configuration that `config` returns for
    /// discovery's address and the known endpoints.
    pub fn start_with_config(
        workers: &[(&str, &ScriptedServer)],
        config: impl Fn(SocketAddr, &[String]) -> String,
    ) -> (Node, ScriptedWatch, ScriptedServer) {
        let endpoints: Vec<_> =
            workers.iter().map(|(name, worker)| endpoint_json(name, worker.address, "in_service")).collect();
        Node::start_with_endpoints(&endpoints, 1024, config)
    }

    /// Starts a node with these endpoints and this limit on file descriptors. Returns the node, its open
    /// endpoint watch, and discovery.
    pub fn start_with_endpoints(
        endpoints: &[String],
        descriptor_limit: u32,
        config: impl Fn(SocketAddr, &[String]) -> String,
    ) -> (Node, ScriptedWatch, ScriptedServer) {
        let discovery = ScriptedServer::start();
        let node = Node::start_with_descriptor_limit(&config(discovery.address, endpoints), descriptor_limit);
        let watch = ScriptedWatch::open_with_endpoints(&discovery, endpoints);
        (node, watch, discovery)
    }

    /// Submits a job from a new client, with a deadline in seconds.
    pub fn submit_job(&self, id: &str, class: &str, deadline_s: f64) -> TcpStream {
        open_request(self.address, &job_request(id, class, deadline_s, ""))
    }

    /// Submits a job from a new client and accepts it at `worker`, which must receive the job as its next
    /// request.
    pub fn submit_accepted_job(
        &self,
        worker: &ScriptedServer,
        id: &str,
        class: &str,
        deadline_s: f64,
    ) -> TcpStream {
        let client = self.submit_job(id, class, deadline_s);
        let request = worker.next_request();
        assert!(request.message.start_line.starts_with("POST "), "{}", request.message.start_line);
        assert_eq!(request.message.header("x-request-id"), Some(id));
        request.accept();
        client
    }

    /// Sends a callback with this body and returns the status of the response.
    pub fn send_callback(&self, body: &str) -> u16 {
        send_request(self.address, &callback_request(body)).status()
    }

    /// Posts the callback of the worker `from` on the job `id`, with these other fields. Asserts that the
    /// node acknowledges the callback.
    pub fn post_callback(&self, id: &str, from: &str, fields: &str) {
        let body = format!(r#"{{"id":"{id}","from":"{from}",{fields}}}"#);
        assert_eq!(self.send_callback(&body), 204, "{body}");
    }

    /// Posts the callback with which the worker `from` completes a job with the result `x`.
    pub fn post_completion(&self, id: &str, from: &str) {
        self.post_callback(id, from, COMPLETION_FIELDS);
    }

    /// Completes the job as the worker `from`, and asserts that the client gets the result.
    pub fn complete_job(&self, client: TcpStream, id: &str, from: &str) {
        self.post_completion(id, from);
        assert_eq!(read_response(client).status(), 200, "{id}");
    }

    /// Accepts the job with this request and completes it as the worker `from`. Asserts that the client gets
    /// the result.
    pub fn serve_job(&self, client: TcpStream, request: &ReceivedRequest, id: &str, from: &str) {
        request.accept();
        self.complete_job(client, id, from);
    }

    /// Submits a job from a new client and asserts that the worker `from` receives it as its next request.
    /// Accepts and completes the job, and asserts that the client gets the result.
    pub fn assert_serves(&self, worker: &ScriptedServer, id: &str, class: &str, from: &str) {
        let client = self.submit_accepted_job(worker, id, class, 9.0);
        self.complete_job(client, id, from);
    }

    /// Sends `GET path` and returns the response.
    pub fn get(&self, path: &str) -> HttpMessage {
        send_request(self.address, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
    }

    /// Returns the value of a counter of the node.
    pub fn counter(&self, series: &str) -> u64 {
        counter_value(&self.get("/metrics").body, series)
    }
}

/// Returns the request that posts this body as a callback.
pub fn callback_request(body: &str) -> String {
    format!("POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Returns the value of a series in the text of `/metrics`.
pub fn counter_value(metrics: &str, series: &str) -> u64 {
    let value = metrics.lines().find_map(|line| line.strip_prefix(series)?.trim().parse().ok());
    value.unwrap_or_else(|| panic!("no {series} in {metrics}"))
}
