//! `sites`: plans for the loss of sites, and takes sites out of service.

use crate::error::CommandError;
use crate::members::{read_members, send_to_leader};
use crate::site_plan::{PlanOptions, print_plans};
use clap::Subcommand;
use grebespool_cluster::Request;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Subcommand)]
pub(crate) enum SitesCommand {
    /// Show for each site, and each two, what is left without it and what is throttled; exit 1: below the stated service
    Plan {
        /// A day file: its servers and callers state the capacity and the demand
        day: PathBuf,
        /// Share of the requested importance that has to be let in after the loss of any site
        #[arg(long, default_value_t = 0.9, value_name = "PART")]
        service: f64,
        /// Largest utilization of servers
        #[arg(long, default_value_t = 0.9, value_name = "PART")]
        fill: f64,
        /// Show two sites at a time, too; they do not count for the exit code
        #[arg(long)]
        pairs: bool,
        /// A value that replaces the day's: deployment.routes=[...]
        #[arg(long, value_name = "PATH=VALUE")]
        set: Vec<String>,
    },
    /// Show the state of each site; sent to the leader of several controllers
    Show { settings: PathBuf },
    /// Take a site out, for a drill or a repair; refused where that would throttle anything, unless forced
    Out {
        settings: PathBuf,
        name: String,
        #[arg(long)]
        force: bool,
        /// Only show what would be done
        #[arg(long)]
        dry_run: bool,
    },
    /// Return a site that was taken out, in steps
    Back {
        settings: PathBuf,
        name: String,
        #[arg(long)]
        dry_run: bool,
    },
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if the day or the settings cannot be used, an argument is out of range or the leader rejects the
/// request.
pub(crate) fn sites(command: SitesCommand) -> Result<ExitCode, CommandError> {
    let (settings, request) = match command {
        SitesCommand::Plan { day, service, fill, pairs, set } => {
            check_part("--service", service)?;
            check_part("--fill", fill)?;
            return print_plans(
                &day,
                &PlanOptions { min_service: service, max_utilization: fill, pairs },
                &set,
            );
        }
        SitesCommand::Show { settings } => (settings, Request::ShowSites),
        SitesCommand::Out { settings, name: site, force: forced, dry_run } => {
            (settings, Request::Site { site, out: true, forced, dry_run })
        }
        SitesCommand::Back { settings, name: site, dry_run } => {
            (settings, Request::Site { site, out: false, forced: false, dry_run })
        }
    };
    send_to_leader(&read_members(&settings)?, &request)?;
    Ok(ExitCode::SUCCESS)
}

fn check_part(argument: &str, part: f64) -> Result<(), CommandError> {
    if part > 0.0 && part <= 1.0 {
        return Ok(());
    }
    Err(CommandError::argument(format!("{argument} {part}"), "a part above 0 and at most 1"))
}
