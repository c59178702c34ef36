//! Endpoint watch as served by a scripted discovery, and the JSON of endpoints and endpoint lists.

use std::net::SocketAddr;
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::thread;
use std::time::Duration;

use super::node_requests::wait_for_counter;
use super::process::Node;
use super::scripted_server::{ReceivedRequest, ScriptedServer};

/// Interval between two heartbeats of a watch that is kept alive. A node considers a watch stalled after 3 s
/// without data.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Counter of the endpoint lists and changes that a node has read.
const LISTS_READ: &str = "curlewusher_transport_map_changes_total";

/// An endpoint watch that a node has opened at discovery.
pub struct ScriptedWatch(ReceivedRequest);

impl ScriptedWatch {
    /// Waits for the node to open its watch, and begins the response.
    pub fn open(discovery: &ScriptedServer) -> ScriptedWatch {
        ScriptedWatch::from_request(discovery.next_request())
    }

    /// Creates the watch that this request opens, and begins the response if the node still waits for it.
    pub fn from_request(request: ReceivedRequest) -> ScriptedWatch {
        assert!(
            request.message.start_line.starts_with("GET /v1/endpoints?follow=1"),
            "{}",
            request.message.start_line
        );
        request.try_write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        ScriptedWatch(request)
    }

    /// Waits for the node to open its watch, and sends a snapshot with these endpoints.
    pub fn open_with_endpoints(discovery: &ScriptedServer, endpoints: &[String]) -> ScriptedWatch {
        let watch = ScriptedWatch::open(discovery);
        watch.send_endpoints(42, true, endpoints);
        watch
    }

    /// Returns the index of the endpoint list after which the node requests changes.
    pub fn since(&self) -> &str {
        self.0
            .message
            .start_line
            .split("since=")
            .nth(1)
            .and_then(|s| s.split(' ').next())
            .expect("the request states no index")
    }

    /// Sends a line as a chunk of its own.
    pub fn send_line(&self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        self.write_raw(&chunk);
    }

    /// Sends a line with a snapshot of all endpoints or with changes of some endpoints.
    pub fn send_endpoints(&self, index: u64, snapshot: bool, endpoints: &[String]) {
        self.send_line(&endpoint_list_json(index, snapshot, endpoints));
    }

    /// Does the same as [`Self::send_endpoints`], and waits until the node has read the line.
    pub fn send_endpoints_and_wait(&self, index: u64, snapshot: bool, endpoints: &[String], node: &Node) {
        let before = node.counter(LISTS_READ);
        self.send_endpoints(index, snapshot, endpoints);
        wait_for_counter(node, LISTS_READ, before + 1);
    }

    /// Sends a line to a node that may have closed the watch. Returns whether the line was written.
    pub fn try_send_line(&self, line: &str) -> bool {
        self.try_write(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1))
    }

    /// Writes these bytes, which may be malformed or a part of a line.
    pub fn write_raw(&self, bytes: &str) {
        self.0.write_raw(bytes);
    }

    /// Writes these bytes to a node that may have closed the watch. Returns whether the bytes were written.
    pub fn try_write(&self, bytes: &str) -> bool {
        self.0.try_write(bytes)
    }

    /// Sends heartbeats until the returned value is dropped, also after the node reopens the watch. Without
    /// heartbeats the node's lease on the endpoint list expires after some seconds, and the node sends no
    /// jobs.
    pub fn keep_alive(mut self, discovery: ScriptedServer) -> impl Sized {
        let (guard, dropped) = channel::<()>();
        thread::spawn(move || {
            while dropped.recv_timeout(HEARTBEAT_INTERVAL) == Err(RecvTimeoutError::Timeout) {
                if let Some(request) = discovery.try_next_request() {
                    self = ScriptedWatch::from_request(request);
                }
                self.try_send_line("");
            }
        });
        guard
    }

    /// Closes the connection of the watch.
    pub fn close(&self) {
        self.0.close();
    }
}

/// Returns an endpoint as discovery lists it.
pub fn endpoint_json(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// Returns a line of the watch: a snapshot of all endpoints, or changes of some endpoints.
pub fn endpoint_list_json(index: u64, snapshot: bool, endpoints: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, endpoints.join(","))
}
