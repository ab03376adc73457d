//! `editions`: shows and proposes the configuration versions that the members of a fleet agree on.

use crate::error::CommandError;
use crate::members::{read_members, send};
use clap::Subcommand;
use grebespool_cluster::{ConfigurationStatus, Request, Response};
use grebespool_config_consensus::Change;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub(crate) enum EditionsCommand {
    /// Show the editions that this member holds, those that it acts by now, and the convener
    Show {
        settings: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Propose the changes in a JSON file, on top of the standing edition; prints the edition's number once it holds
    Propose {
        settings: PathBuf,
        changes: PathBuf,
        /// Withdraw more capacity at once than is allowed
        #[arg(long)]
        force: bool,
    },
}

fn read_changes(file: &Path) -> Result<Vec<Change>, CommandError> {
    let text = std::fs::read_to_string(file).map_err(CommandError::file(file))?;
    let json = &mut serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(json).map_err(|error| CommandError::Changes {
        file: file.to_path_buf(),
        place: error.path().to_string(),
        cause: error.into_inner(),
    })
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if the settings or the changes cannot be used, or if the member rejects the request.
pub(crate) fn editions(command: EditionsCommand) -> Result<ExitCode, CommandError> {
    let (settings, json, request) = match command {
        EditionsCommand::Show { settings, json } => (settings, json, Request::ShowConfiguration),
        EditionsCommand::Propose { settings, changes, force } => {
            (settings, false, Request::Propose { changes: read_changes(&changes)?, forced: force })
        }
    };
    match send(&read_members(&settings)?, None, request)? {
        Response::Done(text) => println!("{text}"),
        Response::Configuration(status) if json => {
            println!("{}", serde_json::to_string_pretty(&status)?);
        }
        Response::Configuration(status) => show(&status),
        Response::Rejected(reason) => return Err(CommandError::Rejected(reason)),
        _ => return Err(CommandError::UnexpectedAnswer),
    }
    Ok(ExitCode::SUCCESS)
}

fn show(status: &ConfigurationStatus) {
    println!("{} acts by {}", status.name, status.active);
    println!("standing: edition {}, {}", status.committed.0, status.committed.1);
    if let Some((number, hash)) = &status.pending {
        println!("prepared: edition {number}, {hash}");
    }
    println!("convener: {}", status.coordinator.as_deref().unwrap_or("none is known"));
    if status.undecided_proposals > 0 {
        println!("proposals of this member that wait for an answer: {}", status.undecided_proposals);
    }
    if !status.effective.exempt_servers.is_empty() {
        println!(
            "called against one of two editions, as nothing else would be left: {}",
            status.effective.exempt_servers.len()
        );
    }
    let ready = status
        .effective
        .servers
        .values()
        .filter(|server| server.state == grebespool_config_consensus::ServerState::Ready);
    println!(
        "shared: {} routes, {} limits, {} racks, {} servers of which {} are ready",
        status.effective.max_shares.len(),
        status.effective.limits.len(),
        status.effective.racks.len(),
        status.effective.servers.len(),
        ready.count()
    );
}
