//! A broken rule, with what a person needs to see why.

use std::fmt;

use curlewusher_model::Timestamp;

use super::Rule;

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub at: Timestamp,
    pub description: String,
    /// The events that belong to it, a line each.
    pub timeline: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:?} at {:.3} s: {}", self.rule, self.at.as_secs_f64(), self.description)?;
        self.timeline.iter().try_for_each(|line| writeln!(f, "    {line}"))
    }
}

impl Violation {
    /// A violation whose timeline only names the rule.
    pub(super) fn without_events(rule: Rule, at: Timestamp, description: String) -> Self {
        let timeline = vec![format!("{:9.3} s  {rule:?}", at.as_secs_f64())];
        Violation { rule, at, description, timeline }
    }
}
