//! Variants over seeds: equal results on any number of threads, paired comparison and reports of broken rules.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_replay::{
    Experiment, ExperimentDay, ExperimentError, Gain, RecordedDay, RunStore, Variant, paired_gain, replay,
    write_report,
};
use grebespool_settings::{Day, Deployment, What, deployment_text};
use grebespool_simulation::Input;
use grebespool_trace::{Call, Event, Listed, Phase, Timed, Writer};
use rstest::rstest;
use std::time::Duration;

const BAD: &str = include_str!("../../../examples/bad-day.ncl");

fn variant(name: &str, values: &[&str]) -> Variant {
    let values: Vec<String> = values.iter().map(|v| v.to_string()).collect();
    let day = Day::parse_with(BAD, "the bad day", None, &values).unwrap_or_else(|bad| panic!("{bad}"));
    Variant { name: name.into(), day }
}

#[rstest]
#[case::none(&[(0.9, 0.9), (0.8, 0.8)], 0.0, Some(0.0), true)]
#[case::plain(&[(0.90, 0.95), (0.80, 0.86), (0.85, 0.90)], 0.0533, Some(0.0143), false)]
#[case::noise(&[(0.9, 0.95), (0.9, 0.85), (0.9, 0.92)], 0.0067, Some(0.1274), true)]
#[case::one_seed(&[(0.5, 0.9)], 0.4, None, true)]
fn gains_are_paired_and_noise_is_detected(
    #[case] pairs: &[(f64, f64)],
    #[case] mean: f64,
    #[case] margin: Option<f64>,
    #[case] noise: bool,
) {
    let found: Gain = paired_gain(pairs);
    assert!((found.mean - mean).abs() < 1e-3, "{found:?}");
    assert!((found.margin.unwrap_or(-1.0) - margin.unwrap_or(-1.0)).abs() < 1e-3, "{found:?}");
    assert_eq!(found.is_noise(), noise);
}

#[rstest]
#[case::no_value("deployment.slices", "expected path=value")]
#[case::no_path("deployment..slices=1", "names of fields with dots between")]
#[case::no_such_field("deployment.colour=1", "colour")]
#[case::out_of_bounds("deployment.proxies.try_factor=-1", "expected a number from 0 to 100")]
#[case::a_site_not_planned_for("deployment.slices=4", "not planned for yet")]
fn invalid_values_are_rejected_with_the_reason(#[case] value: &str, #[case] says: &str) {
    let bad = Day::parse_with(BAD, "the bad day", None, &[value.into()]).unwrap_err().to_string();
    assert!(bad.contains(says), "{bad}");
}

#[rstest]
fn replays_are_equal_on_any_number_of_threads_and_report_a_broken_rule() {
    let variants = [
        variant("as it is", &["length=\"24s\"", "troubles=[]"]),
        variant(
            "crowded",
            &["length=\"24s\"", "troubles=[{at=\"5s\", lasts=\"9s\", what='Slow{servers=9, factor=9}}]"],
        ),
        variant(
            "no grace",
            &[
                "length=\"24s\"",
                "rules.grace=\"50ms\"",
                "troubles=[{at=\"2s\", lasts=\"9s\", what='SlowOrders{delay=\"350ms\", bytes_per_s=50000}},
                 {at=\"4s\", what='Deploy{servers=4, every=\"1s\", drain=\"2s\", down=\"1s\"}}]",
            ],
        ),
    ];
    let seeds = [1, 2];
    let one = replay(&variants, &seeds, None, 1, &|_| {}).unwrap();
    let four = replay(&variants, &seeds, None, 4, &|_| {}).unwrap();
    assert_eq!(one, four);
    let outcomes = &one.variants;
    assert!(outcomes[1].outcomes[0].service.overall < outcomes[0].outcomes[0].service.overall - 0.02);
    assert!(outcomes[0].outcomes.iter().all(|o| o.broken.is_empty()));
    assert!(outcomes[2].outcomes.iter().any(|o| o.broken.iter().any(|b| b.0.starts_with('3'))));
    assert!(!one.rules_kept());
    let folder = tempfile::tempdir().unwrap();
    write_report(folder.path(), "a day", &["about it".into()], &one).unwrap();
    let page = std::fs::read_to_string(folder.path().join("report.md")).unwrap();
    assert!(page.contains("| as it is |") && page.contains("BROKEN with"), "{page}");
    assert!(std::fs::read_to_string(folder.path().join("course.svg")).unwrap().contains("<svg"));
    assert_eq!(std::fs::read_to_string(folder.path().join("runs.csv")).unwrap().lines().count(), 13);
    let whole = std::fs::read_to_string(folder.path().join("report.html")).unwrap();
    assert_eq!(whole.matches("<svg").count(), 2, "the page embeds its charts");
    assert!(whole.contains("least loaded, knowing all") && !whole.contains("src="));
    let again = tempfile::tempdir().unwrap();
    write_report(again.path(), "a day", &["about it".into()], &four).unwrap();
    for file in ["report.html", "report.md", "course.svg", "gains.svg", "runs.json", "runs.csv"] {
        let (a, b) = (folder.path().join(file), again.path().join(file));
        assert_eq!(std::fs::read(a).unwrap(), std::fs::read(b).unwrap(), "{file}");
    }
}

fn call(at_us: u64, route: u8, client: Option<u64>, repeat: bool, proxy: u32) -> Timed {
    let call = Call { route, key: 1, importance: 1.0, client, proxy, work_us: None, repeat };
    Timed { at_us, event: Event::Call(call) }
}

fn timed(at_us: u64, event: Event) -> Timed {
    Timed { at_us, event }
}

fn written(events: Vec<Timed>) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().unwrap();
    let mut writer = Writer::new(file.reopen().unwrap()).unwrap();
    events.into_iter().for_each(|t| writer.put(t).unwrap());
    writer.finish().unwrap();
    file
}

fn inputs(recorded: &RecordedDay) -> Vec<(Duration, Input)> {
    let mut recording = recorded.begin().unwrap();
    std::iter::from_fn(|| (recording.next)().unwrap()).collect()
}

#[rstest]
fn only_first_attempts_of_routes_with_callers_are_replayed() {
    let day = variant("", &[]).day;
    let file = written(vec![
        call(5_000, 0, Some(1), false, 40),
        call(5_000, 0, Some(1), true, 40),
        call(5_000, 1, None, false, 40),
        call(5_000, 9, Some(2), false, 40),
        timed(6_000, Event::Gap { lost: 3 }),
        timed(9_000_000, Event::Came { proxy: 40, route: 2, calls: 4 }),
        timed(9_000_000, Event::Came { proxy: 40, route: 9, calls: 7 }),
    ]);
    let recorded = RecordedDay::read(file.path(), false, &day).unwrap();
    let f = &recorded.stats;
    assert_eq!(
        (f.calls, f.repeats, f.without_client, f.without_route, f.gaps, f.counted),
        (6, 1, 1, 8, 1, 4)
    );
    assert!(f.lines().iter().any(|l| l.contains("can't be known")), "{:?}", f.lines());
    let calls = inputs(&recorded);
    assert_eq!(calls.len(), 6);
    let Input::Call(first) = &calls[0].1 else { panic!("{calls:?}") };
    assert_eq!((first.proxy, first.work), (40 % 12, day.callers[0].work.0));
    let spread: Vec<u64> = calls[2..].iter().map(|c| (c.0.as_millis() as u64) - 9_000).collect();
    assert_eq!(spread, [62, 187, 312, 437], "counted requests are spread evenly over a cycle of 500 ms");
}

#[rstest]
fn events_are_sorted_by_time_and_a_clock_set_back_is_counted() {
    let day = variant("", &[]).day;
    let at = |ms: u64| call(ms * 1000, 0, Some(ms), false, 1);
    let file = written(vec![at(100), at(50), at(9_000), at(8_000), at(30_000), at(1_000), at(31_000)]);
    let recorded = RecordedDay::read(file.path(), false, &day).unwrap();
    let times: Vec<u128> = inputs(&recorded).iter().map(|p| p.0.as_millis()).collect();
    assert_eq!(times, [50, 100, 8_000, 9_000, 9_000, 30_000, 31_000]);
    assert_eq!(recorded.stats.set_back, 1);
    assert_eq!(recorded.stats.longest_silence, Duration::from_secs(21));
}

fn listed(server: &str, phase: Phase) -> Listed {
    Listed { server: server.into(), number: 1, zone: "east".into(), phase, started_ms: 0 }
}

#[rstest]
fn troubles_that_the_recording_contains_are_removed_from_the_day() {
    let day = variant("", &[]).day;
    let joined = |proxy, zone: &str| Event::Joined { proxy, zone: zone.into(), bare: true };
    let list = |base, entries| Event::List { version: base + 1, base, now_ms: 1_000, entries };
    let file = written(vec![
        timed(0, Event::Began { planner: 7, unix_ms: 0, settings: String::new() }),
        timed(10, list(0, vec![listed("a", Phase::Ready), listed("b", Phase::Ready)])),
        timed(1_000, joined(3, "west")),
        timed(1_500, joined(9, "west")),
        timed(2_000, joined(1, "east")),
        call(5_000, 0, Some(1), false, 2),
        timed(7_000_000, list(1, vec![listed("never", Phase::Gone), listed("a", Phase::Draining)])),
        timed(9_500_000, Event::Left { proxy: 3 }),
    ]);
    let recorded = RecordedDay::read(file.path(), false, &day).unwrap();
    let f = &recorded.stats;
    assert_eq!((f.lists, f.joins, f.lefts, f.never_listed, f.planners.len()), (2, 3, 1, 1, 1));
    let replayed_day = f.without_recorded_troubles(&day);
    assert_eq!(replayed_day.length.0, Duration::from_secs(10));
    assert!(
        replayed_day.troubles.iter().all(|t| matches!(t.what, What::Silent { .. })),
        "{:?}",
        replayed_day.troubles
    );
    // The day's proxies 0 to 5 are in zone east, 6 to 11 in west. Proxy 2 never joined and has no recorded zone.
    let left: Vec<_> = inputs(&recorded)
        .into_iter()
        .filter_map(|p| match p.1 {
            Input::Joined { proxy } | Input::Left { proxy } => Some(proxy),
            _ => None,
        })
        .collect();
    assert_eq!(left, [6, 7, 0, 6]);
    let recording = recorded.begin().unwrap();
    assert_eq!(recording.unjoined.into_iter().collect::<Vec<_>>(), [0, 2, 6, 7]);
    assert_eq!(recording.opening.map(|o| o.len()), Some(2));
}

#[rstest]
#[case::a_longer_queue("deployment.channel.most_waiting=4001", "channel.most_waiting: 4001 is beyond")]
#[case::a_faster_channel("deployment.channel.lines_per_s=9000", "channel.lines_per_s: 9000 is beyond")]
#[case::more_messages("deployment.channel.most_messages=31", "channel.most_messages: 31 is beyond")]
#[case::messages_without_limit("deployment.channel.most_messages=0", "channel.most_messages: 0 is beyond")]
#[case::a_cheaper_head("deployment.channel.head=1", "channel.head: 1 is beyond")]
#[case::more_connections("deployment.servers.least_connections=201", "least_connections: 201 is beyond")]
#[case::other_zones("deployment.zones=[\"east\", \"west\", \"north\"]", "are not the recorded site's")]
fn settings_beyond_the_recorded_deployment_are_rejected(#[case] value: &str, #[case] says: &str) {
    let site = deployment_text(&variant("", &[]).day.deployment);
    let site = Deployment::parse(&site, "the recording").unwrap();
    assert!(
        variant("", &["deployment.channel.most_waiting=4000"])
            .day
            .deployment
            .check_supported_by(&site, "x")
            .is_ok()
    );
    let bad = variant("", &[value])
        .day
        .deployment
        .check_supported_by(&site, "the variant")
        .unwrap_err()
        .to_string();
    assert!(bad.contains(says), "{bad}");
}

fn sweep(values: &str) -> Experiment {
    let variants = || {
        vec![
            variant("as it is", &["length=\"4s\"", "troubles=[]"]),
            variant("slow reports", &["length=\"4s\"", "troubles=[]", values]),
        ]
    };
    let day =
        |name: &str| ExperimentDay { name: name.into(), about: vec![], variants: variants(), recorded: None };
    Experiment { name: "sweep".into(), days: vec![day("one"), day("two")], seeds: vec![1, 2] }
}

#[rstest]
fn an_interrupted_sweep_resumes_with_the_same_result() {
    let folder = tempfile::tempdir().unwrap();
    let experiment = sweep("deployment.reports.cycle=\"2s\"");
    let run = |program: &[u8]| {
        let store = RunStore::open(folder.path()).unwrap();
        let result = experiment.run(&store, program, 2, &|| {}).unwrap();
        experiment.write(folder.path(), &result).unwrap();
        (result, store.damaged)
    };
    let (whole, _) = run(b"program");
    // Two days of the same text share their runs only once these are stored.
    assert_eq!(whole.reused + whole.done, 20);
    let index = std::fs::read(folder.path().join("index.html")).unwrap();
    let report = std::fs::read(folder.path().join("two/report.html")).unwrap();
    // Truncates the file in the middle of its fifth line, as a crash does.
    let runs = folder.path().join("runs.jsonl");
    let text = std::fs::read_to_string(&runs).unwrap();
    let fourth = text.match_indices('\n').nth(3).unwrap().0;
    std::fs::write(&runs, &text[..fourth + 40]).unwrap();
    let (again, damaged) = run(b"program");
    assert!(damaged == 1 && again.reused >= 4 && again.done > 0, "{damaged} {} {}", again.reused, again.done);
    assert_eq!(again.days, whole.days);
    assert_eq!(std::fs::read(folder.path().join("index.html")).unwrap(), index);
    assert_eq!(std::fs::read(folder.path().join("two/report.html")).unwrap(), report);
    let (third, _) = run(b"program");
    assert_eq!((third.reused, third.done, &third.days), (20, 0, &whole.days));
    let (other, _) = run(b"another");
    assert_eq!(other.reused, 0, "runs of another program are not reused");
    let _first = RunStore::open(folder.path()).unwrap();
    assert!(matches!(RunStore::open(folder.path()), Err(ExperimentError::Locked(_))));
}
