//! Sending of links and snapshots to holders, within their budgets.

use super::session::{HolderScope, NextPart, Session};
use super::{Distributor, Outgoing};
use crate::chain::{Priority, ScopeChain};
use crate::message::{Downward, SnapshotPart};
use crate::store::Store;
use grebespool_leader_election::MemberId;
use std::time::Duration;

/// Time after which links and snapshots that a holder has not confirmed are sent again.
const RESEND_AFTER: Duration = Duration::from_millis(1200);
/// Size of links, in bytes, beyond which a snapshot is cheaper to apply.
const MAX_LINK_BYTES: usize = 64 * 1024;
/// Size of a message beyond its body, in bytes: length, authentication code, and the transport's headers.
const FRAME_BYTES: usize = 60;

impl Distributor {
    /// Queues the scopes again that a holder has not confirmed in time.
    pub(super) fn resend_unconfirmed(&mut self, now: Duration, store: &Store, holder: MemberId) {
        let Some(session) = self.sessions.get_mut(&holder) else { return };
        let mut overdue = vec![];
        for scope in &session.unconfirmed {
            if let Some(known) = session.scopes.get_mut(scope)
                && now >= known.sent_at + RESEND_AFTER
            {
                (known.sent, known.next_part) = (known.position, None);
                overdue.push(*scope);
            }
        }
        session.unconfirmed.retain(|scope| !overdue.contains(scope));
        overdue.into_iter().for_each(|scope| self.update_backlog(store, scope, holder));
    }

    /// Sends the backlogs of all holders as far as budgets allow. Returns the time at which to call this again, if a
    /// backlog remains.
    pub fn flush(&mut self, now: Duration, store: &Store, out: &mut Outgoing) -> Option<Duration> {
        let part_bytes = self.settings.part_bytes;
        let waiting = self.sessions.iter_mut().filter(|(_, session)| !session.backlog.is_empty());
        let blocked = waiting
            .filter_map(|(holder, session)| flush_session(now, store, part_bytes, *holder, session, out));
        blocked.min()
    }
}

/// Sends the backlog of one holder as far as its budget allows. Returns the time at which the budget allows more, if a
/// backlog remains.
fn flush_session(
    now: Duration,
    store: &Store,
    part_bytes: usize,
    holder: MemberId,
    session: &mut Session,
    out: &mut Outgoing,
) -> Option<Duration> {
    while let Some((priority, scope)) = session.backlog.first().copied() {
        let (Some(chain), Some(known)) = (store.chain(scope), session.scopes.get_mut(&scope)) else {
            session.backlog.pop_first();
            continue;
        };
        let next = next_message(chain, known, part_bytes);
        // A drain is sent at once and overdraws the budget; less urgent scopes then wait for longer.
        if priority > Priority::Drain && !session.bucket.allows(now, next.bytes) {
            return Some(session.bucket.ready_at(now, next.bytes));
        }
        session.bucket.spend(now, next.bytes);
        out.push((holder, next.message));
        if known.next_part.is_none() {
            (known.sent, known.sent_at) = (chain.position(), now);
            session.unconfirmed.insert(scope);
            session.backlog.pop_first();
        }
    }
    None
}

/// A message and its size on the wire, in bytes.
struct CostedMessage {
    message: Downward,
    bytes: usize,
}

/// Returns the next message that updates a holder. If that is a part of a snapshot, advances to the next part.
fn next_message(chain: &ScopeChain, known: &mut HolderScope, part_bytes: usize) -> CostedMessage {
    let links = chain.links_after(known.sent).filter(|_| known.next_part.is_none());
    if let Some(links) = links {
        let links: Vec<_> = links.into_iter().cloned().collect();
        let bytes = postcard::to_stdvec(&links).map_or(0, |encoded| encoded.len());
        if bytes <= MAX_LINK_BYTES {
            return CostedMessage { message: Downward::Links { links }, bytes: bytes + FRAME_BYTES };
        }
    }
    next_snapshot_part(chain, known, part_bytes)
}

fn next_snapshot_part(chain: &ScopeChain, known: &mut HolderScope, part_bytes: usize) -> CostedMessage {
    let snapshot = chain.snapshot();
    let position = snapshot.position;
    let parts = snapshot.state.len().div_ceil(part_bytes).max(1) as u32;
    let part = known.next_part.filter(|next| next.position == position).map_or(0, |next| next.part);
    let from = part as usize * part_bytes;
    let bytes = snapshot.state[from..snapshot.state.len().min(from + part_bytes)].to_vec();
    known.next_part = (part + 1 < parts).then_some(NextPart { position, part: part + 1 });
    let cost = bytes.len() + FRAME_BYTES;
    let (scope, parent) = (snapshot.scope, snapshot.parent);
    let message = Downward::Part(SnapshotPart { scope, position, parent, part, parts, bytes });
    CostedMessage { message, bytes: cost }
}
