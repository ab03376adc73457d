//! `trace`: summarizes, cuts, merges and imports recordings of days.

use crate::error::CommandError;
use clap::{Args, Subcommand, ValueEnum};
use grebespool_trace::{Anonymizer, End, Form, Mapping, Reader, Summary, cut, import, merge, summary};
use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub(crate) enum TraceCommand {
    /// Show what a recording holds, in figures
    Show {
        file: PathBuf,
        /// Read on after damaged blocks
        #[arg(long)]
        salvage: bool,
    },
    /// Write a part of a recording as a recording, with the state before the part
    Cut {
        file: PathBuf,
        to: PathBuf,
        /// Seconds since the recording's zero
        #[arg(long, default_value_t = 0.0)]
        from: f64,
        #[arg(long)]
        until: Option<f64>,
        #[arg(long)]
        salvage: bool,
    },
    /// Merge several planners' recordings of one day
    Merge {
        to: PathBuf,
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Milliseconds to add to a file's times, in the files' order; recorders' clocks differ
        #[arg(long, allow_negative_numbers = true)]
        shift_ms: Vec<f64>,
    },
    /// Make a recording of a log, a call a row
    Import(Box<ImportArguments>),
}

#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum LogForm {
    Csv,
    JsonLines,
}

#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum Unit {
    Us,
    Ms,
    S,
}

#[derive(Args)]
pub(crate) struct ImportArguments {
    file: PathBuf,
    to: PathBuf,
    #[arg(long, value_enum)]
    form: LogForm,
    /// The field with the time at which the call was due, a number
    #[arg(long)]
    due: String,
    /// That field's unit
    #[arg(long, value_enum, default_value = "ms")]
    unit: Unit,
    /// The field with the route's name or index
    #[arg(long)]
    route: String,
    /// The routes in the settings' order with their importance: read=1,pay=3
    #[arg(long, value_delimiter = ',', required = true)]
    routes: Vec<String>,
    #[arg(long)]
    proxy: String,
    #[arg(long)]
    key: Option<String>,
    #[arg(long)]
    client: Option<String>,
    /// The field with the work, in microseconds
    #[arg(long)]
    work: Option<String>,
    /// The field that is true or above 0 for a client's repeats
    #[arg(long)]
    repeat: Option<String>,
    /// Replace keys and clients by hashes keyed by this file's bytes
    #[arg(long, value_name = "KEY_FILE")]
    cloak: Option<PathBuf>,
}

/// Shortest time without events that is reported, in microseconds.
const MIN_SILENCE_REPORTED_US: u64 = 5_000_000;
const US_PER_S: f64 = 1e6;
const US_PER_MS: f64 = 1e3;

fn open(path: &Path, salvage: bool) -> Result<Reader<BufReader<File>>, CommandError> {
    let file = File::open(path).map_err(CommandError::file(path))?;
    Reader::new(BufReader::new(file), salvage).map_err(CommandError::file(path))
}

fn create(path: &Path) -> Result<BufWriter<File>, CommandError> {
    File::create(path).map(BufWriter::new).map_err(CommandError::file(path))
}

fn microseconds(seconds: f64) -> Result<u64, CommandError> {
    if seconds.is_finite() && seconds >= 0.0 {
        return Ok((seconds * US_PER_S) as u64);
    }
    Err(CommandError::Usage(format!("{seconds} is not a time in a recording; expected seconds from 0")))
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if a recording or a log cannot be read, or if the new recording cannot be written.
pub(crate) fn trace(command: TraceCommand) -> Result<ExitCode, CommandError> {
    match command {
        TraceCommand::Show { file, salvage } => show(&file, salvage)?,
        TraceCommand::Cut { file, to, from, until, salvage } => {
            let span = (microseconds(from)?, until.map_or(Ok(u64::MAX), microseconds)?);
            cut_file(&file, &to, span, salvage)?;
        }
        TraceCommand::Merge { to, files, shift_ms } => merge_files(&to, &files, &shift_ms)?,
        TraceCommand::Import(arguments) => import_log(*arguments)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn cut_file(file: &Path, to: &Path, span: (u64, u64), salvage: bool) -> Result<(), CommandError> {
    if span.0 >= span.1 {
        return Err(CommandError::Usage("--from is not before --until".into()));
    }
    let count = cut(open(file, salvage)?, create(to)?, span).map_err(CommandError::file(file))?;
    println!("{}: {count} events", to.display());
    Ok(())
}

fn merge_files(to: &Path, files: &[PathBuf], shift_ms: &[f64]) -> Result<(), CommandError> {
    if shift_ms.len() > files.len() {
        return Err(CommandError::Usage(format!("{} shifts for {} files", shift_ms.len(), files.len())));
    }
    let mut parts = vec![];
    for (position, file) in files.iter().enumerate() {
        let shift_us = shift_ms.get(position).copied().unwrap_or(0.0) * US_PER_MS;
        parts.push((open(file, false)?, shift_us as i64));
    }
    let (count, duplicates) = merge(parts, create(to)?).map_err(CommandError::Merge)?;
    println!("{}: {count} events; {duplicates} calls were in two recordings", to.display());
    Ok(())
}

fn show(file: &Path, salvage: bool) -> Result<(), CommandError> {
    let summary = summary(open(file, salvage)?).map_err(CommandError::file(file))?;
    print_events(&summary);
    print_calls(&summary);
    print_fleet(&summary);
    match summary.end {
        Some(End::CutOff { at }) => {
            println!("cut off at byte {at}; what is above is all up to the last whole block");
        }
        _ => println!("whole"),
    }
    Ok(())
}

fn print_events(summary: &Summary) {
    let seconds = |us: Option<u64>| us.unwrap_or(0) as f64 / US_PER_S;
    println!(
        "{} events from {:.3} to {:.3} s",
        summary.events,
        seconds(summary.first_us),
        seconds(summary.last_us)
    );
}

fn print_calls(summary: &Summary) {
    println!("{} calls, {} of them repeats; by route {:?}", summary.calls, summary.repeats, summary.by_route);
    if summary.without_client > 0 {
        println!(
            "{} calls without a client: whether these are repeats can't be known",
            summary.without_client
        );
    }
    if summary.counted > 0 {
        println!("{} calls told as counts: their times, keys and clients can't be known", summary.counted);
    }
    if summary.longest_silence_us > MIN_SILENCE_REPORTED_US {
        println!("nothing for {:.1} s at the longest", summary.longest_silence_us as f64 / US_PER_S);
    }
}

fn print_fleet(summary: &Summary) {
    println!(
        "{} proxies, {} joins, {} leaves; {} servers, {} lists",
        summary.proxies, summary.joins, summary.lefts, summary.servers, summary.lists
    );
    if summary.out_of_order + summary.gaps > 0 {
        println!("{} events out of order, {} gaps", summary.out_of_order, summary.gaps);
    }
}

/// Parses a route's name and priority weight from `NAME=WEIGHT`. The weight is 1 if it is left out.
fn parse_route(text: &str) -> Result<(String, f32), CommandError> {
    let (name, weight) = text.split_once('=').unwrap_or((text, "1"));
    let weight = weight
        .parse()
        .map_err(|_| CommandError::argument(format!("--routes {text:?}"), "expected NAME=IMPORTANCE"))?;
    Ok((name.to_string(), weight))
}

fn mapping(arguments: &ImportArguments) -> Result<Mapping, CommandError> {
    let routes = arguments.routes.iter().map(|text| parse_route(text));
    Ok(Mapping {
        due: arguments.due.clone(),
        unit_us: match arguments.unit {
            Unit::Us => 1.0,
            Unit::Ms => US_PER_MS,
            Unit::S => US_PER_S,
        },
        route: arguments.route.clone(),
        routes: routes.collect::<Result<_, CommandError>>()?,
        proxy: arguments.proxy.clone(),
        key: arguments.key.clone(),
        client: arguments.client.clone(),
        work_us: arguments.work.clone(),
        repeat: arguments.repeat.clone(),
    })
}

fn import_log(arguments: ImportArguments) -> Result<(), CommandError> {
    let mapping = mapping(&arguments)?;
    let anonymizer = match &arguments.cloak {
        Some(path) => Some(Anonymizer::new(&std::fs::read(path).map_err(CommandError::file(path))?)),
        None => None,
    };
    let form = match arguments.form {
        LogForm::Csv => Form::Csv,
        LogForm::JsonLines => Form::JsonLines,
    };
    let ImportArguments { file, to, .. } = arguments;
    let log = BufReader::new(File::open(&file).map_err(CommandError::file(&file))?);
    let imported =
        import(log, form, &mapping, anonymizer.as_ref(), create(&to)?).map_err(CommandError::file(&file))?;
    println!(
        "{}: {} calls, {} of them repeats, at {} proxies",
        to.display(),
        imported.calls,
        imported.repeats,
        imported.proxies
    );
    if imported.without_client > 0 {
        println!(
            "{} rows without a client: whether these are repeats can't be known",
            imported.without_client
        );
    }
    if imported.out_of_order > 0 {
        println!("{} rows out of order", imported.out_of_order);
    }
    Ok(())
}
