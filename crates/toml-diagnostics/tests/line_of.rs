//! The line of a field in a text.

use curlewusher_toml_diagnostics::line_of;

#[test]
fn a_field_then_its_line_in_its_own_table_and_else_the_header_of_that() {
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
