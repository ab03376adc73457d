//! `duties`: who does what on behalf of a fleet.

use crate::members::{members_of, of_leader};
use clap::Subcommand;
use grebespool_cluster::{Request, TaskOrder};
use grebespool_singleton_tasks::MAX_SUSPENSION;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum DutiesCommand {
    /// Say who owns which duty, since when, by which token, and which late owner was refused last
    Show { settings: PathBuf },
    /// Have a member own a duty; the one that has it ends its step first
    Move { settings: PathBuf, name: String, member: String },
    /// Have nobody work on a duty for a while
    Hold {
        settings: PathBuf,
        name: String,
        /// In seconds; a hold ends by itself, at most a day later
        #[arg(long = "for", default_value_t = 600.0, value_name = "SECONDS")]
        span: f64,
    },
    /// End a hold, or the wish that a certain member has it
    Release { settings: PathBuf, name: String },
}

pub fn duties(command: DutiesCommand) -> Result<ExitCode, String> {
    let (settings, wanted) = match command {
        DutiesCommand::Show { settings } => (settings, Request::ShowTasks),
        DutiesCommand::Move { settings, name, member } => {
            (settings, Request::Task { name, order: TaskOrder::Move(member) })
        }
        DutiesCommand::Hold { settings, name, span } => {
            let most = MAX_SUSPENSION.as_secs();
            if !(span > 0.0 && span <= most as f64) {
                return Err(format!("--for {span}: above 0 and at most {most} seconds"));
            }
            (settings, Request::Task { name, order: TaskOrder::Suspend((span * 1000.0) as u64) })
        }
        DutiesCommand::Release { settings, name } => {
            (settings, Request::Task { name, order: TaskOrder::Release })
        }
    };
    of_leader(&members_of(&settings)?, &wanted)
}
