//! The command line: the help of every sub-command, and what is printed when a command cannot begin, byte for byte.

use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::LazyLock;

use golden::golden;

#[path = "../../toml-diagnostics/tests/support/golden.rs"]
mod golden;

/// A folder with a scenario, a file, and a program that exits with an error at once.
static FOLDER: LazyLock<PathBuf> = LazyLock::new(|| {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("command-line");
    std::fs::create_dir_all(&folder).expect("a folder");
    let smoke = include_str!("../../../scenarios/smoke.toml");
    std::fs::write(folder.join("smoke.toml"), smoke).expect("a scenario");
    std::fs::write(folder.join("file"), "").expect("a file");
    let broken = folder.join("broken-node");
    std::fs::write(&broken, "#!/bin/sh\necho 'no configuration' >&2\nexit 1\n").expect("a program");
    std::fs::set_permissions(&broken, Permissions::from_mode(0o755)).expect("a mode");
    folder
});

/// What the program prints and exits with for a line that begins with its name.
fn answer_to(line: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_curlewusher-testbed"))
        .args(line.split_whitespace().skip(1))
        .current_dir(&*FOLDER)
        .env_remove("COLUMNS")
        .output()
        .expect("the program starts");
    let written = String::from_utf8([output.stdout, output.stderr].concat()).expect("text");
    // An empty line would separate two cases of the golden file.
    let lines: Vec<String> = written.lines().map(|line| format!("| {line}").trim_end().to_owned()).collect();
    format!("{}\n{}", output.status.code().expect("it exits by itself"), lines.join("\n"))
}

#[test]
fn help_of_each_command_then_it_is_as_recorded() {
    golden!("command_line_help.txt").assert_outputs(answer_to);
}

#[test]
fn command_that_cannot_begin_then_the_message_and_the_exit_code_are_as_recorded() {
    golden!("command_line_errors.txt").assert_outputs(answer_to);
}
