//! Commands on the members and their election.

use super::{MemberStatus, Response};
use crate::core::Core;
use grebespool_leader_election::{Id, Refused, Seat, Standing};

/// The state of this member and its election.
pub(super) fn show(core: &Core) -> Response {
    let now = core.now();
    let status = core.election.borrow().status(now);
    let (standing, leader) = match status.standing {
        Standing::Leads => ("leads", Some(core.endpoint.name.clone())),
        Standing::Follows(id) => ("follows", Some(core.member_name(id))),
        Standing::Alone => ("alone", None),
        Standing::Mute => ("mute", None),
    };
    let member = |(id, seat): (&Id, &Seat)| MemberStatus {
        name: seat.name.clone(),
        address: seat.address.clone(),
        id: *id,
        missing: status.missing.contains(id),
    };
    let snapshot = core.snapshot.borrow().as_ref().map(|known| {
        let (term, number) = known.snapshot.order();
        (term, number, known.received.elapsed().as_millis() as u64)
    });
    Response::Status {
        name: core.endpoint.name.clone(),
        standing: standing.into(),
        leader,
        term: status.epoch,
        since_ms: now.saturating_sub(status.since).as_millis() as u64,
        stepped_down: status.stood_down.map(|why| why.to_string()),
        members: status.roster.seats.iter().map(member).collect(),
        settled: status.settled,
        snapshot,
        rejections: core.endpoint.rejections(),
    }
}

/// Adds the member of this name, if it listens at this address.
pub(super) async fn add(core: &Core, name: String, address: String) -> Response {
    let id = match core.endpoint.connect(&address).await {
        Ok((stream, there)) if there == name => stream.peer,
        Ok((_, there)) => return Response::Rejected(format!("{there} is at {address}, not {name}")),
        Err(error) => return Response::Rejected(format!("{address}: {error}")),
    };
    let done = format!("{name} takes part");
    respond(core.call_election(|election, now| election.add(now, id, Seat { name, address })), done)
}

/// Removes a member.
pub(super) fn remove(core: &Core, name: &str) -> Response {
    let removed = core.call_election(|election, now| election.remove(now, name));
    respond(removed, format!("{name} takes no part any more"))
}

/// Has this member step down, where it leads.
pub(super) fn step_down(core: &Core) -> Response {
    respond(core.call_election(|election, now| election.step_down(now)), "it stands down".into())
}

fn respond(result: Result<(), Refused>, done: String) -> Response {
    match result {
        Ok(()) => Response::Done(done),
        Err(refused) => Response::Rejected(refused.to_string()),
    }
}
