//! The encoding of snapshots, and the ageing of their content.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_leader_election::*;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

fn addr(n: u8) -> SocketAddr {
    ([10, 0, 0, n], 80).into()
}

fn snapshot() -> Snapshot {
    let listed =
        |n, phase| EndpointRecord { addr: addr(n), number: 1, zone: "east".into(), phase, started_ms: 5 };
    Snapshot {
        term: 4,
        number: 7,
        list_version: 12,
        list_ms: 1_000_000,
        endpoints: vec![listed(1, EndpointPhase::Ready), listed(2, EndpointPhase::Draining)],
        weights: vec![
            LearnedWeight { addr: addr(1), number: 1, weight: 1.5 },
            LearnedWeight { addr: addr(3), number: 2, weight: f32::NAN },
        ],
        drains: vec![KnownDrain { addr: addr(2), number: 1, known_for_ms: 800 }],
        applied_orders: vec![AppliedOrders { proxy: "p".into(), sequence: 3 }],
        pools: vec![PoolRecord { zone: "east".into(), endpoints: vec![0, 1] }],
        bindings: vec![ProxyBinding { proxy: "p".into(), pool: 0 }],
    }
}

#[rstest]
fn decodes_an_encoded_snapshot_and_rejects_any_changed_or_missing_byte() {
    let good = Snapshot { weights: snapshot().weights[..1].to_vec(), ..snapshot() };
    let bytes = good.encode().unwrap();
    assert_eq!(Snapshot::decode(&bytes), Ok(good));
    for at in 0..bytes.len() {
        let mut bad = bytes.clone();
        bad[at] ^= 0x20;
        assert!(Snapshot::decode(&bad).is_err(), "byte {at}");
        assert!(Snapshot::decode(&bytes[..at]).is_err(), "truncated after {at} bytes");
    }
}

#[rstest]
fn rejects_a_snapshot_of_another_format_version() {
    let bytes = snapshot().encode().unwrap();
    let mut content = bytes[..bytes.len() - 16].to_vec();
    content[1] = 9;
    let checksum = blake3::hash(&content);
    content.extend_from_slice(&checksum.as_bytes()[..16]);
    assert_eq!(Snapshot::decode(&content), Err(SnapshotError::UnsupportedVersion(9)));
}

#[rstest]
fn rejects_a_too_large_snapshot_on_encoding_and_decoding() {
    let mut large = snapshot();
    large.endpoints = vec![large.endpoints[0].clone(); 600_000];
    assert!(matches!(large.encode(), Err(SnapshotError::TooLarge(_))));
    assert!(matches!(Snapshot::decode(&vec![0; MAX_SNAPSHOT_BYTES + 1]), Err(SnapshotError::TooLarge(_))));
}

#[rstest]
#[case::fresh(0, Some(1.5), 800)]
#[case::halfway(30, Some(1.2247), 30_800)]
#[case::old(60, None, 60_800)]
#[case::very_old(9_000, None, 9_000_800)]
fn fades_weights_and_keeps_drains(#[case] age_s: u64, #[case] weight: Option<f64>, #[case] known_ms: u64) {
    let aged = snapshot().aged(Duration::from_secs(age_s), Duration::from_secs(60));
    let weights = aged.weights_by_server();
    assert_eq!(weights.len(), usize::from(weight.is_some()), "a weight that is not a number is dropped");
    if let Some(weight) = weight {
        assert!((weights.values().next().unwrap() - weight).abs() < 1e-3, "{weights:?}");
    }
    assert_eq!((aged.drains[0].known_for_ms, aged.endpoints.len()), (known_ms, 2));
}
