//! Command line: the help of each subcommand, and the output of commands that cannot begin, byte for byte.

use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::LazyLock;

use golden::golden;

#[path = "../../toml-diagnostics/tests/support/golden.rs"]
mod golden;

/// Folder with a scenario, an empty file, and a program that exits immediately with an error.
static FOLDER: LazyLock<PathBuf> = LazyLock::new(|| {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("command-line");
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    let smoke = include_str!("../../../scenarios/smoke.toml");
    std::fs::write(folder.join("smoke.toml"), smoke).expect("the scenario can be written");
    std::fs::write(folder.join("file"), "").expect("the file can be written");
    let broken = folder.join("broken-node");
    std::fs::write(&broken, "#!/bin/sh\necho 'no configuration' >&2\nexit 1\n")
        .expect("the program can be written");
    std::fs::set_permissions(&broken, Permissions::from_mode(0o755)).expect("the mode can be set");
    folder
});

/// Runs a command line that begins with the name of the program, and returns the exit code and the output.
fn output_of(line: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_curlewusher-testbed"))
        .args(line.split_whitespace().skip(1))
        .current_dir(&*FOLDER)
        .env_remove("COLUMNS")
        .output()
        .expect("the program starts");
    let printed = String::from_utf8([output.stdout, output.stderr].concat()).expect("the output is UTF-8");
    // An empty line would separate two cases of the golden file, so each line gets a prefix.
    let lines: Vec<String> = printed.lines().map(|line| format!("| {line}").trim_end().to_owned()).collect();
    format!("{}\n{}", output.status.code().expect("the program is not killed by a signal"), lines.join("\n"))
}

#[test]
fn help_of_each_command_then_the_text_is_as_recorded() {
    golden!("command_line_help.txt").assert_outputs(output_of);
}

#[test]
fn command_that_cannot_begin_then_the_message_and_the_exit_code_are_as_recorded() {
    golden!("command_line_errors.txt").assert_outputs(output_of);
}
