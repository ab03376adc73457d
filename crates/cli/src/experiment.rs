//! `experiment`: simulates variants over days and seeds.

use crate::error::CommandError;
use crate::simulated_days::{describe, progress_bar, read_day, read_recording, thread_count};
use clap::Args;
use grebespool_replay::{Experiment, ExperimentDay, Replays, RunStore, Variant};
use grebespool_settings::Sweep;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub(crate) struct ExperimentArguments {
    /// The sweep: variants, days, seeds
    file: PathBuf,
    /// Folder for the runs and the reports; an interrupted sweep resumes here
    #[arg(long, value_name = "FOLDER")]
    out: PathBuf,
    #[arg(long)]
    threads: Option<usize>,
    /// Read on after damaged blocks of recordings
    #[arg(long)]
    salvage: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if the sweep, a day or a recording cannot be used, or if the reports cannot be written.
pub(crate) fn experiment(arguments: &ExperimentArguments) -> Result<ExitCode, CommandError> {
    let sweep = Sweep::read(&arguments.file)?;
    let days = sweep_days(arguments, &sweep)?;
    let seeds: Vec<u64> = (0..sweep.seeds).map(|offset| sweep.first_seed + offset).collect();
    let runs = sweep.days.len() * (sweep.variants.len() + Replays::BASELINES) * seeds.len();
    let experiment = Experiment { name: sweep.name, days, seeds };
    // Runs of other builds are repeated, because the decisions of a build may differ.
    let program = std::env::current_exe().and_then(fs::read)?;
    let store = RunStore::open(&arguments.out)?;
    if store.damaged > 0 {
        eprintln!("{} lines of runs.jsonl are cut off or damaged; their runs are done again", store.damaged);
    }
    let bar = progress_bar(runs);
    let result = experiment.run(&store, &program, thread_count(arguments.threads), &|| bar.inc(1))?;
    bar.finish_and_clear();
    experiment.write(&arguments.out, &result)?;
    print!("{}", fs::read_to_string(arguments.out.join("index.md"))?);
    println!("\n{} runs done, {} kept from before", result.done, result.reused);
    let rules_kept = result.days.iter().all(|day| day.1.rules_kept());
    Ok(if rules_kept { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn sweep_days(arguments: &ExperimentArguments, sweep: &Sweep) -> Result<Vec<ExperimentDay>, CommandError> {
    let mut days = vec![];
    for day in &sweep.days {
        let mut variants = vec![];
        for variant in &sweep.variants {
            let values: Vec<String> = day.set.iter().chain(&variant.set).cloned().collect();
            let read = read_day(day.file.as_deref(), variant.settings.as_deref(), &values);
            let read = read.map_err(|cause| CommandError::Variant {
                sweep: arguments.file.clone(),
                day: day.name.clone(),
                variant: variant.name.clone(),
                cause: Box::new(cause),
            })?;
            variants.push(Variant { name: variant.name.clone(), day: read });
        }
        let recorded = match &day.trace {
            Some(trace) => Some(read_recording(trace, arguments.salvage, &mut variants)?),
            None => None,
        };
        let about = describe(&variants[0].day, sweep.seeds, recorded.as_ref());
        days.push(ExperimentDay { name: day.name.clone(), about, variants, recorded });
    }
    Ok(days)
}
