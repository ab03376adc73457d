//! The command line `grebespool-cli`: parses arguments, runs one command, and turns its outcome into an exit code.
//!
//! Results go to standard output. The log, progress and errors go to standard error.

mod compare;
mod duties;
mod editions;
mod error;
mod experiment;
mod members;
mod record;
mod rehearse;
mod replay;
mod serve;
mod simulated_days;
mod site_plan;
mod sites;
mod trace;

use clap::{Parser, Subcommand, ValueEnum};
use error::CommandError;
use grebespool_settings::{Day, Planned};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
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
        /// Record what the planner receives in this new file, to be replayed
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
        /// Replace servers' addresses in the recording by hashes keyed by this file's bytes
        #[arg(long, value_name = "KEY_FILE", requires = "record")]
        cloak: Option<PathBuf>,
    },
    /// Run a planner as the platform starts it: GW_CONFIG names its file (docs/operators/platform.md)
    Platform,
    /// Play a day on loopback and check the five rules; exit 0: kept, 1: one broken, 2: bad input
    Rehearse(rehearse::RehearseArguments),
    /// Play a day in the model under other settings and compare; exit 0: rules kept, 1: one broken, 2: bad input
    Replay(Box<replay::ReplayArguments>),
    /// Sweep variants over days and seeds in the model; exit 0: rules kept, 1: one broken, 2: bad input
    Experiment(experiment::ExperimentArguments),
    /// Play a day on sockets and in the model, side by side; exit 0: alike, 1: further apart than the tolerance
    Compare(compare::CompareArguments),
    /// Look at recordings, and make recordings of recordings or logs
    Trace {
        #[command(subcommand)]
        command: trace::TraceCommand,
    },
    /// The controllers of a fleet: state folders, the leader, the members
    Members {
        #[command(subcommand)]
        command: members::MembersCommand,
    },
    /// Singleton tasks: work that one of several controllers at a time does for all
    Duties {
        #[command(subcommand)]
        command: duties::DutiesCommand,
    },
    /// Configuration versions (editions) of settings and lists that several controllers agree on
    Editions {
        #[command(subcommand)]
        command: editions::EditionsCommand,
    },
    /// The effects of losing a whole site
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
    /// Say what is wrong with a file; exit 0: nothing, 2: a fault
    Check {
        file: PathBuf,
        #[arg(long, value_enum, default_value = "settings")]
        kind: Kind,
    },
    /// Print a file with its defaults filled in
    Show { file: PathBuf },
}

/// The exit code of a command that fails.
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = log_to_stderr(&cli).and_then(|()| run(cli.command));
    result.unwrap_or_else(|error| {
        eprintln!("grebespool: {error}");
        ExitCode::from(EXIT_BAD_INPUT)
    })
}

fn run(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Serve { settings, listen, record, cloak } => {
            serve::serve(&settings, listen, record.as_deref(), cloak.as_deref())
        }
        Command::Platform => Ok(grebespool_platform_server::run()),
        Command::Rehearse(arguments) => rehearse::rehearse(&arguments),
        Command::Replay(arguments) => replay::replay(&arguments),
        Command::Experiment(arguments) => experiment::experiment(&arguments),
        Command::Compare(arguments) => compare::compare(&arguments),
        Command::Trace { command } => trace::trace(command),
        Command::Members { command } => members::members(command),
        Command::Duties { command } => duties::duties(command),
        Command::Editions { command } => editions::editions(command),
        Command::Sites { command } => sites::sites(command),
        Command::Settings { command } => settings(&command),
    }
}

fn settings(command: &SettingsCommand) -> Result<ExitCode, CommandError> {
    match command {
        SettingsCommand::Check { file, kind } => check(file, *kind)?,
        SettingsCommand::Show { file } => {
            Planned::read(file)?;
            println!("{}", grebespool_settings::show(file, "Settings")?);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn check(file: &Path, kind: Kind) -> Result<(), CommandError> {
    match kind {
        Kind::Settings => drop(Planned::read(file)?),
        Kind::Day => drop(Day::read(file)?),
    }
    println!("{}: no fault found", file.display());
    Ok(())
}

/// Returns the default filter of log lines. Operators read the log of a planner; other commands show their own progress.
fn default_log_filter(command: &Command) -> &'static str {
    match command {
        Command::Serve { .. } | Command::Platform => "info",
        _ => "error",
    }
}

fn log_to_stderr(cli: &Cli) -> Result<(), CommandError> {
    let filter = cli.log.as_deref().unwrap_or_else(|| default_log_filter(&cli.command));
    let env_filter = EnvFilter::try_new(filter)
        .map_err(|cause| CommandError::LogFilter { filter: filter.into(), cause })?;
    let log = tracing_subscriber::fmt().with_env_filter(env_filter).with_writer(std::io::stderr);
    // If the reader of standard error is gone, the formatter's own error messages would end the service.
    let log = log.log_internal_errors(false);
    match cli.log_format {
        LogFormat::Json => log.json().init(),
        LogFormat::Text => log.with_ansi(std::io::stderr().is_terminal()).init(),
    }
    Ok(())
}
