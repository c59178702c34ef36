//! Runs the built adapter.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// The exit code of the adapter and what it writes when it reads this input.
pub fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_curlewusher-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    std::thread::scope(|scope| {
        // An adapter that has stopped at an invalid line reads no further.
        scope.spawn(move || _ = stdin.write_all(input.as_bytes()));
        child.wait_with_output().expect("the adapter ends")
    })
}
