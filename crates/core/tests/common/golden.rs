//! Recorded files under `tests/golden`. With `CURLEWUSHER_RECORD=1` they are written anew instead of compared.

use std::path::Path;

/// Compares a text with a recorded file, which must exist.
#[track_caller]
pub fn assert_golden(name: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os("CURLEWUSHER_RECORD").is_some_and(|value| value == "1") {
        std::fs::write(&path, actual).expect("the golden file can be written");
    }
    let recorded = std::fs::read_to_string(&path).expect("the golden file exists");
    assert_eq!(actual, recorded, "differs from tests/golden/{name}");
}
