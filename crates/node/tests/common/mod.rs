//! Fixtures that run one node as a process, with a discovery and workers that the test scripts. Tests wait
//! for events instead of fixed times: requests to a worker arrive through a channel, and a client's response
//! is read to its end.

mod full_backlog_worker;
mod http_message;
mod node_config;
mod node_requests;
mod process;
mod scripted_discovery;
mod scripted_peer;
mod scripted_server;
mod system_sockets;

use std::time::{Duration, Instant};

pub use full_backlog_worker::FullBacklogWorker;
pub use http_message::{
    Client, HttpMessage, job_request, open_request, read_response, send_admin_command, send_request,
};
pub use node_config::{
    node_config, node_config_for_handover, node_config_with_admin, node_config_with_long_timeouts,
};
pub use node_requests::{COMPLETION_FIELDS, callback_request, counter_value, wait_for_counter};
pub use process::Node;
pub use scripted_discovery::{ScriptedWatch, endpoint_json, endpoint_list_json};
pub use scripted_peer::ScriptedPeer;
pub use scripted_server::{ReceivedRequest, ScriptedServer, next_request_at_either};
pub use system_sockets::{close_and_wait_for_arrival, wait_for_unread_bytes};

/// Maximum duration of each wait in these tests. It is far longer than any wait takes in a test that passes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls `condition` until it holds. Panics with `failure` after [`TEST_TIMEOUT`].
pub fn wait_until(failure: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TEST_TIMEOUT, "{failure}");
    }
}

/// Asserts that a text equals the golden file with this name in `tests/golden`. With `CURLEWUSHER_RECORD=1`
/// the file is written first.
pub fn assert_matches_golden(name: &str, text: &str) {
    let file = format!("tests/golden/{name}");
    if std::env::var_os("CURLEWUSHER_RECORD").is_some_and(|record| record == "1") {
        std::fs::write(&file, text).expect("writing the golden file failed");
    }
    let golden = std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{file}: {error}"));
    assert!(golden == text, "{file} contains\n{golden}\nbut the program wrote\n{text}");
}
