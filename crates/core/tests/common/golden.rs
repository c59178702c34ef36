//! Golden files, stored in `tests/golden`. With `CURLEWUSHER_RECORD=1` they are written instead of compared.

use std::path::Path;

/// Compares a text with a golden file, which must exist.
#[track_caller]
pub fn assert_golden(name: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os("CURLEWUSHER_RECORD").is_some_and(|value| value == "1") {
        std::fs::write(&path, actual).expect("the golden file cannot be written");
    }
    let recorded = std::fs::read_to_string(&path).expect("the golden file cannot be read");
    assert_eq!(actual, recorded, "differs from tests/golden/{name}");
}
