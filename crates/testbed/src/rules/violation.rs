//! Violation of a rule, with its description and the events that show it.

use std::fmt;

use curlewusher_model::Timestamp;

use super::Rule;

/// Violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Violated rule.
    pub rule: Rule,
    /// Time at which the rule was violated.
    pub at: Timestamp,
    /// Description of the violation, in one line.
    pub description: String,
    /// Events that show the violation, a line for each.
    pub timeline: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:?} at {:.3} s: {}", self.rule, self.at.as_secs_f64(), self.description)?;
        self.timeline.iter().try_for_each(|line| writeln!(f, "    {line}"))
    }
}

impl Violation {
    /// Returns a violation whose timeline has no events and only names the rule.
    pub(super) fn without_events(rule: Rule, at: Timestamp, description: String) -> Self {
        let timeline = vec![format!("{:9.3} s  {rule:?}", at.as_secs_f64())];
        Violation { rule, at, description, timeline }
    }
}
