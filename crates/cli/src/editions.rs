//! `editions`: what all members of a fleet go by.

use crate::members::{members_of, question};
use clap::Subcommand;
use grebespool_cluster::{ConfigurationStatus, Request, Response};
use grebespool_config_consensus::Change;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum EditionsCommand {
    /// Say what this member holds, by what it acts at this moment, and who convenes
    Show {
        settings: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Propose the changes in a JSON file, on top of whatever stands; says the edition's number once it holds
    Propose {
        settings: PathBuf,
        changes: PathBuf,
        /// Withdraw more capacity at once than is allowed
        #[arg(long)]
        force: bool,
    },
}

fn changes_of(file: &Path) -> Result<Vec<Change>, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let from = &mut serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(from)
        .map_err(|e| format!("{}: at {}: {}", file.display(), e.path(), e.inner()))
}

pub fn editions(command: EditionsCommand) -> Result<ExitCode, String> {
    let (settings, json, wanted) = match command {
        EditionsCommand::Show { settings, json } => (settings, json, Request::ShowConfiguration),
        EditionsCommand::Propose { settings, changes, force } => {
            (settings, false, Request::Propose { changes: changes_of(&changes)?, forced: force })
        }
    };
    match question(&members_of(&settings)?, None, wanted)? {
        Response::Done(what) => println!("{what}"),
        Response::Configuration(shown) if json => {
            println!("{}", serde_json::to_string_pretty(&shown).map_err(|e| e.to_string())?);
        }
        Response::Configuration(shown) => show(&shown),
        Response::Rejected(why) => return Err(why),
        _ => return Err("it answered something else".into()),
    }
    Ok(ExitCode::SUCCESS)
}

fn show(shown: &ConfigurationStatus) {
    println!("{} acts by {}", shown.name, shown.active);
    println!("standing: edition {}, {}", shown.committed.0, shown.committed.1);
    if let Some((number, hash)) = &shown.pending {
        println!("prepared: edition {number}, {hash}");
    }
    println!("convener: {}", shown.coordinator.as_deref().unwrap_or("none is known"));
    if shown.undecided_proposals > 0 {
        println!("proposals of this member that wait for an answer: {}", shown.undecided_proposals);
    }
    if !shown.effective.exempt_servers.is_empty() {
        println!(
            "called against one of two editions, as nothing else would be left: {}",
            shown.effective.exempt_servers.len()
        );
    }
    let ready = shown
        .effective
        .servers
        .values()
        .filter(|s| s.state == grebespool_config_consensus::ServerState::Ready);
    println!(
        "shared: {} routes, {} limits, {} racks, {} servers of which {} are ready",
        shown.effective.max_shares.len(),
        shown.effective.limits.len(),
        shown.effective.racks.len(),
        shown.effective.servers.len(),
        ready.count()
    );
}
