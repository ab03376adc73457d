//! `trace`: recordings of days.

use clap::{Args, Subcommand, ValueEnum};
use grebespool_trace::{Cloak, End, Form, Mapping, Reader, cut, import, merge, summary};
use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum TraceCommand {
    /// What a recording holds, in figures
    Show {
        file: PathBuf,
        /// Read on after damaged blocks
        #[arg(long)]
        salvage: bool,
    },
    /// Write a part of a recording as one of its own, with what was in force before
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
pub enum LogForm {
    Csv,
    JsonLines,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Unit {
    Us,
    Ms,
    S,
}

#[derive(Args)]
pub struct ImportArguments {
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
    /// The field with the route's name, or its place
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
    /// Put hashes keyed by this file's bytes in place of keys and clients
    #[arg(long, value_name = "KEY_FILE")]
    cloak: Option<PathBuf>,
}

fn at(path: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| format!("{}: {e}", path.display())
}

fn open(path: &Path, salvage: bool) -> Result<Reader<BufReader<File>>, String> {
    let file = File::open(path).map_err(at(path))?;
    Reader::new(BufReader::new(file), salvage).map_err(|flaw| format!("{}: {flaw}", path.display()))
}

fn create(path: &Path) -> Result<BufWriter<File>, String> {
    File::create(path).map(BufWriter::new).map_err(at(path))
}

fn us(seconds: f64) -> Result<u64, String> {
    match seconds.is_finite() && seconds >= 0.0 {
        true => Ok((seconds * 1e6) as u64),
        false => Err(format!("{seconds} is no time in a recording")),
    }
}

pub fn trace(command: TraceCommand) -> Result<ExitCode, String> {
    match command {
        TraceCommand::Show { file, salvage } => show(&file, salvage)?,
        TraceCommand::Cut { file, to, from, until, salvage } => {
            let span = (us(from)?, until.map_or(Ok(u64::MAX), us)?);
            if span.0 >= span.1 {
                return Err("--from is not before --until".into());
            }
            let count = cut(open(&file, salvage)?, create(&to)?, span)
                .map_err(|flaw| format!("{}: {flaw}", file.display()))?;
            println!("{}: {count} events", to.display());
        }
        TraceCommand::Merge { to, files, shift_ms } => {
            if shift_ms.len() > files.len() {
                return Err(format!("{} shifts for {} files", shift_ms.len(), files.len()));
            }
            let shift = |i: usize| (shift_ms.get(i).copied().unwrap_or(0.0) * 1000.0) as i64;
            let parts = files.iter().enumerate().map(|(i, f)| Ok((open(f, false)?, shift(i))));
            let parts = parts.collect::<Result<Vec<_>, String>>()?;
            let (count, doubled) = merge(parts, create(&to)?).map_err(|flaw| flaw.to_string())?;
            println!("{}: {count} events; {doubled} calls were in two recordings", to.display());
        }
        TraceCommand::Import(arguments) => import_log(*arguments)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn show(file: &Path, salvage: bool) -> Result<(), String> {
    let s = summary(open(file, salvage)?).map_err(|flaw| format!("{}: {flaw}", file.display()))?;
    let seconds = |us: Option<u64>| us.unwrap_or(0) as f64 / 1e6;
    println!("{} events from {:.3} to {:.3} s", s.events, seconds(s.first_us), seconds(s.last_us));
    println!("{} calls, {} of them repeats; by route {:?}", s.calls, s.repeats, s.by_route);
    if s.anonymous > 0 {
        println!("{} calls without a client: whether these are repeats can't be known", s.anonymous);
    }
    if s.counted > 0 {
        println!("{} calls told as counts: their times, keys and clients can't be known", s.counted);
    }
    if s.longest_silence_us > 5_000_000 {
        println!("nothing for {:.1} s at the longest", s.longest_silence_us as f64 / 1e6);
    }
    println!(
        "{} proxies, {} joins, {} leaves; {} servers, {} lists",
        s.proxies, s.joins, s.lefts, s.servers, s.lists
    );
    if s.out_of_order + s.gaps > 0 {
        println!("{} events out of order, {} gaps", s.out_of_order, s.gaps);
    }
    match s.end {
        Some(End::CutOff { at }) => {
            println!("cut off at byte {at}; what is above is all up to the last whole block")
        }
        _ => println!("whole"),
    }
    Ok(())
}

fn import_log(a: ImportArguments) -> Result<(), String> {
    let route = |text: &String| {
        let (name, importance) = text.split_once('=').unwrap_or((text, "1"));
        let importance: f32 = importance.parse().map_err(|_| format!("--routes {text:?}: no importance"))?;
        Ok((name.to_string(), importance))
    };
    let mapping = Mapping {
        due: a.due,
        unit_us: match a.unit {
            Unit::Us => 1.0,
            Unit::Ms => 1e3,
            Unit::S => 1e6,
        },
        route: a.route,
        routes: a.routes.iter().map(route).collect::<Result<_, String>>()?,
        proxy: a.proxy,
        key: a.key,
        client: a.client,
        work_us: a.work,
        repeat: a.repeat,
    };
    let cloak = match &a.cloak {
        Some(path) => Some(Cloak::new(&std::fs::read(path).map_err(at(path))?)),
        None => None,
    };
    let form = match a.form {
        LogForm::Csv => Form::Csv,
        LogForm::JsonLines => Form::JsonLines,
    };
    let log = BufReader::new(File::open(&a.file).map_err(at(&a.file))?);
    let told = import(log, form, &mapping, cloak.as_ref(), create(&a.to)?)
        .map_err(|bad| format!("{}: {bad}", a.file.display()))?;
    println!(
        "{}: {} calls, {} of them repeats, at {} proxies",
        a.to.display(),
        told.calls,
        told.repeats,
        told.proxies
    );
    if told.anonymous > 0 {
        println!("{} rows without a client: whether these are repeats can't be known", told.anonymous);
    }
    if told.out_of_order > 0 {
        println!("{} rows out of order", told.out_of_order);
    }
    Ok(())
}
