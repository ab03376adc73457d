//! `editions`: what all members of a fleet go by.

use crate::members::{members_of, question};
use clap::Subcommand;
use grebespool_cluster::{Answer, Editions, Question};
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
        EditionsCommand::Show { settings, json } => (settings, json, Question::Editions),
        EditionsCommand::Propose { settings, changes, force } => {
            (settings, false, Question::Propose { changes: changes_of(&changes)?, forced: force })
        }
    };
    match question(&members_of(&settings)?, None, wanted)? {
        Answer::Done(what) => println!("{what}"),
        Answer::Editions(shown) if json => {
            println!("{}", serde_json::to_string_pretty(&shown).map_err(|e| e.to_string())?);
        }
        Answer::Editions(shown) => show(&shown),
        Answer::Refused(why) => return Err(why),
        _ => return Err("it answered something else".into()),
    }
    Ok(ExitCode::SUCCESS)
}

fn show(shown: &Editions) {
    println!("{} acts by {}", shown.name, shown.acts);
    println!("standing: edition {}, {}", shown.standing.0, shown.standing.1);
    if let Some((number, hash)) = &shown.next {
        println!("prepared: edition {number}, {hash}");
    }
    println!("convener: {}", shown.convener.as_deref().unwrap_or("none is known"));
    if shown.waiting > 0 {
        println!("proposals of this member that wait for an answer: {}", shown.waiting);
    }
    if !shown.view.exempt_servers.is_empty() {
        println!(
            "called against one of two editions, as nothing else would be left: {}",
            shown.view.exempt_servers.len()
        );
    }
    let ready =
        shown.view.servers.values().filter(|s| s.state == grebespool_config_consensus::ServerState::Ready);
    println!(
        "shared: {} routes, {} limits, {} racks, {} servers of which {} are ready",
        shown.view.max_shares.len(),
        shown.view.limits.len(),
        shown.view.racks.len(),
        shown.view.servers.len(),
        ready.count()
    );
}
