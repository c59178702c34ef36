//! Golden files: recorded texts that a later change of the code must reproduce byte for byte.
//!
//! With `CURLEWUSHER_RECORD=1` in the environment a run writes what it found into the file, which must exist, in place
//! of comparing; the difference is then for a person to read.

/// A recorded text and the file that holds it.
pub struct Golden {
    pub path: &'static str,
    pub text: &'static str,
}

/// The golden file of this name in `tests/golden` of the package under test. This module must be in scope as `golden`.
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
    /// Fails at the first line in which `found` differs from the recorded text.
    pub fn assert_is(&self, found: &str) {
        if std::env::var("CURLEWUSHER_RECORD").is_ok_and(|value| value == "1") {
            std::fs::write(self.path, found).expect("the golden file can be written");
            return;
        }
        let differing = self.text.lines().zip(found.lines()).position(|(recorded, now)| recorded != now);
        let line = differing.unwrap_or(self.text.lines().count().min(found.lines().count()));
        let nth = |text: &str| text.lines().nth(line).unwrap_or("end of text").to_owned();
        assert!(
            self.text == found,
            "{}:{}: recorded {:?}, found {:?}",
            self.path,
            line + 1,
            nth(self.text),
            nth(found)
        );
    }

    /// Fails where an answer differs from the one recorded below its input. The cases of the file stand apart by an
    /// empty line; each is the input and then `=> ` and the answer.
    #[allow(dead_code, reason = "not every package has such a file")]
    pub fn assert_answers(&self, answer: impl Fn(&str) -> String) {
        let replayed = self.text.trim_end().split("\n\n").map(|case| {
            let input = case.split_once("\n=> ").map_or(case, |(input, _)| input);
            format!("{input}\n=> {}", answer(input))
        });
        self.assert_is(&(replayed.collect::<Vec<_>>().join("\n\n") + "\n"));
    }
}
