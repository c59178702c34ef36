//! Parsing of operators' lines: valid commands, and the error for each kind of invalid line.

use curlewusher_control::command::{
    AdminCommand, CommandParseError, MAX_LINE_BYTES, MAX_WORKER_ID_BYTES, format_response,
};
use proptest::prelude::*;

#[test]
fn each_command_with_any_line_ending_then_it_parses() {
    for command in ["READY", "DISABLE s-1", "ENABLE s-1", "DRAIN", "UNDRAIN"] {
        for line_ending in ["", "\n", "\r\n"] {
            let parsed = AdminCommand::parse(format!("{command}{line_ending}").as_bytes()).expect(command);
            assert_eq!(parsed.to_string(), command);
        }
    }
}

#[test]
fn each_kind_of_invalid_line_then_its_own_error_and_an_err_response() {
    let long_id = format!("DISABLE {}", "x".repeat(MAX_WORKER_ID_BYTES + 1));
    let cases: [(&[u8], CommandParseError); 8] = [
        (b"\n", CommandParseError::Empty),
        (b"DISABLE\n", CommandParseError::MissingWorkerId("DISABLE")),
        (b"ENABLE a b\n", CommandParseError::UnexpectedArgument("ENABLE")),
        (b"DRAIN now\n", CommandParseError::UnexpectedArgument("DRAIN")),
        (b"RESTART\n", CommandParseError::UnknownCommand),
        (b"DISABLE \xff\n", CommandParseError::NotPrintable),
        (long_id.as_bytes(), CommandParseError::WorkerIdTooLong),
        (&[b'x'; MAX_LINE_BYTES + 1], CommandParseError::TooLong),
    ];
    for (line, error) in cases {
        let outcome = AdminCommand::parse(line).map(|_| Ok(()));
        assert_eq!(outcome, Err(error));
        assert!(format_response(&outcome).starts_with("-ERR "));
    }
}

proptest! {
    /// A parsed command stays the same when it is formatted and parsed again. Every line gets exactly one
    /// response line.
    #[test]
    fn any_bytes_then_one_response_line(line in proptest::collection::vec(any::<u8>(), 0..400)) {
        let parsed = AdminCommand::parse(&line);
        if let Ok(command) = &parsed {
            let reparsed = AdminCommand::parse(command.to_string().as_bytes());
            prop_assert_eq!(&reparsed.expect("a formatted command is valid"), command);
        }
        let response = format_response(&parsed.map(|_| Ok(())));
        prop_assert!(response.ends_with('\n') && response.matches('\n').count() == 1);
    }
}
