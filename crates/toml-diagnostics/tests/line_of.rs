//! Tests of the search for the line of a field.

use curlewusher_toml_diagnostics::line_of;

#[test]
fn field_then_line_of_its_assignment_or_else_of_the_table_header() {
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
