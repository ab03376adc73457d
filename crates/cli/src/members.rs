//! `members`: creates state folders, and sends operators' requests to the controllers of a fleet.

use crate::error::CommandError;
use clap::Subcommand;
use grebespool_cluster::{
    Keys, Request, Response, Store, fleet_id, initial_membership, send_request, voter_id,
};
use grebespool_leader_election::Membership;
use grebespool_settings::{Members, Planned};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub(crate) enum MembersCommand {
    /// Create this member's state for a new fleet of all members in its settings; once in a member's life
    Form { settings: PathBuf },
    /// Create this member's state, to be added to a running fleet
    Join { settings: PathBuf },
    /// Show the leader, since when and by which epoch it leads, and which members are missing
    Show {
        settings: PathBuf,
        /// Ask the member at this address instead of the settings' own
        #[arg(long, value_name = "ADDRESS")]
        at: Option<String>,
        #[arg(long)]
        json: bool,
    },
    /// Add the member that runs at ADDRESS; sent to the leader
    Add { settings: PathBuf, name: String, address: String },
    /// Remove a member; sent to the leader
    Remove { settings: PathBuf, name: String },
    /// Have the leader step down in favor of another member
    StepDown { settings: PathBuf },
}

/// Reads the members' part of a settings file.
///
/// # Errors
///
/// Returns an error if the file cannot be used or has no such part.
pub(crate) fn read_members(file: &Path) -> Result<Members, CommandError> {
    Planned::read(file)?.members.ok_or_else(|| CommandError::NoMembers { settings: file.to_path_buf() })
}

/// Returns the initial membership of a new fleet by a member's settings.
pub(crate) fn formed_membership(members: &Members) -> Membership {
    let own = (members.name.clone(), members.address.to_string());
    let peers = members.peers.iter().map(|peer| (peer.name.clone(), peer.address.to_string()));
    initial_membership(fleet_id(&members.fleet), peers.chain([own]))
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if the settings cannot be used, a state folder cannot be created or a member rejects the request.
pub(crate) fn members(command: MembersCommand) -> Result<ExitCode, CommandError> {
    match command {
        MembersCommand::Form { settings } => form(&read_members(&settings)?)?,
        MembersCommand::Join { settings } => join(&read_members(&settings)?)?,
        MembersCommand::Show { settings, at, json } => {
            let status = send(&read_members(&settings)?, at, Request::ShowMember)?;
            if json {
                println!("{}", serde_json::to_string_pretty(&status)?);
            } else {
                show(&status);
            }
        }
        MembersCommand::Add { settings, name, address } => {
            send_to_leader(&read_members(&settings)?, &Request::Add { name, address })?;
        }
        MembersCommand::Remove { settings, name } => {
            send_to_leader(&read_members(&settings)?, &Request::Remove { name })?;
        }
        MembersCommand::StepDown { settings } => {
            send_to_leader(&read_members(&settings)?, &Request::StepDown)?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn form(members: &Members) -> Result<(), CommandError> {
    let fleet = fleet_id(&members.fleet);
    let id = voter_id(fleet, &members.name);
    Store::form(&members.folder, fleet, id, formed_membership(members))?;
    println!(
        "{}: {} of fleet {}, {} members",
        members.folder.display(),
        members.name,
        members.fleet,
        members.peers.len() + 1
    );
    Ok(())
}

fn join(members: &Members) -> Result<(), CommandError> {
    let id = rand::random::<u64>().max(1);
    Store::form(&members.folder, fleet_id(&members.fleet), id, Membership::default())?;
    println!("{}: {} of fleet {}, to be added", members.folder.display(), members.name, members.fleet);
    println!("start it, then: members add SETTINGS {} {}", members.name, members.address);
    Ok(())
}

/// Sends a request to the member at `address`, or to the settings' own member if `address` is `None`.
///
/// # Errors
///
/// Returns an error if the key file cannot be used or the member does not answer.
pub(crate) fn send(
    members: &Members,
    address: Option<String>,
    request: Request,
) -> Result<Response, CommandError> {
    let keys = Keys::read(&members.key_file).map_err(CommandError::file(&members.key_file))?;
    let address = address.unwrap_or_else(|| members.listen.unwrap_or(members.address).to_string());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime
        .block_on(send_request(&address, fleet_id(&members.fleet), &keys, request))
        .map_err(|cause| CommandError::Member { address, cause: cause.into() })
}

/// Asks the settings' own member for the leader, sends the request to the leader and prints the answer.
///
/// # Errors
///
/// Returns an error if no leader is known or the leader rejects the request.
pub(crate) fn send_to_leader(members: &Members, request: &Request) -> Result<(), CommandError> {
    let address = match send(members, None, Request::ShowMember)? {
        Response::Status { leader: Some(leader), members, .. } => {
            members.into_iter().find(|member| member.name == leader).map(|member| member.address)
        }
        _ => return Err(CommandError::NoLeader),
    };
    match send(members, address, request.clone())? {
        Response::Done(text) => println!("{text}"),
        Response::Lines(lines) => lines.iter().for_each(|line| println!("{line}")),
        Response::Rejected(reason) => return Err(CommandError::Rejected(reason)),
        Response::Status { .. } | Response::Configuration(_) => return Err(CommandError::UnexpectedAnswer),
    }
    Ok(())
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
    for member in members {
        println!(
            "  {:<16} {:<22} {:016x}{}",
            member.name,
            member.address,
            member.id,
            if member.missing { "  missing" } else { "" }
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
