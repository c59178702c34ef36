//! Tests of the operator's file: its reference page, the shipped file, and the form of error messages.

use curlewusher_settings::operator::{FIELDS, OperatorFile, reference_table};

#[test]
fn reference_page_is_read_then_it_shows_every_field_and_no_other() {
    let page = include_str!("../../../docs/operator-file.md");
    assert!(page.contains(&reference_table()), "docs/operator-file.md must contain:\n{}", reference_table());
    // A field that is missing from FIELDS would be read and never shown.
    let sections = toml::Table::try_from(OperatorFile::default()).expect("the defaults can be serialized");
    let field_count = sections
        .values()
        .map(|section| section.as_table().expect("each section is a table").len())
        .sum::<usize>();
    assert_eq!(field_count, FIELDS.len());
    assert_eq!(OperatorFile::default().values().len(), FIELDS.len());
}

#[test]
fn shipped_file_is_parsed_then_it_gives_the_defaults() {
    let shipped = include_str!("../../../deploy/operator.toml");
    assert_eq!(OperatorFile::parse(shipped), Ok(OperatorFile::default()));
}

#[test]
fn field_is_invalid_then_the_message_names_line_field_and_remedy() {
    for (text, parts) in [
        ("[log]\nformat = \"xml\"", ["line 2", "log.format", "`text` or `json`"]),
        ("\n[log]\nlevle = \"info\"", ["line 3", "levle", "`level`"]),
        ("[log.parts]\nclients = \"info\"", ["line 2", "clients", "`sender_side`"]),
        ("[log]\nlines_per_s = 0", ["line 2", "log.lines_per_s", "from 1 to 100000"]),
        ("[next_hop]\n\nreuse_ms = -1", ["line 3", "next_hop.reuse_ms", "from 0 to 600000"]),
        ("[next_hop]\nreuse_ms = \"1\"", ["line 2", "next_hop.reuse_ms", "a whole number"]),
        ("[metrics]\nanswer_bounds_ms = [5, 5]", ["line 2", "metrics.answer_bounds_ms", "rising"]),
        ("[log]\nformat = \"text\"\nformat = \"json\"", ["line 3", "duplicate", ""]),
        ("[log\n", ["line 1", "", ""]),
    ] {
        let message = OperatorFile::parse(text).expect_err(text).to_string();
        assert!(parts.iter().all(|part| message.contains(part)), "{text:?}: {message}");
        assert!(!message.contains('\n'), "{message}");
    }
}
