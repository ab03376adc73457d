//! `rehearse`: plays a day on loopback sockets.

use crate::error::CommandError;
use clap::{Args, ValueEnum};
use grebespool_cluster::audit_accounts;
use grebespool_emulator::{
    FleetHost, PlannerHost, ProcessHost, Progress, RehearsedDay, SeveralHost, ThreadHost, rehearse as play,
};
use grebespool_invariants::Verdict;
use grebespool_settings::{Day, What};
use grebespool_trace::Recorder;
use indicatif::{ProgressBar, ProgressStyle};
use std::fs::File;
use std::io::{self, IsTerminal};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// The day that is played if no file is given.
pub(crate) const BAD_DAY: &str = include_str!("../../../examples/bad-day.ncl");
/// Share of the grace for drains for which a stream may leave updates unacknowledged before the planner disconnects it.
const STALL_PART_OF_GRACE: f64 = 0.75;
/// Lower bound of that time, because a planner cannot meet a bound close to zero.
const MIN_STALL: Duration = Duration::from_millis(500);
/// Number of controllers of a fleet, or of planners that share nothing.
const PLANNERS: usize = 3;

/// The way in which the planners of a day run.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum PlannerMode {
    Process,
    Thread,
    /// Three controllers, a process each; troubles of the planner affect the leader
    Fleet,
    /// Three planners that share nothing, a process each, in the zones in turn
    Several,
}

#[derive(Args)]
pub(crate) struct RehearseArguments {
    /// A day file; the built-in bad day if left out
    day: Option<PathBuf>,
    /// Run the planner as a process of its own, or as a thread of this one
    #[arg(long, value_enum, default_value = "process")]
    planner: PlannerMode,
    /// Another seed than the day's
    #[arg(long)]
    seed: Option<u64>,
    /// Record the day in this file, to be replayed
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
}

/// Creates the host of the day's planner. `accounts` is the folder for the accounts of a fleet.
///
/// # Errors
///
/// Returns an error if this program cannot be found or a folder cannot be created.
pub(crate) fn planner_host(
    mode: PlannerMode,
    day: &Day,
    accounts: &Path,
) -> Result<Box<dyn PlannerHost>, CommandError> {
    let stall = day.rules.grace.0.mul_f64(STALL_PART_OF_GRACE).max(MIN_STALL);
    let program = std::env::current_exe;
    Ok(match mode {
        PlannerMode::Thread => Box::new(ThreadHost::new(day.seed, stall)),
        PlannerMode::Process => Box::new(ProcessHost::new(program()?, stall)?),
        PlannerMode::Fleet => Box::new(FleetHost::new(program()?, stall, PLANNERS, accounts.into())?),
        PlannerMode::Several => Box::new(SeveralHost::new(&program()?, stall, PLANNERS)?),
    })
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if the day cannot be used or ends early.
pub(crate) fn rehearse(arguments: &RehearseArguments) -> Result<ExitCode, CommandError> {
    let mut day = match &arguments.day {
        Some(file) => Day::read(file),
        None => Day::parse(BAD_DAY, "the built-in bad day"),
    }?;
    day.seed = arguments.seed.unwrap_or(day.seed);
    let accounts = tempfile::tempdir()?;
    let host = planner_host(arguments.planner, &day, accounts.path())?;
    print_day(&day);
    let recorder = arguments.record.as_deref().map(create_recording).transpose()?;
    let played = play(&day, host, Some(Box::new(ProgressDisplay::new())), recorder)
        .map_err(CommandError::DayBrokeOff)?;
    print_played(&played);
    let tasks_kept = arguments.planner != PlannerMode::Fleet || print_singleton_tasks(accounts.path())?;
    Ok(if played.kept() && tasks_kept { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn print_day(day: &Day) {
    println!(
        "{}: {} servers, {} proxies, {} zones, {} troubles, {:.0} s",
        day.name,
        day.server_count(),
        day.proxy_count(),
        day.deployment.zones.len(),
        day.troubles.len(),
        day.length.0.as_secs_f64()
    );
}

fn create_recording(path: &Path) -> Result<Recorder, CommandError> {
    File::create(path).and_then(Recorder::new).map_err(CommandError::file(path))
}

/// Prints an audit of the fleet's singleton tasks. Returns true if each step took place once, by the latest lease holder.
fn print_singleton_tasks(accounts: &Path) -> Result<bool, CommandError> {
    let audit = audit_accounts(accounts).map_err(CommandError::Accounts)?;
    println!(
        "duties: {} steps, twice {}, by a former owner {}, left out {}, longest without an owner {:.1} s",
        audit.steps,
        audit.duplicates,
        audit.by_stale_holders,
        audit.missing,
        audit.longest_gap.as_secs_f64()
    );
    Ok(audit.steps > 0 && audit.duplicates + audit.by_stale_holders + audit.missing == 0)
}

/// Shows the progress of a day: a bar on a terminal, otherwise a line for each trouble.
struct ProgressDisplay {
    bar: ProgressBar,
}

impl ProgressDisplay {
    fn new() -> Self {
        let bar = if io::stderr().is_terminal() { ProgressBar::new(1) } else { ProgressBar::hidden() };
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} s  {msg}") {
            bar.set_style(style);
        }
        ProgressDisplay { bar }
    }
}

impl Progress for ProgressDisplay {
    fn at(&mut self, now: Duration, of: Duration) {
        self.bar.set_length(of.as_secs());
        self.bar.set_position(now.as_secs().min(of.as_secs()));
    }
    fn trouble(&mut self, now: Duration, what: &What) {
        let text = format!("{:5.1} s  {what:?}", now.as_secs_f64());
        match self.bar.is_hidden() {
            true => println!("  {text}"),
            false => self.bar.println(&text),
        }
        self.bar.set_message(format!("{what:?}").split(' ').next().unwrap_or_default().to_string());
    }
}

fn print_played(played: &RehearsedDay) {
    let service = &played.service;
    println!("\nservice {:.3}, worst ten seconds {:.3}", service.overall, service.worst);
    for route in &service.routes {
        println!(
            "  {:<16} {:>6} calls  {:>6} answered  {:>6} in time  {:>5} throttled  p50 {:.0} ms  p99 {:.0} ms",
            route.name,
            route.requests,
            route.answered,
            route.in_time,
            route.rejected,
            route.p50_ms,
            route.p99_ms
        );
    }
    println!("orders: {} messages, {} lines; {} joins", service.messages, service.entries, service.joins);
    println!(
        "work wasted {:.1}%, to other zones {:.1}%, {} connections\n",
        100.0 * service.wasted_share,
        100.0 * service.cross_zone_share,
        service.connections
    );
    for verdict in &played.verdicts {
        print_verdict(verdict);
    }
}

fn print_verdict(verdict: &Verdict) {
    let Verdict { rule, first, violations, checked } = verdict;
    match first {
        // A rule without any check does not count as kept.
        None if *checked == 0 => println!("rule {rule}: not put to the test"),
        None => println!("rule {rule}: kept ({checked} checked)"),
        Some(breach) => {
            println!("rule {rule}: BROKEN, {violations} breaches ({checked} checked)");
            println!("  first at {:.3} s: {}", breach.at.as_secs_f64(), breach.what);
            breach.before.iter().for_each(|line| println!("    before: {line}"));
        }
    }
}
