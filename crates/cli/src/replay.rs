//! `replay`: simulates a day under other settings.

use crate::error::CommandError;
use crate::simulated_days::{describe, progress_bar, read_day, read_recording, thread_count};
use clap::Args;
use grebespool_replay::{RecordedDay, Replays, Variant, replay as run, write_report};
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub(crate) struct ReplayArguments {
    /// A recording whose calls, lists and joins are replayed; the day's own callers call if left out
    trace: Option<PathBuf>,
    /// The day: servers, proxies, rules, and troubles that the recording does not contain; the built-in bad day if
    /// left out
    #[arg(long)]
    day: Option<PathBuf>,
    /// A further variant: the deployment of this settings file in place of the day's
    #[arg(long, value_name = "FILE")]
    settings: Vec<PathBuf>,
    /// A value put in place of the day's, for all variants: deployment.channel.lines_per_s=6000
    #[arg(long, value_name = "PATH=VALUE")]
    set: Vec<String>,
    /// A further variant: its name, then values put in place of the day's, with semicolons between:
    /// "eager: deployment.proxies.try_factor=0.4; deployment.reports.cycle=\"250ms\""
    #[arg(long, value_name = "NAME: PATH=VALUE; ...")]
    variant: Vec<String>,
    /// Seeds that each variant is run with
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Runs at once; as many as there are cores if left out
    #[arg(long)]
    threads: Option<usize>,
    /// Read on after damaged blocks of the recording
    #[arg(long)]
    salvage: bool,
    /// Write the report into this folder
    #[arg(long, value_name = "FOLDER")]
    report: Option<PathBuf>,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if a day, a recording or a value cannot be used, or if the report cannot be written.
pub(crate) fn replay(arguments: &ReplayArguments) -> Result<ExitCode, CommandError> {
    if arguments.seeds == 0 {
        return Err(CommandError::argument("--seeds 0", "at least one"));
    }
    let mut variants = variants(arguments)?;
    let recorded = match &arguments.trace {
        Some(trace) => Some(read_recording(trace, arguments.salvage, &mut variants)?),
        None => None,
    };
    let replays = run_variants(arguments, &variants, recorded.as_ref())?;
    print_report(arguments, &variants, recorded.as_ref(), &replays)?;
    Ok(if replays.rules_kept() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

/// Returns the day as it is, then a variant for each settings file, then the variants given by values.
fn variants(arguments: &ReplayArguments) -> Result<Vec<Variant>, CommandError> {
    let file = arguments.day.as_deref();
    let as_it_is = read_day(file, None, &arguments.set)?;
    let mut variants = vec![Variant { name: "as it is".into(), day: as_it_is }];
    for settings in &arguments.settings {
        let day = read_day(file, Some(settings), &arguments.set)?;
        variants.push(Variant { name: settings.display().to_string(), day });
    }
    for text in &arguments.variant {
        variants.push(named_variant(arguments, text)?);
    }
    Ok(variants)
}

fn named_variant(arguments: &ReplayArguments, text: &str) -> Result<Variant, CommandError> {
    let Some((name, values)) = text.split_once(':') else {
        return Err(CommandError::argument(format!("--variant {text:?}"), "expected NAME: PATH=VALUE; ..."));
    };
    let values = values.split(';').map(|value| value.trim().to_string());
    let values: Vec<String> = arguments.set.iter().cloned().chain(values).collect();
    let day = read_day(arguments.day.as_deref(), None, &values)?;
    Ok(Variant { name: name.trim().into(), day })
}

fn run_variants(
    arguments: &ReplayArguments,
    variants: &[Variant],
    recorded: Option<&RecordedDay>,
) -> Result<Replays, CommandError> {
    let first_seed = variants[0].day.seed;
    let seeds: Vec<u64> = (0..arguments.seeds).map(|offset| first_seed + offset).collect();
    let bar = progress_bar((variants.len() + Replays::BASELINES) * seeds.len());
    let done = |runs: usize| bar.set_position(runs as u64);
    let replays = run(variants, &seeds, recorded, thread_count(arguments.threads), &done)?;
    bar.finish_and_clear();
    Ok(replays)
}

/// Writes the report to the given folder, if any, and prints it.
fn print_report(
    arguments: &ReplayArguments,
    variants: &[Variant],
    recorded: Option<&RecordedDay>,
    replays: &Replays,
) -> Result<(), CommandError> {
    let day = &variants[0].day;
    let about = describe(day, arguments.seeds, recorded);
    let scratch = tempfile::tempdir()?;
    let folder = arguments.report.as_deref().unwrap_or(scratch.path());
    let title = format!("{} replayed", day.name);
    write_report(folder, &title, &about, replays).map_err(CommandError::file(folder))?;
    print!("{}", fs::read_to_string(folder.join("report.md"))?);
    Ok(())
}
