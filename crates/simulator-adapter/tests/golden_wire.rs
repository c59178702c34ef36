//! Golden tests on the transcript of a small simulation: the adapter must write the recorded output, byte for
//! byte.

mod common;

use common::run_adapter;
use golden::golden;

#[path = "../../toml-diagnostics/tests/support/golden.rs"]
mod golden;

const TRANSCRIPT: &str = include_str!("golden/transcript_in.txt");

/// Texts that must occur in the input: each message, and each value of the fields with a fixed set of values.
const REQUIRED_INPUTS: [&str; 35] = [
    "round ",
    "commit",
    "on ",
    "hello ",
    "exit",
    "catalog ",
    "executor ",
    "lifecycle=live",
    "lifecycle=quiescing",
    "lifecycle=dead",
    "sync ",
    "form=F",
    "form=C",
    "form=D",
    "form=X",
    "new_request ",
    "retry=1",
    "affinity=",
    "attempt_end ",
    "outcome=completed",
    "outcome=errored",
    "outcome=saturated",
    "outcome=overdue",
    "outcome=refused_conn",
    "outcome=severed",
    "outcome=recalled",
    "outcome=superseded",
    "topic=1",
    "topic=2",
    "topic=3",
    "ack_first ",
    "aborted ",
    "message ",
    "wakeup ",
    "novelty ",
];
/// Messages of the adapter that must occur in the output.
const REQUIRED_OUTPUTS: [&str; 9] =
    ["source ", "next", "try ", "shed ", "abort ", "undo_send ", "announce ", "wake_me ", "watch "];

#[test]
fn recorded_transcript_is_read_then_the_output_is_as_recorded() {
    let recorded = golden!("transcript_out.txt");
    for part in REQUIRED_INPUTS {
        assert!(TRANSCRIPT.contains(part), "the input must contain {part}");
    }
    let output = run_adapter(TRANSCRIPT);
    assert!(output.status.success() && output.stderr.is_empty(), "{output:?}");
    let written = String::from_utf8(output.stdout).expect("the output is UTF-8");
    let is_written = |part: &str| written.lines().any(|line| format!("{line} ").starts_with(part));
    for part in REQUIRED_OUTPUTS {
        assert!(is_written(part), "the output must contain {part}");
    }
    recorded.assert_eq(&written);
}

#[test]
fn invalid_line_is_read_then_the_message_and_the_exit_code_are_as_recorded() {
    // The first batch starts instances and sends a catalog. The invalid line follows.
    let (first_batch, _) = TRANSCRIPT.split_once("commit\n").expect("the transcript has a batch");
    golden!("bad_lines.txt").assert_outputs(|line| {
        let output = run_adapter(&format!("{first_batch}{line}\ncommit\n"));
        let message = String::from_utf8(output.stderr).expect("the output is UTF-8");
        format!(
            "{} {}",
            output.status.code().expect("the adapter is not killed by a signal"),
            message.trim_end()
        )
    });
}
