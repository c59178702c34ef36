//! A recorded run of a small simulation: what the adapter reads, and what it must write, byte for byte.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use golden::golden;

#[path = "../../toml-diagnostics/tests/support/golden.rs"]
mod golden;

const TRANSCRIPT: &str = include_str!("golden/transcript_in.txt");

/// Messages of the wire, with a field where one word of it counts, that the transcript must hold.
const MESSAGES: [&str; 35] = [
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
/// Messages of the adapter, each of which the recorded answer must hold.
const ANSWERS: [&str; 9] =
    ["source ", "next", "try ", "shed ", "abort ", "undo_send ", "announce ", "wake_me ", "watch "];

fn adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_curlewusher-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    std::thread::scope(|scope| {
        // An adapter that has stopped at a bad line no longer reads.
        scope.spawn(move || _ = stdin.write_all(input.as_bytes()));
        child.wait_with_output().expect("the adapter ends")
    })
}

#[test]
fn a_recorded_transcript_then_the_answer_is_as_recorded() {
    let answer = golden!("transcript_out.txt");
    MESSAGES.iter().for_each(|part| assert!(TRANSCRIPT.contains(part), "no {part} in the transcript"));
    let output = adapter(TRANSCRIPT);
    assert!(output.status.success() && output.stderr.is_empty(), "{output:?}");
    let found = String::from_utf8(output.stdout).expect("text");
    let begins = |part: &&str| found.lines().any(|line| format!("{line} ").starts_with(part));
    ANSWERS.iter().for_each(|part| assert!(begins(part), "no {part} in the answer"));
    answer.assert_is(&found);
}

#[test]
fn a_bad_line_then_the_words_and_the_exit_code_are_as_recorded() {
    // The first batch starts instances and fills a list; the line under test follows.
    let (first_batch, _) = TRANSCRIPT.split_once("commit\n").expect("a batch");
    golden!("bad_lines.txt").assert_answers(|line| {
        let output = adapter(&format!("{first_batch}{line}\ncommit\n"));
        let said = String::from_utf8(output.stderr).expect("text");
        format!("{} {}", output.status.code().expect("it ends by itself"), said.trim_end())
    });
}
