//! Variants over seeds: the same on any number of threads, compared in pairs, broken rules caught and told.

use grebespool_replay::{Gain, Variant, gain, recorded, replay, write_report};
use grebespool_settings::Day;
use grebespool_trace::{Call, Event, Reader, Timed, Writer};
use rstest::rstest;

const BAD: &str = include_str!("../../../examples/bad-day.ncl");

fn variant(name: &str, values: &[&str]) -> Variant {
    let values: Vec<String> = values.iter().map(|v| v.to_string()).collect();
    let day = Day::parse_with(BAD, "the bad day", &values).unwrap_or_else(|bad| panic!("{bad}"));
    Variant { name: name.into(), day }
}

#[rstest]
#[case::none(&[(0.9, 0.9), (0.8, 0.8)], 0.0, Some(0.0), true)]
#[case::plain(&[(0.90, 0.95), (0.80, 0.86), (0.85, 0.90)], 0.0533, Some(0.0143), false)]
#[case::noise(&[(0.9, 0.95), (0.9, 0.85), (0.9, 0.92)], 0.0067, Some(0.1274), true)]
#[case::one_seed(&[(0.5, 0.9)], 0.4, None, true)]
fn gains_are_paired_and_noise_is_called_so(
    #[case] pairs: &[(f64, f64)],
    #[case] mean: f64,
    #[case] margin: Option<f64>,
    #[case] noise: bool,
) {
    let found: Gain = gain(pairs);
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
fn values_that_cannot_be_are_refused(#[case] value: &str, #[case] says: &str) {
    let bad = Day::parse_with(BAD, "the bad day", &[value.into()]).unwrap_err().to_string();
    assert!(bad.contains(says), "{bad}");
}

#[rstest]
fn variants_over_seeds_are_the_same_on_any_threads_and_a_broken_rule_is_told() {
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
    for (a, b) in one.iter().zip(&four) {
        assert_eq!(a.outcomes, b.outcomes);
    }
    assert!(one[1].outcomes[0].service < one[0].outcomes[0].service - 0.02);
    assert!(one[0].outcomes.iter().all(|o| o.broken.is_empty()));
    assert!(one[2].outcomes.iter().any(|o| o.broken.iter().any(|b| b.0.starts_with('3'))));
    let folder = tempfile::tempdir().unwrap();
    write_report(folder.path(), "a day", &["about it".into()], &one).unwrap();
    let page = std::fs::read_to_string(folder.path().join("report.md")).unwrap();
    assert!(page.contains("| as it is |") && page.contains("BROKEN with"), "{page}");
    assert!(std::fs::read_to_string(folder.path().join("course.svg")).unwrap().contains("<svg"));
    assert_eq!(std::fs::read_to_string(folder.path().join("runs.csv")).unwrap().lines().count(), 7);
    let again = tempfile::tempdir().unwrap();
    write_report(again.path(), "a day", &["about it".into()], &four).unwrap();
    for file in ["report.md", "course.svg", "runs.json", "runs.csv"] {
        let (a, b) = (folder.path().join(file), again.path().join(file));
        assert_eq!(std::fs::read(a).unwrap(), std::fs::read(b).unwrap(), "{file}");
    }
}

#[rstest]
fn only_first_calls_of_stated_routes_are_replayed() {
    let day = variant("", &[]).day;
    let call = |route, client, repeat| {
        let call = Call { route, key: 1, importance: 1.0, client, proxy: 40, work_us: None, repeat };
        Timed { at_us: 5_000, event: Event::Call(call) }
    };
    let mut writer = Writer::new(vec![]).unwrap();
    for timed in [
        call(0, Some(1), false),
        call(0, Some(1), true),
        call(1, None, false),
        call(9, Some(2), false),
        Timed { at_us: 6_000, event: Event::Gap { lost: 3 } },
    ] {
        writer.put(timed).unwrap();
    }
    let file = writer.finish().unwrap();
    let found = recorded(Reader::new(&file[..], false).unwrap(), &day).unwrap();
    assert_eq!(
        (found.calls.len(), found.repeats, found.anonymous, found.unstated, found.gaps),
        (2, 1, 1, 1, 1)
    );
    assert_eq!((found.calls[0].proxy, found.calls[0].work), (40 % 12, day.callers[0].work.0));
}
