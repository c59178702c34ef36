//! Exact bytes that the peer and operators read: frames, state records, phases and responses.
//! `CURLEWUSHER_RECORD=1` rewrites the recorded files.

#[path = "../../core/tests/common/golden.rs"]
mod golden;

use std::fmt::Write;

use bytes::Bytes;
use curlewusher_control::command::{
    AdminCommand, CommandError, CommandParseError, CommandResult, MAX_LINE_BYTES, MAX_WORKER_ID_BYTES,
    format_response,
};
use curlewusher_control::frame::{Decoder, Frame, FrameError, ReceivedFrame, RejectReason};
use curlewusher_control::maintenance::DisabledWorkers;
use curlewusher_control::phase::{Phase, PhaseEvent};
use golden::assert_golden;

/// Names of the phases in the recorded files, in the order of [`Phase::ALL`].
const PHASES: [&str; 8] = [
    "starting",
    "starting, drained",
    "serving",
    "drained",
    "handed over",
    "handed over, drained",
    "ending",
    "ended",
];

const EVENTS: [(&str, PhaseEvent); 7] = [
    ("list there", PhaseEvent::EndpointsAvailable),
    ("drain", PhaseEvent::Drain),
    ("end of drain", PhaseEvent::Undrain),
    ("hand over", PhaseEvent::HandedOver),
    ("take back", PhaseEvent::RolledBack),
    ("terminate", PhaseEvent::Terminate),
    ("all answered", PhaseEvent::ShutdownCompleted),
];

const REJECT_REASONS: [(&str, RejectReason); 4] = [
    ("busy", RejectReason::Busy),
    ("other node", RejectReason::OtherNode),
    ("ending", RejectReason::ShuttingDown),
    ("other version", RejectReason::OtherVersion),
];

fn commands() -> [(&'static str, AdminCommand); 5] {
    [
        ("ready", AdminCommand::Ready),
        ("disable", AdminCommand::Disable("s-5be2a07c".to_owned())),
        ("enable", AdminCommand::Enable("s-5be2a07c".to_owned())),
        ("drain", AdminCommand::Drain),
        ("end of drain", AdminCommand::Undrain),
    ]
}

fn command_errors() -> Vec<(String, CommandError)> {
    let phases = PHASES.iter().zip(Phase::ALL);
    let mut all: Vec<(String, CommandError)> =
        phases.map(|(name, phase)| (format!("not ready: {name}"), CommandError::NotReady(phase))).collect();
    all.extend([
        ("never listed".to_owned(), CommandError::UnknownWorker("s-\"ü\"".to_owned())),
        ("too many out".to_owned(), CommandError::TooManyDisabled(4096)),
        ("ending".to_owned(), CommandError::ShuttingDown),
        ("not done".to_owned(), CommandError::TimedOut),
    ]);
    all
}

fn frames() -> Vec<(String, Frame)> {
    let bytes = || Bytes::from_static(b"{\"bytes\":\x00\xff}");
    let (node, listen) = ("node-1".to_owned(), "0.0.0.0:7070".to_owned());
    let cancel = |worker: &str| Frame::CancelAttempt {
        worker: worker.parse().expect("the address is valid"),
        job_id: "job-9".to_owned(),
    };
    let mut all = vec![
        ("hello".to_owned(), Frame::Hello { node, listen }),
        ("welcome".to_owned(), Frame::Accepted(bytes())),
        ("take over".to_owned(), Frame::TakeoverRequest),
        ("taken over".to_owned(), Frame::TakeoverGranted(bytes())),
        ("give back".to_owned(), Frame::HandBack),
        ("call-back".to_owned(), Frame::Callback(bytes())),
        ("call-back, empty".to_owned(), Frame::Callback(Bytes::new())),
        ("claim".to_owned(), Frame::ClaimJob("job-ü".to_owned())),
        ("job".to_owned(), Frame::MigrateJob(bytes())),
        ("withdrawal, IPv4".to_owned(), cancel("10.0.0.1:8080")),
        ("withdrawal, IPv6".to_owned(), cancel("[fd00::1]:8080")),
        ("call done".to_owned(), Frame::CommandResult(Ok(()))),
    ];
    for result in [true, false] {
        all.push((format!("call-back heard: {result}"), Frame::CallbackResult(result)));
        all.push((format!("claimed: {result}"), Frame::ClaimResult(result)));
        all.push((format!("job moved: {result}"), Frame::MigrationResult(result)));
    }
    all.extend(
        REJECT_REASONS.map(|(name, reason)| (format!("turned away: {name}"), Frame::Rejected(reason))),
    );
    all.extend(commands().map(|(name, command)| (format!("call: {name}"), Frame::Command(command))));
    let failed = |(name, error)| (format!("call refused: {name}"), Frame::CommandResult(Err(error)));
    all.extend(command_errors().into_iter().map(failed));
    all
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn frames_of_every_kind_encoded_then_the_recorded_bytes_which_decode_to_them() {
    let mut actual = String::new();
    for ((name, frame), sequence_number) in frames().into_iter().zip(0x0102_0304_0506_0700..) {
        let encoded = frame.encode(sequence_number).expect("the payload is within its limit");
        writeln!(actual, "{name}: {}", hex(&encoded)).expect("writing to a string succeeds");
        let mut decoder = Decoder::default();
        decoder.feed(&encoded);
        assert_eq!(
            decoder.next_frame(),
            Ok(Some(ReceivedFrame { sequence: sequence_number, frame })),
            "{name}"
        );
        assert_eq!(decoder.finish(), Ok(()), "{name}");
    }
    assert_golden("frames.txt", &actual);
}

#[test]
fn responses_between_processes_then_the_recorded_ones() {
    let responses = frames().into_iter().filter(|(_, frame)| frame.is_response());
    let actual: String = responses.map(|(name, _)| format!("{name}\n")).collect();
    assert_golden("link_answers.txt", &actual);
}

#[test]
fn link_errors_then_the_recorded_messages() {
    let errors = [
        FrameError::InvalidMagic,
        FrameError::OtherVersion { theirs: 9, ours: 1 },
        FrameError::Truncated,
        FrameError::ChecksumMismatch,
        FrameError::TooLong { length: 5_000_000 },
        FrameError::Malformed { kind: 200 },
    ];
    let reasons = REJECT_REASONS.iter().map(|(_, reason)| format!("{reason}\n"));
    let actual: String = reasons.chain(errors.iter().map(|error| format!("{error}\n"))).collect();
    assert_golden("link_errors.txt", &actual);
}

#[test]
fn disabled_workers_serialized_then_the_recorded_bytes_which_survive_a_round_trip() {
    let mut workers = DisabledWorkers::default();
    workers.record_listed(["s-2", "s-10", "s-\"ü\"", "s-1"]);
    for name in ["s-2", "s-\"ü\"", "s-1"] {
        assert_eq!(workers.disable(name), Ok(()));
    }
    assert_eq!(workers.enable("s-1"), Ok(()));
    let json = serde_json::to_string(&workers).expect("the value can be serialized");
    assert_golden("disabled_workers.json", &format!("{json}\n"));
    let read: DisabledWorkers = serde_json::from_str(&json).expect("the value can be deserialized");
    assert_eq!(serde_json::to_string(&read).expect("the value can be serialized"), json);
    let unknown = json.replacen('{', "{\"unknown\":1,", 1);
    let error = serde_json::from_str::<DisabledWorkers>(&unknown).expect_err("the field is unknown");
    assert!(error.to_string().starts_with("unknown field `unknown`"), "{error}");
}

#[test]
fn phases_and_events_then_the_recorded_table() {
    let mut actual = String::new();
    for (name, phase) in PHASES.iter().zip(Phase::ALL) {
        let json = serde_json::to_string(&phase).expect("the value can be serialized");
        assert_eq!(serde_json::from_str::<Phase>(&json).expect("the value can be deserialized"), phase);
        writeln!(actual, "{name}: {phase}; {json}; {}", phase.operator_advice())
            .expect("writing to a string succeeds");
        let (accepts, redirects) = (phase.accepts_new_clients(), phase.redirects_clients());
        let (shutting_down, drained) = (phase.is_shutting_down(), phase.is_drained());
        writeln!(
            actual,
            "  wants clients {accepts}, sends on {redirects}, ends {shutting_down}, drained {drained}"
        )
        .expect("writing to a string succeeds");
        for (label, event) in EVENTS {
            let index =
                phase.next(event).and_then(|after| Phase::ALL.iter().position(|phase| *phase == after));
            writeln!(actual, "  {label} -> {}", index.map_or("none", |index| PHASES[index]))
                .expect("writing to a string succeeds");
        }
    }
    assert_golden("phases.txt", &actual);
}

const PARSE_ERRORS: [CommandParseError; 7] = [
    CommandParseError::Empty,
    CommandParseError::TooLong,
    CommandParseError::NotPrintable,
    CommandParseError::UnknownCommand,
    CommandParseError::MissingWorkerId("DISABLE"),
    CommandParseError::UnexpectedArgument("ENABLE"),
    CommandParseError::WorkerIdTooLong,
];

#[test]
fn lines_of_operators_and_command_errors_then_the_recorded_responses() {
    let id = |length: usize| "x".repeat(length);
    let longest = format!("ENABLE {}\r\n", id(MAX_LINE_BYTES - 9));
    let lines: [&[u8]; 20] = [
        b"READY\n",
        b"drain\r\n",
        b"  Undrain\t",
        b"DISABLE s-1",
        b"ENABLE  s-1 \n",
        b"",
        b" \r\n",
        b"DISABLE\n",
        b"ENABLE\n",
        b"DISABLE s-1 s-2\n",
        b"ENABLE s-1 s-2\n",
        b"READY now\n",
        b"DRAIN now\n",
        b"UNDRAIN now\n",
        b"RESTART\n",
        b"DISABLE \xc3\xbc\n",
        b"READY\nDRAIN\n",
        b"READY\r\r\n",
        longest.as_bytes(),
        &[b'x'; MAX_LINE_BYTES + 1],
    ];
    let mut actual = String::new();
    let mut write = |name: &str, outcome: &Result<CommandResult, CommandParseError>| {
        let response = format_response(outcome);
        writeln!(actual, "{name} -> {}", response.escape_debug()).expect("writing to a string succeeds");
    };
    for line in lines {
        let command = AdminCommand::parse(line);
        let shown = String::from_utf8_lossy(line).escape_debug().to_string();
        let shown = if shown.len() > 40 { format!("{} bytes", line.len()) } else { shown };
        let meaning = command.as_ref().map_or("no call".to_owned(), AdminCommand::to_string);
        write(&format!("{shown} ({meaning})"), &command.map(|_| Ok(())));
    }
    for length in [MAX_WORKER_ID_BYTES, MAX_WORKER_ID_BYTES + 1] {
        let command = AdminCommand::parse(format!("DISABLE {}\n", id(length)).as_bytes());
        write(&format!("id of {length} bytes"), &command.map(|_| Ok(())));
    }
    for (name, error) in command_errors() {
        write(&name, &Ok(Err(error)));
    }
    for error in PARSE_ERRORS {
        write("mistake", &Err(error));
    }
    assert_golden("admin_answers.txt", &actual);
}
