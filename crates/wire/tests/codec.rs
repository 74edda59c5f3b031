//! Frame codec: round trips, limits and arbitrary bytes.

use bytes::{BufMut, BytesMut};
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};
use wire::{
    Body, Frame, FrameCodec, FrameError, Grant, Heartbeat, MAX_FRAME_LEN, OfferReply, Verdict,
};

fn grant_frame(permit: u64, target: &str) -> Frame {
    Frame {
        seq: 7,
        body: Some(Body::OfferReply(OfferReply {
            verdict: Some(Verdict::Grant(Grant {
                permit,
                target: target.to_string(),
                expires_us: 1_000_000,
                owner: 0xfeed_0000,
            })),
        })),
    }
}

fn encoded(frame: Frame) -> BytesMut {
    let mut buf = BytesMut::new();
    FrameCodec::default()
        .encode(frame, &mut buf)
        .expect("the frame is small");
    buf
}

/// Guards against a permit that is changed by encoding or decoding.
#[test]
fn frame_round_trips() {
    let frame = grant_frame(3, "formula-llm-3");

    let mut buf = encoded(frame.clone());
    let decoded = FrameCodec::default().decode(&mut buf);

    assert_eq!(decoded.expect("the frame is valid"), Some(frame));
    assert!(buf.is_empty());
}

/// Guards against a truncated frame that is accepted as complete.
#[test]
fn truncated_frame_is_an_error_at_the_end_of_the_link() {
    let whole = encoded(grant_frame(3, "formula-llm-3"));
    for length in 0..whole.len() {
        let mut buf = BytesMut::from(&whole[..length]);
        let mut codec = FrameCodec::default();

        assert!(
            matches!(codec.decode(&mut buf), Ok(None)),
            "length {length}"
        );
        if length > 0 {
            let err = codec
                .decode_eof(&mut buf)
                .expect_err("the link ended early");
            assert_eq!(
                err.to_string(),
                "cannot read a frame: the link ended inside a frame"
            );
        }
    }
}

/// Guards against a peer that makes the reader allocate unlimited memory.
#[test]
fn oversized_frame_is_rejected_by_its_length() {
    let mut buf = BytesMut::new();
    buf.put_u32(u32::try_from(MAX_FRAME_LEN + 1).expect("the limit is small"));

    let err = FrameCodec::default()
        .decode(&mut buf)
        .expect_err("the frame is too long");

    assert!(matches!(err, FrameError::Io(_)));
    assert_eq!(err.to_string(), "cannot read a frame: frame size too big");
    assert!(buf.capacity() < MAX_FRAME_LEN);
}

/// Guards against a link that stays open after an undecodable message.
#[test]
fn undecodable_frame_is_an_error() {
    let mut buf = BytesMut::new();
    buf.put_u32(2);
    buf.put_slice(&[0xff, 0xff]);

    let err = FrameCodec::default()
        .decode(&mut buf)
        .expect_err("the message is malformed");

    assert!(matches!(err, FrameError::Decode(_)));
    assert!(
        err.to_string()
            .starts_with("a frame holds no valid message: ")
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a panic or unbounded memory on arbitrary bytes.
    #[test]
    fn arbitrary_bytes_keep_memory_bounded(bytes in prop::collection::vec(any::<u8>(), 0..4096)) {
        let mut buf = BytesMut::from(&bytes[..]);
        let mut codec = FrameCodec::default();
        while let Ok(Some(_)) = codec.decode(&mut buf) {}
        prop_assert!(buf.capacity() <= MAX_FRAME_LEN + 2 * bytes.len() + 64);
    }

    /// Guards against frames that are lost or reordered when they arrive in pieces.
    #[test]
    fn fragmented_frames_arrive_in_order(count in 1u64..20, cut in 1usize..50) {
        let frames: Vec<_> = (0..count)
            .map(|seq| Frame {
                seq,
                body: Some(Body::Heartbeat(Heartbeat {
                    list_generation: seq,
                    list_age_us: 1,
                    sheet_revision: 2,
                    ready: true,
                    id_prefix: 3,
                })),
            })
            .collect();
        let mut bytes = BytesMut::new();
        let mut codec = FrameCodec::default();
        for frame in &frames {
            codec.encode(frame.clone(), &mut bytes).expect("the frame is small");
        }
        let mut decoded = Vec::new();
        let mut buf = BytesMut::new();
        for piece in bytes.chunks(cut) {
            buf.extend_from_slice(piece);
            while let Some(frame) = codec.decode(&mut buf).expect("the frames are valid") {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, frames);
    }
}
