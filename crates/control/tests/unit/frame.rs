//! Frames as frame.rs writes and reads them: whole, cut, damaged and foreign. A part of that module, since it
//! looks at what the decoder holds and at sums of its own making; it makes nothing public.

use super::*;
use crate::command::CommandError;
use crate::phase::Phase;
use proptest::prelude::*;

fn verdicts() -> impl Strategy<Value = CommandResult> {
    prop_oneof![
        Just(Ok(())),
        prop::sample::select(Phase::ALL.to_vec()).prop_map(|phase| Err(CommandError::NotReady(phase))),
        ".{0,40}".prop_map(|id| Err(CommandError::UnknownWorker(id))),
        any::<usize>().prop_map(|most| Err(CommandError::TooManyDisabled(most))),
        Just(Err(CommandError::ShuttingDown)),
        Just(Err(CommandError::TimedOut)),
    ]
}

fn frames() -> impl Strategy<Value = Frame> {
    let bytes = || prop::collection::vec(any::<u8>(), 0..300).prop_map(Bytes::from);
    let whys = vec![
        RejectReason::Busy,
        RejectReason::OtherNode,
        RejectReason::ShuttingDown,
        RejectReason::OtherVersion,
    ];
    prop_oneof![
        (".{0,20}", ".{0,20}").prop_map(|(node, listen)| Frame::Hello { node, listen }),
        bytes().prop_map(Frame::Welcome),
        prop::sample::select(whys).prop_map(Frame::Rejected),
        Just(Frame::TakeoverRequest),
        bytes().prop_map(Frame::TakeoverGranted),
        Just(Frame::HandBack),
        bytes().prop_map(Frame::Callback),
        bytes().prop_map(Frame::MigrateJob),
        any::<bool>().prop_map(Frame::MigrationResult),
        any::<bool>().prop_map(Frame::CallbackResult),
        ".{0,40}".prop_map(Frame::ClaimJob),
        any::<bool>().prop_map(Frame::ClaimResult),
        "[!-~]{1,40}".prop_map(|id| Frame::Command(AdminCommand::Disable(id))),
        Just(Frame::Command(AdminCommand::Undrain)),
        verdicts().prop_map(Frame::CommandResult),
        (any::<u16>(), ".{0,40}")
            .prop_map(|(port, job_id)| Frame::CancelAttempt { worker: ([10, 0, 0, 1], port).into(), job_id }),
    ]
}

proptest! {
    /// Frames come out as they went in, however the bytes are cut; cut short, they are `Torn` and nothing
    /// else.
    #[test]
    fn frames_survive_any_cut(
        sent in prop::collection::vec((any::<u64>(), frames()), 0..6),
        pieces in prop::collection::vec(1usize..400, 1..20),
        short in 0usize..200,
    ) {
        let bytes: Vec<u8> =
            sent.iter().flat_map(|(seq, frame)| frame.encode(*seq).expect("short")).collect();
        let bytes = &bytes[..bytes.len().saturating_sub(short)];
        let (mut decoder, mut came, mut rest) = (Decoder::default(), vec![], bytes);
        for piece in pieces.iter().cycle() {
            while let Some(frame) = decoder.next_frame().expect("sound") {
                came.push((frame.sequence, frame.frame));
            }
            if rest.is_empty() {
                break;
            }
            let (now, later) = rest.split_at((*piece).min(rest.len()));
            decoder.feed(now);
            rest = later;
        }
        prop_assert_eq!(&came[..], &sent[..came.len()]);
        let whole: usize = came.iter().map(|(_, frame)| HEADER + frame.payload().len()).sum();
        prop_assert_eq!(decoder.finish().is_ok(), whole == bytes.len());
        prop_assert!(short > 0 || came.len() == sent.len());
    }

    /// Whatever comes, it is no panic, nothing is held beyond a frame's bound, and an error stays.
    #[test]
    fn any_bytes_are_frames_or_an_error(
        seq in any::<u64>(), frame in frames(), at in any::<prop::sample::Index>(), to in any::<u8>(),
    ) {
        let mut bytes = frame.encode(seq).expect("short").to_vec();
        let at = at.index(bytes.len());
        let same = bytes[at] == to;
        bytes[at] = to;
        let mut decoder = Decoder::default();
        decoder.feed(&bytes);
        let said = decoder.next_frame();
        prop_assert_eq!(said.as_ref().is_ok_and(|frame| frame.is_some()), same, "{:?}", said);
        prop_assert!(decoder.held.capacity() <= HEADER + MAX_SNAPSHOT_BYTES + bytes.len());
        if said.is_err() {
            prop_assert_eq!(decoder.next_frame(), said);
        }
    }
}

#[test]
fn each_bad_frame_has_its_own_error() {
    let edited = |kind: u8, edit: &dyn Fn(&mut Vec<u8>)| {
        let mut bytes = Frame::CallbackResult(true).encode(7).expect("short").to_vec();
        bytes[5] = kind;
        let fresh = sum(kind, 7, &bytes[HEADER..]).to_be_bytes();
        bytes[18..22].copy_from_slice(&fresh);
        edit(&mut bytes);
        let mut decoder = Decoder::default();
        decoder.feed(&bytes);
        decoder.next_frame().expect_err("bad")
    };
    assert_eq!(edited(8, &|b| b[0] = b'G'), FrameError::NotAFrame);
    assert_eq!(edited(8, &|b| b[4] = 9), FrameError::OtherVersion { theirs: 9, ours: VERSION });
    assert_eq!(edited(8, &|b| b[HEADER] ^= 1), FrameError::ChecksumMismatch);
    assert_eq!(edited(8, &|b| b[14] = 1), FrameError::TooLong { length: (1 << 24) + 4 });
    assert_eq!(edited(200, &|_| {}), FrameError::Malformed { kind: 200 });
    assert_eq!(edited(12, &|_| {}), FrameError::Malformed { kind: 12 });
    let long = |length: usize| Bytes::from(vec![0; length]);
    assert!(Frame::TakeoverGranted(long(MAX_SNAPSHOT_BYTES)).encode(0).is_ok());
    assert!(Frame::TakeoverGranted(long(MAX_SNAPSHOT_BYTES + 1)).encode(0).is_err());
    assert!(Frame::Callback(long(MAX_PAYLOAD_BYTES + 1)).encode(0).is_err());
}
