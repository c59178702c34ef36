//! The command line, the operators' file and the log, tested with the real program as a process.

use std::process::{Command, Output};

use crate::common::{Node, ScriptedServer, ScriptedWatch, node_config, wait_for_counter};

/// Runs the program until it exits; returns its output.
fn run(arguments: &[&str], config: Option<&str>, operator: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewusher"));
    command.args(arguments).env_remove("RELAY_CONFIG").env_remove("CURLEWUSHER_OPERATOR");
    let path_stem = format!("{}/line-{:?}", env!("CARGO_TARGET_TMPDIR"), std::thread::current().id());
    if let Some(config) = config {
        std::fs::write(format!("{path_stem}.json"), config).expect("writing the file failed");
        command.env("RELAY_CONFIG", format!("{path_stem}.json"));
    }
    if let Some(operator) = operator {
        std::fs::write(format!("{path_stem}.toml"), operator).expect("writing the file failed");
        command.args(["--operator", &format!("{path_stem}.toml")]);
    }
    command.output().expect("starting the program failed")
}

/// Decodes output of the program.
fn decode(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("the output is not UTF-8")
}

/// Returns a valid configuration. Its discovery address is arbitrary, since no node is started with it.
fn valid_config() -> String {
    node_config("127.0.0.1:9".parse().expect("the address is malformed"), &[])
}

#[test]
fn check_runs_then_each_value_and_its_source_is_printed() {
    let output = run(&["check"], Some(&valid_config()), Some("[log]\nlevel = \"warn\"\n"));
    let stdout = decode(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{}", decode(&output.stderr));
    for (value, source) in [
        ("listen = \"127.0.0.1:0\"", ".json"),
        ("limits.sockets = 1024", ".json"),
        ("console is not given", "default"),
        ("settings.rules.coldShare = 0.2", ".json"),
        ("settings.services[2].dedupWindowUs = 40000000", ".json"),
        ("settings.services[0].keyScope = \"\"", "default"),
        ("settings.prices.peer = 0.0", "default"),
        ("log.level = \"warn\"", ".toml"),
        ("log.format = \"text\"", "default"),
    ] {
        let line = stdout.lines().find(|line| line.starts_with(value));
        assert!(line.is_some_and(|line| line.ends_with(source)), "{value}: {line:?} in {stdout}");
    }
}

#[test]
fn check_gets_invalid_input_then_exit_code_is_2_and_one_line_names_file_position_and_field() {
    let invalid_config = valid_config().replace("\"coldShare\":0.2", "\"coldShare\":2");
    for (config, operator, parts) in [
        (
            Some(valid_config()),
            Some("[log]\nformat = \"xml\"\n"),
            &[".toml", "line 2", "log.format", "`json`"][..],
        ),
        (Some(invalid_config), None, &["settings", "cold_share"][..]),
        (Some("{".to_owned()), None, &["config", "line 1"][..]),
        (
            Some(valid_config().replacen('{', r#"{"console":"nowhere","#, 1)),
            None,
            &["config: console", "nowhere", "give one"][..],
        ),
        (None, None, &["RELAY_CONFIG is not set"][..]),
    ] {
        let output = run(&["check"], config.as_deref(), operator);
        let stderr = decode(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(
            parts.iter().all(|part| stderr.contains(part)) && stderr.lines().count() == 1,
            "{parts:?}: {stderr}"
        );
        assert!(output.stdout.is_empty(), "invalid settings were printed as if they were in effect");
    }
}

#[test]
fn version_completions_or_unknown_command_is_requested_then_output_is_correct() {
    let version = run(&["--version"], None, None);
    assert_eq!(decode(&version.stdout), concat!("curlewusher ", env!("CARGO_PKG_VERSION"), "\n"));
    for shell in ["bash", "zsh", "fish"] {
        let output = run(&["completions", shell], None, None);
        assert!(decode(&output.stdout).contains("check") && output.status.success(), "{shell}");
    }
    let unknown_command = run(&["swerve"], None, None);
    assert!(decode(&unknown_command.stderr).contains("serve"), "the error suggests no command");
    assert_eq!(unknown_command.status.code(), Some(2));
}

#[test]
fn log_is_json_then_job_events_carry_the_request_id_and_sighup_changes_levels() {
    let worker = ScriptedServer::start();
    let discovery = ScriptedServer::start();
    let endpoints = [worker.endpoint_json("s-1", "in_service")];
    let operator_file = "[log]\nformat = \"json\"\n[log.parts]\ndispatch = \"debug\"\n";
    let node = Node::start_with_operator_file(&node_config(discovery.address, &endpoints), operator_file);
    let _watch = ScriptedWatch::open_with_endpoints(&discovery, &endpoints);
    node.wait_for_log_line("endpoint lease confirmed");
    let serve = |id: &str| {
        node.assert_serves(&worker, id, "view", "s-1");
    };
    serve("r1");
    let next_message = |id: &str| {
        let line = node.next_log_line();
        let line: serde_json::Value =
            serde_json::from_str(&line).unwrap_or_else(|error| panic!("{error}: {line}"));
        assert_eq!(
            (line["target"].as_str(), line["request_id"].as_str()),
            (Some("dispatch"), Some(id)),
            "{line}"
        );
        line["message"].as_str().expect("the event has no message").to_owned()
    };
    assert_eq!(
        [(); 4].map(|()| next_message("r1")),
        ["job accepted", "attempt sent", "job answered", "attempt ended"]
    );

    // An invalid file changes nothing, and the error names the position in it. A valid file takes effect at
    // once.
    node.reload_operator_file("[log.parts]\ndispatch = \"loud\"\n");
    let line = node.next_log_line();
    assert!(line.contains("line 2: log.parts") && line.contains("configuration reload failed"), "{line}");
    node.reload_operator_file("[log]\nlevel = \"error\"\n");
    wait_for_counter(&node, "curlewusher_reloads_total", 1);
    serve("r2");
    node.signal("-TERM");
    let line = node.next_log_line();
    assert!(
        line.contains("figures") && !line.contains("r2") && !line.contains("graceful shutdown"),
        "{line}"
    );
}

#[test]
fn stderr_stalls_then_jobs_are_answered_and_dropped_lines_are_counted() {
    let worker = ScriptedServer::start();
    let discovery = ScriptedServer::start();
    let endpoints = [worker.endpoint_json("s-1", "in_service")];
    let config = node_config(discovery.address, &endpoints);
    let operator_file = "[log]\nlevel = \"trace\"\nlines_per_s = 100000\nwaiting_lines = 16\n";
    let (node, _stalled) = Node::start_with_blocked_stderr(&config, operator_file);
    let _watch = ScriptedWatch::open_with_endpoints(&discovery, &endpoints);
    let dropped = r#"curlewusher_log_lines_dropped_total{why="stalled"}"#;
    // A pipe buffers 64 KiB before writes to it stall. Each rejected request writes one log line.
    let mut requests = 0;
    while node.counter(dropped) == 0 {
        assert_eq!(node.send_callback("{"), 400);
        requests += 1;
        assert!(requests < 20_000, "standard error did not stall");
    }
    node.assert_serves(&worker, "r1", "view", "s-1");
    node.signal("-TERM");
    let output = node.wait_for_exit();
    assert_eq!(output.status.code(), Some(0), "the exit failed while the output was stalled");
}
