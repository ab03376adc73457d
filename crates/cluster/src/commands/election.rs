//! Commands for the members and their election.

use crate::core::Core;
use crate::request::{MemberStatus, Response};
use grebespool_leader_election::{MemberId, MemberRole, MembershipError, Voter};

/// Returns the state of this member and its election.
pub(super) fn show(core: &Core) -> Response {
    let now = core.now();
    let status = core.election.borrow().status(now);
    let (standing, leader) = match status.role {
        MemberRole::Leader => ("leads", Some(core.endpoint.name.clone())),
        MemberRole::Follower(id) => ("follows", Some(core.member_name(id))),
        MemberRole::NoLeader => ("alone", None),
        MemberRole::NonVoting => ("mute", None),
    };
    let member = |(id, voter): (&MemberId, &Voter)| MemberStatus {
        name: voter.name.clone(),
        address: voter.address.clone(),
        id: *id,
        missing: status.unreachable.contains(id),
    };
    let snapshot = core.snapshot.borrow().as_ref().map(|known| {
        let (term, number) = known.snapshot.order();
        (term, number, known.received.elapsed().as_millis() as u64)
    });
    Response::Status {
        name: core.endpoint.name.clone(),
        standing: standing.into(),
        leader,
        term: status.term,
        since_ms: now.saturating_sub(status.since).as_millis() as u64,
        stepped_down: status.step_down_reason.map(|reason| reason.to_string()),
        members: status.membership.voters.iter().map(member).collect(),
        settled: status.membership_committed,
        snapshot,
        rejections: core.endpoint.rejections(),
    }
}

/// Adds a member, if the member with this name listens at this address.
pub(super) async fn add(core: &Core, name: String, address: String) -> Response {
    let id = match core.endpoint.connect(&address).await {
        Ok((stream, found)) if found == name => stream.peer,
        Ok((_, found)) => return Response::Rejected(format!("{found} is at {address}, not {name}")),
        Err(error) => return Response::Rejected(format!("{address}: {error}")),
    };
    let done = format!("{name} takes part");
    respond(core.call_election(|election, now| election.add_voter(now, id, Voter { name, address })), done)
}

/// Removes a member.
pub(super) fn remove(core: &Core, name: &str) -> Response {
    let removed = core.call_election(|election, now| election.remove_voter(now, name));
    respond(removed, format!("{name} takes no part any more"))
}

/// Makes this member step down, if it leads.
pub(super) fn step_down(core: &Core) -> Response {
    respond(core.call_election(|election, now| election.step_down(now)), "it stands down".into())
}

fn respond(result: Result<(), MembershipError>, done: String) -> Response {
    match result {
        Ok(()) => Response::Done(done),
        Err(error) => Response::Rejected(error.to_string()),
    }
}
