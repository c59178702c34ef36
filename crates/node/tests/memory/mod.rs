//! Memory: what a node holds of a request, a callback or a response depends on its length, not on the pieces
//! in which it arrives.

use std::io::Write;
use std::net::TcpStream;

use crate::common::{
    Node, ScriptedServer, ScriptedWatch, callback_request, job_request, open_request, read_response,
    wait_until,
};

/// Memory by which a node may grow in these tests, in kB. All bodies of a test have less than a tenth of it.
const MAX_GROWTH_KB: u64 = 8 << 10;
/// Length of the longest body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Chunk of a body with one byte.
const ONE_BYTE_CHUNK: &str = "1\r\nb\r\n";
/// Length of a piece of a body, in bytes.
const PIECE_BYTES: usize = 4;
/// Number of pieces of a body.
const PIECES_PER_MESSAGE: usize = MAX_BODY_BYTES / PIECE_BYTES;
/// Number of connections on which pieces arrive at the same time.
const CONNECTIONS: usize = 10;

/// A node and its only worker.
struct MemoryScenario {
    worker: ScriptedServer,
    node: Node,
    /// Peak memory of the node before the test, in kB.
    initial_kb: u64,
    _watch: ScriptedWatch,
    _discovery: ScriptedServer,
}

impl MemoryScenario {
    fn start() -> MemoryScenario {
        let (worker, node, watch, discovery) = Node::start_with_worker();
        wait_until("the node did not become ready", || node.get("/ready").status() == 200);
        let initial_kb = node.peak_memory_kb();
        MemoryScenario { worker, node, initial_kb, _watch: watch, _discovery: discovery }
    }

    /// Opens connections without Nagle's algorithm, so that each write is a piece of its own.
    fn open_connections(&self) -> Vec<TcpStream> {
        let open = || {
            let stream = open_request(self.node.address, "");
            stream.set_nodelay(true).expect("setting TCP_NODELAY failed");
            stream
        };
        (0..CONNECTIONS).map(|_| open()).collect()
    }

    fn assert_memory_is_bounded(&self) {
        let growth_kb = self.node.peak_memory_kb() - self.initial_kb;
        assert!(growth_kb < MAX_GROWTH_KB, "the node grew by {growth_kb} kB");
    }
}

/// Writes one message on each connection, in turns and in pieces of this many bytes.
fn write_in_pieces(connections: &mut [TcpStream], messages: &[String], piece_bytes: usize) {
    let longest = messages.iter().map(String::len).max().unwrap_or_default();
    for start in (0..longest).step_by(piece_bytes) {
        for (connection, message) in connections.iter_mut().zip(messages) {
            let end = message.len().min(start + piece_bytes);
            let piece = message.as_bytes().get(start..end).unwrap_or_default();
            connection.write_all(piece).expect("writing to the node failed");
        }
    }
}

/// Returns a body in this number of chunks of one byte.
fn one_byte_chunks(count: usize) -> String {
    ONE_BYTE_CHUNK.repeat(count) + "0\r\n\r\n"
}

/// Guards against `docs/incidents/2026-12-04-body-memory.md`: each piece of a body occupied a read buffer.
#[test]
fn job_bodies_arrive_in_small_pieces_then_memory_is_bounded_by_their_length() {
    let head = |n: usize| job_request(&format!("r{n}"), "view", 9.0, "").replace("body", "");
    let plain = |n| {
        let length = format!("Content-Length: {MAX_BODY_BYTES}");
        head(n).replace("Content-Length: 4", &length) + &"b".repeat(MAX_BODY_BYTES)
    };
    let chunked = |n| {
        let chunks = one_byte_chunks(PIECES_PER_MESSAGE);
        head(n).replace("Content-Length: 4", "Transfer-Encoding: chunked") + &chunks
    };
    let messages: [Vec<String>; 2] =
        [(0..CONNECTIONS).map(plain).collect(), (0..CONNECTIONS).map(chunked).collect()];
    for (messages, piece_bytes) in messages.iter().zip([PIECE_BYTES, ONE_BYTE_CHUNK.len()]) {
        let scenario = MemoryScenario::start();
        let mut connections = scenario.open_connections();
        write_in_pieces(&mut connections, messages, piece_bytes);
        // The node has read a body to its end, and sends the first job to the worker.
        scenario.worker.next_request();
        scenario.assert_memory_is_bounded();
    }
}

/// Guards against `docs/incidents/2026-12-04-body-memory.md`, for callbacks.
#[test]
fn callbacks_arrive_in_small_pieces_then_memory_is_bounded_by_their_length() {
    let scenario = MemoryScenario::start();
    let client = scenario.node.submit_accepted_job(&scenario.worker, "r1", "view", 9.0);
    let fields = r#"{"id":"r1","from":"s-1","state":"done","result":""}"#;
    let result = "x".repeat(MAX_BODY_BYTES - fields.len());
    let body = fields.replace(r#""result":"""#, &format!(r#""result":"{result}""#));
    let mut connections = scenario.open_connections();
    let messages = vec![callback_request(&body); CONNECTIONS];
    write_in_pieces(&mut connections, &messages, PIECE_BYTES);
    for connection in connections {
        assert_eq!(read_response(connection).status(), 204);
    }
    assert_eq!(read_response(client).body, result);
    scenario.assert_memory_is_bounded();
}

/// Guards against `docs/incidents/2026-12-04-body-memory.md`, for responses of workers.
#[test]
fn response_body_arrives_in_small_pieces_then_memory_is_bounded_by_its_length() {
    let scenario = MemoryScenario::start();
    let client = scenario.node.submit_job("r1", "view", 9.0);
    let request = scenario.worker.next_request();
    request.write_raw(&format!("HTTP/1.1 202 Accepted\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n"));
    // The node closes the connection before the last piece if the body takes too long.
    for _ in 0..MAX_BODY_BYTES {
        if !request.try_write("b") {
            break;
        }
    }
    scenario.node.complete_job(client, "r1", "s-1");
    scenario.assert_memory_is_bounded();
}
