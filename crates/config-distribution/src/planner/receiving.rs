//! Handling of links and snapshots from a planner's relays or from the leader.

use super::{Planner, PlannerEvent, RejectCause};
use crate::chain::{ChainError, Link, ScopeId};
use crate::message::{Downward, SnapshotPart};
use grebespool_leader_election::MemberId;
use std::time::Duration;

/// Maximum number of events that are stored until the caller takes them.
const MAX_EVENTS: usize = 32;

impl Planner {
    pub(super) fn downward_received(&mut self, now: Duration, from: MemberId, message: Downward) {
        let term = self.term();
        for subscriber in [Some(&mut self.relays), self.leader.as_mut()].into_iter().flatten() {
            subscriber.observe_term(term);
            if subscriber.servers().contains(&from) {
                subscriber.message_received(now, from, &message);
            }
        }
        match message {
            Downward::Links { links } => {
                for link in links {
                    self.link_received(now, from, link);
                }
            }
            Downward::Part(part) => self.part_received(now, from, part),
            _ => {}
        }
    }

    /// Returns true if the planner needs a scope for itself or for its planners; the leader waits for both.
    fn needs_scope(&self, scope: ScopeId) -> bool {
        self.config.scopes.contains(&scope)
            || self.leader.as_ref().is_some_and(|leader| leader.subscribes(scope))
    }

    fn link_received(&mut self, now: Duration, from: MemberId, link: Link) {
        let scope = link.scope;
        if !self.needs_scope(scope) {
            return self.reject(from, scope, RejectCause::NotSubscribed);
        }
        match self.store.apply(now, link) {
            Ok(()) => self.scope_advanced(now, scope),
            Err(error) => self.reject_chain(from, scope, error),
        }
    }

    fn part_received(&mut self, now: Duration, from: MemberId, part: SnapshotPart) {
        let scope = part.scope;
        if !self.needs_scope(scope) {
            return self.reject(from, scope, RejectCause::NotSubscribed);
        }
        match self.store.add_part(now, part) {
            Ok(true) => self.scope_advanced(now, scope),
            Ok(false) => {}
            Err(error) => self.reject_chain(from, scope, error),
        }
    }

    fn scope_advanced(&mut self, now: Duration, scope: ScopeId) {
        self.unsaved.insert(scope);
        self.publish_status(now, scope);
    }

    fn reject_chain(&mut self, from: MemberId, scope: ScopeId, error: ChainError) {
        match error {
            ChainError::GoesBack { .. } => self.rejections.outdated += 1,
            error => self.reject(from, scope, RejectCause::Chain(error)),
        }
    }

    fn reject(&mut self, from: MemberId, scope: ScopeId, cause: RejectCause) {
        self.rejections.invalid += 1;
        if self.events.len() < MAX_EVENTS {
            self.events.push(PlannerEvent { scope, from, cause });
        }
    }
}
