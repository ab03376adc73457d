//! Who takes part, by the leader's word, one seat at a time.

use super::{Host, Member, Refused, Role, Why};
use crate::roster::{Id, Roster, Seat};
use crate::word::Word;
use std::time::Duration;

impl<H: Host> Member<H> {
    pub(super) fn seats(&mut self, now: Duration, from: Id, epoch: u64, roster: Roster) {
        let leader = matches!(&self.role, Role::Following { leader: Some(l) } if *l == from);
        if epoch != self.kept.epoch || !leader || roster.version() <= self.kept.roster.version() {
            return;
        }
        let took_part = self.kept.roster.holds(self.kept.id);
        let version = roster.version();
        self.kept.roster = roster;
        self.keep();
        match (took_part, self.kept.roster.holds(self.kept.id)) {
            (true, false) => self.host.note("this member takes no part any more"),
            (false, true) => self.host.note("this member takes part from here on"),
            _ => {}
        }
        self.put_off(now);
        self.say_kept(from, Word::Heard { epoch, number: 0, roster: version });
    }

    pub(super) fn may_change(&self) -> Result<(), Refused> {
        match &self.role {
            Role::Leading(lead) if self.settled(lead) => Ok(()),
            Role::Leading(_) => Err(Refused::Underway),
            _ => Err(Refused::NotLeading { leader: self.leader().map(|l| self.name_of(l)) }),
        }
    }

    pub(super) fn change(&mut self, now: Duration) {
        self.kept.roster.number += 1;
        self.keep();
        // Told at once, not with the next answer to a beat.
        let word = Word::Seats { epoch: self.kept.epoch, roster: self.kept.roster.clone() };
        for other in self.kept.roster.others(self.kept.id) {
            self.say_kept(other, word.clone());
        }
        self.beat(now);
    }

    /// # Errors
    ///
    /// It does not lead; another change is under way; the name or folder takes part already.
    pub fn add(&mut self, now: Duration, id: Id, seat: Seat) -> Result<(), Refused> {
        self.may_change()?;
        let roster = &mut self.kept.roster;
        if roster.holds(id) || roster.seats.values().any(|s| s.name == seat.name) {
            return Err(Refused::Already(seat.name));
        }
        roster.seats.insert(id, seat);
        self.change(now);
        Ok(())
    }

    /// The leader may remove itself: it leads until a majority of the rest knows.
    ///
    /// # Errors
    ///
    /// It does not lead; another change is under way; nobody has that name, or nobody else is there.
    pub fn remove(&mut self, now: Duration, name: &str) -> Result<(), Refused> {
        self.may_change()?;
        let roster = &mut self.kept.roster;
        let Some(id) = roster.seats.iter().find(|s| s.1.name == name).map(|s| *s.0) else {
            return Err(Refused::Nobody(name.into()));
        };
        if roster.seats.len() == 1 {
            return Err(Refused::Last);
        }
        let removed = roster.seats.remove(&id);
        self.change(now);
        if let Some(seat) = removed.filter(|_| id != self.kept.id) {
            let text = format!("{} takes no part any more", seat.name);
            self.host.note(&text);
            // It is told, so that it does not canvass for ever; whether it hears it does not matter.
            let word = Word::Seats { epoch: self.kept.epoch, roster: self.kept.roster.clone() };
            self.say_kept(id, word);
        }
        Ok(())
    }

    /// Leaves the lead to the member that was heard last.
    ///
    /// # Errors
    ///
    /// It does not lead, or nobody else is there.
    pub fn step_down(&mut self, now: Duration) -> Result<(), Refused> {
        let Role::Leading(lead) = &self.role else {
            return Err(Refused::NotLeading { leader: self.leader().map(|l| self.name_of(l)) });
        };
        let others = self.kept.roster.others(self.kept.id);
        let heard = |id: &Id| lead.heard.get(id).copied().unwrap_or_default();
        let Some(next) = others.into_iter().max_by_key(|id| (heard(id), *id)) else {
            return Err(Refused::Last);
        };
        let epoch = self.kept.epoch;
        self.stop(now, Why::Asked);
        // Those who hear the next may vote at once; this one stands again only if none is chosen.
        self.promised = now;
        self.host.say(next, Word::Turn { epoch });
        Ok(())
    }
}
