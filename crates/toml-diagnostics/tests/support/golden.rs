//! Golden files: recorded texts that later versions of the code must reproduce byte for byte.
//!
//! If the environment has `CURLEWUSHER_RECORD=1`, a run overwrites the file with the actual text instead of
//! comparing. The file must already exist. A person must then review the difference.

/// Recorded text and the path of its file.
pub struct Golden {
    pub path: &'static str,
    pub text: &'static str,
}

/// Loads the golden file with this name from `tests/golden` of the package under test. This module must be in
/// scope as `golden`.
macro_rules! golden {
    ($name:literal) => {
        golden::Golden {
            path: concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/", $name),
            text: include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/", $name)),
        }
    };
}
pub(crate) use golden;

impl Golden {
    /// Asserts that `actual` equals the recorded text. The panic message names the first line that differs.
    pub fn assert_eq(&self, actual: &str) {
        if std::env::var("CURLEWUSHER_RECORD").is_ok_and(|value| value == "1") {
            std::fs::write(self.path, actual).expect("failed to write the golden file");
            return;
        }
        let first_difference = self
            .text
            .lines()
            .zip(actual.lines())
            .position(|(recorded_line, actual_line)| recorded_line != actual_line);
        let line = first_difference.unwrap_or(self.text.lines().count().min(actual.lines().count()));
        let line_text = |text: &str| text.lines().nth(line).unwrap_or("end of text").to_owned();
        assert!(
            self.text == actual,
            "{}:{}: recorded {:?}, actual {:?}",
            self.path,
            line + 1,
            line_text(self.text),
            line_text(actual)
        );
    }

    /// Asserts that `run` returns the recorded output for each recorded input. An empty line separates the
    /// cases of the file. Each case is the input, followed by `=> ` at the start of a line and the output.
    #[allow(dead_code, reason = "not every package has such a file")]
    pub fn assert_outputs(&self, run: impl Fn(&str) -> String) {
        let replayed = self.text.trim_end().split("\n\n").map(|case| {
            let input = case.split_once("\n=> ").map_or(case, |(input, _)| input);
            format!("{input}\n=> {}", run(input))
        });
        self.assert_eq(&(replayed.collect::<Vec<_>>().join("\n\n") + "\n"));
    }
}
