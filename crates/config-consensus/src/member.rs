//! One member's part in editions: what it holds, what it proposes, and what it convenes while it owns the journal.

use crate::content::{Change, View};
use crate::convene::Convener;
use crate::edition::{Edition, Hash, Kept, MOST_BYTES};
use crate::fetch;
use crate::holder::{Acts, Holder};
use crate::terms::{Host, Terms};
use crate::word::{Body, MOST_INLINE, Name, Proposal, Ticket, Word};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::{Record, Token};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How a member stands, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shown {
    pub acts: Acts,
    pub standing: Name,
    pub next: Option<Name>,
    pub convener: Option<(Token, MemberId)>,
    pub convenes: bool,
    /// Proposals of this member that are not answered.
    pub waiting: usize,
}

/// Hands over what a member says to itself without the way over the wire.
struct Local<'a, H> {
    host: &'a mut H,
    own: MemberId,
    inbox: &'a mut VecDeque<Word>,
}

impl<H: Host> Host for Local<'_, H> {
    fn say(&mut self, to: MemberId, word: Word) {
        if to == self.own { self.inbox.push_back(word) } else { self.host.say(to, word) }
    }
    fn keep(&mut self, kept: &Kept, stamp: u64) {
        self.host.keep(kept, stamp);
    }
    fn fix(&mut self, token: Token, content: Vec<u8>) {
        self.host.fix(token, content);
    }
    fn end(&mut self, token: Token) {
        self.host.end(token);
    }
    fn acts(&mut self, acts: Acts) {
        self.host.acts(acts);
    }
    fn proposed(&mut self, ticket: Ticket, done: Result<u64, Vec<String>>) {
        self.host.proposed(ticket, done);
    }
    fn note(&mut self, text: &str) {
        self.host.note(text);
    }
}

struct Waiting {
    proposal: Proposal,
    /// Of one that is too large for a word.
    bytes: Vec<u8>,
    /// Servers that it takes calls from: acted on before it is agreed, since that is the stricter, and not any more
    /// once it has come to nothing.
    closes: Vec<String>,
}

pub struct Member<H> {
    host: H,
    own: MemberId,
    terms: Terms,
    seats: Vec<MemberId>,
    inbox: VecDeque<Word>,
    holder: Holder,
    convener: Option<Convener>,
    /// The token by which it owns the journal at the moment of this call.
    owned: Option<Token>,
    waiting: BTreeMap<Ticket, Waiting>,
    ticket: Ticket,
    propose_at: Duration,
}

macro_rules! local {
    ($self:ident) => {
        &mut Local { host: &mut $self.host, own: $self.own, inbox: &mut $self.inbox }
    };
}

impl<H: Host> Member<H> {
    /// Proposals that wait for an answer.
    const MOST_WAITING: usize = 1024;

    /// `life` rises with each start, whatever else is lost.
    pub fn start(host: H, own: MemberId, terms: Terms, kept: Kept, life: u32) -> Member<H> {
        Member {
            host,
            own,
            holder: Holder::new(terms.clone(), kept),
            terms,
            seats: vec![],
            inbox: VecDeque::new(),
            convener: None,
            owned: None,
            waiting: BTreeMap::new(),
            ticket: u64::from(life) << 32,
            propose_at: Duration::ZERO,
        }
    }

    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// When [`Member::woken`] is to be called next.
    pub fn due(&self) -> Duration {
        let proposes = if self.waiting.is_empty() { Duration::MAX } else { self.propose_at };
        let owned = self.convener.as_ref().filter(|c| Some(c.token()) == self.owned);
        let convenes = owned.map_or(Duration::MAX, Convener::due);
        self.holder.due().min(proposes).min(convenes)
    }

    /// By what this member may act at this very moment. To be asked with a clock that was just read.
    pub fn acts(&self, now: Duration) -> Acts {
        self.holder.acts(now)
    }

    /// What it goes by. Without a lease, only what stands of it is gone on with.
    pub fn view(&self) -> View {
        let mut view = self.holder.view();
        self.waiting.values().flat_map(|w| &w.closes).for_each(|name| view.drain(name));
        view
    }

    pub fn held(&self) -> &Kept {
        self.holder.kept()
    }

    pub fn shown(&self, now: Duration) -> Shown {
        let kept = self.holder.kept();
        Shown {
            acts: self.holder.acts(now),
            standing: kept.standing.name(),
            next: kept.next.as_ref().map(Edition::name),
            convener: self.holder.convener(),
            convenes: self.convener.is_some(),
            waiting: self.waiting.len(),
        }
    }

    /// To be told before every other call, with a clock that was just read: whether this member owns the journal. One that
    /// stalled and wakes would grant what the next convener has waited out.
    pub fn owns(&mut self, token: Option<Token>) {
        self.owned = token;
    }

    /// Who takes part.
    pub fn seats(&mut self, now: Duration, seats: Vec<MemberId>) {
        self.seats = seats;
        self.settle(now);
    }

    /// Proposes changes on top of whatever stands. What becomes of it is told by its ticket.
    ///
    /// # Errors
    ///
    /// Too much waits already, or it is too large.
    pub fn propose(&mut self, now: Duration, changes: Vec<Change>, forced: bool) -> Result<Ticket, String> {
        if self.waiting.len() >= Self::MOST_WAITING {
            return Err(format!("{} proposals wait already", self.waiting.len()));
        }
        let bytes = postcard::to_stdvec(&changes).map_err(|e| e.to_string())?;
        if bytes.len() > MOST_BYTES {
            return Err(format!("{} bytes of changes; {MOST_BYTES} can be", bytes.len()));
        }
        let closes = changes.iter().filter_map(Change::closes).cloned().collect();
        self.ticket += 1;
        let (body, bytes) = if bytes.len() <= MOST_INLINE {
            (Body::Changes(changes), vec![])
        } else {
            (Body::Bytes(Hash::of(&bytes)), bytes)
        };
        let proposal = Proposal { ticket: self.ticket, body, forced };
        self.waiting.insert(self.ticket, Waiting { proposal, bytes, closes });
        self.say_proposals(now);
        self.settle(now);
        Ok(self.ticket)
    }

    fn say_proposals(&mut self, now: Duration) {
        self.propose_at = now + self.terms.renew;
        let Some((_, convener)) = self.holder.convener().filter(|_| !self.waiting.is_empty()) else { return };
        let (mut proposals, mut bytes) = (vec![], 0);
        for waiting in self.waiting.values() {
            bytes += postcard::to_stdvec(&waiting.proposal).map_or(0, |b| b.len());
            if bytes > MOST_INLINE && !proposals.is_empty() {
                break;
            }
            proposals.push(waiting.proposal.clone());
        }
        Host::say(local!(self), convener, Word::Propose { proposals });
    }

    /// Time has passed.
    pub fn woken(&mut self, now: Duration) {
        self.holder.woken(local!(self), now);
        if now >= self.propose_at {
            self.say_proposals(now);
        }
        let owned = self.owned;
        if let Some(convener) = self.convener.as_mut().filter(|c| Some(c.token()) == owned) {
            convener.woken(local!(self), now, &self.seats);
        }
        self.settle(now);
    }

    /// All up to this stamp is on disk.
    pub fn kept(&mut self, now: Duration, stamp: u64) {
        self.holder.on_disk(local!(self), stamp);
        self.settle(now);
    }

    // As the owner of the journal.

    /// This member owns the journal, whose last record stands under this token.
    pub fn convene(&mut self, now: Duration, token: Token, last: Option<&Record>) {
        let kept = self.holder.kept().clone();
        self.owned = Some(token);
        let convener = Convener::new(local!(self), now, token, self.terms.clone(), &kept, last);
        self.convener = Some(convener);
        self.woken(now);
    }

    /// It owns the journal no more.
    pub fn cease(&mut self, now: Duration) {
        if let Some(convener) = self.convener.take()
            && self.holder.convener().is_some_and(|c| c.0 == convener.token())
        {
            self.holder.forget_convener();
        }
        self.settle(now);
    }

    fn as_convener(
        &mut self,
        now: Duration,
        token: Token,
        what: impl FnOnce(&mut Convener, &mut Local<H>, &[MemberId]),
    ) {
        let owned = self.owned == Some(token);
        if let Some(convener) = self.convener.as_mut().filter(|c| owned && c.token() == token) {
            what(convener, local!(self), &self.seats);
        }
        self.settle(now);
    }

    /// A majority has the step that was begun.
    pub fn fixed(&mut self, now: Duration, token: Token) {
        self.as_convener(now, token, |c, host, seats| c.fixed(host, now, seats));
    }

    /// It could not be begun: it is tried again.
    pub fn unfixed(&mut self, now: Duration, token: Token) {
        self.as_convener(now, token, |c, _, _| c.unfixed());
    }

    /// A majority knows that the step has ended.
    pub fn ended(&mut self, now: Duration, token: Token) {
        self.as_convener(now, token, |c, host, seats| c.ended(host, now, seats));
    }

    pub fn heard(&mut self, now: Duration, from: MemberId, word: Word) {
        self.hear(now, from, word);
        self.settle(now);
    }

    fn hear(&mut self, now: Duration, from: MemberId, word: Word) {
        let seats = self.seats.clone();
        let owned = self.owned;
        let convener = self.convener.as_mut().filter(|c| Some(c.token()) == owned);
        match word {
            Word::Call { token, standing } => self.holder.called(local!(self), now, from, token, standing),
            Word::Prepare { token, manifest } => {
                self.holder.prepare(local!(self), now, from, token, manifest);
            }
            Word::Hold { token, standing } => self.holder.hold(local!(self), now, from, token, standing),
            Word::Renewed { token, count, standing, next } => {
                self.holder.renewed(local!(self), now, (from, token), count, standing, next);
            }
            Word::Prepared { token, next } => {
                if let Some(convener) = convener.filter(|c| c.token() == token && seats.contains(&from)) {
                    convener.prepared(local!(self), now, from, next, &seats);
                }
            }
            Word::Renew { token, count, standing, next } => {
                if let Some(convener) = convener.filter(|c| c.token() == token && seats.contains(&from)) {
                    convener.renew(local!(self), now, (from, count), standing, next, &seats);
                }
            }
            Word::Propose { proposals } => {
                if let Some(convener) = convener.filter(|_| seats.contains(&from)) {
                    convener.propose(local!(self), now, from, proposals, &seats);
                }
            }
            Word::Proposed { ticket, done } => {
                // Only once: said again, it was answered again.
                if self.waiting.remove(&ticket).is_some() {
                    self.host.proposed(ticket, done);
                }
            }
            Word::Want { hash, part } => {
                if let Some(bytes) = self.bytes(hash)
                    && let Some(word) = fetch::part(hash, &bytes, part)
                {
                    Host::say(local!(self), from, word);
                }
            }
            Word::Part { hash, part, parts, bytes } => {
                if let Some(convener) = convener {
                    convener.part(local!(self), now, from, (hash, part, parts, &bytes), &seats);
                }
                self.holder.part(local!(self), now, (hash, part, parts, bytes));
            }
        }
    }

    /// What this member has of these bytes.
    fn bytes(&self, hash: Hash) -> Option<Vec<u8>> {
        let kept = self.holder.kept();
        let held = [Some(&kept.standing), kept.next.as_ref()].into_iter().flatten();
        let held = held.filter(|e| e.hash == hash).map(|e| e.blob.bytes()).next();
        let proposed =
            || self.waiting.values().find(|w| w.proposal.body == Body::Bytes(hash)).map(|w| w.bytes.clone());
        held.or_else(|| self.convener.as_ref()?.bytes(hash)).or_else(proposed)
    }

    /// Hears what this member said to itself.
    fn settle(&mut self, now: Duration) {
        while let Some(word) = self.inbox.pop_front() {
            self.hear(now, self.own, word);
        }
    }
}
