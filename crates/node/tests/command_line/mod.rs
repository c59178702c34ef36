//! The command line, the operator's file and the log, tried on the real program as a process.

use std::process::{Command, Output};

use crate::common::{Node, ScriptedServer, ScriptedWatch, node_config, wait_for_counter};

/// Runs the program to its end.
fn run(arguments: &[&str], config: Option<&str>, operator: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewusher"));
    command.args(arguments).env_remove("RELAY_CONFIG").env_remove("CURLEWUSHER_OPERATOR");
    let place = format!("{}/line-{:?}", env!("CARGO_TARGET_TMPDIR"), std::thread::current().id());
    if let Some(config) = config {
        std::fs::write(format!("{place}.json"), config).expect("a place");
        command.env("RELAY_CONFIG", format!("{place}.json"));
    }
    if let Some(operator) = operator {
        std::fs::write(format!("{place}.toml"), operator).expect("a place");
        command.args(["--operator", &format!("{place}.toml")]);
    }
    command.output().expect("the program starts")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("text")
}

/// Any address will do: nothing is started.
fn usual() -> String {
    node_config("127.0.0.1:9".parse().expect("an address"), &[])
}

#[test]
fn check_runs_then_each_value_and_its_source_is_printed() {
    let out = run(&["check"], Some(&usual()), Some("[log]\nlevel = \"warn\"\n"));
    let said = text(&out.stdout);
    assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
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
        let line = said.lines().find(|line| line.starts_with(value));
        assert!(line.is_some_and(|line| line.ends_with(source)), "{value}: {line:?} in {said}");
    }
}

#[test]
fn check_meets_invalid_input_then_exit_is_2_and_one_line_names_file_place_and_field() {
    let broken = usual().replace("\"coldShare\":0.2", "\"coldShare\":2");
    for (config, operator, parts) in [
        (Some(usual()), Some("[log]\nformat = \"xml\"\n"), &[".toml", "line 2", "log.format", "`json`"][..]),
        (Some(broken), None, &["settings", "cold_share"][..]),
        (Some("{".to_owned()), None, &["config", "line 1"][..]),
        (
            Some(usual().replacen('{', r#"{"console":"nowhere","#, 1)),
            None,
            &["config: console", "nowhere", "give one"][..],
        ),
        (None, None, &["RELAY_CONFIG is not set"][..]),
    ] {
        let out = run(&["check"], config.as_deref(), operator);
        let said = text(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{said}");
        assert!(
            parts.iter().all(|part| said.contains(part)) && said.lines().count() == 1,
            "{parts:?}: {said}"
        );
        assert!(out.stdout.is_empty(), "what is bad is not shown as if it counted");
    }
}

#[test]
fn version_completions_or_unknown_command_then_answer_is_right() {
    let version = run(&["--version"], None, None);
    assert_eq!(text(&version.stdout), concat!("curlewusher ", env!("CARGO_PKG_VERSION"), "\n"));
    for shell in ["bash", "zsh", "fish"] {
        let out = run(&["completions", shell], None, None);
        assert!(text(&out.stdout).contains("check") && out.status.success(), "{shell}");
    }
    let strange = run(&["swerve"], None, None);
    assert!(text(&strange.stderr).contains("serve"), "the remedy is named");
    assert_eq!(strange.status.code(), Some(2));
}

#[test]
fn log_is_json_then_job_lines_carry_its_id_and_levels_change_on_sighup() {
    let worker = ScriptedServer::start();
    let discovery = ScriptedServer::start();
    let known = [worker.endpoint_json("s-1", "in_service")];
    let debug = "[log]\nformat = \"json\"\n[log.parts]\ndispatch = \"debug\"\n";
    let node = Node::start_with_operator_file(&node_config(discovery.address, &known), debug);
    let _watch = ScriptedWatch::answer(&discovery, &known);
    node.wait_for_log_line("endpoint lease confirmed");
    let serve = |id: &str| {
        node.assert_serves(&worker, id, "view", "s-1");
    };
    serve("r1");
    let about = |id: &str| {
        let line = node.next_log_line();
        let line: serde_json::Value = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"));
        assert_eq!(
            (line["target"].as_str(), line["request_id"].as_str()),
            (Some("dispatch"), Some(id)),
            "{line}"
        );
        line["message"].as_str().expect("words").to_owned()
    };
    assert_eq!(
        [(); 4].map(|()| about("r1")),
        ["job accepted", "attempt sent", "job answered", "attempt ended"]
    );

    // A bad file changes nothing, and says where it is bad; a good one counts at once.
    node.reload_operator_file("[log.parts]\ndispatch = \"loud\"\n");
    let said = node.next_log_line();
    assert!(said.contains("line 2: log.parts") && said.contains("configuration reload failed"), "{said}");
    node.reload_operator_file("[log]\nlevel = \"error\"\n");
    wait_for_counter(&node, "curlewusher_reloads_total", 1);
    serve("r2");
    node.signal("-TERM");
    let end = node.next_log_line();
    assert!(end.contains("figures") && !end.contains("r2") && !end.contains("graceful shutdown"), "{end}");
}

#[test]
fn stderr_stalls_then_jobs_are_answered_and_dropped_lines_are_counted() {
    let worker = ScriptedServer::start();
    let discovery = ScriptedServer::start();
    let known = [worker.endpoint_json("s-1", "in_service")];
    let settings = node_config(discovery.address, &known);
    let loud = "[log]\nlevel = \"trace\"\nlines_per_s = 100000\nwaiting_lines = 16\n";
    let (node, _stalled) = Node::start_with_blocked_stderr(&settings, loud);
    let _watch = ScriptedWatch::answer(&discovery, &known);
    let dropped = r#"curlewusher_log_lines_dropped_total{why="stalled"}"#;
    // A pipe takes 64 KiB before it stalls; every rejected request is a line.
    let mut requests = 0;
    while node.counter(dropped) == 0 {
        assert_eq!(node.callback("{"), 400);
        requests += 1;
        assert!(requests < 20_000, "it does not stall");
    }
    node.assert_serves(&worker, "r1", "view", "s-1");
    node.signal("-TERM");
    let ended = node.wait_for_exit();
    assert_eq!(ended.status.code(), Some(0), "nor does it hold up the end");
}
