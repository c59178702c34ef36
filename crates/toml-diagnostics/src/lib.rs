//! Reads the TOML files that people write for the project's programs, and names the place of a mistake in one line.
//! It must never open a file or know what a field means.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use serde::de::DeserializeOwned;

/// Reads a text; the error is one line that names the line of the text, the field, and what would be right.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let place = |error: &toml::de::Error| {
        let at = error.span().map_or(0, |span| span.start.min(text.len()));
        format!("line {}", text.as_bytes()[..at].iter().filter(|b| **b == b'\n').count() + 1)
    };
    // The parser's words may have several lines.
    let flat = |message: &str| message.split_whitespace().collect::<Vec<_>>().join(" ");
    let source =
        toml::Deserializer::parse(text).map_err(|e| format!("{}: {}", place(&e), flat(e.message())))?;
    serde_path_to_error::deserialize(source).map_err(|e| {
        let path = e.path().to_string();
        let e = e.into_inner();
        format!("{}: {path}: {}", place(&e), flat(e.message()))
    })
}

/// The line, from 1, on which a field of the `nth` table of a name stands, or else on which that table begins. An empty
/// name is the top of the text. For what can only be judged once the whole is read.
pub fn line_of(text: &str, table: &str, nth: usize, field: &str) -> usize {
    let is_head = |line: &str| line.trim_start().starts_with('[');
    let named = |line: &str| is_head(line) && line.trim().trim_matches(['[', ']', ' ']) == table;
    let head = if table.is_empty() {
        Some(0)
    } else {
        text.lines().enumerate().filter(|(_, l)| named(l)).map(|(at, _)| at).nth(nth)
    };
    let head = head.unwrap_or(0);
    let after = if table.is_empty() { head } else { head + 1 };
    let own = text.lines().enumerate().skip(after).take_while(|(_, line)| !is_head(line));
    let found =
        own.into_iter().find(|(_, line)| line.split('=').next().is_some_and(|name| name.trim() == field));
    found.map_or(head, |(at, _)| at) + 1
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_field_is_found_in_its_own_table_and_else_the_head_of_that() {
        let text = "top = 1\n[a]\nx = 1\n[[b]]\nx = 2\n[[b]]\ny = 3\n  x = 4\n";
        for (table, nth, field, line) in [
            ("", 0, "top", 1),
            ("a", 0, "x", 3),
            ("b", 0, "x", 5),
            ("b", 1, "x", 8),
            ("b", 1, "z", 6),
            ("a", 0, "y", 2),
        ] {
            assert_eq!(line_of(text, table, nth, field), line, "{table} {nth} {field}");
        }
    }
}
