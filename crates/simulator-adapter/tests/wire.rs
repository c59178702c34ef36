//! Tests of the adapter's binary with short transcripts.

mod common;

use std::process::Output;

use common::run_adapter;

/// Settings object with unknown fields.
const SETTINGS: &str = r#"{"balancers":1,"zone":0,"discovery":"automatic","unknownField":[1],"localities":["a"],
"services":[{"idempotency":"safe","keyScope":"all","objectiveUs":100000,"giveUpUs":1000000,"worth":1.0,"newKey":2}],
"limits":{"cancel":true,"mayDuplicate":true,"mayTell":false,"sendCap":3},
"rules":{"askWithinUs":10000000,"coldShare":0.2,"warmUpUs":1000000,"overloadFactor":3.0,"fallUs":1000000}}"#;

fn stdout(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).expect("the output is UTF-8")
}

/// Returns the lines that start an instance with an endpoint list of one worker.
fn start_lines(instance: u32) -> String {
    let settings = SETTINGS.replace('\n', "");
    format!(
        "on i={instance}\nhello prng=1 bootInfo={settings}\ncatalog table=0 nodesList=1\n\
         executor executor=10.0.0.1:5000 area=0 classOfHost=0 unitGroup=0 lifecycle=live scale=1 extra=1\n\
         sync serial=1 table=0 form=C\n"
    )
}

#[test]
fn job_is_submitted_then_an_attempt_is_sent_and_its_end_accepted() {
    let output = run_adapter(&format!(
        "round simTimeUs=5\n{}commit\nround simTimeUs=1000\non i=3\n\
         new_request corr=rq_a type=0 dropDeadUs=900000 workUs=10000 coresNeeded=1 unknown=x\ncommit\n\
         round simTimeUs=2000\non i=3\nprogress corr=rq_a copy=0 executor=10.0.0.1:5000 topic=1\n\
         attempt_end corr=rq_a outcome=completed executor=10.0.0.1:5000 copy=0 waitTimeUs=9 settled=1\ncommit\n",
        start_lines(3)
    ));
    assert!(output.status.success());
    let text = stdout(&output);
    assert!(text.contains("source i=3\ntry corr=rq_a executor=10.0.0.1:5000 timeoutUs=899000\n"), "{text}");
    assert_eq!(text.lines().filter(|line| *line == "next").count(), 3);
    assert!(output.stderr.is_empty());
}

#[test]
fn instance_restarts_beside_another_then_each_sends_its_own_job() {
    let job = "new_request corr=rq_a type=0 dropDeadUs=900000 workUs=10000\n";
    let output = run_adapter(&format!(
        "round simTimeUs=5\n{}{}commit\nround simTimeUs=1000\non i=1\n{job}commit\n\
         round simTimeUs=1001\non i=1\nexit\n{}on i=2\n{job}commit\n",
        start_lines(1),
        start_lines(2),
        start_lines(1)
    ));
    assert!(output.status.success());
    let text = stdout(&output);
    assert!(
        text.contains("source i=1\ntry corr=rq_a") && text.contains("source i=2\ntry corr=rq_a"),
        "{text}"
    );
}

#[test]
fn input_is_empty_then_the_adapter_succeeds_without_output() {
    let output = run_adapter("");
    assert!(output.status.success() && output.stdout.is_empty() && output.stderr.is_empty());
}

#[test]
fn line_is_malformed_then_the_adapter_fails_with_one_line_on_stderr() {
    let start = start_lines(1);
    let cases = [
        ("round\n".to_owned(), "line 1: field simTimeUs is missing"),
        ("round simTimeUs=x\n".to_owned(), "line 1: field simTimeUs is malformed: x"),
        (
            "round simTimeUs=1\non i=1\nhello prng=1 bootInfo={}\n".to_owned(),
            "line 3: field bootInfo: missing field",
        ),
        (
            format!("round simTimeUs=1\n{start}new_request corr=a dropDeadUs=5\n"),
            "new_request: field type is missing",
        ),
        (
            format!("round simTimeUs=1\n{start}attempt_end corr=a copy=0 outcome=lucky\n"),
            "attempt_end: field outcome is malformed: lucky",
        ),
        (format!("round simTimeUs=1\n{start}sync serial=1 table=9 form=F\n"), "field table names no list: 9"),
        (format!("round simTimeUs=1\n{start}message sender=1 data=zz\n"), "field data is malformed"),
        ("round simTimeUs=1\non i=4\nwakeup name=w\n".to_owned(), "instance 4 is not running"),
    ];
    for (input, problem) in cases {
        let output = run_adapter(&input);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{input}");
        assert!(stderr.contains(problem) && stderr.lines().count() == 1, "{input} -> {stderr}");
        assert!(!stdout(&output).contains("panic"));
    }
    let invalid = start.replace("\"coldShare\":0.2", "\"coldShare\":7");
    let output = run_adapter(&format!("round simTimeUs=1\n{invalid}commit\n"));
    assert!(String::from_utf8_lossy(&output.stderr).contains("cold_share is no share"));
}

#[test]
fn messages_name_unknown_jobs_then_they_are_ignored() {
    let output = run_adapter(&format!(
        "round simTimeUs=5\n{}commit\nround simTimeUs=9\non i=1\n\
         attempt_end corr=rq_gone outcome=overdue executor=10.0.0.1:5000 copy=0 waitTimeUs=1\n\
         aborted corr=rq_gone\nprogress corr=rq_gone copy=0 topic=2 amount=0.5\nnovelty a=1\ncommit\n",
        start_lines(1)
    ));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}
