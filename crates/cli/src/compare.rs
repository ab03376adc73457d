//! `compare`: plays the same days on sockets and in the model, and compares the results.

use crate::error::CommandError;
use crate::rehearse::{BAD_DAY, PlannerMode, planner_host};
use clap::Args;
use grebespool_emulator::rehearse;
use grebespool_server_model::ServiceLevel;
use grebespool_settings::Day;
use grebespool_simulation::{PlannedBy, simulate};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub(crate) struct CompareArguments {
    /// A day file; the built-in bad day if left out
    day: Option<PathBuf>,
    /// Days on sockets, one after another, and seeds in the model
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// The most by which the mean services may differ
    #[arg(long, default_value_t = 0.015)]
    tolerance: f64,
    /// The most by which the mean services of the worst ten seconds may differ
    #[arg(long, default_value_t = 0.05)]
    worst_tolerance: f64,
    /// Run the planner as a process of its own, or as a thread of this one
    #[arg(long, value_enum, default_value = "process")]
    planner: PlannerMode,
}

/// One row of the table.
struct Metric {
    name: &'static str,
    of: fn(&ServiceLevel) -> f64,
}

/// The rows, in order.
const METRICS: [Metric; 10] = [
    Metric { name: "service", of: |service| service.overall },
    Metric { name: "worst 10 s", of: |service| service.worst },
    Metric { name: "p50 ms", of: |service| service.p50_ms },
    Metric { name: "p99 ms", of: |service| service.p99_ms },
    Metric { name: "turned away", of: |service| service.rejected() as f64 },
    Metric { name: "late", of: |service| service.late() as f64 },
    Metric { name: "failed", of: |service| service.failed() as f64 },
    Metric { name: "tries a call", of: |service| service.attempts_per_request },
    Metric { name: "connections", of: |service| service.connections as f64 },
    Metric { name: "lines ordered", of: |service| service.entries as f64 },
];

/// The days that were played.
#[derive(Default)]
struct PlayedDays {
    on_sockets: Vec<ServiceLevel>,
    simulated: Vec<ServiceLevel>,
    /// True if no rule was broken on any day.
    rules_kept: bool,
}

/// Mean, minimum and maximum of a metric.
struct Spread {
    mean: f64,
    min: f64,
    max: f64,
}

impl Spread {
    fn of(days: &[ServiceLevel], metric: fn(&ServiceLevel) -> f64) -> Self {
        let values = days.iter().map(metric);
        let min = values.clone().fold(f64::MAX, f64::min);
        let max = values.clone().fold(f64::MIN, f64::max);
        Spread { mean: values.sum::<f64>() / days.len() as f64, min, max }
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if the day cannot be used or ends early.
pub(crate) fn compare(arguments: &CompareArguments) -> Result<ExitCode, CommandError> {
    let day = match &arguments.day {
        Some(file) => Day::read(file),
        None => Day::parse(BAD_DAY, "the built-in bad day"),
    }?;
    if arguments.seeds == 0 {
        return Err(CommandError::argument("--seeds 0", "at least one"));
    }
    let played = play(arguments, day)?;
    print_table(arguments.seeds, &played);
    let are_alike = print_differences(arguments, &played);
    Ok(if are_alike { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn play(arguments: &CompareArguments, mut day: Day) -> Result<PlayedDays, CommandError> {
    let mut days = PlayedDays { rules_kept: true, ..PlayedDays::default() };
    let first_seed = day.seed;
    for offset in 0..arguments.seeds {
        day.seed = first_seed + offset;
        let accounts = tempfile::tempdir()?;
        let host = planner_host(arguments.planner, &day, accounts.path())?;
        let played = rehearse(&day, host, None, None).map_err(CommandError::DayBrokeOff)?;
        days.rules_kept &= played.kept();
        days.on_sockets.push(played.service);
        let played = simulate(&day, PlannedBy::Planner, None, &mut |_, _| {})?;
        days.rules_kept &= played.kept();
        days.simulated.push(played.service);
    }
    Ok(days)
}

fn print_table(seeds: u64, days: &PlayedDays) {
    println!("| {seeds} seeds | on sockets | least to most | in the model | least to most |");
    println!("| --- | --- | --- | --- | --- |");
    for Metric { name, of } in METRICS {
        let sockets = Spread::of(&days.on_sockets, of);
        let simulated = Spread::of(&days.simulated, of);
        println!(
            "| {name} | {} | {} to {} | {} | {} to {} |",
            rounded(sockets.mean),
            rounded(sockets.min),
            rounded(sockets.max),
            rounded(simulated.mean),
            rounded(simulated.min),
            rounded(simulated.max)
        );
    }
}

fn rounded(value: f64) -> String {
    if value.abs() < 10.0 { format!("{value:.4}") } else { format!("{value:.0}") }
}

/// Prints the differences. Returns true if they are within the tolerances and no rule was broken.
fn print_differences(arguments: &CompareArguments, days: &PlayedDays) -> bool {
    let difference = |of: fn(&ServiceLevel) -> f64| {
        (Spread::of(&days.on_sockets, of).mean - Spread::of(&days.simulated, of).mean).abs()
    };
    let service = difference(|service| service.overall);
    let worst = difference(|service| service.worst);
    println!(
        "\nservice {service:.4} apart (at most {}), worst ten seconds {worst:.4} (at most {}); rules {}",
        arguments.tolerance,
        arguments.worst_tolerance,
        if days.rules_kept { "kept in both" } else { "BROKEN" }
    );
    service <= arguments.tolerance && worst <= arguments.worst_tolerance && days.rules_kept
}
