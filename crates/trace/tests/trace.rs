//! Recordings that are whole, truncated at any byte, damaged at any byte, cut, merged and imported.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_trace::*;
use proptest::prelude::*;
use rstest::rstest;

fn call(at_us: u64, key: u64, proxy: u32) -> Timed {
    let call = Call {
        route: (key % 3) as u8,
        key,
        importance: 1.0,
        client: Some(key),
        proxy,
        work_us: None,
        repeat: false,
    };
    Timed { at_us, event: Event::Call(call) }
}

fn listed(number: u32, phase: Phase) -> Listed {
    Listed { server: format!("127.0.0.1:{number}"), number, zone: "east".into(), phase, started_ms: 0 }
}

/// Returns a day of several blocks with events slightly out of order.
fn day(calls: u64) -> Vec<Timed> {
    let mut events = vec![
        Timed { at_us: 0, event: Event::Began { planner: 9, unix_ms: 5, settings: "{ }".into() } },
        Timed {
            at_us: 10,
            event: Event::List { version: 1, base: 0, now_ms: 1, entries: vec![listed(1, Phase::Ready)] },
        },
        Timed { at_us: 20, event: Event::Joined { proxy: 1, zone: "east".into(), bare: true } },
        Timed { at_us: 21, event: Event::Joined { proxy: 2, zone: "east".into(), bare: true } },
    ];
    events.extend((0..calls).map(|i| call(1000 + 1000 * i + 700 * (i % 2), i, 1 + (i % 2) as u32)));
    let middle = events.len() / 2;
    events.insert(middle, Timed { at_us: 500 * calls, event: Event::Left { proxy: 2 } });
    events
}

fn written(events: &[Timed]) -> Vec<u8> {
    let mut writer = Writer::new(vec![]).unwrap();
    events.iter().for_each(|e| writer.put(e.clone()).unwrap());
    writer.finish().unwrap()
}

fn read(bytes: &[u8], salvage: bool) -> (Vec<Timed>, Result<Option<End>, ReadError>) {
    let mut reader = match Reader::new(bytes, salvage) {
        Ok(reader) => reader,
        Err(error) => return (vec![], Err(error)),
    };
    let mut events = vec![];
    loop {
        match reader.event() {
            Ok(Some(e)) => events.push(e),
            Ok(None) => return (events, Ok(reader.end())),
            Err(error) => return (events, Err(error)),
        }
    }
}

#[rstest]
#[case::none(0)]
#[case::one_block(100)]
#[case::many_blocks(20_000)]
fn written_events_are_read_back(#[case] calls: u64) {
    let events = day(calls);
    let (back, end) = read(&written(&events), false);
    assert_eq!((back.len(), end.unwrap()), (events.len(), Some(End::Whole)));
    assert!(back == events);
}

#[rstest]
fn a_recording_takes_less_than_20_bytes_an_event() {
    let events = day(20_000);
    let bytes = written(&events).len();
    assert!(bytes < 20 * events.len(), "{bytes} bytes for {} events", events.len());
}

#[rstest]
fn a_truncated_recording_is_readable_up_to_its_last_whole_block() {
    let events = day(9_000);
    let bytes = written(&events);
    let mut last = 0;
    for length in (10..bytes.len()).step_by(997) {
        let (back, end) = read(&bytes[..length], false);
        assert!(matches!(end, Ok(Some(End::CutOff { at })) if at <= length as u64), "{length}: {end:?}");
        assert!(back.len() >= last && back == events[..back.len()], "{length}");
        last = back.len();
    }
    assert!(last > 6_000, "only {last} events are readable at the end");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn one_altered_byte_is_detected_and_other_blocks_are_salvaged(at in 10usize..60_000, to in any::<u8>()) {
        let events = day(5_000);
        let mut bytes = written(&events);
        let at = at % bytes.len();
        prop_assume!(at >= 10 && bytes[at] != to);
        bytes[at] = to;
        let (before, error) = read(&bytes, false);
        prop_assert!(before == events[..before.len()]);
        prop_assert!(
            matches!(error, Err(ReadError::Damaged { .. } | ReadError::Missing { .. }) | Ok(Some(End::CutOff { .. }))),
            "{error:?}"
        );
        let (saved, _) = read(&bytes, true);
        let whole: Vec<&Timed> = saved.iter().filter(|e| !matches!(e.event, Event::Gap { .. })).collect();
        prop_assert!(whole.len() + 3_000 >= events.len(), "{} of {} saved", whole.len(), events.len());
        // The salvaged events are among the written ones, in the same order.
        let mut written = events.iter();
        prop_assert!(whole.iter().all(|e| written.any(|w| w == *e)));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut file = b"GREBEDAY\0\x01blk\n".to_vec();
        file.extend(&bytes);
        let _ = (read(&file, true), read(&bytes, false));
    }
}

#[rstest]
#[case::foreign(b"not a recording at all".to_vec(), "this is no recording")]
#[case::empty(vec![], "this is no recording")]
#[case::a_later_version(b"GREBEDAY\x00\x07".to_vec(), "version 7; this program reads version 2")]
fn a_file_that_cannot_be_read_is_rejected_with_the_reason(#[case] bytes: Vec<u8>, #[case] says: &str) {
    let error = read(&bytes, false).1.unwrap_err().to_string();
    assert!(error.contains(says), "{error}");
}

#[rstest]
fn a_part_begins_with_the_state_before_it() {
    let events = day(2_000);
    let mut part = vec![];
    let whole = written(&events);
    let reader = Reader::new(&whole[..], false).unwrap();
    cut(reader, &mut part, (1_500_000, 1_600_000)).unwrap();
    let (back, end) = read(&part, false);
    assert_eq!(end.unwrap(), Some(End::Whole));
    let state: Vec<&Event> = back.iter().take_while(|e| e.at_us == 0).map(|e| &e.event).collect();
    // Proxy 2 left before the part begins.
    assert!(matches!(
        state[..],
        [Event::Began { .. }, Event::List { .. }, Event::Joined { proxy: 1, .. }, ..]
    ));
    assert!(!state.iter().any(|e| matches!(e, Event::Joined { proxy: 2, .. })));
    let calls = back.iter().filter(|e| matches!(e.event, Event::Call(_))).count();
    assert_eq!((calls, back.last().unwrap().at_us < 100_000), (100, true));
}

#[rstest]
fn two_planners_recordings_of_one_day_are_merged_by_time() {
    let (a, b): (Vec<Timed>, Vec<Timed>) =
        (0..100).map(|i| call(1000 * i, i, 1)).partition(|e| e.at_us % 3000 > 0);
    // The second recorder's clock is 700 us ahead, and the second recording repeats ten requests of the first.
    let late = |e: &Timed| Timed { at_us: e.at_us + 700, ..e.clone() };
    let mut second: Vec<Timed> = b.iter().chain(&a[..10]).map(late).collect();
    second.sort_by_key(|e| e.at_us);
    let (first, second) = (written(&a), written(&second));
    let parts =
        vec![(Reader::new(&first[..], false).unwrap(), 0), (Reader::new(&second[..], false).unwrap(), -700)];
    let mut merged = vec![];
    assert_eq!(merge(parts, &mut merged).unwrap(), (100, 10));
    let (back, _) = read(&merged, false);
    assert!(back.windows(2).all(|w| w[0].at_us <= w[1].at_us));
    assert_eq!(back, (0..100).map(|i| call(1000 * i, i, 1)).collect::<Vec<_>>());
}

#[rstest]
fn a_summary_counts_requests_without_client() {
    let mut events = day(100);
    if let Event::Call(c) = &mut events[10].event {
        c.client = None;
    }
    let s = summary(Reader::new(&written(&events)[..], false).unwrap()).unwrap();
    assert_eq!((s.calls, s.without_client, s.proxies, s.joins, s.lefts, s.servers), (100, 1, 2, 2, 1, 1));
    assert_eq!((s.end, s.by_route[&0]), (Some(End::Whole), 34));
}

fn mapping() -> Mapping {
    let some = |s: &str| Some(s.to_string());
    Mapping {
        due: "t".into(),
        unit_us: 1000.0,
        route: "what".into(),
        routes: vec![("read".into(), 1.0), ("pay".into(), 3.0)],
        proxy: "host".into(),
        key: some("key"),
        client: some("client"),
        work_us: some("work"),
        repeat: some("again"),
    }
}

const CSV: &str =
    "t,what,host,key,client,work,again\n100,read,fe-1,7,ann,2500,0\n105,pay,fe-2,8,bob,,1\n103,1,fe-1,9,,,\n";
const LINES: &str = r#"{"t":100,"what":"read","host":"fe-1","key":7,"client":"ann","work":2500,"again":false}
{"t":105,"what":"pay","host":"fe-2","key":8,"client":"bob","again":true}

{"t":103,"what":1,"host":"fe-1","key":9,"client":null}
"#;

#[rstest]
#[case::csv(Form::Csv, CSV)]
#[case::json_lines(Form::JsonLines, LINES)]
fn rows_are_imported_as_requests(#[case] form: Form, #[case] text: &str) {
    let mut file = vec![];
    let imported = import(text.as_bytes(), form, &mapping(), None, &mut file).unwrap();
    let expected = Imported { calls: 3, repeats: 1, proxies: 2, without_client: 1, out_of_order: 1 };
    assert_eq!(imported, expected);
    let (events, _) = read(&file, false);
    let Event::Call(first) = &events[0].event else { panic!("{events:?}") };
    assert_eq!((events[1].at_us, first.key, first.work_us, first.importance), (5000, 7, Some(2500), 1.0));
    let Event::Call(second) = &events[1].event else { panic!("{events:?}") };
    assert_eq!((second.route, second.proxy, second.repeat, second.importance), (1, 1, true, 3.0));
}

#[rstest]
#[case::no_field("t,what\n1,read\n", "line 2: no field \"host\"")]
#[case::no_time("t,what,host\nnoon,read,a\n", "line 2: field \"t\": \"noon\" is no time")]
#[case::no_route(
    "t,what,host\n1,read,a\n2,fly,a\n",
    "line 3: field \"what\": \"fly\" is no route that is stated"
)]
#[case::no_work("t,what,host,work\n1,read,a,much\n", "line 2: field \"work\": \"much\" is no whole number")]
#[case::a_short_row("t,what,host\n1,read\n", "line 2: CSV error")]
fn invalid_rows_are_rejected_by_line_and_field(#[case] text: &str, #[case] says: &str) {
    let bad = import(text.as_bytes(), Form::Csv, &mapping(), None, vec![]).unwrap_err().to_string();
    assert!(bad.starts_with(says), "{bad}");
}

#[rstest]
fn anonymized_values_have_equal_hashes_only_under_one_key() {
    let keys = |secret: &[u8]| -> Vec<(u64, Option<u64>)> {
        let mut file = vec![];
        import(CSV.as_bytes(), Form::Csv, &mapping(), Some(&Anonymizer::new(secret)), &mut file).unwrap();
        let calls = read(&file, false).0.into_iter();
        calls
            .map(|e| match e.event {
                Event::Call(c) => (c.key, c.client),
                other => panic!("{other:?}"),
            })
            .collect()
    };
    assert_eq!(keys(b"one"), keys(b"one"));
    assert_ne!(keys(b"one"), keys(b"two"));
    assert_ne!(keys(b"one")[0].0, 7);
}

/// A disk that takes 150 ms for each write.
struct Slow(std::sync::Arc<std::sync::Mutex<Vec<u8>>>);

impl std::io::Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(std::time::Duration::from_millis(150));
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[rstest]
fn events_are_dropped_and_counted_when_the_disk_does_not_keep_up() {
    let file = std::sync::Arc::default();
    let mut recorder = Recorder::new(Slow(std::sync::Arc::clone(&file))).unwrap();
    let all = 200_000;
    (0..all).for_each(|i| recorder.put(call(i, i, 1)));
    // Lets the disk take the queued events, so that the gap itself is written.
    std::thread::sleep(std::time::Duration::from_millis(800));
    recorder.put(call(all, all, 1));
    recorder.finish().unwrap();
    let (events, end) = read(&file.lock().unwrap(), false);
    assert_eq!(end.unwrap(), Some(End::Whole));
    let lost: u64 = events.iter().map(|e| if let Event::Gap { lost } = e.event { lost } else { 0 }).sum();
    let calls = events.iter().filter(|e| matches!(e.event, Event::Call(_))).count() as u64;
    assert!(lost > 0, "the disk kept up");
    assert_eq!(calls + lost, all + 1);
}
