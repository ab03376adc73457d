//! `sites`: what the loss of each site would mean.

use crate::error::CommandError;
use crate::members::{read_members, send_to_leader};
use clap::Subcommand;
use grebespool_cluster::Request;
use grebespool_settings::Day;
use grebespool_site_failover::{CapacityPlan, RouteDemand, SiteCapacity, SiteId, plan_capacity};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub(crate) enum SitesCommand {
    /// Say for each site, and each two, what is left without it and what is throttled; exit 1: below the stated service
    Plan {
        /// A day file: its servers and callers tell what there is and what is asked
        day: PathBuf,
        /// Importance let in over importance asked for that each site's loss must leave
        #[arg(long, default_value_t = 0.9, value_name = "PART")]
        service: f64,
        /// How full servers are to be filled at the most
        #[arg(long, default_value_t = 0.9, value_name = "PART")]
        fill: f64,
        /// Two sites at a time, too; they do not count for the exit code
        #[arg(long)]
        pairs: bool,
        /// A value put in place of the day's: deployment.routes=[...]
        #[arg(long, value_name = "PATH=VALUE")]
        set: Vec<String>,
    },
    /// Say what stands of each site; asked of the leader of several controllers
    Show { settings: PathBuf },
    /// Take a site out, for a drill or a repair; refused where that would throttle anything, unless forced
    Out {
        settings: PathBuf,
        name: String,
        #[arg(long)]
        force: bool,
        /// Only say what it would do
        #[arg(long)]
        dry_run: bool,
    },
    /// Let a site that was taken out return by steps
    Back {
        settings: PathBuf,
        name: String,
        #[arg(long)]
        dry_run: bool,
    },
}

/// How a plan is made and judged.
struct PlanOptions {
    /// The part of the priority weight asked for that each site's loss must leave.
    min_service: f64,
    /// How full servers are filled at the most.
    max_fill: f64,
    /// Whether two sites at a time are shown too.
    pairs: bool,
}

/// Runs the command.
///
/// # Errors
///
/// The day or the settings cannot be used, an argument is out of range, or the leader does not do what was asked.
pub(crate) fn sites(command: SitesCommand) -> Result<ExitCode, CommandError> {
    let (settings, request) = match command {
        SitesCommand::Plan { day, service, fill, pairs, set } => {
            check_part("--service", service)?;
            check_part("--fill", fill)?;
            return print_plans(&day, &PlanOptions { min_service: service, max_fill: fill, pairs }, &set);
        }
        SitesCommand::Show { settings } => (settings, Request::ShowSites),
        SitesCommand::Out { settings, name: site, force: forced, dry_run } => {
            (settings, Request::Site { site, out: true, forced, dry_run })
        }
        SitesCommand::Back { settings, name: site, dry_run } => {
            (settings, Request::Site { site, out: false, forced: false, dry_run })
        }
    };
    send_to_leader(&read_members(&settings)?, &request)?;
    Ok(ExitCode::SUCCESS)
}

fn check_part(argument: &str, part: f64) -> Result<(), CommandError> {
    if part > 0.0 && part <= 1.0 {
        return Ok(());
    }
    Err(CommandError::argument(format!("{argument} {part}"), "a part above 0 and at most 1"))
}

/// What each zone's servers are able to, in work a second, and what each route asks there, in the same.
fn rooms(day: &Day) -> Vec<SiteCapacity> {
    let room = |zone: &String| {
        let able = day.servers.iter().filter(|s| s.zone == *zone);
        let mut asked = vec![0.0; day.deployment.routes.len()];
        for c in day.callers.iter().filter(|c| c.zone == *zone) {
            asked[c.route] += c.rate * c.work.0.as_secs_f64();
        }
        SiteCapacity { capacity: able.map(|s| (s.count * s.cores) as f64 * s.speed).sum(), demand: asked }
    };
    day.deployment.zones.iter().map(room).collect()
}

fn print_plans(file: &Path, options: &PlanOptions, set: &[String]) -> Result<ExitCode, CommandError> {
    let PlanOptions { min_service: least, max_fill: fill, pairs } = *options;
    let day = Day::read_with(file, None, set).map_err(CommandError::NoCapacities)?;
    let rooms = rooms(&day);
    let demand = |r: &grebespool_settings::Route| RouteDemand {
        priority_weight: r.importance,
        is_site_local: r.stays_local,
    };
    let routes: Vec<RouteDemand> = day.deployment.routes.iter().map(demand).collect();
    let zones = &day.deployment.zones;
    let all: f64 = rooms.iter().map(|r| r.capacity).sum();
    let asked: f64 = rooms.iter().flat_map(|r| &r.demand).sum();
    println!(
        "{}: {} sites able to {all:.1} s of work a second, {asked:.1} asked for ({:.0}%); filled to {:.0}% at the most",
        day.name,
        zones.len(),
        100.0 * asked / all,
        100.0 * fill
    );
    let alone = (0..zones.len()).map(|s| BTreeSet::from([s]));
    let both = (0..zones.len()).flat_map(|a| (a + 1..zones.len()).map(move |b| BTreeSet::from([a, b])));
    let mut losses: Vec<BTreeSet<SiteId>> = std::iter::once(BTreeSet::new()).chain(alone).collect();
    if pairs {
        losses.extend(both.filter(|pair| pair.len() < zones.len()));
    }
    let mut below = false;
    for lost in losses {
        let names: Vec<&str> = lost.iter().map(|s| zones[*s].as_str()).collect();
        let planned = plan_capacity(&rooms, &routes, &lost, fill).map_err(|why| {
            let named = zones.iter().enumerate().fold(why.to_string(), |text, (s, name)| {
                text.replace(&format!("site {s} "), &format!("site {name:?} "))
            });
            CommandError::file(file)(named)
        })?;
        let missing =
            asked - planned.utilization.iter().zip(&rooms).map(|(f, r)| f * r.capacity).sum::<f64>();
        below |= lost.len() == 1 && planned.service < least;
        print(&names, &day, &planned, (missing.max(0.0), least));
    }
    Ok(if below { ExitCode::from(1) } else { ExitCode::SUCCESS })
}

fn print(lost: &[&str], day: &Day, plan: &CapacityPlan, (missing, least): (f64, f64)) {
    let title =
        if lost.is_empty() { "nothing lost".into() } else { format!("without {}", lost.join(" and ")) };
    let mark = if plan.service < least { "  BELOW" } else { "" };
    println!("\n{title}: service {:.3}{mark}", plan.service);
    for (zone, filled) in day.deployment.zones.iter().zip(&plan.utilization) {
        let gone = lost.contains(&zone.as_str());
        let bar = "#".repeat((filled * 40.0).round() as usize);
        let note = if gone { "lost".into() } else { format!("{:.0}% full", 100.0 * filled) };
        println!("  {zone:<16} {bar:<40} {note}");
    }
    for (route, level) in day.deployment.routes.iter().zip(&plan.admitted) {
        let let_in = if *level < 1.0 { format!("let in at {:.0}%", 100.0 * level) } else { "let in".into() };
        println!("  {:<16} importance {}: {let_in}", route.name, route.importance);
    }
    if missing > 1e-9 {
        println!("  headroom missing: {missing:.1} s of work a second");
    } else {
        println!("  headroom left: {:.1} s of work a second", plan.spare);
    }
}
