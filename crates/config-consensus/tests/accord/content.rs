//! Tables of what editions may say, and what is the stricter of two.

use crate::helpers::{content, server};
use grebespool_config_consensus::*;
use proptest::prelude::*;
use rstest::rstest;

const LIMITS: [&str; 2] = ["draw", "reserve"];

fn changed(changes: &[Change]) -> Content {
    let mut new = content();
    assert!(changes.iter().all(|c| c.apply(&mut new)));
    new
}

fn state(name: &str, state: State) -> Change {
    Change::State(name.into(), state)
}

#[rstest]
#[case::an_unknown_limit(Change::Limit("heat".into(), Some(Limit::Most(3.0))), "limit \"heat\" is none that this program knows; it knows draw, reserve")]
#[case::no_bound(Change::Limit("draw".into(), Some(Limit::Most(f64::NAN))), "limit \"draw\": NaN is no bound")]
#[case::turned_round(Change::Limit("draw".into(), Some(Limit::Least(3.0))), "limit \"draw\": it was a bound to the other side")]
#[case::an_unknown_rack(Change::Server("x".into(), Some(server("r9", 1.0, State::Ready))), "server \"x\" names rack \"r9\", which is not there")]
#[case::a_rack_under_its_servers(Change::Rack("r0".into(), None), "server \"s00\" names rack \"r0\"")]
#[case::no_capacity(Change::Server("x".into(), Some(server("r0", -1.0, State::Ready))), "server \"x\": a capacity of -1")]
#[case::more_than_all(Change::Route("read".into(), Some(Route { importance: 1.0, most: 1.5 })), "route \"read\": at most 1.5 of its calls")]
#[case::no_importance(Change::Route("read".into(), Some(Route { importance: -1.0, most: 1.0 })), "route \"read\": an importance of -1")]
#[case::a_rack_without_power(Change::Rack("r0".into(), Some(Rack { site: "east".into(), feed: "f".into(), cap: 0.0 })), "rack \"r0\": a cap of 0 W")]
#[case::a_rack_nowhere(Change::Rack("r0".into(), Some(Rack { site: String::new(), feed: "f".into(), cap: 1.0 })), "rack \"r0\": no site or no feed")]
fn what_cannot_be_is_named_with_its_place(#[case] change: Change, #[case] says: &str) {
    let faults = check(&content(), &changed(&[change]), &LIMITS, 1.0, false).unwrap_err();
    assert!(faults.iter().any(|f| f.to_string().starts_with(says)), "{faults:?}");
}

#[rstest]
#[case::four_of_twelve(4, 0.34, true)]
#[case::six_of_twelve(6, 0.34, false)]
#[case::forced(6, 0.34, true)]
#[case::all(12, 1.0, false)]
fn no_more_is_withdrawn_at_once_than_is_allowed(
    #[case] closed: usize,
    #[case] most: f64,
    #[case] goes: bool,
) {
    let names: Vec<String> = content().servers.keys().take(closed).cloned().collect();
    let new = changed(&names.iter().map(|n| state(n, State::Draining)).collect::<Vec<_>>());
    let checked = check(&content(), &new, &LIMITS, most, goes && closed > 4);
    assert_eq!(checked.is_ok(), goes, "{checked:?}");
    let texts: Vec<String> = checked.err().into_iter().flatten().map(|f| f.to_string()).collect();
    match (goes, closed) {
        (false, 6) => assert!(
            texts[0].contains("6 servers of 50%") && texts[0].contains("60 calls a second of 120"),
            "{texts:?}"
        ),
        (false, 12) => assert!(texts[0].starts_with("all 12 servers would be closed"), "{texts:?}"),
        _ => {}
    }
}

/// Where by both editions nothing would be left, rule 1 stands above, and it is told.
#[rstest]
fn a_proxy_keeps_a_line_while_all_servers_change_places() {
    let half = |ready: &str| {
        let mut c = content();
        c.servers
            .iter_mut()
            .for_each(|(n, s)| s.state = if n.starts_with(ready) { State::Ready } else { State::Draining });
        c
    };
    let (old, new) = (half("s0"), half("s1"));
    let view = View::both(&old, &new);
    let ready: Vec<&String> =
        view.servers.iter().filter(|s| s.1.state == State::Ready).map(|s| s.0).collect();
    assert_eq!(ready, ["s10", "s11", "s12", "s13"]);
    assert_eq!(view.spared.len(), 4);
}

#[rstest]
#[case::orders_differ(&[Change::Route("read".into(), Some(Route { importance: 9.0, most: 1.0 }))])]
fn what_has_no_stricter_side_pauses(#[case] changes: &[Change]) {
    let view = View::both(&content(), &changed(changes));
    assert_eq!(view.order, None);
    let moved = changed(&[Change::Rack(
        "r0".into(),
        Some(Rack { site: "east".into(), feed: "f9".into(), cap: 1.0 }),
    )]);
    assert_eq!(View::both(&content(), &moved).racks["r0"], None);
}

fn some_state() -> impl Strategy<Value = State> {
    prop_oneof![Just(State::Ready), Just(State::Ready), Just(State::Draining), Just(State::Gone)]
}

prop_compose! {
    fn some_content()(
        routes in prop::collection::btree_map("[ab]", (0u8..4, 0.0..1.0f64), 0..3),
        draw in prop::option::of(0.0..9.0f64),
        reserve in prop::option::of(0.0..1.0f64),
        racks in prop::collection::btree_map("r[0-2]", (0u8..2, 0u8..2, 1.0..9.0f64), 1..4),
        servers in prop::collection::btree_map("s[0-4]", (0u8..3, 1.0..9.0f64, some_state()), 0..6),
    ) -> Content {
        let mut c = Content::default();
        c.routes.extend(routes.into_iter().map(|(n, (i, most))| (n, Route { importance: i.into(), most })));
        c.limits.extend(draw.map(|v| ("draw".into(), Limit::Most(v))));
        c.limits.extend(reserve.map(|v| ("reserve".into(), Limit::Least(v))));
        c.racks.extend(racks.into_iter().map(|(n, (s, f, cap))| (n, Rack { site: s.to_string(), feed: f.to_string(), cap })));
        c.servers.extend(servers.into_iter().map(|(n, (r, cap, st))| (n, server(&format!("r{r}"), cap, st))));
        c
    }
}

proptest! {
    #[test]
    fn what_both_allow_each_allows(a in some_content(), b in some_content()) {
        let view = View::both(&a, &b);
        prop_assert_eq!(view.beyond(&a), Vec::<String>::new());
        prop_assert_eq!(view.beyond(&b), Vec::<String>::new());
    }

    #[test]
    fn an_edition_alone_is_within_itself_and_reads_back(a in some_content()) {
        prop_assert!(View::of(&a).beyond(&a).is_empty());
        let edition = Edition::new(Blob { number: 3, content: a, ..Blob::default() });
        prop_assert_eq!(Edition::read(&edition.blob.bytes(), edition.hash), Ok(edition));
    }

    #[test]
    fn bytes_of_another_edition_are_not_taken(a in some_content(), at in any::<prop::sample::Index>()) {
        let edition = Edition::new(Blob { number: 3, content: a, ..Blob::default() });
        let mut bytes = edition.blob.bytes();
        let at = at.index(bytes.len());
        bytes[at] ^= 1;
        prop_assert!(Edition::read(&bytes, edition.hash).is_err());
    }
}
