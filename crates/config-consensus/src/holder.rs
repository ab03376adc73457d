//! What a member holds, and by what it may act.

use crate::content::View;
use crate::edition::{Edition, Kept};
use crate::fetch::Fetch;
use crate::terms::{Host, Terms};
use crate::word::{Manifest, Name, Word};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::Token;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// By what a member acts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Acts {
    Alone(u64),
    /// By what both allow.
    Both(u64, u64),
    /// Without a lease: it goes on with tables that stand and drains that it knows of, raises nothing and places nothing.
    Unleased,
}

impl fmt::Display for Acts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Acts::Alone(n) => write!(f, "edition {n}"),
            Acts::Both(a, b) => write!(f, "editions {a} and {b}, the stricter of both"),
            Acts::Unleased => f.write_str("no edition: the lease ran out"),
        }
    }
}

/// What is fetched, and what for.
#[derive(Debug, Clone)]
enum Missing {
    /// What stands by the convener's word.
    Standing(Fetch),
    Next(Fetch, Manifest),
}

impl Missing {
    fn fetch(&mut self) -> &mut Fetch {
        let (Missing::Standing(fetch) | Missing::Next(fetch, _)) = self;
        fetch
    }
}

/// A renewal that may still be answered: when it was sent, and what it told as prepared.
type Sent = (Duration, Option<Name>);

#[derive(Debug)]
pub(crate) struct Holder {
    terms: Terms,
    kept: Kept,
    until: Duration,
    convener: Option<(Token, MemberId)>,
    count: u64,
    sent: BTreeMap<u64, Sent>,
    renew_at: Duration,
    missing: Option<Missing>,
    stamp: u64,
    on_disk: u64,
    /// To be said once so much is on disk.
    held: Vec<(u64, MemberId, Word)>,
    acts: Acts,
    noted: Option<String>,
}

impl Holder {
    /// Renewals whose answers are waited for.
    const RENEWALS: usize = 32;

    pub fn new(terms: Terms, kept: Kept) -> Holder {
        Holder {
            terms,
            kept,
            until: Duration::ZERO,
            convener: None,
            count: 0,
            sent: BTreeMap::new(),
            renew_at: Duration::ZERO,
            missing: None,
            stamp: 0,
            on_disk: 0,
            held: vec![],
            acts: Acts::Unleased,
            noted: None,
        }
    }

    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    pub fn convener(&self) -> Option<(Token, MemberId)> {
        self.convener
    }

    /// One that stopped is not renewed with any more, whoever is next calls.
    pub fn forget_convener(&mut self) {
        self.convener = None;
    }

    pub fn due(&self) -> Duration {
        let lease = if self.acts == Acts::Unleased { Duration::MAX } else { self.until };
        if self.convener.is_some() { self.renew_at.min(lease) } else { lease }
    }

    /// By what it may act at this very moment: to be asked with a clock that was just read, right before an effect.
    pub fn acts(&self, now: Duration) -> Acts {
        let standing = self.kept.standing.number();
        match &self.kept.next {
            _ if now >= self.until => Acts::Unleased,
            None => Acts::Alone(standing),
            Some(next) => Acts::Both(standing, next.number()),
        }
    }

    pub fn view(&self) -> View {
        let standing = self.kept.standing.content();
        self.kept
            .next
            .as_ref()
            .map_or_else(|| View::of(standing), |next| View::both(standing, next.content()))
    }

    fn keep(&mut self, host: &mut impl Host) {
        self.stamp += 1;
        host.keep(&self.kept, self.stamp);
    }

    pub fn on_disk(&mut self, host: &mut impl Host, stamp: u64) {
        self.on_disk = self.on_disk.max(stamp);
        let (ready, later) = std::mem::take(&mut self.held).into_iter().partition(|h| h.0 <= self.on_disk);
        self.held = later;
        let ready: Vec<(u64, MemberId, Word)> = ready;
        ready.into_iter().for_each(|(_, to, word)| host.say(to, word));
    }

    /// Said once all that was handed over so far is on disk: a promise that a crash takes back was none.
    fn say_kept(&mut self, host: &mut impl Host, to: MemberId, word: Word) {
        if self.on_disk >= self.stamp { host.say(to, word) } else { self.held.push((self.stamp, to, word)) }
    }

    /// Tells what it acts by, where that is something else than before.
    fn tell(&mut self, host: &mut impl Host, now: Duration) {
        let acts = self.acts(now);
        if std::mem::replace(&mut self.acts, acts) != acts {
            host.acts(acts);
        }
    }

    /// Once for each cause.
    fn note(&mut self, host: &mut impl Host, text: String) {
        if self.noted.as_ref() != Some(&text) {
            host.note(&text);
            self.noted = Some(text);
        }
    }

    /// Whether a word is of the newest convener; the fence of the journal's duty ends an older one.
    fn heeds(&mut self, host: &mut impl Host, now: Duration, from: MemberId, token: Token) -> bool {
        let seen = self.kept.seen;
        if token < seen {
            return false;
        }
        if token > seen {
            // What was said to the former one counts for nothing with this one.
            self.sent.clear();
            self.kept.seen = token;
            self.keep(host);
        }
        if self.convener != Some((token, from)) {
            (self.convener, self.renew_at) = (Some((token, from)), now);
            self.missing = None;
        }
        true
    }

    /// Another content under a number that is taken here: two histories, which no rule can make one.
    fn other_history(&mut self, host: &mut impl Host, told: Name) -> bool {
        let (number, hash) = self.kept.standing.name();
        let other = number == told.0 && hash != told.1;
        if other {
            let text = format!(
                "edition {number} is {hash} here and {} at the convener: two histories; this member acts by none",
                told.1
            );
            self.note(host, text);
        }
        other
    }

    pub fn woken(&mut self, host: &mut impl Host, now: Duration) {
        if now >= self.renew_at {
            self.renew(host, now);
        }
        self.tell(host, now);
    }

    fn renew(&mut self, host: &mut impl Host, now: Duration) {
        self.renew_at = now + self.terms.renew;
        let Some((token, convener)) = self.convener else { return };
        if let Some(missing) = &mut self.missing {
            let word = missing.fetch().ask();
            host.say(convener, word);
        }
        // What is not on disk yet is not told: it could be gone after a crash.
        if self.on_disk < self.stamp {
            return;
        }
        self.count += 1;
        let next = self.kept.next.as_ref().map(Edition::name);
        self.sent.insert(self.count, (now, next));
        while self.sent.len() > Self::RENEWALS {
            self.sent.pop_first();
        }
        let word = Word::Renew { token, count: self.count, standing: self.kept.standing.name(), next };
        host.say(convener, word);
    }

    fn fetch(&mut self, host: &mut impl Host, missing: Missing) {
        let mut missing = missing;
        let same = |m: &mut Missing| m.fetch().hash == missing.fetch().hash;
        if self.missing.as_mut().is_some_and(same) {
            return;
        }
        if let Some((_, convener)) = self.convener {
            let word = missing.fetch().ask();
            host.say(convener, word);
        }
        self.missing = Some(missing);
    }

    /// The convener is there, and this stands: what is behind is fetched, what is prepared holds.
    pub fn called(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        from: MemberId,
        token: Token,
        standing: Name,
    ) {
        if !self.heeds(host, now, from, token) || self.other_history(host, standing) {
            return;
        }
        self.stands(host, now, standing);
        if now + self.terms.renew > self.renew_at + self.terms.renew / 2 {
            self.renew(host, now);
        }
    }

    fn stands(&mut self, host: &mut impl Host, now: Duration, standing: Name) {
        if self.kept.next.as_ref().is_some_and(|next| next.name() == standing) {
            if let Some(next) = self.kept.next.take() {
                self.kept.standing = next;
            }
            self.keep(host);
        } else if self.kept.standing.number() < standing.0 {
            self.fetch(host, Missing::Standing(Fetch::new(standing.1)));
        }
        self.tell(host, now);
    }

    pub fn prepare(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        from: MemberId,
        token: Token,
        manifest: Manifest,
    ) {
        if !self.heeds(host, now, from, token) || self.other_history(host, (manifest.number, manifest.hash)) {
            return;
        }
        if manifest.number <= self.kept.standing.number() {
            return;
        }
        let known = self.kept.next.as_ref().map(Edition::name);
        if known == Some((manifest.number, manifest.hash)) {
            return self.prepared(host, now);
        }
        // The one after what is prepared here is begun only where that holds.
        if known.is_some_and(|k| k.1 == manifest.base) {
            self.stands(host, now, (manifest.number - 1, manifest.base));
        }
        if self.kept.standing.hash != manifest.base {
            return self.fetch(host, Missing::Standing(Fetch::new(manifest.base)));
        }
        match self.kept.standing.made(&manifest) {
            Some(next) => self.take_next(host, now, next),
            None => self.fetch(host, Missing::Next(Fetch::new(manifest.hash), manifest)),
        }
    }

    fn take_next(&mut self, host: &mut impl Host, now: Duration, next: Edition) {
        self.missing = None;
        self.kept.next = Some(next);
        self.keep(host);
        self.prepared(host, now);
    }

    fn prepared(&mut self, host: &mut impl Host, now: Duration) {
        if let (Some((token, convener)), Some(next)) = (self.convener, &self.kept.next) {
            let word = Word::Prepared { token, next: next.name() };
            self.say_kept(host, convener, word);
        }
        self.tell(host, now);
    }

    pub fn hold(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        from: MemberId,
        token: Token,
        standing: Name,
    ) {
        if self.heeds(host, now, from, token) && !self.other_history(host, standing) {
            self.stands(host, now, standing);
        }
    }

    pub fn renewed(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        (from, token): (MemberId, Token),
        count: u64,
        standing: Name,
        next: Option<Name>,
    ) {
        if self.convener != Some((token, from)) || token != self.kept.seen {
            return;
        }
        let Some((sent, told)) = self.sent.get(&count).copied() else { return };
        self.stands(host, now, standing);
        // What is prepared here and is not known to a convener that was told of it comes to nothing: it was never fixed.
        // An answer to a renewal from before it was prepared says nothing of it.
        let own = self.kept.next.as_ref().map(Edition::name);
        if next.is_none() && own.is_some() && told == own && self.kept.standing.name() == standing {
            self.kept.next = None;
            self.keep(host);
        }
        let own = self.kept.next.as_ref().map(Edition::name);
        // A lease is of exactly what the convener knows this member to act by.
        if self.kept.standing.name() == standing && own == next {
            self.until = self.until.max(sent + self.terms.lease);
            self.sent = self.sent.split_off(&(count + 1));
        }
        self.tell(host, now);
    }

    pub fn part(&mut self, host: &mut impl Host, now: Duration, word: (crate::Hash, u32, u32, Vec<u8>)) {
        let (hash, part, parts, bytes) = word;
        let Some(missing) = &mut self.missing else { return };
        if missing.fetch().hash != hash {
            return;
        }
        let Some(whole) = missing.fetch().part(part, parts, &bytes) else {
            let word = missing.fetch().ask();
            // The next part at once: a way that answers is asked again.
            if let Some((_, convener)) = self.convener {
                host.say(convener, word);
            }
            return;
        };
        match (Edition::read(&whole, hash), self.missing.take()) {
            (Ok(edition), Some(Missing::Standing(_))) => {
                if edition.number() > self.kept.standing.number() {
                    (self.kept.standing, self.kept.next) = (edition, None);
                    self.keep(host);
                }
                self.renew(host, now);
            }
            (Ok(edition), Some(Missing::Next(_, manifest))) => {
                if self.kept.standing.hash == manifest.base && edition.number() == manifest.number {
                    self.take_next(host, now, edition);
                }
            }
            (Err(why), _) => host.note(&format!("an edition's bytes are not taken: {why}")),
            (Ok(_), None) => {}
        }
        self.tell(host, now);
    }
}
