//! What the next leader is to know: whole or not at all, and true for as long as it says.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_leader_election::*;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

fn addr(n: u8) -> SocketAddr {
    ([10, 0, 0, n], 80).into()
}

fn memory() -> Memory {
    let listed = |n, phase| Listed { addr: addr(n), number: 1, zone: "east".into(), phase, started_ms: 5 };
    Memory {
        epoch: 4,
        number: 7,
        list_version: 12,
        list_ms: 1_000_000,
        list: vec![listed(1, Phase::Ready), listed(2, Phase::Draining)],
        weights: vec![
            Weight { addr: addr(1), number: 1, weight: 1.5 },
            Weight { addr: addr(3), number: 2, weight: f32::NAN },
        ],
        drains: vec![Drain { addr: addr(2), number: 1, known_for_ms: 800 }],
        held: vec![Held { proxy: "p".into(), seq: 3 }],
        pools: vec![("east".into(), vec![0, 1])],
        bound: vec![("p".into(), 0)],
    }
}

#[rstest]
fn it_reads_as_it_was_written_and_not_at_all_with_any_byte_changed_or_missing() {
    let good = Memory { weights: memory().weights[..1].to_vec(), ..memory() };
    let bytes = good.bytes().unwrap();
    assert_eq!(Memory::read(&bytes), Ok(good));
    for at in 0..bytes.len() {
        let mut bad = bytes.clone();
        bad[at] ^= 0x20;
        assert!(Memory::read(&bad).is_err(), "byte {at}");
        assert!(Memory::read(&bytes[..at]).is_err(), "cut off at {at}");
    }
}

#[rstest]
fn another_version_is_named() {
    let bytes = memory().bytes().unwrap();
    let mut content = bytes[..bytes.len() - 16].to_vec();
    content[1] = 9;
    let sum = blake3::hash(&content);
    content.extend_from_slice(&sum.as_bytes()[..16]);
    assert_eq!(Memory::read(&content), Err(Damaged::Version(9)));
}

#[rstest]
fn one_that_is_too_large_is_neither_written_nor_read() {
    let mut large = memory();
    large.list = vec![large.list[0].clone(); 600_000];
    assert!(matches!(large.bytes(), Err(Damaged::TooLarge(_))));
    assert!(matches!(Memory::read(&vec![0; MOST_BYTES + 1]), Err(Damaged::TooLarge(_))));
}

#[rstest]
#[case::fresh(0, Some(1.5), 800)]
#[case::halfway(30, Some(1.2247), 30_800)]
#[case::old(60, None, 60_800)]
#[case::very_old(9_000, None, 9_000_800)]
fn weights_fade_and_drains_stay(#[case] age_s: u64, #[case] weight: Option<f64>, #[case] known_ms: u64) {
    let after = memory().after(Duration::from_secs(age_s), Duration::from_secs(60));
    let left = after.weights();
    assert_eq!(left.len(), usize::from(weight.is_some()), "a weight that is no number is never taken");
    if let Some(weight) = weight {
        assert!((left.values().next().unwrap() - weight).abs() < 1e-3, "{left:?}");
    }
    assert_eq!((after.drains[0].known_for_ms, after.list.len()), (known_ms, 2));
}
