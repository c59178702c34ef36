//! Execution of the adapter's binary.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter with the given input and returns its exit status and output.
pub fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_curlewusher-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    std::thread::scope(|scope| {
        // The write fails if the adapter has stopped at an invalid line, which is not an error here.
        scope.spawn(move || _ = stdin.write_all(input.as_bytes()));
        child.wait_with_output().expect("the adapter exits")
    })
}
