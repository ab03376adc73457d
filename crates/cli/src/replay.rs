//! `replay` and `experiment`: days under other settings, in the model.

use crate::rehearse::BAD_DAY;
use clap::Args;
use grebespool_replay::{
    Experiment, Kept, Recorded, Replays, SweptDay, Unswept, Variant, replay as run, write_report,
};
use grebespool_settings::{Day, Deployment, Sweep};
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Args)]
pub struct ReplayArguments {
    /// A recording whose calls, lists and joins are replayed; the day's own callers call if left out
    trace: Option<PathBuf>,
    /// The day: servers, proxies, rules, and troubles that the recording does not tell of; the built-in bad day if
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

#[derive(Args)]
pub struct ExperimentArguments {
    /// The sweep: variants, days, seeds
    file: PathBuf,
    /// Runs are kept and reports written here; one that was interrupted goes on
    #[arg(long, value_name = "FOLDER")]
    out: PathBuf,
    #[arg(long)]
    threads: Option<usize>,
    /// Read on after damaged blocks of recordings
    #[arg(long)]
    salvage: bool,
}

fn day_of(file: Option<&Path>, settings: Option<&Path>, values: &[String]) -> Result<Day, String> {
    let day = match file {
        Some(file) => Day::read_with(file, settings, values),
        None => Day::parse_with(BAD_DAY, "the built-in bad day", settings, values),
    };
    day.map_err(|bad| bad.to_string())
}

fn cores(threads: Option<usize>) -> usize {
    threads.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from))
}

fn bar(runs: usize) -> ProgressBar {
    let shown = std::io::stderr().is_terminal();
    let bar = if shown { ProgressBar::new(runs as u64) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} runs  {eta}") {
        bar.set_style(style);
    }
    bar
}

/// Reads a recording for a day, and fits the variants to it: they last as long as it, without the troubles that it
/// tells of itself, and within what its site allows.
fn record_of(trace: &Path, salvage: bool, variants: &mut [Variant]) -> Result<Recorded, String> {
    let named = |what: &dyn std::fmt::Display| format!("{}: {what}", trace.display());
    let recorded = Recorded::read(trace, salvage, &variants[0].day).map_err(|f| named(&f))?;
    let site = match &recorded.found.site {
        Some(text) => {
            Some(Deployment::parse(text, &named(&"the settings in it")).map_err(|b| b.to_string())?)
        }
        None => None,
    };
    for v in variants {
        if let Some(site) = &site {
            v.day.deployment.within(site, &v.name).map_err(|bad| bad.to_string())?;
        }
        v.day = recorded.found.beside(&v.day);
    }
    Ok(recorded)
}

fn about(day: &Day, seeds: u64, recorded: Option<&Recorded>) -> Vec<String> {
    let mut about = vec![format!(
        "{}: {} servers, {} proxies, {} s, {} troubles, {seeds} seeds. Simulated: the real engine and module, \
         modelled servers.",
        day.name,
        day.server_count(),
        day.proxy_count(),
        day.length.0.as_secs_f64(),
        day.troubles.len(),
    )];
    about.extend(recorded.map(|r| r.found.lines()).unwrap_or_default());
    about
}

pub fn replay(a: ReplayArguments) -> Result<ExitCode, String> {
    let file = a.day.as_deref();
    if a.seeds == 0 {
        return Err("--seeds 0: at least one".into());
    }
    let mut variants = vec![Variant { name: "as it is".into(), day: day_of(file, None, &a.set)? }];
    for settings in &a.settings {
        let day = day_of(file, Some(settings), &a.set)?;
        variants.push(Variant { name: settings.display().to_string(), day });
    }
    for text in &a.variant {
        let Some((name, values)) = text.split_once(':') else {
            return Err(format!("--variant {text:?}: expected NAME: PATH=VALUE; ..."));
        };
        let values = values.split(';').map(|v| v.trim().to_string());
        let values: Vec<String> = a.set.iter().cloned().chain(values).collect();
        variants.push(Variant { name: name.trim().into(), day: day_of(file, None, &values)? });
    }
    let recorded = match &a.trace {
        Some(trace) => Some(record_of(trace, a.salvage, &mut variants)?),
        None => None,
    };
    let first = &variants[0].day;
    let about = about(first, a.seeds, recorded.as_ref());
    let seeds: Vec<u64> = (0..a.seeds).map(|i| first.seed + i).collect();
    let bar = bar((variants.len() + Replays::BASELINES) * seeds.len());
    let done = |over: usize| bar.set_position(over as u64);
    let replays =
        run(&variants, &seeds, recorded.as_ref(), cores(a.threads), &done).map_err(|why| why.to_string())?;
    bar.finish_and_clear();
    let scratch = tempfile::tempdir().map_err(|e| e.to_string())?;
    let folder = a.report.as_deref().unwrap_or(scratch.path());
    let title = format!("{} replayed", first.name);
    write_report(folder, &title, &about, &replays).map_err(|e| format!("{}: {e}", folder.display()))?;
    let page = std::fs::read_to_string(folder.join("report.md")).map_err(|e| e.to_string())?;
    print!("{page}");
    Ok(if replays.kept() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

pub fn experiment(a: &ExperimentArguments) -> Result<ExitCode, String> {
    let sweep = Sweep::read(&a.file).map_err(|bad| bad.to_string())?;
    let mut days = vec![];
    for d in &sweep.days {
        let mut variants = vec![];
        for v in &sweep.variants {
            let values: Vec<String> = d.set.iter().chain(&v.set).cloned().collect();
            let day = day_of(d.file.as_deref(), v.settings.as_deref(), &values).map_err(|bad| {
                format!("{}: day {}, variant {:?}: {bad}", a.file.display(), d.name, v.name)
            })?;
            variants.push(Variant { name: v.name.clone(), day });
        }
        let recorded = match &d.trace {
            Some(trace) => Some(record_of(trace, a.salvage, &mut variants)?),
            None => None,
        };
        let about = about(&variants[0].day, sweep.seeds, recorded.as_ref());
        days.push(SweptDay { name: d.name.clone(), about, variants, recorded });
    }
    let seeds: Vec<u64> = (0..sweep.seeds).map(|i| sweep.first_seed + i).collect();
    let runs = sweep.days.len() * (sweep.variants.len() + Replays::BASELINES) * seeds.len();
    let experiment = Experiment { name: sweep.name, days, seeds };
    // Runs of another build are done again: what it decides may differ.
    let program = std::env::current_exe().and_then(std::fs::read).map_err(|e| e.to_string())?;
    let said = |why: Unswept| why.to_string();
    let kept = Kept::open(&a.out).map_err(said)?;
    if kept.damaged > 0 {
        eprintln!("{} lines of runs.jsonl are cut off or damaged; their runs are done again", kept.damaged);
    }
    let bar = bar(runs);
    let swept = experiment.run(&kept, &program, cores(a.threads), &|| bar.inc(1)).map_err(said)?;
    bar.finish_and_clear();
    experiment.write(&a.out, &swept).map_err(said)?;
    print!("{}", std::fs::read_to_string(a.out.join("index.md")).map_err(|e| e.to_string())?);
    println!("\n{} runs done, {} kept from before", swept.done, swept.kept);
    let whole = swept.days.iter().all(|d| d.1.kept());
    Ok(if whole { ExitCode::SUCCESS } else { ExitCode::from(1) })
}
