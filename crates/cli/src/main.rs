//! The command line.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod compare;
mod duties;
mod editions;
mod members;
mod record;
mod rehearse;
mod replay;
mod serve;
mod sites;
mod trace;

use clap::{Parser, Subcommand, ValueEnum};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// A table manager that assigns servers to proxies
#[derive(Parser)]
#[command(name = "grebespool", version, arg_required_else_help = true)]
struct Cli {
    /// How logs are written
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: LogFormat,
    /// What is logged: error, warn, info, debug (which names each order), or a filter by module
    #[arg(long, global = true, value_name = "FILTER")]
    log: Option<String>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run a planner
    Serve {
        /// A settings file
        settings: PathBuf,
        /// Listen here instead of at the address in the settings
        #[arg(long, value_name = "ADDRESS")]
        listen: Option<std::net::SocketAddr>,
        /// Record in this new file what the planner hears, to be replayed
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
        /// Put hashes keyed by this file's bytes in place of servers' addresses in the recording
        #[arg(long, value_name = "KEY_FILE", requires = "record")]
        cloak: Option<PathBuf>,
    },
    /// Run a planner as the platform starts it: GW_CONFIG names its file (docs/operators/platform.md)
    Platform,
    /// Play a day on loopback and check the five rules; exit 0: kept, 1: one broken, 2: bad input
    Rehearse {
        /// A day file; the built-in bad day if left out
        day: Option<PathBuf>,
        /// Run the planner as a process of its own, or as a thread of this one
        #[arg(long, value_enum, default_value = "process")]
        planner: rehearse::Runs,
        /// Another seed than the day's
        #[arg(long)]
        seed: Option<u64>,
        /// Record the day in this file, to be replayed
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
    },
    /// Play a day in the model under other settings and compare; exit 0: rules kept, 1: one broken, 2: bad input
    Replay(Box<replay::ReplayArguments>),
    /// Sweep variants over days and seeds in the model; exit 0: rules kept, 1: one broken, 2: bad input
    Experiment(replay::ExperimentArguments),
    /// Play a day on sockets and in the model, side by side; exit 0: alike, 1: further apart than the tolerance
    Compare(compare::CompareArguments),
    /// Look at recordings, and make recordings of recordings or logs
    Trace {
        #[command(subcommand)]
        command: trace::TraceCommand,
    },
    /// The controllers of a fleet: state folders, who leads, who takes part
    Members {
        #[command(subcommand)]
        command: members::MembersCommand,
    },
    /// Work that one of several controllers at a time does on behalf of all
    Duties {
        #[command(subcommand)]
        command: duties::DutiesCommand,
    },
    /// Editions of settings and lists that several controllers agree on
    Editions {
        #[command(subcommand)]
        command: editions::EditionsCommand,
    },
    /// What the loss of a whole site would mean
    Sites {
        #[command(subcommand)]
        command: sites::SitesCommand,
    },
    /// Check or show settings and day files
    Settings {
        #[command(subcommand)]
        command: SettingsCommand,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Kind {
    Settings,
    Day,
}

#[derive(Subcommand)]
enum SettingsCommand {
    /// Say what is wrong with a file; exit 0 if nothing is, else 2
    Check {
        file: PathBuf,
        #[arg(long, value_enum, default_value = "settings")]
        kind: Kind,
    },
    /// Print a file with its defaults filled in
    Show { file: PathBuf },
}

const BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(what) = log_to_stderr(&cli) {
        return bad_input(&what);
    }
    let done = match cli.command {
        Command::Serve { settings, listen, record, cloak } => {
            serve::serve(&settings, listen, record.as_deref(), cloak.as_deref())
        }
        Command::Platform => Ok(grebespool_platform_server::run()),
        Command::Rehearse { day, planner, seed, record } => {
            rehearse::rehearse(day.as_deref(), planner, seed, record.as_deref())
        }
        Command::Replay(arguments) => replay::replay(*arguments),
        Command::Experiment(arguments) => replay::experiment(&arguments),
        Command::Compare(arguments) => compare::compare(&arguments),
        Command::Trace { command } => trace::trace(command),
        Command::Members { command } => members::members(command),
        Command::Duties { command } => duties::duties(command),
        Command::Editions { command } => editions::editions(command),
        Command::Sites { command } => sites::sites(command),
        Command::Settings { command: SettingsCommand::Check { file, kind } } => check(&file, kind),
        Command::Settings { command: SettingsCommand::Show { file } } => {
            grebespool_settings::Planned::read(&file)
                .and_then(|_| grebespool_settings::show(&file, "Settings"))
                .map(|text| {
                    println!("{text}");
                    ExitCode::SUCCESS
                })
                .map_err(|bad| bad.to_string())
        }
    };
    done.unwrap_or_else(|what| bad_input(&what))
}

fn bad_input(what: &str) -> ExitCode {
    eprintln!("grebespool: {what}");
    ExitCode::from(BAD_INPUT)
}

fn check(file: &std::path::Path, kind: Kind) -> Result<ExitCode, String> {
    let checked = match kind {
        Kind::Settings => grebespool_settings::Planned::read(file).map(|_| ()),
        Kind::Day => grebespool_settings::Day::read(file).map(|_| ()),
    };
    checked.map_err(|bad| bad.to_string())?;
    println!("{}: no fault found", file.display());
    Ok(ExitCode::SUCCESS)
}

fn log_to_stderr(cli: &Cli) -> Result<(), String> {
    // A rehearsal shows its own progress; a planner's log is for its operators.
    let usual =
        if matches!(cli.command, Command::Serve { .. } | Command::Platform) { "info" } else { "error" };
    let text = cli.log.as_deref().unwrap_or(usual);
    let filter = EnvFilter::try_new(text).map_err(|e| format!("--log {text:?}: {e}"))?;
    // Where the log's reader is gone, the formatter's own complaint could only end what serves.
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let logs = logs.log_internal_errors(false);
    match cli.log_format {
        LogFormat::Json => logs.json().init(),
        LogFormat::Text => logs.with_ansi(std::io::stderr().is_terminal()).init(),
    }
    Ok(())
}
