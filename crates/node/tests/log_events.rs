//! The table of log events in `docs/on-call.md` names exactly the events that the sources write, each with
//! its part, level and fields.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/on-call.md");
const SOURCES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/src");
const LEVELS: [&str; 5] = ["trace", "debug", "info", "warn", "error"];
/// Parts of the log, each with the constant that names it in the sources.
const PARTS: [(&str, &str); 5] = [
    ("NODE", "node"),
    ("DISPATCH", "dispatch"),
    ("SERVER", "sender_side"),
    ("UPSTREAM", "next_hop"),
    ("DISCOVERY", "transport_map"),
];

/// Identity of an event: its part, level and message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    message: String,
    part: String,
    level: String,
}

/// Names of the fields of each event.
type LogEvents = BTreeMap<EventKey, BTreeSet<String>>;

#[test]
fn sources_write_log_events_then_the_on_call_table_lists_exactly_these() {
    let (written, listed) = (collect_source_events(Path::new(SOURCES)), read_table_events());
    assert!(written.len() > 50, "too few events found in the sources");
    for (event, fields) in &written {
        assert_eq!(
            listed.get(event),
            Some(fields),
            "the fields of {event:?} differ between docs/on-call.md and the sources"
        );
    }
    for event in listed.keys() {
        assert!(written.contains_key(event), "{event:?} in docs/on-call.md is not in the sources");
    }
}

/// Reads the events of the table, whose rows have the cells event, part, level, fields and meaning.
fn read_table_events() -> LogEvents {
    let page = fs::read_to_string(PAGE).expect("reading docs/on-call.md failed");
    let rows = page.lines().skip_while(|line| !line.starts_with("## Log events")).skip(1);
    let rows = rows.take_while(|line| !line.starts_with("## ")).filter(|line| line.starts_with("| `"));
    let mut events = LogEvents::new();
    for row in rows {
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
        let [event, part, level, fields, meaning] = cells[..] else {
            panic!("the row does not have five cells: {row}")
        };
        assert!(!meaning.is_empty(), "the row has no meaning: {row}");
        let key = EventKey { message: unquote(event), part: unquote(part), level: level.to_owned() };
        let fields = fields.split(',').map(unquote).filter(|field| !field.is_empty()).collect();
        assert!(events.insert(key, fields).is_none(), "the event is listed twice: {row}");
    }
    events
}

fn unquote(cell: &str) -> String {
    cell.trim().trim_matches('`').to_owned()
}

/// Collects the events of all source files in a directory. The fields of an event that is written in several
/// places are merged.
fn collect_source_events(directory: &Path) -> LogEvents {
    let mut events = LogEvents::new();
    for entry in fs::read_dir(directory).expect("reading the directory failed") {
        let path = entry.expect("reading the directory entry failed").path();
        if path.is_dir() {
            merge_events(&mut events, collect_source_events(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            merge_events(
                &mut events,
                parse_events(&fs::read_to_string(&path).expect("reading the source file failed")),
            );
        }
    }
    events
}

fn merge_events(events: &mut LogEvents, others: LogEvents) {
    for (event, fields) in others {
        events.entry(event).or_default().extend(fields);
    }
}

fn parse_events(text: &str) -> LogEvents {
    let mut events = LogEvents::new();
    for level in LEVELS {
        let call = format!("{level}!(");
        for (position, _) in text.match_indices(&call) {
            let is_whole_name = !text[..position].ends_with(|before: char| before.is_alphanumeric());
            if is_whole_name {
                let (key, fields) = parse_event(level, &split_arguments(&text[position + call.len()..]));
                merge_events(&mut events, LogEvents::from([(key, fields)]));
            }
        }
    }
    events
}

/// Splits the arguments of a macro call, up to its closing parenthesis.
fn split_arguments(text: &str) -> Vec<String> {
    let (mut arguments, mut argument) = (Vec::new(), String::new());
    let (mut depth, mut is_in_string) = (0, false);
    for character in text.chars() {
        match character {
            '"' => is_in_string = !is_in_string,
            '(' | '[' | '{' if !is_in_string => depth += 1,
            ')' if !is_in_string && depth == 0 => break,
            ')' | ']' | '}' if !is_in_string => depth -= 1,
            ',' if !is_in_string && depth == 0 => {
                arguments.push(std::mem::take(&mut argument).trim().to_owned());
                continue;
            }
            _ => {}
        }
        argument.push(character);
    }
    arguments.push(argument.trim().to_owned());
    arguments.retain(|argument| !argument.is_empty());
    arguments
}

/// Parses the arguments of an event: its target, its fields and, last, its message.
fn parse_event(level: &str, arguments: &[String]) -> (EventKey, BTreeSet<String>) {
    let [target, fields @ .., message] = arguments else {
        panic!("the event has no target or no message: {arguments:?}")
    };
    let constant = target
        .strip_prefix("target:")
        .unwrap_or_else(|| panic!("the event has no target: {arguments:?}"))
        .trim();
    let part = PARTS.iter().find(|(name, _)| *name == constant);
    let (_, part) = part.unwrap_or_else(|| panic!("the target is not one of PARTS: {arguments:?}"));
    let message = message.strip_prefix('"').and_then(|message| message.strip_suffix('"'));
    let message = message.unwrap_or_else(|| panic!("the message is not a literal: {arguments:?}"));
    let field_name = |field: &String| {
        let name = field.split('=').next().unwrap_or_default();
        name.trim().trim_start_matches(['%', '?']).to_owned()
    };
    let key = EventKey { message: message.to_owned(), part: (*part).to_owned(), level: level.to_owned() };
    (key, fields.iter().map(field_name).collect())
}
