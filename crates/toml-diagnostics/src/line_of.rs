//! Finds the line of a field, for mistakes that show only after the whole text has been parsed.

/// The line, from 1, of a field in the `nth` table of a name, from 0; the line of the table's header if the table lacks
/// the field. An empty table name stands for the fields before the first header. For a table that the text lacks it is
/// some line before the first header.
pub fn line_of(text: &str, table: &str, nth: usize, field: &str) -> usize {
    let header = header_index(text, table, nth).unwrap_or(0);
    let body_start = if table.is_empty() { header } else { header + 1 };
    let mut body = text.lines().enumerate().skip(body_start).take_while(|(_, line)| !is_header(line));
    let assignment = body.find(|(_, line)| is_assignment_of(line, field));
    assignment.map_or(header, |(index, _)| index) + 1
}

/// Index of the line with the header of the `nth` table of a name.
fn header_index(text: &str, table: &str, nth: usize) -> Option<usize> {
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
