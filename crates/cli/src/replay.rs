//! `replay`: a day under other settings, in the model.

use clap::Args;
use grebespool_replay::{Variant, recorded, replay as run, write_report};
use grebespool_settings::Day;
use grebespool_trace::Reader;
use indicatif::{ProgressBar, ProgressStyle};
use std::fs::File;
use std::io::{BufReader, IsTerminal};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub struct ReplayArguments {
    /// A recording whose first calls are replayed; the day's own callers call if left out
    trace: Option<PathBuf>,
    /// The day: servers, proxies, troubles, rules; the built-in bad day if left out
    #[arg(long)]
    day: Option<PathBuf>,
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

pub fn replay(a: ReplayArguments) -> Result<ExitCode, String> {
    let day = |values: &[String]| {
        let all: Vec<String> = a.set.iter().chain(values).cloned().collect();
        let day = match &a.day {
            Some(file) => Day::read_with(file, &all),
            None => Day::parse_with(crate::rehearse::BAD_DAY, "the built-in bad day", &all),
        };
        day.map_err(|bad| bad.to_string())
    };
    if a.seeds == 0 {
        return Err("--seeds 0: at least one".into());
    }
    let mut variants = vec![Variant { name: "as it is".into(), day: day(&[])? }];
    for text in &a.variant {
        let Some((name, values)) = text.split_once(':') else {
            return Err(format!("--variant {text:?}: expected NAME: PATH=VALUE; ..."));
        };
        let values: Vec<String> = values.split(';').map(|v| v.trim().to_string()).collect();
        variants.push(Variant { name: name.trim().into(), day: day(&values)? });
    }
    let first = &variants[0].day;
    let mut about = vec![format!(
        "{}: {} servers, {} proxies, {} s, {} seeds. Simulated: the real engine and module, modelled servers.",
        first.name,
        first.server_count(),
        first.proxy_count(),
        first.length.0.as_secs_f64(),
        a.seeds
    )];
    let calls = match &a.trace {
        None => None,
        Some(path) => {
            let at = |what: &dyn std::fmt::Display| format!("{}: {what}", path.display());
            let file = File::open(path).map_err(|e| at(&e))?;
            let reader = Reader::new(BufReader::new(file), a.salvage).map_err(|f| at(&f))?;
            let found = recorded(reader, first).map_err(|f| at(&f))?;
            about.push(format!(
                "{} recorded first calls; left out: {} repeats, {} of routes that are not stated. {} had no client, so \
                 whether they are repeats can't be known. {} gaps.",
                found.calls.len(),
                found.repeats,
                found.unstated,
                found.anonymous,
                found.gaps
            ));
            Some(found.calls)
        }
    };
    let seeds: Vec<u64> = (0..a.seeds).map(|i| first.seed + i).collect();
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let runs = (variants.len() * seeds.len()) as u64;
    let bar = if std::io::stderr().is_terminal() { ProgressBar::new(runs) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} runs") {
        bar.set_style(style);
    }
    let done = |over: usize| bar.set_position(over as u64);
    let replayed = run(&variants, &seeds, calls.as_deref(), a.threads.unwrap_or(cores), &done)
        .map_err(|why| why.to_string())?;
    bar.finish_and_clear();
    let scratch = tempfile::tempdir().map_err(|e| e.to_string())?;
    let folder = a.report.as_deref().unwrap_or(scratch.path());
    let title = format!("{} replayed", first.name);
    write_report(folder, &title, &about, &replayed).map_err(|e| format!("{}: {e}", folder.display()))?;
    let page = std::fs::read_to_string(folder.join("report.md")).map_err(|e| e.to_string())?;
    print!("{page}");
    let broken = replayed.iter().any(|r| r.outcomes.iter().any(|o| !o.broken.is_empty()));
    Ok(if broken { ExitCode::from(1) } else { ExitCode::SUCCESS })
}
