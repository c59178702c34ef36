//! What the tests ask of a running node: its set-up with scripted workers, callbacks, counters and served jobs.

use std::net::{SocketAddr, TcpStream};

use super::http_message::{HttpMessage, job_request, open_request, read_response, send_request};
use super::node_config::node_config;
use super::process::Node;
use super::scripted_discovery::{ScriptedWatch, endpoint_json};
use super::scripted_server::{ReceivedRequest, ScriptedServer};
use super::wait_until;

/// The fields of a callback that completes a job with the result `x`.
pub const COMPLETED: &str = r#""state":"done","result":"x""#;

/// Waits until a counter of the node has reached `count`.
pub fn wait_for_counter(node: &Node, series: &str, count: u64) {
    wait_until(&format!("{series} stays under {count}"), || node.counter(series) >= count);
}

impl Node {
    /// A worker `s-1`, a node that knows only it, the node's open watch, and discovery.
    pub fn start_with_worker() -> (ScriptedServer, Node, ScriptedWatch, ScriptedServer) {
        let worker = ScriptedServer::start();
        let (node, watch, discovery) = Node::start_with_workers(&[("s-1", &worker)]);
        (worker, node, watch, discovery)
    }

    /// A node that knows these workers by name, its open watch, and discovery.
    pub fn start_with_workers(workers: &[(&str, &ScriptedServer)]) -> (Node, ScriptedWatch, ScriptedServer) {
        Node::start_with_config(workers, node_config)
    }

    /// Like [`Node::start_with_workers`], with the configuration that `config` makes of discovery's address and the
    /// known endpoints.
    pub fn start_with_config(
        workers: &[(&str, &ScriptedServer)],
        config: impl Fn(SocketAddr, &[String]) -> String,
    ) -> (Node, ScriptedWatch, ScriptedServer) {
        let known: Vec<_> =
            workers.iter().map(|(name, worker)| endpoint_json(name, worker.address, "in_service")).collect();
        Node::start_with_endpoints(&known, 1024, config)
    }

    /// A node that knows these endpoints, with that limit of file descriptors; its open watch, and discovery.
    pub fn start_with_endpoints(
        known: &[String],
        descriptors: u32,
        config: impl Fn(SocketAddr, &[String]) -> String,
    ) -> (Node, ScriptedWatch, ScriptedServer) {
        let discovery = ScriptedServer::start();
        let node = Node::start_with_descriptors(&config(discovery.address, known), descriptors);
        let watch = ScriptedWatch::answer(&discovery, known);
        (node, watch, discovery)
    }

    /// Submits a job from a new client, with a deadline in seconds.
    pub fn submit_job(&self, id: &str, class: &str, deadline_s: f64) -> TcpStream {
        open_request(self.address, &job_request(id, class, deadline_s, ""))
    }

    /// Submits a job from a new client, and has it accepted by the worker that must receive it next.
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

    /// Posts this body as a callback; returns the status of the response.
    pub fn callback(&self, body: &str) -> u16 {
        send_request(self.address, &callback_request(body)).status()
    }

    /// Posts a worker's callback on a job, which the node must acknowledge.
    pub fn post_callback(&self, id: &str, from: &str, rest: &str) {
        let body = format!(r#"{{"id":"{id}","from":"{from}",{rest}}}"#);
        assert_eq!(self.callback(&body), 204, "{body}");
    }

    /// Posts the callback that completes a job with the result `x`.
    pub fn post_completion(&self, id: &str, from: &str) {
        self.post_callback(id, from, COMPLETED);
    }

    /// The worker `from` completes the job, and its client must get the result.
    pub fn complete_job(&self, client: TcpStream, id: &str, from: &str) {
        self.post_completion(id, from);
        assert_eq!(read_response(client).status(), 200, "{id}");
    }

    /// The worker `from` accepts the job with this request and completes it, and its client must get the result.
    pub fn serve_job(&self, client: TcpStream, request: &ReceivedRequest, id: &str, from: &str) {
        request.accept();
        self.complete_job(client, id, from);
    }

    /// The response to `GET path`.
    pub fn get(&self, path: &str) -> HttpMessage {
        send_request(self.address, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
    }

    /// The value of one of its counters.
    pub fn counter(&self, series: &str) -> u64 {
        counter_value(&self.get("/metrics").body, series)
    }
}

/// The request that posts this body as a callback.
pub fn callback_request(body: &str) -> String {
    format!("POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// The value of a series in the text of `/metrics`.
pub fn counter_value(metrics: &str, series: &str) -> u64 {
    let value = metrics.lines().find_map(|line| line.strip_prefix(series)?.trim().parse().ok());
    value.unwrap_or_else(|| panic!("no {series} in {metrics}"))
}
