//! Replays a stored session on the simulator's wire and checks that the same batches get the same replies, byte for byte.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test may panic")]

use grebespool_wirehost::Instances;
use rstest::rstest;
use std::collections::BTreeSet;

/// Alternating batches and replies: one frame per line, in hexadecimal. An underscore means eight zero bytes.
const SESSION: &str = include_str!("fixtures/session.hex");
const RECORD_BYTES: usize = 16;
const FRAME_HEAD_BYTES: usize = 8;

fn bytes(line: &str) -> Vec<u8> {
    let line = line.replace('_', &"00".repeat(8));
    (0..line.len()).step_by(2).map(|at| u8::from_str_radix(&line[at..at + 2], 16).unwrap()).collect()
}

fn session() -> Vec<(Vec<u8>, Vec<u8>)> {
    let frames: Vec<Vec<u8>> = SESSION.lines().map(bytes).collect();
    frames.chunks_exact(2).map(|pair| (pair[0].clone(), pair[1].clone())).collect()
}

fn codes(frame: &[u8], header_bytes: usize, record_bytes: usize) -> impl Iterator<Item = u16> {
    frame[header_bytes..].chunks_exact(record_bytes).map(|r| u16::from_be_bytes([r[0], r[1]]))
}

#[rstest]
fn stored_batches_get_the_stored_replies() {
    let mut instances = Instances::default();
    for (i, (batch, reply)) in session().into_iter().enumerate() {
        assert_eq!(instances.apply_batch(&batch).unwrap(), reply, "batch {i}");
    }
}

#[rstest]
fn stored_replies_contain_every_kind_of_record() {
    let replies = session().into_iter().map(|(_, reply)| reply);
    let seen: BTreeSet<u16> =
        replies.flat_map(|r| codes(&r, FRAME_HEAD_BYTES, RECORD_BYTES).collect::<Vec<_>>()).collect();
    assert_eq!(seen, BTreeSet::from([1010, 1030, 1040, 1050, 1060, 1070, 1080, 1110]));
}

/// A record that sets the admission contains the retry policy as a number from 0 to 2.
#[rstest]
fn stored_replies_contain_every_retry_policy() {
    let replies = session().into_iter().map(|(_, reply)| reply);
    let records = replies.flat_map(|r| {
        r[FRAME_HEAD_BYTES..].chunks_exact(RECORD_BYTES).map(<[u8]>::to_vec).collect::<Vec<_>>()
    });
    let modes: BTreeSet<u8> = records.filter(|r| r[..2] == [4, 0x24]).map(|r| r[2]).collect();
    assert_eq!(modes, BTreeSet::from([0, 1, 2]));
}
