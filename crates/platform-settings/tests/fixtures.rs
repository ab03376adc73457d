//! A fixed text with every key of the settings, as pairs and as nested JSON: each key is read into its field.

use grebespool::host::{Effect, Field, Group, ThrottleBy};
use grebespool_platform_settings::Stated;
use rstest::rstest;
use std::time::Duration;

const PAIRS: &[u8] = include_bytes!("fixtures/settings.txt");
const NESTED: &str = include_str!("fixtures/settings.json");

fn pairs() -> Stated {
    Stated::pairs(PAIRS).unwrap()
}

fn nested() -> Stated {
    Stated::json(&serde_json::from_str(NESTED).unwrap())
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::pairs(pairs())]
#[case::nested(nested())]
fn every_key_of_the_routes_is_read(#[case] stated: Stated) {
    let routes = stated.routes().unwrap();
    let expected = [
        (1.0, ms(900), Effect::Repeatable, false),
        (3.5, ms(700), Effect::Marked { group: Group::Zone, window: ms(1200) }, true),
        (2.0, ms(800), Effect::Marked { group: Group::All, window: ms(1300) }, false),
        (2.5, ms(850), Effect::Marked { group: Group::Cell, window: ms(1400) }, false),
        (9.0, ms(600), Effect::Mutating, true),
    ];
    assert_eq!(routes.len(), expected.len());
    for (route, expected) in routes.iter().zip(expected) {
        assert_eq!((route.importance, route.slo, route.effect, route.stays_local), expected);
    }
}

#[rstest]
#[case::pairs(pairs())]
#[case::nested(nested())]
fn every_key_of_the_proxies_and_of_the_channel_is_read(#[case] stated: Stated) {
    let plane = stated.plane().unwrap();
    assert_eq!((plane.zones, plane.slices, plane.throttle_by), (2, 4, ThrottleBy::Rate));
    assert_eq!((plane.try_factor, plane.proxies, plane.least_conns), (0.7, 12, 90.0));
    let pace = stated.pace().unwrap();
    assert_eq!((pace.lines_per_s, pace.most_waiting, pace.head), (8000.0, 9000.0, 3.0));
    assert_eq!((pace.most_messages, pace.window, pace.worst_transit), (10, ms(8000), ms(400)));
}

#[rstest]
#[case::pairs(pairs())]
#[case::nested(nested())]
fn every_key_of_the_times_and_of_the_reports_is_read(#[case] stated: Stated) {
    let graces = stated.graces().unwrap();
    assert_eq!((graces.warm_up, graces.gone_binds), (ms(12_000), false));
    let sight = stated.sight().unwrap();
    assert_eq!((sight.cycle, sight.probing, sight.ask_within), (ms(500), true, Some(ms(9000))));
    let fields = [
        Field::Busy,
        Field::Pending,
        Field::CpuShare,
        Field::ServiceMs,
        Field::AnsweredPerS,
        Field::ErrorsPerS,
        Field::Other,
    ];
    assert_eq!(sight.fields, fields);
}
