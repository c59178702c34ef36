//! Command `check`: its output for a scenario with every field and for each kind of error, byte for byte.

use std::path::Path;
use std::process::Command;

use golden::golden;

#[path = "../../toml-diagnostics/tests/support/golden.rs"]
mod golden;

/// Scenario with every field.
const FULL: &str = include_str!("golden/scenario_full.toml");

/// Runs the command on a scenario that is written to a file of this name, and returns the exit code and the
/// output.
fn check_output(file: &str, text: &str) -> String {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(folder.join(file), text).expect("the scenario can be written");
    let output = Command::new(env!("CARGO_BIN_EXE_curlewusher-testbed"))
        .args(["check", file])
        .current_dir(folder)
        .output()
        .expect("the program starts");
    let printed = [output.stdout, output.stderr].concat();
    let printed = String::from_utf8(printed).expect("the output is UTF-8");
    format!("{} {printed}", output.status.code().expect("the program is not killed by a signal"))
}

/// Returns the full scenario after an edit, which has the lines to replace, marked with `-`, and their
/// replacement, marked with `+`. The lines to replace must occur exactly once.
fn apply_edit(edit: &str) -> String {
    let marked = |mark: &str| -> String {
        edit.lines().filter_map(|line| line.strip_prefix(mark)).map(|line| line.to_owned() + "\n").collect()
    };
    let (old, new) = (marked("- "), marked("+ "));
    assert_eq!(FULL.matches(&old).count(), 1, "the lines to replace must occur exactly once: {old}");
    FULL.replace(&old, &new)
}

#[test]
fn scenario_with_every_field_then_the_summary_is_as_recorded() {
    golden!("scenario_checked.txt").assert_eq(&check_output("golden-full.toml", FULL));
}

#[test]
fn scenario_with_one_edit_then_the_message_and_the_exit_code_are_as_recorded() {
    golden!("scenario_edits.txt")
        .assert_outputs(|edit| check_output("golden-edited.toml", &apply_edit(edit)).trim_end().to_owned());
}
