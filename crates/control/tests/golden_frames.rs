//! What two processes of a node and operators read, byte for byte: frames, records, phases and answers.
//! `CURLEWUSHER_RECORD=1` writes the recorded files anew.

#[path = "../../core/tests/common/golden.rs"]
mod golden;

use std::fmt::Write;

use bytes::Bytes;
use curlewusher_operation::bans::Bans;
use curlewusher_operation::call::{Call, CallError, LONGEST_ID, LONGEST_LINE, Refusal, Verdict, answer};
use curlewusher_operation::frame::{Decoder, Frame, FrameError, Why};
use curlewusher_operation::phase::{Move, Phase};
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

const MOVES: [(&str, Move); 7] = [
    ("list there", Move::Listed),
    ("drain", Move::Drain),
    ("end of drain", Move::Undrain),
    ("hand over", Move::HandOver),
    ("take back", Move::TakeBack),
    ("terminate", Move::Terminate),
    ("all answered", Move::Answered),
];

const WHYS: [(&str, Why); 4] = [
    ("busy", Why::Busy),
    ("other node", Why::OtherNode),
    ("ending", Why::Ending),
    ("other version", Why::OtherVersion),
];

fn calls() -> [(&'static str, Call); 5] {
    [
        ("ready", Call::Ready),
        ("disable", Call::Disable("s-5be2a07c".to_owned())),
        ("enable", Call::Enable("s-5be2a07c".to_owned())),
        ("drain", Call::Drain),
        ("end of drain", Call::Undrain),
    ]
}

fn refusals() -> Vec<(String, Refusal)> {
    let phases = PHASES.iter().zip(Phase::ALL);
    let mut all: Vec<(String, Refusal)> =
        phases.map(|(name, phase)| (format!("not ready: {name}"), Refusal::NotReady(phase))).collect();
    all.extend([
        ("never listed".to_owned(), Refusal::NeverListed("s-\"ü\"".to_owned())),
        ("too many out".to_owned(), Refusal::TooManyOut(4096)),
        ("ending".to_owned(), Refusal::Ending),
        ("not done".to_owned(), Refusal::NotDone),
    ]);
    all
}

fn frames() -> Vec<(String, Frame)> {
    let bytes = || Bytes::from_static(b"{\"bytes\":\x00\xff}");
    let (node, listen) = ("node-1".to_owned(), "0.0.0.0:7070".to_owned());
    let withdraw = |to: &str| Frame::Withdraw { to: to.parse().expect("an address"), id: "job-9".to_owned() };
    let mut all = vec![
        ("hello".to_owned(), Frame::Hello { node, listen }),
        ("welcome".to_owned(), Frame::Welcome(bytes())),
        ("take over".to_owned(), Frame::TakeOver),
        ("taken over".to_owned(), Frame::Yours(bytes())),
        ("give back".to_owned(), Frame::GiveBack),
        ("call-back".to_owned(), Frame::Word(bytes())),
        ("call-back, empty".to_owned(), Frame::Word(Bytes::new())),
        ("claim".to_owned(), Frame::Claim("job-ü".to_owned())),
        ("job".to_owned(), Frame::Move(bytes())),
        ("withdrawal, IPv4".to_owned(), withdraw("10.0.0.1:8080")),
        ("withdrawal, IPv6".to_owned(), withdraw("[fd00::1]:8080")),
        ("call done".to_owned(), Frame::Done(Ok(()))),
    ];
    for yes in [true, false] {
        all.push((format!("call-back heard: {yes}"), Frame::Heard(yes)));
        all.push((format!("claimed: {yes}"), Frame::Claimed(yes)));
        all.push((format!("job moved: {yes}"), Frame::Moved(yes)));
    }
    all.extend(WHYS.map(|(name, why)| (format!("turned away: {name}"), Frame::TurnedAway(why))));
    all.extend(calls().map(|(name, call)| (format!("call: {name}"), Frame::Call(call))));
    let refused = |(name, refusal)| (format!("call refused: {name}"), Frame::Done(Err(refusal)));
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
        assert_eq!(decoder.take(), Ok(Some((seq, frame))), "{name}");
        assert_eq!(decoder.end(), Ok(()), "{name}");
    }
    assert_golden("frames.txt", &found);
}

#[test]
fn answers_between_processes_then_the_recorded_ones() {
    let answers = frames().into_iter().filter(|(_, frame)| frame.is_answer());
    let found: String = answers.map(|(name, _)| format!("{name}\n")).collect();
    assert_golden("link_answers.txt", &found);
}

#[test]
fn processes_that_cannot_go_together_then_the_recorded_messages() {
    let errors = [
        FrameError::Foreign,
        FrameError::OtherVersion { theirs: 9, ours: 1 },
        FrameError::Torn,
        FrameError::BadSum,
        FrameError::TooLong { length: 5_000_000 },
        FrameError::Malformed { kind: 200 },
    ];
    let whys = WHYS.iter().map(|(_, why)| format!("{why}\n"));
    let found: String = whys.chain(errors.iter().map(|error| format!("{error}\n"))).collect();
    assert_golden("link_errors.txt", &found);
}

#[test]
fn bans_written_then_the_recorded_bytes_which_read_the_same() {
    let mut bans = Bans::default();
    bans.listed(["s-2", "s-10", "s-\"ü\"", "s-1"]);
    for name in ["s-2", "s-\"ü\"", "s-1"] {
        assert_eq!(bans.disable(name), Ok(()));
    }
    assert_eq!(bans.enable("s-1"), Ok(()));
    let written = serde_json::to_string(&bans).expect("it can be written");
    assert_golden("bans.json", &format!("{written}\n"));
    let read: Bans = serde_json::from_str(&written).expect("it can be read");
    assert_eq!(serde_json::to_string(&read).expect("it can be written"), written);
    let unknown = written.replacen('{', "{\"unknown\":1,", 1);
    let error = serde_json::from_str::<Bans>(&unknown).expect_err("an unknown field");
    assert!(error.to_string().starts_with("unknown field `unknown`"), "{error}");
}

#[test]
fn phases_and_moves_then_the_recorded_table() {
    let mut found = String::new();
    for (name, phase) in PHASES.iter().zip(Phase::ALL) {
        let form = serde_json::to_string(&phase).expect("it can be written");
        assert_eq!(serde_json::from_str::<Phase>(&form).expect("it can be read"), phase);
        writeln!(found, "{name}: {phase}; {form}; {}", phase.advice()).expect("a string");
        let (clients, on) = (phase.wants_clients(), phase.sends_on());
        let (ends, drained) = (phase.ends(), phase.drained());
        writeln!(found, "  wants clients {clients}, sends on {on}, ends {ends}, drained {drained}")
            .expect("a string");
        for (label, by) in MOVES {
            let at = phase.after(by).and_then(|after| Phase::ALL.iter().position(|phase| *phase == after));
            writeln!(found, "  {label} -> {}", at.map_or("none", |at| PHASES[at])).expect("a string");
        }
    }
    assert_golden("phases.txt", &found);
}

#[test]
fn lines_of_operators_and_refusals_then_the_recorded_answers() {
    let id = |length: usize| "x".repeat(length);
    let longest = format!("ENABLE {}\r\n", id(LONGEST_LINE - 9));
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
        &[b'x'; LONGEST_LINE + 1],
    ];
    let mut found = String::new();
    let mut write = |name: &str, said: &Result<Verdict, CallError>| {
        let answer = answer(said);
        writeln!(found, "{name} -> {}", answer.escape_debug()).expect("a string");
    };
    for line in lines {
        let call = Call::read(line);
        let shown = String::from_utf8_lossy(line).escape_debug().to_string();
        let shown = if shown.len() > 40 { format!("{} bytes", line.len()) } else { shown };
        let meaning = call.as_ref().map_or("no call".to_owned(), Call::to_string);
        write(&format!("{shown} ({meaning})"), &call.map(|_| Ok(())));
    }
    for length in [LONGEST_ID, LONGEST_ID + 1] {
        let call = Call::read(format!("DISABLE {}\n", id(length)).as_bytes());
        write(&format!("id of {length} bytes"), &call.map(|_| Ok(())));
    }
    for (name, refusal) in refusals() {
        write(&name, &Ok(Err(refusal)));
    }
    let errors = [
        CallError::Empty,
        CallError::TooLong,
        CallError::NoText,
        CallError::Unknown,
        CallError::NoId("DISABLE"),
        CallError::TooMuch("ENABLE"),
        CallError::LongId,
    ];
    errors.into_iter().for_each(|error| write("mistake", &Err(error)));
    assert_golden("admin_answers.txt", &found);
}
