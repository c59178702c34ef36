//! Search for the line of a field, for errors that are detected only after the whole text has been parsed.

/// Returns the number of the line, counted from 1, that assigns a field in a table.
///
/// `nth` selects one of several tables of the same name, counted from 0. An empty table name selects the
/// fields before the first header. If the table does not have the field, this is the line of the table's
/// header, or line 1 for an empty table name. If the text does not have the table, this is an unspecified
/// line before the second header.
pub fn line_of(text: &str, table: &str, nth: usize, field: &str) -> usize {
    let header = find_header(text, table, nth).unwrap_or(0);
    let body_start = if table.is_empty() { header } else { header + 1 };
    let mut body = text.lines().enumerate().skip(body_start).take_while(|(_, line)| !is_header(line));
    let assignment = body.find(|(_, line)| is_assignment_of(line, field));
    assignment.map_or(header, |(index, _)| index) + 1
}

/// Returns the index of the header line of the `nth` table with this name.
fn find_header(text: &str, table: &str, nth: usize) -> Option<usize> {
    if table.is_empty() {
        return None;
    }
    let is_header_of_table =
        |line: &str| is_header(line) && line.trim().trim_matches(['[', ']', ' ']) == table;
    let mut headers = text.lines().enumerate().filter(|(_, line)| is_header_of_table(line));
    headers.nth(nth).map(|(index, _)| index)
}

fn is_header(line: &str) -> bool {
    line.trim_start().starts_with('[')
}

fn is_assignment_of(line: &str, field: &str) -> bool {
    line.split('=').next().is_some_and(|name| name.trim() == field)
}
