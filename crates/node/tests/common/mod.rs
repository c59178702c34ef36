//! One node as a process, with a discovery and workers that the test scripts. Everything waits on events: a
//! worker's requests come through a channel, a client's response is read to its end.

mod full_backlog_worker;
mod http_message;
mod node_config;
mod node_requests;
mod process;
mod scripted_discovery;
mod scripted_process;
mod scripted_server;
mod system_sockets;

use std::time::{Duration, Instant};

pub use full_backlog_worker::FullBacklogWorker;
pub use http_message::{
    Client, HttpMessage, call_operator, job_request, open_request, read_response, send_request,
};
pub use node_config::{
    node_config, node_config_for_handover, node_config_with_console, node_config_with_long_timeouts,
};
pub use node_requests::{COMPLETED, callback_request, counter_value, wait_for_counter};
pub use process::Node;
pub use scripted_discovery::{ScriptedWatch, endpoint_json, endpoint_list_json};
pub use scripted_process::ScriptedProcess;
pub use scripted_server::{ReceivedRequest, ScriptedServer, next_request_at_either};
pub use system_sockets::{close_and_wait_for_arrival, wait_for_unread_bytes};

/// Bounds every wait of these tests; nothing takes nearly as long.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls `condition` until it holds; fails with `expectation` after [`TEST_TIMEOUT`].
pub fn wait_until(expectation: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TEST_TIMEOUT, "{expectation}");
    }
}

/// Asserts that a text is as recorded in `tests/golden`. With `CURLEWUSHER_RECORD=1` the file is written instead.
pub fn assert_matches_golden(name: &str, text: &str) {
    let file = format!("tests/golden/{name}");
    if std::env::var_os("CURLEWUSHER_RECORD").is_some_and(|record| record == "1") {
        std::fs::write(&file, text).expect("a place for the golden file");
    }
    let golden = std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{file}: {error}"));
    assert!(golden == text, "{file} says\n{golden}\nand the program\n{text}");
}
