//! `duties`: shows and moves the singleton tasks of a fleet.

use crate::error::CommandError;
use crate::members::{read_members, send_to_leader};
use clap::Subcommand;
use grebespool_cluster::{Request, TaskOrder};
use grebespool_singleton_tasks::MAX_SUSPENSION;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Subcommand)]
pub(crate) enum DutiesCommand {
    /// Show the owner of each duty, since when, by which token, and the late owner that was refused last
    Show { settings: PathBuf },
    /// Move a duty to a member; its present owner ends its step first
    Move { settings: PathBuf, name: String, member: String },
    /// Suspend a duty for a while
    Hold {
        settings: PathBuf,
        name: String,
        /// Length of the suspension in seconds, at most a day
        #[arg(long = "for", default_value_t = 600.0, value_name = "SECONDS")]
        span: f64,
    },
    /// End a suspension, or the assignment to a certain member
    Release { settings: PathBuf, name: String },
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if the settings or the time cannot be used, or if the leader rejects the request.
pub(crate) fn duties(command: DutiesCommand) -> Result<ExitCode, CommandError> {
    let (settings, request) = match command {
        DutiesCommand::Show { settings } => (settings, Request::ShowTasks),
        DutiesCommand::Move { settings, name, member } => {
            (settings, Request::Task { name, order: TaskOrder::Move(member) })
        }
        DutiesCommand::Hold { settings, name, span } => {
            let order = TaskOrder::Suspend(suspension_ms(span)?);
            (settings, Request::Task { name, order })
        }
        DutiesCommand::Release { settings, name } => {
            (settings, Request::Task { name, order: TaskOrder::Release })
        }
    };
    send_to_leader(&read_members(&settings)?, &request)?;
    Ok(ExitCode::SUCCESS)
}

fn suspension_ms(seconds: f64) -> Result<u64, CommandError> {
    let max = MAX_SUSPENSION.as_secs();
    if !(seconds > 0.0 && seconds <= max as f64) {
        let problem = format!("above 0 and at most {max} seconds");
        return Err(CommandError::argument(format!("--for {seconds}"), problem));
    }
    Ok((seconds * 1000.0) as u64)
}
