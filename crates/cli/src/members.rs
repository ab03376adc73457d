//! `members`: state folders, and what operators ask of the controllers of a fleet.

use clap::Subcommand;
use grebespool_cluster::{
    Keys, Request, Response, Store, StoreError, fleet_id, initial_membership, send_request, voter_id,
};
use grebespool_leader_election::Membership;
use grebespool_settings::{Members, Planned};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum MembersCommand {
    /// Make this member's state for a new fleet of all that its settings name; once in a member's life
    Form { settings: PathBuf },
    /// Make this member's state, to be added to a fleet that runs
    Join { settings: PathBuf },
    /// Say who leads, since when, by which epoch, and who is missing
    Show {
        settings: PathBuf,
        /// Ask the member at this address instead of the settings' own
        #[arg(long, value_name = "ADDRESS")]
        at: Option<String>,
        #[arg(long)]
        json: bool,
    },
    /// Let the member that runs at ADDRESS take part; asked of the leader
    Add { settings: PathBuf, name: String, address: String },
    /// Take a member out; asked of the leader
    Remove { settings: PathBuf, name: String },
    /// Have the leader leave the lead to another
    StepDown { settings: PathBuf },
}

pub fn members_of(file: &Path) -> Result<Members, String> {
    let planned = Planned::read(file).map_err(|bad| bad.to_string())?;
    planned.members.ok_or_else(|| format!("{}: members: the settings name none", file.display()))
}

/// Who takes part from the beginning, by a member's settings.
pub fn formed_roster(m: &Members) -> Membership {
    let own = (m.name.clone(), m.address.to_string());
    let all = m.peers.iter().map(|p| (p.name.clone(), p.address.to_string())).chain([own]);
    initial_membership(fleet_id(&m.fleet), all)
}

pub fn members(command: MembersCommand) -> Result<ExitCode, String> {
    let said = |why: StoreError| why.to_string();
    match command {
        MembersCommand::Form { settings } => {
            let m = members_of(&settings)?;
            let fleet = fleet_id(&m.fleet);
            Store::form(&m.folder, fleet, voter_id(fleet, &m.name), formed_roster(&m)).map_err(said)?;
            println!(
                "{}: {} of fleet {}, {} members",
                m.folder.display(),
                m.name,
                m.fleet,
                m.peers.len() + 1
            );
        }
        MembersCommand::Join { settings } => {
            let m = members_of(&settings)?;
            let id = rand::random::<u64>().max(1);
            Store::form(&m.folder, fleet_id(&m.fleet), id, Membership::default()).map_err(said)?;
            println!("{}: {} of fleet {}, to be added", m.folder.display(), m.name, m.fleet);
            println!("start it, then: members add SETTINGS {} {}", m.name, m.address);
        }
        MembersCommand::Show { settings, at, json } => {
            let m = members_of(&settings)?;
            let answer = question(&m, at, Request::ShowMember)?;
            if json {
                println!("{}", serde_json::to_string_pretty(&answer).map_err(|e| e.to_string())?);
            } else {
                show(&answer);
            }
        }
        MembersCommand::Add { settings, name, address } => {
            return of_leader(&members_of(&settings)?, &Request::Add { name, address });
        }
        MembersCommand::Remove { settings, name } => {
            return of_leader(&members_of(&settings)?, &Request::Remove { name });
        }
        MembersCommand::StepDown { settings } => {
            return of_leader(&members_of(&settings)?, &Request::StepDown);
        }
    }
    Ok(ExitCode::SUCCESS)
}

pub fn question(m: &Members, at: Option<String>, question: Request) -> Result<Response, String> {
    let keys = Keys::read(&m.key_file).map_err(|e| format!("{}: {e}", m.key_file.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let address = at.unwrap_or_else(|| m.listen.unwrap_or(m.address).to_string());
    let asked = send_request(&address, fleet_id(&m.fleet), &keys, question);
    runtime.map_err(|e| e.to_string())?.block_on(asked).map_err(|e| format!("{address}: {e}"))
}

/// Asks the settings' own member who leads, and then that one.
pub fn of_leader(m: &Members, wanted: &Request) -> Result<ExitCode, String> {
    let at = match question(m, None, Request::ShowMember)? {
        Response::Status { leader: Some(leader), members, .. } => {
            members.into_iter().find(|s| s.name == leader).map(|s| s.address)
        }
        _ => return Err("no leader is known; nothing is changed without one".into()),
    };
    match question(m, at, wanted.clone())? {
        Response::Done(what) => {
            println!("{what}");
            Ok(ExitCode::SUCCESS)
        }
        Response::Lines(lines) => {
            lines.iter().for_each(|line| println!("{line}"));
            Ok(ExitCode::SUCCESS)
        }
        Response::Rejected(why) => Err(why),
        Response::Status { .. } | Response::Configuration(_) => Err("it answered something else".into()),
    }
}

fn show(answer: &Response) {
    let Response::Status {
        name,
        standing,
        leader,
        term,
        since_ms,
        stepped_down,
        members,
        settled,
        snapshot,
        rejections,
    } = answer
    else {
        return println!("{answer:?}");
    };
    println!("{name} {standing}, epoch {term}, for {:.1} s", *since_ms as f64 / 1000.0);
    println!("leader: {}", leader.as_deref().unwrap_or("none is known"));
    if let Some(why) = stepped_down {
        println!("it last led until {why}");
    }
    for m in members {
        println!(
            "  {:<16} {:<22} {:016x}{}",
            m.name,
            m.address,
            m.id,
            if m.missing { "  missing" } else { "" }
        );
    }
    if standing == "leads" && !settled {
        println!("the last change of members is not yet known to a majority");
    }
    if let Some((term, number, age_ms)) = snapshot {
        println!("memory: epoch {term}, number {number}, {:.1} s old", *age_ms as f64 / 1000.0);
    }
    println!("refused since its start: {rejections}");
}
