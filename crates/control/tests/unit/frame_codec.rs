//! Encoding and decoding of frames: intact, truncated, damaged and of another version. These tests are a
//! module of the codec, because they inspect the decoder's buffer and compute checksums.

use super::*;
use crate::command::{AdminCommand, CommandError, CommandResult};
use crate::frame::header::checksum;
use crate::frame::{MAX_PAYLOAD_BYTES, MAX_SNAPSHOT_BYTES, RejectReason, VERSION};
use crate::phase::Phase;
use proptest::prelude::*;

fn command_results() -> impl Strategy<Value = CommandResult> {
    prop_oneof![
        Just(Ok(())),
        prop::sample::select(Phase::ALL.to_vec()).prop_map(|phase| Err(CommandError::NotReady(phase))),
        ".{0,40}".prop_map(|id| Err(CommandError::UnknownWorker(id))),
        any::<usize>().prop_map(|limit| Err(CommandError::TooManyDisabled(limit))),
        Just(Err(CommandError::ShuttingDown)),
        Just(Err(CommandError::TimedOut)),
    ]
}

fn frames() -> impl Strategy<Value = Frame> {
    let bytes = || prop::collection::vec(any::<u8>(), 0..300).prop_map(Bytes::from);
    let reject_reasons = vec![
        RejectReason::Busy,
        RejectReason::OtherNode,
        RejectReason::ShuttingDown,
        RejectReason::OtherVersion,
    ];
    prop_oneof![
        (".{0,20}", ".{0,20}").prop_map(|(node, listen)| Frame::Hello { node, listen }),
        bytes().prop_map(Frame::Accepted),
        prop::sample::select(reject_reasons).prop_map(Frame::Rejected),
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
        command_results().prop_map(Frame::CommandResult),
        (any::<u16>(), ".{0,40}")
            .prop_map(|(port, job_id)| Frame::CancelAttempt { worker: ([10, 0, 0, 1], port).into(), job_id }),
    ]
}

proptest! {
    /// Frames are decoded as they were encoded, regardless of the chunks in which the bytes arrive. A
    /// truncated input causes only the error `Truncated`.
    #[test]
    fn bytes_in_chunks_of_any_size_then_the_same_frames_or_truncated(
        sent in prop::collection::vec((any::<u64>(), frames()), 0..6),
        chunk_sizes in prop::collection::vec(1usize..400, 1..20),
        missing_bytes in 0usize..200,
    ) {
        let bytes: Vec<u8> = sent
            .iter()
            .flat_map(|(sequence, frame)| frame.encode(*sequence).expect("the payload is within its limit"))
            .collect();
        let bytes = &bytes[..bytes.len().saturating_sub(missing_bytes)];
        let (mut decoder, mut received, mut rest) = (Decoder::default(), vec![], bytes);
        for chunk_size in chunk_sizes.iter().cycle() {
            while let Some(ReceivedFrame { sequence, frame }) =
                decoder.next_frame().expect("the bytes are intact")
            {
                received.push((sequence, frame));
            }
            if rest.is_empty() {
                break;
            }
            let (now, later) = rest.split_at((*chunk_size).min(rest.len()));
            decoder.feed(now);
            rest = later;
        }
        prop_assert_eq!(&received[..], &sent[..received.len()]);
        let decoded_bytes: usize =
            received.iter().map(|(_, frame)| HEADER_BYTES + frame.encode_payload().len()).sum();
        prop_assert_eq!(decoder.finish().is_ok(), decoded_bytes == bytes.len());
        prop_assert!(missing_bytes > 0 || received.len() == sent.len());
    }

    /// A changed byte causes neither a panic nor a decoded frame. The buffer stays within the limit of a
    /// frame, and an error is returned repeatedly.
    #[test]
    fn one_byte_overwritten_then_a_persistent_error_and_a_bounded_buffer(
        sequence in any::<u64>(),
        frame in frames(),
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = frame.encode(sequence).expect("the payload is within its limit").to_vec();
        let position = position.index(bytes.len());
        let is_unchanged = bytes[position] == byte;
        bytes[position] = byte;
        let mut decoder = Decoder::default();
        decoder.feed(&bytes);
        let result = decoder.next_frame();
        prop_assert_eq!(result.as_ref().is_ok_and(Option::is_some), is_unchanged, "{:?}", result);
        prop_assert!(decoder.buffer.capacity() <= HEADER_BYTES + MAX_SNAPSHOT_BYTES + bytes.len());
        if result.is_err() {
            prop_assert_eq!(decoder.next_frame(), result);
        }
    }
}

#[test]
fn each_kind_of_damage_then_its_own_error() {
    let error_after = |kind: u8, modify: &dyn Fn(&mut Vec<u8>)| {
        let mut bytes =
            Frame::CallbackResult(true).encode(7).expect("the payload is within its limit").to_vec();
        bytes[5] = kind;
        let checksum = checksum(kind, 7, &bytes[HEADER_BYTES..]).to_be_bytes();
        bytes[18..22].copy_from_slice(&checksum);
        modify(&mut bytes);
        let mut decoder = Decoder::default();
        decoder.feed(&bytes);
        decoder.next_frame().expect_err("the frame is damaged")
    };
    assert_eq!(error_after(8, &|bytes| bytes[0] = b'G'), FrameError::InvalidMagic);
    assert_eq!(error_after(8, &|bytes| bytes[4] = 9), FrameError::OtherVersion { theirs: 9, ours: VERSION });
    assert_eq!(error_after(8, &|bytes| bytes[HEADER_BYTES] ^= 1), FrameError::ChecksumMismatch);
    assert_eq!(error_after(8, &|bytes| bytes[14] = 1), FrameError::TooLong { length: (1 << 24) + 4 });
    assert_eq!(error_after(200, &|_| {}), FrameError::Malformed { kind: 200 });
    assert_eq!(error_after(12, &|_| {}), FrameError::Malformed { kind: 12 });
    let zeros = |length: usize| Bytes::from(vec![0; length]);
    assert!(Frame::TakeoverGranted(zeros(MAX_SNAPSHOT_BYTES)).encode(0).is_ok());
    assert!(Frame::TakeoverGranted(zeros(MAX_SNAPSHOT_BYTES + 1)).encode(0).is_err());
    assert!(Frame::Callback(zeros(MAX_PAYLOAD_BYTES + 1)).encode(0).is_err());
}
