//! Tests of parsing endpoint lists that arrive in pieces.

use super::*;

const ENDPOINTS: usize = 202;

/// Returns an indented list whose names contain JSON punctuation.
fn indented_list() -> String {
    let entry = |index: usize| {
        format!(
            "{{\n  \"name\": \"s-{index}\\\\\\\"}}\",\n  \"address\": \"127.0.0.1:9\",\n  \"zone\": \"a\",\n  \
             \"type\": \"std\",\n  \"group\": 1,\n  \"status\": \"in_service\",\n  \"weight\": 1.25,\n  \
             \"since_ms\": 0\n}}"
        )
    };
    let entries: Vec<String> = (0..ENDPOINTS).map(entry).collect();
    format!("{{\n\n  \"index\": 43,\n  \"snapshot\": true,\n  \"endpoints\": [{}]\n}}", entries.join(",\n"))
}

#[test]
fn long_list_arrives_byte_by_byte_then_it_is_complete_at_its_last_byte() {
    let list = indented_list();
    let mut parser = EndpointListParser::default();
    for byte in &list.as_bytes()[..list.len() - 1] {
        parser.push_bytes(&[*byte]);
        assert!(matches!(parser.parse_next(), Ok(Parsed::Incomplete)));
    }
    parser.push_bytes(b"}");
    let parsed = parser.parse_next();
    assert!(
        matches!(&parsed, Ok(Parsed::List(list)) if list.index == 43 && list.endpoints.len() == ENDPOINTS),
        "{parsed:?}"
    );
    // The end of the line of an object is not a heartbeat.
    parser.push_bytes(b"\n");
    assert!(matches!(parser.parse_next(), Ok(Parsed::Incomplete)));
}
