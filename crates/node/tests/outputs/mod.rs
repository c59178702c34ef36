//! Output of the program for operators and their tools, compared byte for byte with golden files: `/metrics`,
//! `check`, `--help` and the responses of the admin address. Log lines are not compared.

use std::fmt::Write as _;
use std::net::{Shutdown, SocketAddr};
use std::process::Command;

use crate::common::{
    Node, ScriptedServer, ScriptedWatch, assert_matches_golden, node_config, node_config_with_admin,
    open_request, wait_for_counter, wait_until,
};

/// Runs the program until it exits and returns its output. Of the program's own environment variables only
/// `variables` are set.
fn run(arguments: &[&str], variables: &[(&str, &str)]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewusher"));
    let own_variables =
        ["CONFIG", "NAME", "LISTEN", "DISCOVERY", "CONSOLE"].map(|name| format!("RELAY_{name}"));
    for name in &own_variables {
        command.env_remove(name);
    }
    command.env_remove("CURLEWUSHER_OPERATOR").envs(variables.iter().copied());
    let output = command.args(arguments).output().expect("starting the program failed");
    assert!(output.status.success() && output.stderr.is_empty(), "{output:?}");
    String::from_utf8(output.stdout).expect("the output is not UTF-8")
}

/// Sorts the samples of each metric family by their labels, since the program writes them in no fixed order.
/// The buckets of a histogram keep their order.
fn sort_samples(metrics: &str) -> String {
    let mut lines: Vec<&str> = metrics.lines().collect();
    let labels = |line: &&str| {
        let labels = line.split(['{', '}']).nth(1).unwrap_or_default();
        labels.split(',').filter(|label| !label.starts_with("le=")).map(str::to_owned).collect::<Vec<_>>()
    };
    lines.chunk_by_mut(|one, next| one.starts_with('#') == next.starts_with('#')).for_each(|block| {
        if !block[0].starts_with('#') {
            block.sort_by_key(labels);
        }
    });
    lines.join("\n") + "\n"
}

#[test]
fn metrics_of_fresh_node_are_read_then_every_series_is_as_recorded() {
    let discovery = ScriptedServer::start();
    let node = Node::start_with_operator_file(
        &node_config(discovery.address, &[]),
        "[metrics]\nanswer_bounds_ms = [5, 1500]\n",
    );
    // The first list that the node applies is the saved one.
    wait_for_counter(&node, "curlewusher_transport_map_changes_total", 1);
    let response = node.get("/metrics");
    let content_type = response.header("content-type").expect("the response has no content type");
    let text =
        format!("{}\ncontent-type: {content_type}\n\n{}", response.start_line, sort_samples(&response.body));
    assert_matches_golden("metrics.txt", &text);
}

#[test]
fn every_field_is_given_then_check_prints_each_value_as_recorded() {
    let variables = [
        ("RELAY_CONFIG", "tests/golden/platform.json"),
        ("CURLEWUSHER_OPERATOR", "tests/golden/operator.toml"),
    ];
    assert_matches_golden("check_full.txt", &run(&["check"], &variables));
}

#[test]
fn only_variables_and_required_fields_are_given_then_check_prints_each_value_as_recorded() {
    let variables = [
        ("RELAY_CONFIG", "tests/golden/platform_least.json"),
        ("RELAY_NAME", "n9"),
        ("RELAY_LISTEN", "127.0.0.1:8009"),
        ("RELAY_DISCOVERY", "127.0.0.1:8509"),
        ("RELAY_CONSOLE", "127.0.0.1:8709"),
    ];
    assert_matches_golden("check_least.txt", &run(&["check"], &variables));
}

#[test]
fn help_is_requested_then_text_is_as_recorded() {
    let mut text = String::new();
    for arguments in
        [&["--help"][..], &["-h"], &["serve", "--help"], &["check", "--help"], &["completions", "--help"]]
    {
        let _ = writeln!(text, "$ curlewusher {}\n{}", arguments.join(" "), run(arguments, &[]));
    }
    assert_matches_golden("help.txt", &text);
}

/// Transcript of the commands sent to the admin address and of the responses.
struct OperatorSession {
    admin_address: SocketAddr,
    transcript: String,
}

impl OperatorSession {
    /// Adds a heading to the transcript.
    fn begin_phase(&mut self, name: &str) {
        let _ = writeln!(self.transcript, "# {name}");
    }

    /// Sends each line on a connection of its own and records the response.
    fn send(&mut self, lines: &[&str]) {
        for line in lines {
            let response = read_to_end(self.admin_address, line.as_bytes());
            let _ = writeln!(self.transcript, "{} -> {response}", line.escape_debug());
        }
    }
}

/// Sends a command and reads the response until the node closes the connection.
fn read_to_end(address: SocketAddr, line: &[u8]) -> String {
    use std::io::{Read, Write};
    let mut stream = open_request(address, "");
    stream.write_all(line).expect("writing to the node failed");
    stream.shutdown(Shutdown::Write).expect("shutting down the connection failed");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).expect("reading the response failed");
    response.escape_ascii().to_string()
}

#[test]
fn operators_send_commands_in_every_phase_then_each_response_is_as_recorded() {
    let (worker, discovery) = (ScriptedServer::start(), ScriptedServer::start());
    let node = Node::start(&node_config_with_admin(discovery.address, &[]));
    let mut session = OperatorSession { admin_address: node.admin_address(), transcript: String::new() };
    session.begin_phase("before the list");
    session.send(&["READY\n", "DISABLE s-1\n", "DRAIN\n", "READY\n", "UNDRAIN\n", "READY\n"]);
    let watch = ScriptedWatch::open(&discovery);
    watch.send_endpoints(42, true, &[worker.endpoint_json("s-1", "in_service")]);
    wait_until("the node did not become ready", || node.get("/ready").status() == 200);
    session.begin_phase("with the list");
    session.send(&[
        "READY\n",
        "ready\r\n",
        " Ready",
        "DRAIN\n",
        "DRAIN\n",
        "READY\n",
        "UNDRAIN\n",
        "UNDRAIN\n",
    ]);
    session.send(&["DISABLE s-1\n", "DISABLE s-1\n", "ENABLE s-1\n", "ENABLE s-1\n"]);
    session.send(&["DISABLE s-9\n", "ENABLE s-9\n"]);
    session.begin_phase("malformed");
    session.send(&["\n", " \t\n", "REBOOT\n", "READY now\n", "DRAIN s-1\n", "UNDRAIN s-1\n"]);
    session.send(&["DISABLE\n", "ENABLE\n", "DISABLE s-1 s-2\n", "ENABLE s-1 s-2\n", "\u{e9}\n"]);
    session.send(&[&format!("DISABLE {}\n", "x".repeat(241)), &"x".repeat(257)]);
    let client = node.submit_accepted_job(&worker, "r1", "view", 8.0);
    node.signal("-TERM");
    while read_to_end(session.admin_address, b"READY\n").starts_with("+OK") {}
    session.begin_phase("told to end");
    session.send(&["READY\n", "DRAIN\n", "UNDRAIN\n", "DISABLE s-1\n", "ENABLE s-1\n"]);
    node.complete_job(client, "r1", "s-1");
    assert_matches_golden("second_address.txt", &session.transcript);
}
