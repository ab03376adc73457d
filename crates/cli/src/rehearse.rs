//! `rehearse`: a day on loopback.

use clap::ValueEnum;
use grebespool_cluster::audit_accounts;
use grebespool_emulator::{
    FleetHost, PlannerHost, Played, ProcessHost, Progress, SeveralHost, ThreadHost, rehearse as play,
};
use grebespool_invariants::Verdict;
use grebespool_settings::{Day, What};
use grebespool_trace::Recorder;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::{self, IsTerminal};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

pub const BAD_DAY: &str = include_str!("../../../examples/bad-day.ncl");

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Runs {
    Process,
    Thread,
    /// Three controllers, a process each; what befalls the planner befalls the one that leads
    Fleet,
    /// Three planners that share nothing, a process each, in the zones in turn
    Several,
}

/// What runs the day's planner. `accounts`: where the members of a fleet write theirs.
pub fn host(runs: Runs, day: &Day, accounts: &Path) -> Result<Box<dyn PlannerHost>, String> {
    // Orders have to be known in force within the grace; none at all could not be kept by anybody.
    let stall = day.rules.grace.0.mul_f64(0.75).max(Duration::from_millis(500));
    Ok(match runs {
        Runs::Thread => Box::new(ThreadHost::new(day.seed, stall)),
        Runs::Process | Runs::Fleet | Runs::Several => {
            let program = std::env::current_exe().map_err(|e| e.to_string())?;
            let host: io::Result<Box<dyn PlannerHost>> = match runs {
                Runs::Several => {
                    SeveralHost::new(&program, stall, 3).map(|h| Box::new(h) as Box<dyn PlannerHost>)
                }
                Runs::Fleet => FleetHost::new(program, stall, 3, accounts.into())
                    .map(|h| Box::new(h) as Box<dyn PlannerHost>),
                _ => ProcessHost::new(program, stall).map(|h| Box::new(h) as Box<dyn PlannerHost>),
            };
            host.map_err(|e| e.to_string())?
        }
    })
}

pub fn rehearse(
    file: Option<&Path>,
    runs: Runs,
    seed: Option<u64>,
    record: Option<&Path>,
) -> Result<ExitCode, String> {
    let mut day = match file {
        Some(file) => Day::read(file).map_err(|bad| bad.to_string())?,
        None => Day::parse(BAD_DAY, "the built-in bad day").map_err(|bad| bad.to_string())?,
    };
    day.seed = seed.unwrap_or(day.seed);
    let accounts = tempfile::tempdir().map_err(|e| e.to_string())?;
    let host = host(runs, &day, accounts.path())?;
    println!(
        "{}: {} servers, {} proxies, {} zones, {} troubles, {:.0} s",
        day.name,
        day.server_count(),
        day.proxy_count(),
        day.deployment.zones.len(),
        day.troubles.len(),
        day.length.0.as_secs_f64()
    );
    let recorder = match record {
        Some(path) => {
            let made = std::fs::File::create(path).and_then(Recorder::new);
            Some(made.map_err(|e| format!("{}: {e}", path.display()))?)
        }
        None => None,
    };
    let played = play(&day, host, Some(Box::new(Shown::new())), recorder)
        .map_err(|e| format!("the day broke off: {e}"))?;
    print(&played);
    let duties = runs != Runs::Fleet || duties(accounts.path())?;
    Ok(if played.kept() && duties { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

/// Says what became of the fleet's duties; whether each step took place once, by the newest owner.
fn duties(accounts: &Path) -> Result<bool, String> {
    let a = audit_accounts(accounts).map_err(|e| format!("the accounts: {e}"))?;
    println!(
        "duties: {} steps, twice {}, by a former owner {}, left out {}, longest without an owner {:.1} s",
        a.steps,
        a.duplicates,
        a.by_stale_holders,
        a.missing,
        a.longest_gap.as_secs_f64()
    );
    Ok(a.steps > 0 && a.duplicates + a.by_stale_holders + a.missing == 0)
}

/// Progress: a bar on a terminal, else a line for each trouble.
struct Shown {
    bar: ProgressBar,
}

impl Shown {
    fn new() -> Shown {
        let bar = if io::stderr().is_terminal() { ProgressBar::new(1) } else { ProgressBar::hidden() };
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} s  {msg}") {
            bar.set_style(style);
        }
        Shown { bar }
    }
}

impl Progress for Shown {
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

fn print(played: &Played) {
    let s = &played.service;
    println!("\nservice {:.3}, worst ten seconds {:.3}", s.whole, s.worst);
    for r in &s.routes {
        println!(
            "  {:<16} {:>6} calls  {:>6} answered  {:>6} in time  {:>5} throttled  p50 {:.0} ms  p99 {:.0} ms",
            r.name, r.asked, r.answered, r.in_time, r.throttled, r.p50_ms, r.p99_ms
        );
    }
    println!("orders: {} messages, {} lines; {} joins", s.messages, s.lines, s.joins);
    println!(
        "work wasted {:.1}%, to other zones {:.1}%, {} connections\n",
        100.0 * s.wasted,
        100.0 * s.crossings,
        s.connections
    );
    for verdict in &played.verdicts {
        print_verdict(verdict);
    }
}

fn print_verdict(verdict: &Verdict) {
    let Verdict { rule, first, breaches, checked } = verdict;
    match first {
        // What nothing put to the test was not kept either.
        None if *checked == 0 => println!("rule {rule}: not put to the test"),
        None => println!("rule {rule}: kept ({checked} checked)"),
        Some(breach) => {
            println!("rule {rule}: BROKEN, {breaches} breaches ({checked} checked)");
            println!("  first at {:.3} s: {}", breach.at.as_secs_f64(), breach.what);
            breach.before.iter().for_each(|line| println!("    before: {line}"));
        }
    }
}
