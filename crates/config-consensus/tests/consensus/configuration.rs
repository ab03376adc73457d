//! Validation of configurations, and the intersection of two.

use crate::test_cluster::{LIMITS, configuration, rules, server};
use grebespool_config_consensus::*;
use proptest::prelude::*;
use rstest::rstest;

fn changed(changes: &[Change]) -> Configuration {
    let mut new = configuration();
    assert!(changes.iter().all(|change| change.apply(&mut new)));
    new
}

fn set_state(name: &str, state: ServerState) -> Change {
    Change::State(name.into(), state)
}

fn draw(limit: Limit) -> Change {
    Change::Limit("draw".into(), Some(limit))
}

fn set_server(rack: &str, capacity: f64) -> Change {
    Change::Server("x".into(), Some(server(rack, capacity, ServerState::Ready)))
}

fn set_rack(site: &str, feed: &str, power_cap: f64) -> Change {
    Change::Rack("r0".into(), Some(Rack { site: site.into(), feed: feed.into(), power_cap }))
}

fn set_route(importance: f64, max_share: f64) -> Change {
    Change::Route("read".into(), Some(Route { importance, max_share }))
}

#[rstest]
#[case::unknown_limit(Change::Limit("heat".into(), Some(Limit::AtMost(3.0))), "limit \"heat\" is none that this program knows; it knows draw, reserve")]
#[case::limit_that_is_not_a_number(draw(Limit::AtMost(f64::NAN)), "limit \"draw\": NaN is no bound")]
#[case::upper_bound_replaced_by_a_lower_bound(
    draw(Limit::AtLeast(3.0)),
    "limit \"draw\": it was a bound to the other side"
)]
#[case::unknown_rack(set_server("r9", 1.0), "server \"x\" names rack \"r9\", which is not there")]
#[case::removed_rack_that_has_servers(Change::Rack("r0".into(), None), "server \"s00\" names rack \"r0\"")]
#[case::negative_capacity(set_server("r0", -1.0), "server \"x\": a capacity of -1")]
#[case::share_above_one(set_route(1.0, 1.5), "route \"read\": at most 1.5 of its calls")]
#[case::negative_importance(set_route(-1.0, 1.0), "route \"read\": an importance of -1")]
#[case::rack_without_power(set_rack("east", "f", 0.0), "rack \"r0\": a cap of 0 W")]
#[case::rack_without_a_site(set_rack("", "f", 1.0), "rack \"r0\": no site or no feed")]
fn an_invalid_value_is_rejected_with_its_entry_and_cause(#[case] change: Change, #[case] expected: &str) {
    let errors = validate(&configuration(), &changed(&[change]), &rules(1.0), false).unwrap_err();
    assert!(errors.iter().any(|error| error.to_string().starts_with(expected)), "{errors:?}");
}

#[rstest]
#[case::below_the_maximum_share(4, 0.34, true)]
#[case::above_the_maximum_share(6, 0.34, false)]
#[case::above_the_maximum_share_and_forced(6, 0.34, true)]
#[case::all_servers(12, 1.0, false)]
fn withdrawing_too_much_capacity_at_once_is_rejected_unless_forced(
    #[case] withdrawn: usize,
    #[case] max_share: f64,
    #[case] valid: bool,
) {
    let names: Vec<String> = configuration().servers.keys().take(withdrawn).cloned().collect();
    let changes: Vec<Change> = names.iter().map(|name| set_state(name, ServerState::Draining)).collect();
    let forced = valid && withdrawn > 4;
    let checked = validate(&configuration(), &changed(&changes), &rules(max_share), forced);
    assert_eq!(checked.is_ok(), valid, "{checked:?}");
    let texts: Vec<String> = checked.err().into_iter().flatten().map(|error| error.to_string()).collect();
    match (valid, withdrawn) {
        (false, 6) => assert!(
            texts[0].contains("6 servers of 50%") && texts[0].contains("60 calls a second of 120"),
            "{texts:?}"
        ),
        (false, 12) => assert!(texts[0].starts_with("all 12 servers would be closed"), "{texts:?}"),
        _ => {}
    }
}

/// The old and the new version have disjoint ready servers, so their intersection has no ready server. The servers of the
/// new version must stay ready, and be listed as exempt.
#[rstest]
fn new_servers_stay_ready_while_all_servers_are_replaced() {
    let half = |ready: &str| {
        let mut configuration = configuration();
        for (name, server) in &mut configuration.servers {
            let stays = name.starts_with(ready);
            server.state = if stays { ServerState::Ready } else { ServerState::Draining };
        }
        configuration
    };
    let (old, new) = (half("s0"), half("s1"));
    let joint = EffectiveConfiguration::intersect(&old, &new);
    let ready = joint.servers.iter().filter(|(_, server)| server.state == ServerState::Ready);
    let ready: Vec<&String> = ready.map(|(name, _)| name).collect();
    assert_eq!(ready, ["s10", "s11", "s12", "s13"]);
    assert_eq!(joint.exempt_servers.len(), 4);
}

#[rstest]
#[case::shed_orders_differ(&[set_route(9.0, 1.0)])]
fn a_field_without_a_stricter_value_is_unset(#[case] changes: &[Change]) {
    let joint = EffectiveConfiguration::intersect(&configuration(), &changed(changes));
    assert_eq!(joint.shed_order, None);
    let moved = changed(&[set_rack("east", "f9", 1.0)]);
    assert_eq!(EffectiveConfiguration::intersect(&configuration(), &moved).racks["r0"], None);
}

fn any_state() -> impl Strategy<Value = ServerState> {
    prop_oneof![
        Just(ServerState::Ready),
        Just(ServerState::Ready),
        Just(ServerState::Draining),
        Just(ServerState::Removed)
    ]
}

prop_compose! {
    fn any_configuration()(
        routes in prop::collection::btree_map("[ab]", (0u8..4, 0.0..1.0f64), 0..3),
        draw in prop::option::of(0.0..9.0f64),
        reserve in prop::option::of(0.0..1.0f64),
        racks in prop::collection::btree_map("r[0-2]", (0u8..2, 0u8..2, 1.0..9.0f64), 1..4),
        servers in prop::collection::btree_map("s[0-4]", (0u8..3, 1.0..9.0f64, any_state()), 0..6),
    ) -> Configuration {
        let mut all = Configuration::default();
        for (name, (importance, max_share)) in routes {
            all.routes.insert(name, Route { importance: importance.into(), max_share });
        }
        all.limits.extend(draw.map(|value| (LIMITS[0].into(), Limit::AtMost(value))));
        all.limits.extend(reserve.map(|value| (LIMITS[1].into(), Limit::AtLeast(value))));
        for (name, (site, feed, power_cap)) in racks {
            all.racks.insert(name, Rack { site: site.to_string(), feed: feed.to_string(), power_cap });
        }
        for (name, (rack, capacity, state)) in servers {
            all.servers.insert(name, server(&format!("r{rack}"), capacity, state));
        }
        all
    }
}

proptest! {
    #[test]
    fn an_intersection_is_within_both_versions(a in any_configuration(), b in any_configuration()) {
        let joint = EffectiveConfiguration::intersect(&a, &b);
        prop_assert_eq!(joint.violations(&a), Vec::<String>::new());
        prop_assert_eq!(joint.violations(&b), Vec::<String>::new());
    }

    #[test]
    fn a_version_is_within_itself_and_survives_encoding(a in any_configuration()) {
        prop_assert!(EffectiveConfiguration::single(&a).violations(&a).is_empty());
        let version = ConfigVersion::new(VersionBody { number: 3, configuration: a, ..VersionBody::default() });
        prop_assert_eq!(ConfigVersion::decode(&version.body.encode(), version.hash), Ok(version));
    }

    #[test]
    fn bytes_with_a_flipped_bit_are_rejected(a in any_configuration(), at in any::<prop::sample::Index>()) {
        let version = ConfigVersion::new(VersionBody { number: 3, configuration: a, ..VersionBody::default() });
        let mut bytes = version.body.encode();
        let at = at.index(bytes.len());
        bytes[at] ^= 1;
        prop_assert!(ConfigVersion::decode(&bytes, version.hash).is_err());
    }
}
