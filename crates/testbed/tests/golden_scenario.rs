//! The command that checks a scenario: its output for a scenario with every field and for each mistake, byte for byte.

use std::path::Path;
use std::process::Command;

use golden::golden;

#[path = "../../toml-diagnostics/tests/support/golden.rs"]
mod golden;

const FULL: &str = include_str!("golden/scenario_full.toml");

/// What the command writes and ends with, for a scenario in a file of this name.
fn checked(file: &str, text: &str) -> String {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(folder.join(file), text).expect("a place for the scenario");
    let output = Command::new(env!("CARGO_BIN_EXE_curlewusher-testbed"))
        .args(["check", file])
        .current_dir(folder)
        .output()
        .expect("the program starts");
    let written = [output.stdout, output.stderr].concat();
    let written = String::from_utf8(written).expect("text");
    format!("{} {written}", output.status.code().expect("it ends by itself"))
}

/// The full scenario after an edit: a `-` line that stands in it once, and what takes its place, in `+` lines.
fn edited(edit: &str) -> String {
    let marked = |mark: &str| -> String {
        edit.lines().filter_map(|line| line.strip_prefix(mark)).map(|line| line.to_owned() + "\n").collect()
    };
    let (old, new) = (marked("- "), marked("+ "));
    assert_eq!(FULL.matches(&old).count(), 1, "the line to replace must stand there once: {old}");
    FULL.replace(&old, &new)
}

#[test]
fn scenario_with_every_field_then_the_summary_is_as_recorded() {
    golden!("scenario_checked.txt").assert_eq(&checked("golden-full.toml", FULL));
}

#[test]
fn scenario_with_one_edit_then_the_words_and_the_exit_code_are_as_recorded() {
    golden!("scenario_edits.txt")
        .assert_outputs(|edit| checked("golden-edited.toml", &edited(edit)).trim_end().to_owned());
}
