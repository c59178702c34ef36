//! The testbed as a process: short scenarios on the real node, the rule checker against scripted nodes that each break one
//! rule, and the messages of runs that cannot begin. No durations are asserted.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Condvar, LazyLock, Mutex};

const SMOKE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/smoke.toml");

/// A folder of this process: other processes of these tests may run beside it.
static FOLDER: LazyLock<PathBuf> = LazyLock::new(|| {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("lab-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
});

fn folder(name: &str) -> PathBuf {
    FOLDER.join(name)
}

/// Limits how many testbeds run at once to the number of cores. Each simulates a fleet in real time beside real processes;
/// with many more of them than cores, nodes are late and break rules that they keep otherwise.
struct RunLimit {
    running: Mutex<usize>,
    finished: Condvar,
}

static RUN_LIMIT: RunLimit = RunLimit { running: Mutex::new(0), finished: Condvar::new() };

/// The permit to run a testbed, which is released when it is dropped.
struct RunPermit;

impl RunLimit {
    fn acquire(&self) -> RunPermit {
        let limit = std::thread::available_parallelism().map_or(1, usize::from);
        let running = self.running.lock().expect("no holder panics");
        let is_full = |running: &mut usize| *running >= limit;
        *self.finished.wait_while(running, is_full).expect("no holder panics") += 1;
        RunPermit
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        *RUN_LIMIT.running.lock().expect("no holder panics") -= 1;
        RUN_LIMIT.finished.notify_one();
    }
}

/// Runs the testbed with a folder for its report, and returns what it printed.
fn testbed(folder_name: &str, arguments: &[&str]) -> Output {
    let _permit = RUN_LIMIT.acquire();
    Command::new(env!("CARGO_BIN_EXE_curlewusher-testbed"))
        .args(arguments)
        .arg("--out")
        .arg(folder(folder_name))
        .output()
        .expect("the testbed starts")
}

fn run(scenario: &str, name: &str, more: &[&str]) -> Output {
    testbed(name, &[&["run", scenario, "--quiet"], more].concat())
}

/// Asserts that no rule was broken. The exit code 3 means that a busy machine made the load late, which is no fault of the
/// node.
fn assert_no_rule_is_broken(output: &Output) {
    assert!(matches!(output.status.code(), Some(0 | 3)), "{output:?}");
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("text")
}

fn figures(name: &str) -> serde_json::Value {
    let text = std::fs::read_to_string(folder(name).join("figures.json")).expect("figures");
    serde_json::from_str(&text).expect("JSON")
}

#[test]
fn short_scenario_on_real_nodes_then_no_rule_is_broken_and_a_report_is_written() {
    let node = Path::new(env!("CARGO_BIN_EXE_curlewusher-testbed")).with_file_name("curlewusher");
    assert!(node.is_file(), "build the node first: cargo test --workspace does");
    let out = run(SMOKE, "smoke", &[]);
    assert_no_rule_is_broken(&out);
    let figures = figures("smoke");
    let count = |field: &str| figures[field].as_u64();
    assert_eq!((count("jobs"), count("broken_rules"), count("crashes")), (Some(120), Some(0), Some(0)));
    let classes = figures["classes"].as_array().expect("classes");
    let of = |field: &str| classes.iter().map(|class| class[field].as_u64().expect("a count")).sum::<u64>();
    assert_eq!(of("in_time") + of("late") + of("refused") + of("failed"), 120, "each job has one end");
    let page = std::fs::read_to_string(folder("smoke").join("report.html")).expect("a report");
    assert!(page.matches("<svg").count() >= 5 && page.contains("Reload of") && !page.contains("src=\""));
    let seen = std::fs::read_to_string(folder("smoke").join("seen.jsonl")).expect("an event log");
    assert!(seen.lines().all(|line| serde_json::from_str::<serde_json::Value>(line).is_ok()));
}

/// The incident of 2026-12-02: restarted nodes sent to workers that had started to drain while the nodes were down.
#[test]
fn nodes_come_back_with_old_lists_then_nothing_is_sent_to_workers_that_drain() {
    let scenario = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/restart-with-old-list.toml");
    let out = run(scenario, "restart-with-old-list", &[]);
    assert_no_rule_is_broken(&out);
}

#[test]
fn soak_runs_of_fixed_seeds_then_no_rule_is_broken() {
    let arguments = "soak --first 5 --seeds 2 --nodes 8 --workers 9 --length 15 --faults 9";
    let out = testbed("soak", &arguments.split(' ').collect::<Vec<_>>());
    assert_eq!(out.status.code(), Some(0), "{out:?}");
    assert_eq!(text(&out.stdout).lines().count(), 3, "{out:?}");
}

#[test]
fn soak_runs_with_shutdowns_then_no_request_is_lost() {
    // Guards against requests that are closed without a response while nodes shut down: the incident of 2026-12-03.
    let arguments = "soak --first 2 --seeds 2 --nodes 8 --workers 9 --length 10 --faults 0 --shutdowns 4";
    let out = testbed("soak-shutdowns", &arguments.split(' ').collect::<Vec<_>>());
    assert_eq!(out.status.code(), Some(0), "{out:?}");
    assert_eq!(text(&out.stdout).lines().count(), 3, "{out:?}");
}

/// The only class of the scenarios of scripted nodes.
const ORDER_CLASS: &str = r#"
[[class]]
name = "order"
share = 1.0
mean_s = 0.15
repeats = "unsafe"
aim_s = 1.0
stretch = 2.0
give_up_s = 3.0
worth = 1.0
"#;

/// Workers that drain, end and start: what the rules on jobs are about.
const EVERY_RULE: &str = r#"
title = "every rule in reach"
seed = 3
length_s = 5.0
[nodes]
count = 1
[fleet]
workers = 6
list_late_s = 0.1
fetch_s = 0.02
[load]
rate = 40.0
retries = 0
[[fault]]
at_s = 0.5
kind = "drain"
of = [1]
[[fault]]
at_s = 1.0
kind = "kill"
share = 0.17
for_s = 0.5
[[fault]]
at_s = 1.5
kind = "grow"
of = [6]
"#;

/// Plays a scenario on scripted nodes side by side. With each flaw the checker must print its words, and without a flaw
/// nothing at all.
fn assert_findings(name: &str, scenario: &str, findings: &[(&str, &str)]) {
    let file = folder(&format!("{name}.toml"));
    std::fs::write(&file, [scenario, ORDER_CLASS].concat()).expect("a scenario file");
    let play =
        |flaw: &str| run(file.to_str().expect("a path"), &format!("{name}-{flaw}"), &["--scripted", flaw]);
    let play = &play;
    std::thread::scope(|scope| {
        scope.spawn(|| assert_nothing_is_found(&play("none")));
        for (flaw, words) in findings {
            scope.spawn(move || assert_flaw_is_found(flaw, &play(flaw), words));
        }
    });
}

fn assert_nothing_is_found(output: &Output) {
    assert_no_rule_is_broken(output);
    assert!(output.stderr.is_empty(), "{output:?}");
}

fn assert_flaw_is_found(flaw: &str, output: &Output, words: &str) {
    let printed = text(&output.stderr);
    assert!(output.status.code() == Some(1) && printed.contains(words), "{flaw}: {printed}");
    // A person reads the timeline of the request or command.
    assert!(printed.starts_with("CRASH") || printed.contains(" s  "), "{flaw}: {printed}");
}

#[test]
fn scripted_node_breaks_a_rule_then_the_checker_reports_it_and_otherwise_nothing() {
    assert_findings(
        "every-rule",
        EVERY_RULE,
        &[
            ("lost-answer", "OneAnswer"),
            ("forged-result", "no worker made"),
            ("two-at-once", "while an attempt of it was out"),
            ("run-again", "went out again and may have run"),
            ("wrong-refusal", "was refused, which calls a repeat harmless"),
            ("deaf-to-drains", "QuietDrain"),
            ("rush-to-the-new", "GentleStart"),
            ("crash", "CRASH node 0 ended by itself"),
            ("deaf-to-the-end", "CRASH node 0 did not end by itself"),
        ],
    );
}

/// A drain of a node, maintenance of a worker and an upgrade: what the rules on operations are about.
const DAILY_OPERATION: &str = r#"
title = "operators' work"
seed = 3
length_s = 9.0
[nodes]
count = 2
[fleet]
workers = 4
list_late_s = 0.1
fetch_s = 0.02
warm_up_s = 1.0
[load]
rate = 40.0
retries = 0
new_connections = 0.5
[[fault]]
at_s = 0.5
for_s = 4.5
kind = "node_drain"
of = [0]
[[fault]]
at_s = 0.5
for_s = 2.5
kind = "maintenance"
of = [1]
[[fault]]
at_s = 1.0
delay_s = 0.5
kind = "upgrade"
of = [1]
"#;

#[test]
fn scripted_node_fails_in_upgrades_drains_or_maintenance_then_the_checker_reports_it_and_otherwise_nothing() {
    assert_findings(
        "daily-operation",
        DAILY_OPERATION,
        &[
            ("drops-its-jobs", "had no answer from node 1: Some(Closed)"),
            ("resets-its-queue", "an upgrade of node 1 harmed"),
            ("never-ready", "did not say yes to READY within 6 s"),
            ("yes-while-drained", "says yes 4 s after the call of its drain"),
            ("holds-connections", "4 s after its drain:"),
            ("stays-drained", "says no yes 2 s after the end of its drain"),
            ("forgets-bans", "which is out"),
            ("never-back", "not for 5 s after it was called back"),
            ("late-on-console", "answered DRAIN after"),
        ],
    );
    let upgrades = &figures("daily-operation-none")["daily"]["upgrades"];
    assert!(upgrades[0]["ready_s"].is_number() && upgrades[0]["killed"] == false, "{upgrades}");
}

#[test]
fn stress_runs_then_they_exit_by_themselves_with_a_table_and_find_what_is_wrong() {
    let stress_run = |arguments: &[&str]| {
        let folder_name = format!("drill-{}", arguments.concat());
        testbed(&folder_name, &[&["drill", "--quiet"], arguments].concat())
    };
    std::thread::scope(|scope| {
        for (arguments, code, words) in [
            (["upgrades", "--times", "2", "--delay", "0.3", "--scripted", "none"], 0, "jobs lost   "),
            (
                ["upgrades", "--times", "2", "--delay", "0.3", "--scripted", "resets-its-queue"],
                1,
                "  Upgrade",
            ),
            (["kills", "--times", "2", "--delay", "0.3", "--scripted", "none"], 0, "with a kill"),
            (["calls", "--times", "1", "--delay", "0.3", "--scripted", "none"], 0, "ENABLE: calls"),
            (["calls", "--times", "1", "--delay", "0.3", "--scripted", "yes-to-any-id"], 1, "  Console"),
        ] {
            scope.spawn(move || {
                let out = stress_run(&arguments);
                let right = out.status.code() == Some(code) || code == 0 && out.status.code() == Some(3);
                assert!(right && text(&out.stdout).contains(words), "{arguments:?}: {out:?}");
            });
        }
    });
}

#[test]
fn run_is_interrupted_then_its_nodes_stop_and_the_event_log_is_written() {
    // The node's log shows when the load has begun.
    std::fs::write(folder("debug.toml"), "[log.parts]\ndispatch = \"debug\"\n").expect("a place");
    let text = std::fs::read_to_string(SMOKE).expect("a scenario");
    let long = text
        .replace("length_s = 4.0", "length_s = 600.0")
        .replace("count = 2", "count = 2\noperator = \"debug.toml\"");
    std::fs::write(folder("long.toml"), long).expect("a place");
    let out = folder("interrupted");
    let _ = std::fs::remove_dir_all(&out);
    let _permit = RUN_LIMIT.acquire();
    let mut testbed = Command::new(env!("CARGO_BIN_EXE_curlewusher-testbed"))
        .args(["run", folder("long.toml").to_str().expect("a path"), "--quiet", "--out"])
        .arg(&out)
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("the testbed starts");
    let log = |node: u32| std::fs::read_to_string(out.join(format!("n{node}.log"))).unwrap_or_default();
    while !log(0).contains("job accepted") {
        let ended = testbed.try_wait().expect("a child");
        assert!(ended.is_none(), "it ended before its load began, {ended:?}: is the node built?");
        std::thread::yield_now();
    }
    let kill =
        Command::new("kill").args(["-INT", &testbed.id().to_string()]).status().expect("kill is there");
    assert!(kill.success());
    let ended = testbed.wait_with_output().expect("it ends");
    assert_eq!(ended.status.code(), Some(3), "such a run does not count: {ended:?}");
    assert!(figures("interrupted")["jobs"].as_u64().is_some_and(|jobs| jobs > 0));
    for node in 0..2 {
        let log = log(node);
        let address =
            log.split("serves on ").nth(1).and_then(|rest| rest.lines().next()).expect("an address");
        assert!(std::net::TcpStream::connect(address).is_err(), "node {node} is left running");
    }
}

#[test]
fn run_cannot_begin_then_it_says_why_and_leaves_nothing_running() {
    let bad = folder("bad.toml");
    std::fs::write(&bad, [EVERY_RULE, ORDER_CLASS].concat().replace("rate = 40.0", "rate = -1"))
        .expect("a place");
    let out = run(bad.to_str().expect("a path"), "bad", &[]);
    let printed = text(&out.stderr);
    assert!(
        out.status.code() == Some(2) && printed.contains("bad.toml: line 12: load.rate: -1 is not from 0.1"),
        "{printed}"
    );
    assert!(!folder("bad").exists(), "nothing was started");

    let out = run(SMOKE, "absent", &["--node", "no-such-program"]);
    assert!(
        out.status.code() == Some(2) && text(&out.stderr).contains("no program at no-such-program"),
        "{out:?}"
    );

    // A node that exits at once: its standard error is shown.
    let broken = folder("broken-node");
    std::fs::write(&broken, "#!/bin/sh\necho 'no valid configuration' >&2\nexit 1\n").expect("a place");
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o755);
    std::fs::set_permissions(&broken, mode).expect("a mode");
    let out = run(SMOKE, "broken", &["--node", broken.to_str().expect("a path")]);
    let printed = text(&out.stderr);
    assert!(out.status.code() == Some(2) && printed.contains("node 0 ended before it served"), "{printed}");
    assert!(printed.contains("no valid configuration"), "{printed}");
}

#[test]
fn another_run_has_the_folder_then_the_run_does_not_begin() {
    // Two runs in one folder would mix their nodes, whose attempts then count as duplicates.
    let taken = folder("taken");
    std::fs::create_dir_all(&taken).expect("a folder");
    let lock = std::fs::File::create(taken.join("run.lock")).expect("a file");
    lock.lock().expect("nobody else has it");
    let out = run(SMOKE, "taken", &[]);
    assert_eq!(out.status.code(), Some(2), "{out:?}");
    assert!(text(&out.stderr).contains("another run has this folder"), "{out:?}");
}
