//! The convener's part: the owner of the journal numbers editions, has them prepared everywhere, and says when each holds.

mod queue;

use crate::content::check;
use crate::edition::{Done, Edition, Hash, Kept};
use crate::fetch::Fetch;
use crate::terms::{Host, Terms};
use crate::word::{MOST_INLINE, Manifest, Name, Proposal, Ticket, Word};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::{Record, Token};
use queue::{Queue, Taken};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An edition under way.
#[derive(Debug, Clone)]
struct Under {
    edition: Edition,
    manifest: Manifest,
    /// Members that have it on disk and act by it and by the one before it.
    prepared: BTreeSet<MemberId>,
    begun: bool,
    fixed: bool,
    /// Somebody acts by it alone already, by the word of a former convener.
    held: bool,
    tickets: Vec<(MemberId, Ticket)>,
}

impl Under {
    /// `fixed`: found in the journal, and not begun here.
    fn new(
        edition: Edition,
        manifest: Manifest,
        fixed: bool,
        tickets: Vec<(MemberId, Ticket)>,
    ) -> Box<Under> {
        let (prepared, begun) = (BTreeSet::new(), fixed);
        Box::new(Under { edition, manifest, prepared, begun, fixed, held: false, tickets })
    }
}

#[derive(Debug, Clone)]
enum Phase {
    /// What the journal tells of is not here: somebody of the majority that has it is asked.
    Seeking(Fetch, Manifest, bool),
    Rest,
    Under(Box<Under>),
}

#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    /// The last renewal that was answered.
    granted: Option<Duration>,
    heard: Option<Duration>,
}

#[derive(Debug)]
pub(crate) struct Convener {
    token: Token,
    terms: Terms,
    phase: Phase,
    standing: Edition,
    peers: BTreeMap<MemberId, Peer>,
    queue: Queue,
    /// The journal takes a new step: the one before has ended.
    may_begin: bool,
    /// The step under way has had its effect, and the journal was not told yet.
    to_end: bool,
    /// Whatever a former convener granted has run out by then.
    free_from: Duration,
    again_at: Duration,
    /// Members of another history, for the log.
    strangers: BTreeMap<MemberId, Hash>,
}

impl Convener {
    /// `last`: what the journal has, under this convener's token.
    pub fn new(
        host: &mut impl Host,
        now: Duration,
        token: Token,
        terms: Terms,
        kept: &Kept,
        last: Option<&Record>,
    ) -> Self {
        let free_from = now + terms.wait();
        let mut convener = Convener {
            token,
            terms,
            phase: Phase::Rest,
            standing: Edition::default(),
            peers: BTreeMap::new(),
            queue: Queue::default(),
            may_begin: last.is_none_or(|l| l.ended),
            to_end: false,
            free_from,
            again_at: now,
            strangers: BTreeMap::new(),
        };
        if let Some(record) = last {
            match postcard::from_bytes::<Manifest>(&record.content) {
                Ok(manifest) => {
                    let fetch = Fetch::new(manifest.hash);
                    // What this member acts by alone was held.
                    let held = record.ended || kept.standing.hash == manifest.hash;
                    convener.phase = Phase::Seeking(fetch, manifest, held);
                    convener.find(&[Some(&kept.standing), kept.next.as_ref()]);
                }
                Err(why) => host.note(&format!("the journal's last edition cannot be read: {why}")),
            }
        }
        convener
    }

    pub fn token(&self) -> Token {
        self.token
    }

    /// Goes on with what the journal tells of, once all of it is here.
    fn find(&mut self, known: &[Option<&Edition>]) {
        let Phase::Seeking(fetch, manifest, ended) = &mut self.phase else { return };
        let known: Vec<&Edition> = known.iter().flatten().copied().chain([&self.standing]).collect();
        let by = |hash: Hash| known.iter().find(|e| e.hash == hash).map(|e| Edition::clone(e));
        let base = by(manifest.base);
        let edition = by(manifest.hash).or_else(|| base.as_ref()?.made(manifest));
        match (edition, base) {
            (Some(edition), _) if *ended => {
                (self.standing, self.phase) = (edition, Phase::Rest);
                self.to_end = !self.may_begin;
            }
            (Some(edition), Some(base)) => {
                self.standing = base;
                self.phase = Phase::Under(Under::new(edition, manifest.clone(), true, vec![]));
            }
            // The one before it is asked for first: what follows may be made out of it.
            (_, None) if !*ended && fetch.hash != manifest.base => *fetch = Fetch::new(manifest.base),
            _ => {}
        }
    }

    pub fn due(&self) -> Duration {
        let lapses = match &self.phase {
            Phase::Under(under) if under.fixed => self
                .peers
                .values()
                .filter_map(|p| Some(p.granted? + self.terms.wait()))
                .chain([self.free_from])
                .max(),
            _ => None,
        };
        self.again_at.min(lapses.unwrap_or(Duration::MAX).max(self.again_at.saturating_sub(self.terms.renew)))
    }

    pub fn woken(&mut self, host: &mut impl Host, now: Duration, seats: &[MemberId]) {
        if now >= self.again_at {
            self.again_at = now + self.terms.renew;
            self.again(host, now, seats);
        }
        self.go_on(host, now, seats);
    }

    /// What was not answered is said again.
    fn again(&mut self, host: &mut impl Host, now: Duration, seats: &[MemberId]) {
        let (token, standing) = (self.token, self.standing.name());
        match &mut self.phase {
            Phase::Seeking(fetch, ..) => {
                let word = fetch.ask();
                for id in seats {
                    host.say(*id, word.clone());
                    // So that they renew, and tell what they act by: it may be what is sought, held by a former convener.
                    host.say(*id, Word::Call { token, standing });
                }
            }
            Phase::Under(under) => {
                for id in seats.iter().filter(|id| !under.prepared.contains(id)) {
                    host.say(*id, Word::Prepare { token, manifest: under.manifest.clone() });
                }
            }
            Phase::Rest => {
                let late = |id: &MemberId| {
                    let heard = self.peers.get(id).and_then(|p| p.heard);
                    heard.is_none_or(|at| now >= at + self.terms.renew * 2)
                };
                seats
                    .iter()
                    .filter(|id| late(id))
                    .for_each(|id| host.say(*id, Word::Call { token, standing }));
            }
        }
    }

    /// Begins, fixes and holds whatever is ripe.
    fn go_on(&mut self, host: &mut impl Host, now: Duration, seats: &[MemberId]) {
        if std::mem::take(&mut self.to_end) {
            host.end(self.token);
        }
        self.begin(host, seats);
        let (token, wait) = (self.token, self.terms.wait());
        let Phase::Under(under) = &mut self.phase else { return };
        let majority = seats.iter().filter(|id| under.prepared.contains(id)).count() * 2 > seats.len();
        // What is fixed must be found again: the record has it all, or a majority's disks have.
        if !under.begun && (under.manifest.changes.is_some() || majority) {
            under.begun = true;
            host.fix(token, postcard::to_stdvec(&under.manifest).expect("memory takes all"));
        }
        let peers = &self.peers;
        let lapsed = |id: &MemberId| {
            let granted = peers.get(id).and_then(|p| p.granted).map_or(Duration::ZERO, |at| at + wait);
            now >= granted.max(self.free_from)
        };
        let ripe = under.held || seats.iter().all(|id| under.prepared.contains(id) || lapsed(id));
        if !under.fixed || !ripe {
            return;
        }
        let Phase::Under(under) = std::mem::replace(&mut self.phase, Phase::Rest) else { return };
        self.standing = under.edition;
        let standing = self.standing.name();
        seats.iter().for_each(|id| host.say(*id, Word::Hold { token, standing }));
        for (id, ticket) in under.tickets {
            host.say(id, Word::Proposed { ticket, done: Ok(standing.0) });
        }
        host.end(token);
    }

    /// Folds what was proposed into one edition. Each proposal is judged by itself, on top of those before it; one that
    /// withdraws too much together with them, and not by itself, waits for the next edition.
    fn begin(&mut self, host: &mut impl Host, seats: &[MemberId]) {
        if !matches!(self.phase, Phase::Rest) || !self.may_begin || self.queue.is_empty() {
            return;
        }
        let (mut content, mut changes) = (self.standing.content().clone(), vec![]);
        let mut done: BTreeMap<MemberId, Done> = BTreeMap::new();
        let (mut tickets, mut waits) = (vec![], vec![]);
        for taken in self.queue.take() {
            let Taken { from, ticket, changes: more, forced } = &taken;
            if waits.iter().any(|w: &Taken| w.from == *from) {
                waits.push(taken);
                continue;
            }
            let judge = |base: &crate::Content| {
                let mut next = base.clone();
                let idle: Vec<String> = (more.iter().filter(|c| !c.apply(&mut next)))
                    .map(|c| format!("nothing of that name to change: {c:?}"))
                    .collect();
                let most = self.terms.most_withdrawn;
                let checked = check(self.standing.content(), &next, &self.terms.limits, most, *forced);
                match checked.map_err(|faults| faults.iter().map(ToString::to_string).collect()) {
                    Ok(()) if idle.is_empty() => Ok(next),
                    Ok(()) => Err(idle),
                    Err(faults) => Err::<_, Vec<String>>(faults),
                }
            };
            match judge(&content) {
                Ok(next) => {
                    (content, changes) = (next, [changes, more.clone()].concat());
                    tickets.push((*from, *ticket));
                    done.entry(*from).or_insert_with(|| self.standing.done(*from)).last = *ticket;
                }
                Err(_) if !changes.is_empty() && judge(self.standing.content()).is_ok() => waits.push(taken),
                Err(why) => {
                    let known = done.entry(*from).or_insert_with(|| self.standing.done(*from));
                    known.last = *ticket;
                    known.refused.insert(*ticket);
                    self.queue.refuse(*from, *ticket, why.clone());
                    host.say(*from, Word::Proposed { ticket: *ticket, done: Err(why) });
                }
            }
        }
        self.queue.put_back(waits);
        // What a member knows to be refused need not go from edition to edition for ever.
        for (from, known) in &mut done {
            known.refused.retain(|ticket| self.queue.asks(*from, *ticket));
        }
        if changes.is_empty() {
            return;
        }
        let edition = self.standing.next(&changes, &done);
        let small = postcard::to_stdvec(&changes).is_ok_and(|b| b.len() <= MOST_INLINE);
        let manifest = Manifest {
            number: edition.number(),
            hash: edition.hash,
            base: self.standing.hash,
            changes: small.then_some(changes),
            done,
        };
        let token = self.token;
        seats.iter().for_each(|id| host.say(*id, Word::Prepare { token, manifest: manifest.clone() }));
        let under = Under::new(edition, manifest, false, tickets);
        (self.phase, self.may_begin) = (Phase::Under(under), false);
    }

    /// A majority has the step that was begun.
    pub fn fixed(&mut self, host: &mut impl Host, now: Duration, seats: &[MemberId]) {
        if let Phase::Under(under) = &mut self.phase {
            under.fixed = true;
        }
        self.go_on(host, now, seats);
    }

    pub fn unfixed(&mut self) {
        if let Phase::Under(under) = &mut self.phase {
            under.begun = under.fixed;
        }
    }

    pub fn ended(&mut self, host: &mut impl Host, now: Duration, seats: &[MemberId]) {
        self.may_begin = true;
        self.go_on(host, now, seats);
    }

    pub fn prepared(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        from: MemberId,
        next: Name,
        seats: &[MemberId],
    ) {
        if let Phase::Under(under) = &mut self.phase
            && under.edition.name() == next
        {
            under.prepared.insert(from);
            self.go_on(host, now, seats);
        }
    }

    pub fn renew(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        (from, count): (MemberId, u64),
        standing: Name,
        next: Option<Name>,
        seats: &[MemberId],
    ) {
        let token = self.token;
        self.peers.entry(from).or_default().heard = Some(now);
        match &mut self.phase {
            // It holds there, so it was held: the one before it is not needed any more, and nobody may have it.
            Phase::Seeking(fetch, manifest, ended) => {
                if !*ended && standing == (manifest.number, manifest.hash) {
                    (*fetch, *ended) = (Fetch::new(manifest.hash), true);
                    host.say(from, fetch.ask());
                }
                return;
            }
            Phase::Under(under) if standing == under.edition.name() => {
                under.held = true;
                self.go_on(host, now, seats);
            }
            _ => {}
        }
        let own = self.standing.name();
        if standing.0 == own.0 && standing.1 != own.1 {
            if self.strangers.insert(from, standing.1) != Some(standing.1) {
                host.note(&format!(
                    "edition {} is {} here and {} at member {from:016x}: two histories; it is granted nothing",
                    own.0, own.1, standing.1
                ));
            }
            return;
        }
        let under = if let Phase::Under(under) = &self.phase { Some(under.edition.name()) } else { None };
        if standing == own && (under.is_none() || next == under) {
            self.peers.entry(from).or_default().granted = Some(now);
            host.say(from, Word::Renewed { token, count, standing: own, next: under });
            // As it has it on its disk.
            if let Some(name) = under {
                self.prepared(host, now, from, name, seats);
            }
        } else if standing == own {
            if let Phase::Under(under) = &self.phase {
                host.say(from, Word::Prepare { token, manifest: under.manifest.clone() });
            }
        } else if next == Some(own) {
            host.say(from, Word::Hold { token, standing: own });
        } else {
            host.say(from, Word::Call { token, standing: own });
        }
    }

    pub fn propose(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        from: MemberId,
        proposals: Vec<Proposal>,
        seats: &[MemberId],
    ) {
        let known = self.standing.done(from);
        let mut proposals = proposals;
        if let Phase::Under(under) = &mut self.phase
            && let Some(done) = under.manifest.done.get(&from)
        {
            // Part of what is under way, by this convener or one before: answered once that holds.
            let part = |t: Ticket| t > known.last && t <= done.last && !done.refused.contains(&t);
            let also = proposals.iter().map(|p| (from, p.ticket)).filter(|t| part(t.1));
            let also: Vec<(MemberId, Ticket)> = also.filter(|t| !under.tickets.contains(t)).collect();
            under.tickets.extend(also);
            proposals.retain(|p| !part(p.ticket));
        }
        self.queue.propose(host, from, proposals, (self.standing.number(), known));
        self.go_on(host, now, seats);
    }

    /// A part of something that was asked for, from anyone.
    pub fn part(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        from: MemberId,
        (hash, part, parts, bytes): (Hash, u32, u32, &[u8]),
        seats: &[MemberId],
    ) {
        if let Phase::Seeking(fetch, ..) = &mut self.phase
            && fetch.hash == hash
        {
            match fetch.part(part, parts, bytes) {
                None => {
                    let word = fetch.ask();
                    host.say(from, word);
                }
                Some(whole) => match Edition::read(&whole, hash) {
                    Ok(edition) => {
                        // The base is kept as what stands until the one after it is here.
                        self.find(&[Some(&edition)]);
                        if matches!(self.phase, Phase::Seeking(..)) {
                            self.standing = edition;
                            self.seek_next(host, seats);
                        }
                    }
                    Err(why) => host.note(&format!("an edition's bytes are not taken: {why}")),
                },
            }
        }
        self.queue.part(host, from, hash, part, parts, bytes);
        self.go_on(host, now, seats);
    }

    fn seek_next(&mut self, host: &mut impl Host, seats: &[MemberId]) {
        if let Phase::Seeking(fetch, manifest, _) = &mut self.phase {
            *fetch = Fetch::new(manifest.hash);
            let word = fetch.ask();
            seats.iter().for_each(|id| host.say(*id, word.clone()));
        }
    }

    /// What it has of these bytes.
    pub fn bytes(&self, hash: Hash) -> Option<Vec<u8>> {
        let under = if let Phase::Under(under) = &self.phase { Some(&under.edition) } else { None };
        let known = under.into_iter().chain([&self.standing]);
        known.filter(|e| e.hash == hash).map(|e| e.blob.bytes()).next()
    }
}
