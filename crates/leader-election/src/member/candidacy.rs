//! Who is chosen: asking first, votes on disk before they are said.

use super::{Host, Lead, Member, Role};
use crate::roster::Id;
use crate::word::Word;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl<H: Host> Member<H> {
    pub(super) fn may_vote(&self, now: Duration, for_whom: Id, roster: (u64, u64), yielded: bool) -> bool {
        let free = now >= self.promised || yielded;
        let leads = matches!(&self.role, Role::Leading(lead) if now < lead.until);
        self.takes_part()
            && now >= self.mute
            && free
            && (!leads || yielded)
            && roster >= self.kept.roster.version()
            && (self.kept.roster.holds(for_whom) || roster > self.kept.roster.version())
    }

    pub(super) fn favoured(&mut self, now: Duration, from: Id, epoch: u64) {
        if epoch != self.kept.epoch + 1 {
            return;
        }
        let Role::Canvassing { favours } = &mut self.role else { return };
        favours.insert(from);
        let favours = favours.clone();
        if self.kept.roster.majority(|id| favours.contains(&id)) {
            self.stand(now, false);
        }
    }

    /// Votes for itself in the next epoch, and asks the others once that is on disk.
    pub(super) fn stand(&mut self, now: Duration, yielded: bool) {
        (self.kept.epoch, self.kept.vote) = (self.kept.epoch + 1, Some(self.kept.id));
        self.role = Role::Standing { yielded, asked: None, votes: BTreeSet::new() };
        self.put_off(now);
        self.keep();
        self.ask(now);
    }

    pub(super) fn ask(&mut self, now: Duration) {
        if self.on_disk < self.kept.stamp {
            return;
        }
        let Role::Standing { yielded, asked, votes } = &mut self.role else { return };
        if asked.is_some() {
            return;
        }
        *asked = Some(now);
        votes.insert(self.kept.id);
        let word =
            Word::Ask { epoch: self.kept.epoch, roster: self.kept.roster.version(), yielded: *yielded };
        for other in self.kept.roster.others(self.kept.id) {
            self.host.say(other, word.clone());
        }
        self.count(now);
    }

    pub(super) fn asked(&mut self, now: Duration, from: Id, epoch: u64, roster: (u64, u64), yielded: bool) {
        if epoch < self.kept.epoch {
            return self.host.say(from, Word::Newer { epoch: self.kept.epoch });
        }
        let free = epoch > self.kept.epoch || self.kept.vote.is_none_or(|v| v == from);
        // One that may not be voted for does not raise the epoch either: a member that came back from behind a cut
        // would else end the lease of a leader that all others hear.
        if !free || !self.may_vote(now, from, roster, yielded) {
            return;
        }
        self.adopt(now, epoch);
        if self.kept.vote.is_none() {
            self.kept.vote = Some(from);
            self.keep();
        }
        self.promised = now + self.terms.wait();
        self.follow(now, None);
        self.say_kept(from, Word::Vote { epoch });
    }

    pub(super) fn voted(&mut self, now: Duration, from: Id, epoch: u64) {
        if epoch == self.kept.epoch
            && let Role::Standing { votes, asked: Some(_), .. } = &mut self.role
        {
            votes.insert(from);
            self.count(now);
        }
    }

    pub(super) fn count(&mut self, now: Duration) {
        let Role::Standing { asked: Some(asked), votes, .. } = &self.role else { return };
        let (asked, votes) = (*asked, votes.clone());
        if !self.kept.roster.majority(|id| votes.contains(&id)) {
            return;
        }
        // Those who voted help no other for as long, from when they were asked on.
        let until = asked + self.terms.lease;
        if now >= until && self.kept.roster.seats.len() > 1 {
            return;
        }
        self.role = Role::Leading(Lead {
            since: now,
            number: 0,
            sent: BTreeMap::new(),
            heard: votes.iter().map(|id| (*id, asked)).collect(),
            rosters: BTreeMap::new(),
            until,
            beat_at: now,
        });
        self.stood_down = None;
        // Stated anew in this epoch, so that one of an older that only few have is out of the way.
        (self.kept.roster.epoch, self.kept.roster.number) = (self.kept.epoch, 0);
        self.keep();
        self.host.lead(self.kept.epoch);
        self.beat(now);
    }
}
