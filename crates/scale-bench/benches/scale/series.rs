//! The series of measurements. The names of series, swept sizes and costs are written to `samples.csv`.

use crate::args::{Arguments, Group};
use grebespool_config_consensus::{
    Change, ConfigVersion, Configuration, Rack, Route, Server, ServerState, VersionBody,
};
use grebespool_scale_bench::hollow::{Faults, Fleet, FleetCosts, FleetSettings, Links, Timing, Topology};
use grebespool_scale_bench::process::{MemberFleet, ProcessCosts, measure_platform};
use grebespool_scale_bench::resources::thread_time;
use grebespool_scale_bench::sample::{PlannerKind, Sample, rounded};
use grebespool_scale_bench::station::{self, StationSize};
use std::error::Error;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

/// Number of regions of the plan.
const REGIONS: usize = 54;
/// Number of zones of the plan.
const ZONES: usize = 147;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Configuration changes per day of the plan, for measurements that don't sweep them.
const CHANGES_A_DAY: f64 = 16_000.0;
/// Planner restarts per day of the plan, for measurements that don't sweep them.
const RESTARTS_A_DAY: f64 = 11_000.0;
/// Number of planners of a fleet in measurements that don't sweep them.
const DEFAULT_PLANNERS: usize = 30;

/// One size of a series, to which measured costs are added.
struct Series<'a> {
    name: &'a str,
    kind: PlannerKind,
    swept: &'a str,
    size: f64,
    samples: &'a mut Vec<Sample>,
}

impl Series<'_> {
    fn add(&mut self, cost: &str, unit: &str, value: f64) {
        self.samples.push(Sample {
            series: self.name.into(),
            kind: self.kind,
            swept: self.swept.into(),
            size: self.size,
            cost: cost.into(),
            unit: unit.into(),
            value: rounded(value),
        });
    }
}

/// Measures the groups that the arguments select.
pub fn measure(arguments: &Arguments, allocated: &dyn Fn() -> u64) -> Result<Vec<Sample>, Box<dyn Error>> {
    let mut samples = vec![];
    let is_selected = |group| arguments.only.is_none_or(|only| only == group);
    if is_selected(Group::Fleet) {
        fleets(arguments, allocated, &mut samples)?;
    }
    if is_selected(Group::Content) {
        contents(arguments, allocated, &mut samples);
    }
    if is_selected(Group::Station) {
        stations(arguments, allocated, &mut samples);
    }
    if is_selected(Group::Processes) {
        processes(arguments, &mut samples)?;
    }
    Ok(samples)
}

/// Returns a configuration with these numbers of servers and routes.
fn content(servers: usize, routes: usize) -> Configuration {
    let mut content = Configuration::default();
    content.racks.insert("rack".into(), Rack { site: "site".into(), feed: "feed".into(), power_cap: 1000.0 });
    for k in 0..servers {
        let server = Server { rack: "rack".into(), capacity: 10.0, state: ServerState::Ready };
        content.servers.insert(format!("server-{k}"), server);
    }
    for k in 0..routes {
        content.routes.insert(format!("route-{k}"), Route { importance: 1.0, max_share: 1.0 });
    }
    content
}

/// Starts a fleet and runs it until it has elected a leader and agreed on a first configuration version.
fn started_fleet(planners: usize, links: Links) -> Result<Fleet, Box<dyn Error>> {
    let topology = Topology::even(REGIONS, ZONES)?;
    let settings = FleetSettings { planners, topology, links, timing: Timing::default(), seed: 11 };
    let mut fleet = Fleet::start(settings);
    fleet.run(Duration::from_secs(30));
    fleet.propose(1, vec![Change::Replace(Box::new(content(8, 0)))]);
    fleet.run(Duration::from_secs(10));
    Ok(fleet)
}

/// Returns the time between two events of a rate per day.
fn interval(a_day: f64) -> Option<Duration> {
    Some(Duration::from_secs_f64(SECONDS_PER_DAY / a_day))
}

/// Measures hollow fleets by their number of planners, and then by the rates of changes and restarts.
fn fleets(
    arguments: &Arguments,
    allocated: &dyn Fn() -> u64,
    samples: &mut Vec<Sample>,
) -> Result<(), Box<dyn Error>> {
    let plan = Faults {
        change_interval: interval(CHANGES_A_DAY),
        restart_interval: interval(RESTARTS_A_DAY),
        ..Faults::default()
    };
    let changes = Faults { change_interval: interval(CHANGES_A_DAY), ..Faults::default() };
    let faults = [
        ("fleet_idle", Faults::default(), Links::local(), 30),
        ("fleet_changes", changes, Links::local(), 900),
        ("fleet_plan", plan.clone(), Links::local(), 900),
        ("fleet_plan_regions", plan.clone(), Links::regions(), 900),
        (
            "fleet_leader_killed",
            Faults { kill_leader_at: Some(Duration::from_secs(10)), ..plan.clone() },
            Links::local(),
            60,
        ),
        (
            "fleet_region_cut",
            Faults { cut_region: Some((Duration::from_secs(10), Duration::from_secs(50))), ..plan },
            Links::regions(),
            90,
        ),
    ];
    for (name, faults, links, seconds) in faults {
        for planners in arguments.planners.iter().copied() {
            // A full mesh of many planners sends and handles many packets, so that larger fleets are measured for less time.
            let seconds = (seconds as f64 * (30.0 / planners as f64).clamp(0.02, 1.0)).max(30.0);
            let before = allocated();
            let mut fleet = started_fleet(planners, links.clone())?;
            let allocated_bytes = allocated().saturating_sub(before);
            let leaders = fleet.leader_count();
            let costs = fleet.measure(Duration::from_secs_f64(seconds), &faults);
            eprintln!(
                "{name}, {planners} planners: {leaders} leading, {} in force, {} not",
                costs.activation_times.len(),
                costs.undecided
            );
            let mut series =
                Series { name, kind: PlannerKind::Hollow, swept: "planners", size: planners as f64, samples };
            fleet_samples(&mut series, planners, &costs);
            if name == "fleet_idle" {
                series.add("allocated_per_planner", "bytes", allocated_bytes as f64 / planners as f64);
            }
        }
    }
    rates(arguments, samples)
}

/// Measures a hollow fleet of one size by its rates of changes and of restarts.
fn rates(arguments: &Arguments, samples: &mut Vec<Sample>) -> Result<(), Box<dyn Error>> {
    const MEASURED: Duration = Duration::from_secs(600);
    let by_changes = arguments.changes_a_day.iter().map(|rate| {
        let faults = Faults { change_interval: interval(*rate), ..Faults::default() };
        ("changes_a_day", *rate, faults)
    });
    let by_restarts = arguments.restarts_a_day.iter().map(|rate| {
        let (change_interval, restart_interval) = (interval(CHANGES_A_DAY), interval(*rate));
        ("restarts_a_day", *rate, Faults { change_interval, restart_interval, ..Faults::default() })
    });
    for (swept, size, faults) in by_changes.chain(by_restarts) {
        let mut fleet = started_fleet(DEFAULT_PLANNERS, Links::local())?;
        let costs = fleet.measure(MEASURED, &faults);
        let mut series = Series { name: "fleet_rates", kind: PlannerKind::Hollow, swept, size, samples };
        fleet_samples(&mut series, DEFAULT_PLANNERS, &costs);
    }
    Ok(())
}

/// Adds the costs of a hollow fleet to a series.
fn fleet_samples(series: &mut Series, planners: usize, costs: &FleetCosts) {
    let (seconds, planners) = (costs.measured.as_secs_f64(), planners as f64);
    let per_planner_second = |total: f64| total / seconds / planners;
    let processor: Duration = costs.processor.values().sum::<Duration>() + costs.codec;
    series.add("processor_per_planner", "core", per_planner_second(processor.as_secs_f64()));
    series.add("processor_busiest", "core", costs.max_processor.as_secs_f64() / seconds);
    for (component, took) in &costs.processor {
        let cost = format!("processor_{}_per_planner", component.name());
        series.add(&cost, "core", per_planner_second(took.as_secs_f64()));
    }
    series.add("processor_codec_per_planner", "core", per_planner_second(costs.codec.as_secs_f64()));
    let (count, bytes) = costs.sent.values().fold((0, 0), |(n, b), p| (n + p.count, b + p.bytes));
    series.add("messages_all", "1/s", count as f64 / seconds);
    series.add("bytes_per_planner", "bytes/s", per_planner_second(bytes as f64));
    series.add("bytes_busiest", "bytes/s", costs.max_bytes_sent as f64 / seconds);
    for (class, packets) in &costs.sent {
        series.add(&format!("messages_{}_all", class.name()), "1/s", packets.count as f64 / seconds);
        series.add(
            &format!("bytes_{}_per_planner", class.name()),
            "bytes/s",
            per_planner_second(packets.bytes as f64),
        );
    }
    let syncs: u64 = costs.syncs.values().sum();
    series.add("syncs_per_planner", "1/s", per_planner_second(syncs as f64));
    for (cost, share) in
        [("in_force_p50", 0.5), ("in_force_p90", 0.9), ("in_force_p99", 0.99), ("in_force_worst", 1.0)]
    {
        if let Some(within) = costs.activation_time_quantile(share) {
            series.add(cost, "s", within.as_secs_f64());
        }
    }
    series.add("changes_answered", "1", costs.activation_times.len() as f64);
    series.add("changes_unanswered", "1", (costs.undecided + costs.rejected) as f64);
}

/// Measures the cost of a whole configuration by its number of entries: every change copies, hashes and stores all of them.
fn contents(arguments: &Arguments, allocated: &dyn Fn() -> u64, samples: &mut Vec<Sample>) {
    const CHANGES: u32 = 5;
    for (swept, servers) in [("servers", true), ("routes", false)] {
        for entries in arguments.entries.iter().copied() {
            let before = allocated();
            let configuration = if servers { content(entries, 0) } else { content(1, entries) };
            let mut version =
                ConfigVersion::new(VersionBody { number: 1, configuration, ..VersionBody::default() });
            let allocated_bytes = allocated().saturating_sub(before);
            let began = thread_time();
            let mut bytes = 0;
            for _ in 0..CHANGES {
                version = version.successor(&[], &Default::default());
                // The bytes that are written to disk, and sent to a member that missed versions.
                bytes = version.body.encode().len();
            }
            let took = (thread_time() - began) / CHANGES;
            let name = "configuration";
            let mut series = Series { name, kind: PlannerKind::Hollow, swept, size: entries as f64, samples };
            series.add("bytes_whole", "bytes", bytes as f64);
            series.add("allocated", "bytes", allocated_bytes as f64);
            series.add("processor_per_change", "s", took.as_secs_f64());
        }
    }
}

/// Measures stations by their numbers of servers, routes, zones and proxies.
fn stations(arguments: &Arguments, allocated: &dyn Fn() -> u64, samples: &mut Vec<Sample>) {
    let default = StationSize { servers: 300, proxies: 0, routes: 2, zones: 3 };
    let mut sizes: Vec<(&str, f64, StationSize)> = vec![];
    sizes.extend(
        arguments.servers.iter().map(|n| ("servers", *n as f64, StationSize { servers: *n, ..default })),
    );
    sizes.extend([1, 2, 4, 8, 16, 17].map(|n| ("routes", n as f64, StationSize { routes: n, ..default })));
    sizes.extend([1, 3, 10, 30, 147].map(|n| ("zones", n as f64, StationSize { zones: n, ..default })));
    sizes.extend([30, 100, 300, 1000].map(|n| ("proxies", n as f64, StationSize { proxies: n, ..default })));
    for (swept, size, station) in sizes {
        match station::measure(station, allocated) {
            Ok(costs) => {
                let mut series = Series {
                    name: "station",
                    kind: PlannerKind::Hollow,
                    swept,
                    size,
                    samples: &mut *samples,
                };
                series.add("allocated", "bytes", costs.allocated as f64);
                series.add("processor_idle", "core", costs.idle);
                series.add("processor_per_change", "s", costs.per_change.as_secs_f64());
                if station.proxies > 0 {
                    series.add("written_per_change", "bytes", costs.written_per_change);
                }
            }
            Err(why) => eprintln!("cannot measure a station; skipping the size: {why}"),
        }
    }
}

/// Builds a program of this repository and returns its path.
fn program(package: &str, name: &str) -> Result<PathBuf, Box<dyn Error>> {
    let root = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut build = Command::new(cargo);
    build.args(["build", "--release", "--locked", "--quiet", "-p", package]).current_dir(&root);
    if !build.status()?.success() {
        return Err(format!("cannot build {package}").into());
    }
    Ok(root.join("target/release").join(name))
}

/// Measures real planners that share nothing, and real members of one fleet.
fn processes(arguments: &Arguments, samples: &mut Vec<Sample>) -> Result<(), Box<dyn Error>> {
    const SPAN: Duration = Duration::from_secs(10);
    let platform = program("grebespool-launcher", "grebespool")?;
    let members = program("grebespool-cli", "grebespool-cli")?;
    for planners in arguments.processes.iter().copied() {
        let costs = measure_platform(&platform, planners, 200, SPAN)?;
        process_samples(("platform", "planners", planners), &costs, samples);
    }
    for servers in arguments.servers.iter().copied() {
        let costs = measure_platform(&platform, 3, servers, SPAN)?;
        process_samples(("platform", "servers", servers), &costs, samples);
    }
    let base = include_str!("../../../../examples/serve.ncl");
    for planners in arguments.members.iter().copied() {
        let costs = MemberFleet::start(&members, base, "7400", planners)?.measure(SPAN)?;
        process_samples(("members", "planners", planners), &costs, samples);
    }
    Ok(())
}

/// Adds the costs of real planners to the samples.
fn process_samples(
    (name, swept, size): (&str, &str, usize),
    costs: &ProcessCosts,
    samples: &mut Vec<Sample>,
) {
    eprintln!("{name}, {size} {swept}: {costs:?}");
    let mut series = Series { name, kind: PlannerKind::Real, swept, size: size as f64, samples };
    series.add("processor_per_planner", "core", costs.processor);
    series.add("resident_per_planner", "bytes", costs.resident);
    series.add("descriptors_per_planner", "1", costs.descriptors);
    if let Some(worst) = costs.in_force.last() {
        series.add("in_force_worst", "s", worst.as_secs_f64());
        series.add("in_force_p50", "s", costs.in_force[costs.in_force.len() / 2].as_secs_f64());
    }
}
