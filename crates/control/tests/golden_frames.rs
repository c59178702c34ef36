//! What two processes of a node and operators read, byte for byte: frames, records, phases and answers.
//! `CURLEWUSHER_RECORD=1` writes the recorded files anew.

#[path = "../../core/tests/common/golden.rs"]
mod golden;

use std::fmt::Write;

use bytes::Bytes;
use curlewusher_control::command::{
    AdminCommand, CommandError, CommandParseError, CommandResult, MAX_LINE_BYTES, MAX_WORKER_ID_BYTES, answer,
};
use curlewusher_control::frame::{Decoder, Frame, FrameError, RejectReason};
use curlewusher_control::maintenance::DisabledWorkers;
use curlewusher_control::phase::{Phase, PhaseEvent};
use golden::assert_golden;

/// Names of the phases in this test, in the order of [`Phase::ALL`].
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

const MOVES: [(&str, PhaseEvent); 7] = [
    ("list there", PhaseEvent::EndpointsAvailable),
    ("drain", PhaseEvent::Drain),
    ("end of drain", PhaseEvent::Undrain),
    ("hand over", PhaseEvent::HandedOver),
    ("take back", PhaseEvent::TookBack),
    ("terminate", PhaseEvent::Terminate),
    ("all answered", PhaseEvent::ShutdownCompleted),
];

const WHYS: [(&str, RejectReason); 4] = [
    ("busy", RejectReason::Busy),
    ("other node", RejectReason::OtherNode),
    ("ending", RejectReason::ShuttingDown),
    ("other version", RejectReason::OtherVersion),
];

fn calls() -> [(&'static str, AdminCommand); 5] {
    [
        ("ready", AdminCommand::Ready),
        ("disable", AdminCommand::Disable("s-5be2a07c".to_owned())),
        ("enable", AdminCommand::Enable("s-5be2a07c".to_owned())),
        ("drain", AdminCommand::Drain),
        ("end of drain", AdminCommand::Undrain),
    ]
}

fn refusals() -> Vec<(String, CommandError)> {
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
    let withdraw =
        |to: &str| Frame::CancelAttempt { to: to.parse().expect("an address"), id: "job-9".to_owned() };
    let mut all = vec![
        ("hello".to_owned(), Frame::Hello { node, listen }),
        ("welcome".to_owned(), Frame::Welcome(bytes())),
        ("take over".to_owned(), Frame::TakeoverRequest),
        ("taken over".to_owned(), Frame::TakeoverGranted(bytes())),
        ("give back".to_owned(), Frame::HandBack),
        ("call-back".to_owned(), Frame::Callback(bytes())),
        ("call-back, empty".to_owned(), Frame::Callback(Bytes::new())),
        ("claim".to_owned(), Frame::ClaimJob("job-ü".to_owned())),
        ("job".to_owned(), Frame::MigrateJob(bytes())),
        ("withdrawal, IPv4".to_owned(), withdraw("10.0.0.1:8080")),
        ("withdrawal, IPv6".to_owned(), withdraw("[fd00::1]:8080")),
        ("call done".to_owned(), Frame::CommandResult(Ok(()))),
    ];
    for yes in [true, false] {
        all.push((format!("call-back heard: {yes}"), Frame::CallbackResult(yes)));
        all.push((format!("claimed: {yes}"), Frame::ClaimResult(yes)));
        all.push((format!("job moved: {yes}"), Frame::MigrationResult(yes)));
    }
    all.extend(WHYS.map(|(name, why)| (format!("turned away: {name}"), Frame::Rejected(why))));
    all.extend(calls().map(|(name, call)| (format!("call: {name}"), Frame::Command(call))));
    let refused = |(name, refusal)| (format!("call refused: {name}"), Frame::CommandResult(Err(refusal)));
    all.extend(refusals().into_iter().map(refused));
    all
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn frames_of_every_kind_encoded_then_the_recorded_bytes_which_decode_to_them() {
    let mut found = String::new();
    for ((name, frame), seq) in frames().into_iter().zip(0x0102_0304_0506_0700..) {
        let encoded = frame.encode(seq).expect("a short frame");
        writeln!(found, "{name}: {}", hex(&encoded)).expect("a string");
        let mut decoder = Decoder::default();
        decoder.feed(&encoded);
        assert_eq!(decoder.next_frame(), Ok(Some((seq, frame))), "{name}");
        assert_eq!(decoder.finish(), Ok(()), "{name}");
    }
    assert_golden("frames.txt", &found);
}

#[test]
fn answers_between_processes_then_the_recorded_ones() {
    let answers = frames().into_iter().filter(|(_, frame)| frame.is_response());
    let found: String = answers.map(|(name, _)| format!("{name}\n")).collect();
    assert_golden("link_answers.txt", &found);
}

#[test]
fn processes_that_cannot_go_together_then_the_recorded_messages() {
    let errors = [
        FrameError::NotAFrame,
        FrameError::OtherVersion { theirs: 9, ours: 1 },
        FrameError::Truncated,
        FrameError::ChecksumMismatch,
        FrameError::TooLong { length: 5_000_000 },
        FrameError::Malformed { kind: 200 },
    ];
    let whys = WHYS.iter().map(|(_, why)| format!("{why}\n"));
    let found: String = whys.chain(errors.iter().map(|error| format!("{error}\n"))).collect();
    assert_golden("link_errors.txt", &found);
}

#[test]
fn bans_written_then_the_recorded_bytes_which_read_the_same() {
    let mut bans = DisabledWorkers::default();
    bans.record_listed(["s-2", "s-10", "s-\"ü\"", "s-1"]);
    for name in ["s-2", "s-\"ü\"", "s-1"] {
        assert_eq!(bans.disable(name), Ok(()));
    }
    assert_eq!(bans.enable("s-1"), Ok(()));
    let written = serde_json::to_string(&bans).expect("it can be written");
    assert_golden("bans.json", &format!("{written}\n"));
    let read: DisabledWorkers = serde_json::from_str(&written).expect("it can be read");
    assert_eq!(serde_json::to_string(&read).expect("it can be written"), written);
    let unknown = written.replacen('{', "{\"unknown\":1,", 1);
    let error = serde_json::from_str::<DisabledWorkers>(&unknown).expect_err("an unknown field");
    assert!(error.to_string().starts_with("unknown field `unknown`"), "{error}");
}

#[test]
fn phases_and_moves_then_the_recorded_table() {
    let mut found = String::new();
    for (name, phase) in PHASES.iter().zip(Phase::ALL) {
        let form = serde_json::to_string(&phase).expect("it can be written");
        assert_eq!(serde_json::from_str::<Phase>(&form).expect("it can be read"), phase);
        writeln!(found, "{name}: {phase}; {form}; {}", phase.operator_advice()).expect("a string");
        let (clients, on) = (phase.accepts_new_clients(), phase.redirects_clients());
        let (ends, drained) = (phase.is_shutting_down(), phase.is_drained());
        writeln!(found, "  wants clients {clients}, sends on {on}, ends {ends}, drained {drained}")
            .expect("a string");
        for (label, by) in MOVES {
            let at = phase.next(by).and_then(|after| Phase::ALL.iter().position(|phase| *phase == after));
            writeln!(found, "  {label} -> {}", at.map_or("none", |at| PHASES[at])).expect("a string");
        }
    }
    assert_golden("phases.txt", &found);
}

#[test]
fn lines_of_operators_and_refusals_then_the_recorded_answers() {
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
    let mut found = String::new();
    let mut write = |name: &str, said: &Result<CommandResult, CommandParseError>| {
        let answer = answer(said);
        writeln!(found, "{name} -> {}", answer.escape_debug()).expect("a string");
    };
    for line in lines {
        let call = AdminCommand::parse(line);
        let shown = String::from_utf8_lossy(line).escape_debug().to_string();
        let shown = if shown.len() > 40 { format!("{} bytes", line.len()) } else { shown };
        let meaning = call.as_ref().map_or("no call".to_owned(), AdminCommand::to_string);
        write(&format!("{shown} ({meaning})"), &call.map(|_| Ok(())));
    }
    for length in [MAX_WORKER_ID_BYTES, MAX_WORKER_ID_BYTES + 1] {
        let call = AdminCommand::parse(format!("DISABLE {}\n", id(length)).as_bytes());
        write(&format!("id of {length} bytes"), &call.map(|_| Ok(())));
    }
    for (name, refusal) in refusals() {
        write(&name, &Ok(Err(refusal)));
    }
    let errors = [
        CommandParseError::Empty,
        CommandParseError::TooLong,
        CommandParseError::NotAscii,
        CommandParseError::UnknownCommand,
        CommandParseError::MissingWorkerId("DISABLE"),
        CommandParseError::UnexpectedArgument("ENABLE"),
        CommandParseError::WorkerIdTooLong,
    ];
    errors.into_iter().for_each(|error| write("mistake", &Err(error)));
    assert_golden("admin_answers.txt", &found);
}
