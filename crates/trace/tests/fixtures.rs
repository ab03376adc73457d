//! A recording and keyed hashes stored by an earlier build: they decode to the same events and encode to the same bytes.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_trace::*;
use rstest::rstest;

const RECORDING: &[u8] = include_bytes!("fixtures/recording.bin");

fn call(route: u8, key: u64, client: Option<u64>, work_us: Option<u32>, repeat: bool) -> Event {
    Event::Call(Call { route, key, importance: 2.5, client, proxy: 300, work_us, repeat })
}

fn listed(number: u32, phase: Phase) -> Listed {
    let server = format!("10.0.0.{number}:8080");
    Listed { server, number, zone: "east".into(), phase, started_ms: 1_700_000_000_123 }
}

/// Returns one event of every kind in the order of the fixture. Times are in microseconds; one precedes the time before.
fn events() -> Vec<Timed> {
    let all = [Phase::Gone, Phase::Ready, Phase::Draining];
    let entries = all.into_iter().zip(1..).map(|(phase, n)| listed(n, phase)).collect();
    let events = [
        (0, Event::Began { planner: 7, unix_ms: 1_700_000_000_000, settings: "{ zones = [] }".into() }),
        (40, Event::List { version: 9, base: 8, now_ms: 1_700_000_000_456, entries }),
        (1_000, Event::Joined { proxy: 300, zone: "east".into(), bare: true }),
        (2_500, call(3, u64::MAX, Some(11), Some(70_000), false)),
        (2_100, call(0, 12, None, None, true)),
        (500_000, Event::Came { proxy: 300, route: 3, calls: 41 }),
        (600_000, Event::Left { proxy: 300 }),
        (700_000, Event::Gap { lost: 130 }),
        (800_000, Event::PlannerLost { planner: 7 }),
    ];
    events.into_iter().map(|(at_us, event)| Timed { at_us, event }).collect()
}

#[rstest]
fn stored_recording_holds_one_event_of_every_kind() {
    let mut reader = Reader::new(RECORDING, false).unwrap();
    let read: Vec<Timed> = std::iter::from_fn(|| reader.event().unwrap()).collect();
    assert_eq!(read, events());
    assert_eq!(reader.end(), Some(End::Whole));
}

#[rstest]
fn same_events_encode_to_the_stored_bytes() {
    let mut writer = Writer::new(vec![]).unwrap();
    events().into_iter().for_each(|timed| writer.put(timed).unwrap());
    assert_eq!(writer.finish().unwrap(), RECORDING);
}

#[rstest]
fn keyed_hashes_are_the_stored_ones() {
    let anonymizer = Anonymizer::new(b"a fixed key");
    assert_eq!(anonymizer.hash_text("10.0.0.1:8080"), "42fef9b843bc5db6");
    assert_eq!(anonymizer.hash_number(11), 4_875_364_764_931_957_614);
}
