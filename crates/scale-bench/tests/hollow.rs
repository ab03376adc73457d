//! Checks that hollow planners elect a leader and agree on configuration versions as members of the program do.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_config_consensus::{Change, Configuration, Rack, Server, ServerState};
use grebespool_scale_bench::hollow::{
    Faults, Fleet, FleetSettings, Links, Region, Timing, Topology, TopologyError,
};
use rstest::rstest;
use std::time::Duration;

fn fleet(planners: usize, links: Links) -> Fleet {
    let topology = Topology::even(3, 6).unwrap();
    Fleet::start(FleetSettings { planners, topology, links, timing: Timing::default(), seed: 5 })
}

fn content(servers: usize) -> Configuration {
    let mut content = Configuration::default();
    content.racks.insert("rack".into(), Rack { site: "site".into(), feed: "feed".into(), power_cap: 1000.0 });
    for k in 0..servers {
        let server = Server { rack: "rack".into(), capacity: 10.0, state: ServerState::Ready };
        content.servers.insert(format!("server-{k}"), server);
    }
    content
}

#[rstest]
#[case::three_planners(3, Links::local())]
#[case::ten_planners(10, Links::local())]
#[case::between_regions(10, Links::regions())]
fn a_fleet_elects_one_leader_and_agrees_on_configuration_versions(
    #[case] planners: usize,
    #[case] links: Links,
) {
    let mut fleet = fleet(planners, links);
    fleet.run(Duration::from_secs(20));
    assert_eq!(fleet.leader_count(), 1);
    fleet.propose(1, vec![Change::Replace(Box::new(content(8)))]);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.planners_active_on(1), planners);
    let faults = Faults { change_interval: Some(Duration::from_secs(2)), ..Faults::default() };
    let costs = fleet.measure(Duration::from_secs(20), &faults);
    assert!(costs.activation_times.len() >= 8, "{costs:?}");
    assert!(costs.activation_time_quantile(1.0).unwrap() < Duration::from_secs(3), "{costs:?}");
    assert_eq!(fleet.conflicting_versions(), 0);
}

#[rstest]
fn a_fleet_recovers_from_a_killed_leader_restarts_and_a_cut_region() {
    let mut fleet = fleet(5, Links::local());
    fleet.run(Duration::from_secs(20));
    fleet.propose(1, vec![Change::Replace(Box::new(content(8)))]);
    fleet.run(Duration::from_secs(5));
    let faults = Faults {
        change_interval: Some(Duration::from_secs(3)),
        restart_interval: Some(Duration::from_secs(7)),
        kill_leader_at: Some(Duration::from_secs(10)),
        cut_region: Some((Duration::from_secs(20), Duration::from_secs(30))),
    };
    let costs = fleet.measure(Duration::from_secs(60), &faults);
    assert!(costs.restarts >= 8 && costs.activation_times.len() >= 10, "{costs:?}");
    fleet.run(Duration::from_secs(15));
    assert_eq!((fleet.leader_count(), fleet.planners_with_lease(), fleet.conflicting_versions()), (1, 5, 0));
}

#[rstest]
#[case::no_regions(vec![], TopologyError::NoRegions)]
#[case::no_zones(vec![("a", vec![])], TopologyError::NoZones("a".into()))]
#[case::zone_in_two_regions(
    vec![("a", vec!["z1", "z2"]), ("b", vec!["z2"])],
    TopologyError::ZoneInTwoRegions { zone: "z2".into(), first: "a".into(), second: "b".into() }
)]
fn an_invalid_topology_is_rejected(#[case] regions: Vec<(&str, Vec<&str>)>, #[case] why: TopologyError) {
    let region = |(name, zones): (&str, Vec<&str>)| Region {
        name: name.into(),
        zones: zones.into_iter().map(String::from).collect(),
    };
    assert_eq!(Topology::new(regions.into_iter().map(region).collect()), Err(why));
}

#[rstest]
fn a_zone_is_found_by_its_name_and_an_unknown_name_is_rejected() {
    let topology = Topology::even(54, 147).unwrap();
    assert_eq!((topology.regions(), topology.zones()), (54, 147));
    assert_eq!(topology.region(topology.zone("zone-54").unwrap()), 0);
    assert_eq!(topology.zone("zone-147"), Err(TopologyError::UnknownZone("zone-147".into())));
    assert_eq!(Topology::even(3, 2), Err(TopologyError::NoZones("region-2".into())));
}
