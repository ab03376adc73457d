//! How long a leader may order: by the newest beat that a majority heard.

use super::{Host, Member, Role, Why};
use crate::roster::Id;
use crate::word::Word;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Lead {
    pub since: Duration,
    pub number: u64,
    /// When beats that may still be answered went out.
    pub sent: BTreeMap<u64, Duration>,
    /// When the newest beat went out that a member heard; its roster.
    pub heard: BTreeMap<Id, Duration>,
    pub rosters: BTreeMap<Id, (u64, u64)>,
    pub until: Duration,
    pub beat_at: Duration,
}

impl<H: Host> Member<H> {
    pub(super) fn beat(&mut self, now: Duration) {
        let Role::Leading(lead) = &mut self.role else { return };
        lead.number += 1;
        lead.beat_at = now + self.terms.beat;
        lead.sent.insert(lead.number, now);
        while lead.sent.len() > Self::BEATS {
            lead.sent.pop_first();
        }
        let (number, epoch, roster) = (lead.number, self.kept.epoch, self.kept.roster.version());
        for other in self.kept.roster.others(self.kept.id) {
            self.host.say(other, Word::Beat { epoch, number, roster });
        }
        self.renew(now);
    }

    /// The lease runs from the newest beat that a majority heard.
    pub(super) fn renew(&mut self, now: Duration) {
        let (id, lease) = (self.kept.id, self.terms.lease);
        let Role::Leading(lead) = &mut self.role else { return };
        let seats = &self.kept.roster.seats;
        let mut times: Vec<Duration> = seats
            .keys()
            .map(|s| if *s == id { now } else { lead.heard.get(s).copied().unwrap_or_default() })
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(majority) = times.get(seats.len() / 2) {
            lead.until = lead.until.max(*majority + lease);
        }
    }

    pub(super) fn was_heard(&mut self, now: Duration, from: Id, epoch: u64, number: u64, roster: (u64, u64)) {
        if epoch != self.kept.epoch {
            return;
        }
        let Role::Leading(lead) = &mut self.role else { return };
        if let Some(sent) = lead.sent.get(&number).copied() {
            let newest = lead.heard.entry(from).or_default();
            *newest = sent.max(*newest);
        }
        let newest = lead.rosters.entry(from).or_default();
        *newest = roster.max(*newest);
        // A lease that ran out is not renewed: what was heard since may be from before it did.
        if now < lead.until {
            self.renew(now);
        }
        let known = self.kept.roster.version();
        if roster < known && self.kept.roster.holds(from) {
            let word = Word::Seats { epoch, roster: self.kept.roster.clone() };
            self.say_kept(from, word);
        }
        self.leave_if_removed(now);
    }

    pub(super) fn settled(&self, lead: &Lead) -> bool {
        let known = self.kept.roster.version();
        self.kept.roster.majority(|id| lead.rosters.get(&id).is_some_and(|v| *v == known))
    }

    pub(super) fn leave_if_removed(&mut self, now: Duration) {
        if let Role::Leading(lead) = &self.role
            && !self.kept.roster.holds(self.kept.id)
            && self.settled(lead)
        {
            self.stop(now, Why::Removed);
        }
    }

    pub(super) fn beaten(&mut self, now: Duration, from: Id, epoch: u64, number: u64) {
        if epoch < self.kept.epoch {
            return self.host.say(from, Word::Newer { epoch: self.kept.epoch });
        }
        if epoch == self.kept.epoch && self.leads() {
            // Only where a member voted twice, out of a state that it was set back to.
            self.host.note("another leads in this very epoch: a member's state was set back");
            return self.stop(now, Why::PassedOver(epoch));
        }
        self.adopt(now, epoch);
        self.promised = now + self.terms.wait();
        self.heard_at = now;
        self.follow(now, Some(from));
        let known = if self.on_disk >= self.kept.stamp { self.kept.roster.version() } else { (0, 0) };
        self.host.say(from, Word::Heard { epoch, number, roster: known });
    }
}
