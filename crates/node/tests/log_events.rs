//! The table of log events in `docs/on-call.md` names exactly the events that the sources write, each with its part,
//! level and fields.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/on-call.md");
const SOURCES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/src");
const LEVELS: [&str; 5] = ["trace", "debug", "info", "warn", "error"];
/// The log's parts by the constants that name them in the sources.
const PARTS: [(&str, &str); 5] = [
    ("NODE", "node"),
    ("DISPATCH", "dispatch"),
    ("SERVER", "sender_side"),
    ("UPSTREAM", "next_hop"),
    ("DISCOVERY", "transport_map"),
];

/// What identifies an event: its part, level and message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    message: String,
    part: String,
    level: String,
}

/// The names of the fields of each event.
type LogEvents = BTreeMap<EventKey, BTreeSet<String>>;

#[test]
fn sources_write_log_events_then_the_on_call_table_lists_each_of_them_and_no_other() {
    let (written, listed) = (events_in_sources(Path::new(SOURCES)), events_in_table());
    assert!(written.len() > 50, "the sources are read");
    for (event, fields) in &written {
        assert_eq!(listed.get(event), Some(fields), "{event:?} of the sources, in docs/on-call.md");
    }
    for event in listed.keys() {
        assert!(written.contains_key(event), "{event:?} of docs/on-call.md is not in the sources");
    }
}

/// The rows of the table: event, part, level, fields and meaning.
fn events_in_table() -> LogEvents {
    let page = fs::read_to_string(PAGE).expect("the page");
    let rows = page.lines().skip_while(|line| !line.starts_with("## Log events")).skip(1);
    let rows = rows.take_while(|line| !line.starts_with("## ")).filter(|line| line.starts_with("| `"));
    let mut events = LogEvents::new();
    for row in rows {
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
        let [event, part, level, fields, meaning] = cells[..] else { panic!("five cells: {row}") };
        assert!(!meaning.is_empty(), "{row}");
        let key = EventKey { message: unquote(event), part: unquote(part), level: level.to_owned() };
        let fields = fields.split(',').map(unquote).filter(|field| !field.is_empty()).collect();
        assert!(events.insert(key, fields).is_none(), "listed twice: {row}");
    }
    events
}

fn unquote(cell: &str) -> String {
    cell.trim().trim_matches('`').to_owned()
}

/// The events of all files of a folder; the fields of an event that is written in several places are merged.
fn events_in_sources(folder: &Path) -> LogEvents {
    let mut events = LogEvents::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            merge(&mut events, events_in_sources(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            merge(&mut events, events_in_text(&fs::read_to_string(&path).expect("a source file")));
        }
    }
    events
}

fn merge(events: &mut LogEvents, others: LogEvents) {
    for (event, fields) in others {
        events.entry(event).or_default().extend(fields);
    }
}

fn events_in_text(text: &str) -> LogEvents {
    let mut events = LogEvents::new();
    for level in LEVELS {
        let call = format!("{level}!(");
        for (position, _) in text.match_indices(&call) {
            let is_whole_name = !text[..position].ends_with(|before: char| before.is_alphanumeric());
            if is_whole_name {
                let (key, fields) = parse_event(level, &arguments(&text[position + call.len()..]));
                merge(&mut events, LogEvents::from([(key, fields)]));
            }
        }
    }
    events
}

/// The arguments of a macro call, up to its closing parenthesis.
fn arguments(text: &str) -> Vec<String> {
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

/// An event whose arguments are its target, its fields and, last, its message.
fn parse_event(level: &str, arguments: &[String]) -> (EventKey, BTreeSet<String>) {
    let [target, fields @ .., message] = arguments else { panic!("a target and a message: {arguments:?}") };
    let constant =
        target.strip_prefix("target:").unwrap_or_else(|| panic!("no target: {arguments:?}")).trim();
    let part = PARTS.iter().find(|(name, _)| *name == constant);
    let (_, part) = part.unwrap_or_else(|| panic!("unknown part: {arguments:?}"));
    let message = message.strip_prefix('"').and_then(|message| message.strip_suffix('"'));
    let message = message.unwrap_or_else(|| panic!("no literal message: {arguments:?}"));
    let field_name = |field: &String| {
        let name = field.split('=').next().unwrap_or_default();
        name.trim().trim_start_matches(['%', '?']).to_owned()
    };
    let key = EventKey { message: message.to_owned(), part: (*part).to_owned(), level: level.to_owned() };
    (key, fields.iter().map(field_name).collect())
}
