//! What the program writes for people and their tools, compared to the letter with golden files: `/metrics`, `check`,
//! `--help` and the responses of the operator address. Log lines are not among them.

use std::fmt::Write as _;
use std::net::{Shutdown, SocketAddr};
use std::process::Command;

use crate::common::{
    Node, ScriptedServer, ScriptedWatch, assert_matches_golden, node_config, node_config_with_console,
    open_request, wait_for_counter, wait_until,
};

/// Runs the program to its end, with these variables alone of its own.
fn run(arguments: &[&str], variables: &[(&str, &str)]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewusher"));
    let own = ["CONFIG", "NAME", "LISTEN", "DISCOVERY", "CONSOLE"].map(|name| format!("RELAY_{name}"));
    for name in &own {
        command.env_remove(name);
    }
    command.env_remove("CURLEWUSHER_OPERATOR").envs(variables.iter().copied());
    let output = command.args(arguments).output().expect("the program starts");
    assert!(output.status.success() && output.stderr.is_empty(), "{output:?}");
    String::from_utf8(output.stdout).expect("text")
}

/// The samples of each family in the order of their labels, which the program leaves open; buckets stay as they come.
fn sort_samples(metrics: &str) -> String {
    let mut lines: Vec<&str> = metrics.lines().collect();
    let labels = |line: &&str| {
        let labels = line.split(['{', '}']).nth(1).unwrap_or_default();
        labels.split(',').filter(|label| !label.starts_with("le=")).map(str::to_owned).collect::<Vec<_>>()
    };
    lines.chunk_by_mut(|one, next| one.starts_with('#') == next.starts_with('#')).for_each(|part| {
        if !part[0].starts_with('#') {
            part.sort_by_key(labels);
        }
    });
    lines.join("\n") + "\n"
}

#[test]
fn metrics_of_fresh_node_are_read_then_every_series_is_as_recorded() {
    let silent = ScriptedServer::start();
    let node = Node::start_with_operator_file(
        &node_config(silent.address, &[]),
        "[metrics]\nanswer_bounds_ms = [5, 1500]\n",
    );
    // The saved list.
    wait_for_counter(&node, "curlewusher_transport_map_changes_total", 1);
    let answer = node.get("/metrics");
    let kind = answer.header("content-type").expect("a content type");
    let text = format!("{}\ncontent-type: {kind}\n\n{}", answer.start_line, sort_samples(&answer.body));
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
fn only_variables_and_needed_fields_are_given_then_check_prints_each_value_as_recorded() {
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
fn help_is_requested_then_the_text_is_as_recorded() {
    let mut text = String::new();
    for arguments in
        [&["--help"][..], &["-h"], &["serve", "--help"], &["check", "--help"], &["completions", "--help"]]
    {
        let _ = writeln!(text, "$ curlewusher {}\n{}", arguments.join(" "), run(arguments, &[]));
    }
    assert_matches_golden("help.txt", &text);
}

/// Commands sent to the operator address, and the responses.
struct OperatorSession {
    operators: SocketAddr,
    text: String,
}

impl OperatorSession {
    fn begin_phase(&mut self, name: &str) {
        let _ = writeln!(self.text, "# {name}");
    }

    fn send(&mut self, lines: &[&str]) {
        for line in lines {
            let said = read_to_end(self.operators, line.as_bytes());
            let _ = writeln!(self.text, "{} -> {said}", line.escape_debug());
        }
    }
}

/// Sends a command and reads the response up to the end of the connection.
fn read_to_end(at: SocketAddr, line: &[u8]) -> String {
    use std::io::{Read, Write};
    let mut stream = open_request(at, "");
    stream.write_all(line).expect("it reads");
    stream.shutdown(Shutdown::Write).expect("it is open");
    let mut said = Vec::new();
    stream.read_to_end(&mut said).expect("an answer");
    said.escape_ascii().to_string()
}

#[test]
fn operators_send_commands_in_every_phase_then_each_response_is_as_recorded() {
    let (worker, discovery) = (ScriptedServer::start(), ScriptedServer::start());
    let node = Node::start(&node_config_with_console(discovery.address, &[]));
    let mut session = OperatorSession { operators: node.operator_address(), text: String::new() };
    session.begin_phase("before the list");
    session.send(&["READY\n", "DISABLE s-1\n", "DRAIN\n", "READY\n", "UNDRAIN\n", "READY\n"]);
    let watch = ScriptedWatch::open(&discovery);
    watch.send_endpoints(42, true, &[worker.endpoint_json("s-1", "in_service")]);
    wait_until("it stays unready", || node.get("/ready").status() == 200);
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
    while read_to_end(session.operators, b"READY\n").starts_with("+OK") {}
    session.begin_phase("told to end");
    session.send(&["READY\n", "DRAIN\n", "UNDRAIN\n", "DISABLE s-1\n", "ENABLE s-1\n"]);
    node.complete_job(client, "r1", "s-1");
    assert_matches_golden("second_address.txt", &session.text);
}
