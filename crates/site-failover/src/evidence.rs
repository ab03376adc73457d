//! What is seen of each site, and what it means.

use crate::Site;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

/// What one site's callers met at another's servers, in one report.
#[derive(Debug, Clone, Copy)]
struct Met {
    at: Duration,
    from: Site,
    tries: f64,
    answered: f64,
    /// Sum of the waits of the answered, in seconds.
    waited: f64,
}

/// What is seen of one site: the last few samples, and when each of its voices was last heard.
#[derive(Debug, Default)]
struct Seen {
    met: VecDeque<Met>,
    probes: VecDeque<(Duration, bool)>,
    /// Streams of the site's own proxies that are joined, and when the last of them ended.
    joined: usize,
    ended_at: Option<Duration>,
    /// The last sums or usage from the site's own callers.
    heard_at: Option<Duration>,
    /// Servers that the list calls ready, and how many it called so before it last took some away.
    ready: usize,
    ready_before: usize,
    /// When the list last had servers there again after it had none.
    back_at: Option<Duration>,
    /// The latest start that the list told of.
    started_at: Option<Duration>,
}

/// All that is seen.
#[derive(Debug)]
pub struct Evidence {
    seen: Vec<Seen>,
    window: Duration,
}

/// What speaks for and against the loss of one site, as it is now. Unset where nothing was heard that could tell.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Signs {
    /// The part of the tries that other sites' callers had answered there.
    pub from_others: Option<f64>,
    /// The same of its own callers, while these are heard.
    pub from_itself: Option<f64>,
    /// Of other sites that tried, the part whose tries all but failed: all for a loss, some for a cut.
    pub failing_ways: Option<f64>,
    /// Whether probes are answered.
    pub probes: Option<bool>,
    /// Its own streams have ended and its callers are silent.
    pub silent: bool,
    /// The list has taken away all of its servers.
    pub unlisted: bool,
    /// Servers were started since its loss, or are there again, by the list.
    pub started: bool,
}

/// What the signs say of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it, or too little to act on.
    Well,
    /// Something does, and something is missing for a loss.
    Doubtful,
    /// Its servers answer nobody who is heard.
    Lost,
    /// Its servers answer its own callers, and nobody else.
    CutOff,
}

impl fmt::Display for Signs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let part = |v: Option<f64>| v.map_or("unheard".into(), |v| format!("{:.0}%", 100.0 * v));
        write!(f, "answered to others {}, ", part(self.from_others))?;
        write!(f, "to its own {}, failing ways {}, ", part(self.from_itself), part(self.failing_ways))?;
        let probes = match self.probes {
            None => "none",
            Some(true) => "answered",
            Some(false) => "fail",
        };
        write!(f, "probes {probes}, its callers {}", if self.silent { "silent" } else { "heard" })?;
        write!(f, ", list {}", if self.unlisted { "without it" } else { "with it" })
    }
}

impl Signs {
    /// Of a site's tries: all but none are answered.
    const DEAD: f64 = 0.1;
    /// Enough are answered that servers may be unwell, and the site is not.
    const ALIVE: f64 = 0.3;

    /// A loss needs tries that fail from everywhere and a second, other kind of sign; each alone has a harmless cause:
    /// a full fleet, a collector that fell silent, a list that came late or wrong. What answers anybody is not lost.
    pub fn verdict(&self) -> Verdict {
        let dead = |part: Option<f64>| part.is_some_and(|p| p < Self::DEAD);
        let alive = |part: Option<f64>| part.is_some_and(|p| p >= Self::ALIVE);
        let ways = self.failing_ways.unwrap_or(0.0);
        if alive(self.from_itself) && dead(self.from_others) && ways > 0.9 {
            return Verdict::CutOff;
        }
        if alive(self.from_others) || alive(self.from_itself) || self.probes == Some(true) {
            return if ways > 0.0 { Verdict::Doubtful } else { Verdict::Well };
        }
        // Where the list has taken all away nobody is sent there any more, so nothing else can tell.
        if self.unlisted {
            return Verdict::Lost;
        }
        let fails = dead(self.from_others) && ways > 0.9;
        let second = [self.probes == Some(false), self.silent, dead(self.from_itself)];
        match second.iter().filter(|s| **s).count() {
            signs if fails && signs > 0 => Verdict::Lost,
            // Nobody has tried there of late: probes and silence together are as good.
            signs if self.from_others.is_none() && self.probes == Some(false) && signs > 1 => Verdict::Lost,
            0 if !fails => Verdict::Well,
            _ => Verdict::Doubtful,
        }
    }

    /// Something answers there, or was started there since.
    pub fn life(&self) -> bool {
        let alive = |part: Option<f64>| part.is_some_and(|p| p >= Self::ALIVE);
        alive(self.from_others) || alive(self.from_itself) || self.probes == Some(true) || self.started
    }
}

impl Evidence {
    /// Tries that tell something.
    const LEAST: f64 = 4.0;
    /// Tries that make older ones needless, and the part of the window that counts whole in any case.
    const ENOUGH: f64 = 8.0;
    const NEWEST: u32 = 4;

    /// `window`: what is older tells nothing any more; a few report cycles.
    pub fn new(sites: usize, window: Duration) -> Evidence {
        Evidence { seen: (0..sites).map(|_| Seen::default()).collect(), window }
    }

    /// What `from`'s callers met at `site`'s servers. `waited`: the sum of the waits of the answered, in seconds.
    pub fn met(&mut self, now: Duration, from: Site, site: Site, tries: f64, answered: f64, waited: f64) {
        if let Some(seen) = self.seen.get_mut(site) {
            let old = now.saturating_sub(self.window * 2);
            while seen.met.front().is_some_and(|m| m.at < old) {
                seen.met.pop_front();
            }
            seen.met.push_back(Met { at: now, from, tries, answered, waited });
        }
        self.heard(now, from);
    }

    /// Sums or usage came from a site's own callers.
    pub fn heard(&mut self, now: Duration, site: Site) {
        if let Some(seen) = self.seen.get_mut(site) {
            seen.heard_at = Some(now);
        }
    }

    pub fn probed(&mut self, now: Duration, site: Site, answered: bool) {
        if let Some(seen) = self.seen.get_mut(site) {
            seen.probes.push_back((now, answered));
            if seen.probes.len() > 16 {
                seen.probes.pop_front();
            }
        }
    }

    pub fn joined(&mut self, now: Duration, site: Site) {
        if let Some(seen) = self.seen.get_mut(site) {
            seen.joined += 1;
            seen.heard_at = Some(now);
        }
    }

    pub fn left(&mut self, now: Duration, site: Site) {
        if let Some(seen) = self.seen.get_mut(site) {
            (seen.joined, seen.ended_at) = (seen.joined.saturating_sub(1), Some(now));
        }
    }

    /// The list as it stands now, of one site: servers that are ready, and the latest start among them, if known.
    pub fn listed(&mut self, now: Duration, site: Site, ready: usize, started_at: Option<Duration>) {
        if let Some(seen) = self.seen.get_mut(site) {
            if ready == 0 && seen.ready > 0 {
                seen.ready_before = seen.ready;
            } else if ready > 0 && seen.ready == 0 && seen.ready_before > 0 {
                seen.back_at = Some(now);
            }
            (seen.ready, seen.started_at) = (ready, started_at);
        }
    }

    /// What speaks for and against the loss of a site now. Only what was seen after `since` counts: after a change of
    /// what is done there, older samples tell of something else.
    pub fn signs(&self, now: Duration, site: Site, since: Duration) -> Signs {
        let seen = &self.seen[site];
        let from = now.saturating_sub(self.window).max(since);
        // The newest tries that are enough: what was answered before these is past.
        let part = |of: &dyn Fn(Site) -> bool| {
            let (mut tries, mut answered) = (0.0, 0.0);
            for m in seen.met.iter().rev().filter(|m| m.at > from && of(m.from)) {
                if tries >= Self::ENOUGH && m.at + self.window / Self::NEWEST < now {
                    break;
                }
                (tries, answered) = (tries + m.tries, answered + m.answered);
            }
            (tries >= Self::LEAST).then(|| answered / tries)
        };
        let ways: Vec<f64> =
            (0..self.seen.len()).filter(|f| *f != site).filter_map(|f| part(&|x| x == f)).collect();
        let failing = ways.iter().filter(|p| **p < Signs::DEAD).count();
        let others_heard = (0..self.seen.len()).filter(|s| *s != site).any(|s| {
            let heard = self.seen[s].heard_at;
            heard.is_some_and(|at| now.saturating_sub(at) < self.window)
        });
        let quiet = seen.heard_at.is_some_and(|at| now.saturating_sub(at) >= self.window);
        let ended = seen.joined == 0 && seen.ended_at.is_some();
        let probes: Vec<bool> = seen.probes.iter().filter(|p| p.0 > from).map(|p| p.1).collect();
        let lately = |at: Option<Duration>| at.is_some_and(|at| at > since);
        Signs {
            from_others: part(&|x| x != site),
            from_itself: part(&|x| x == site),
            failing_ways: (!ways.is_empty()).then(|| failing as f64 / ways.len() as f64),
            probes: match probes.iter().filter(|p| **p).count() {
                0 if probes.len() >= 2 => Some(false),
                0 => None,
                _ => Some(true),
            },
            // A planner that hears nobody is itself the one that is cut off.
            silent: others_heard && (quiet || (ended && seen.heard_at.is_none_or(|at| at <= from))),
            unlisted: seen.ready == 0 && seen.ready_before > 0,
            started: seen.ready > 0 && (lately(seen.started_at) || lately(seen.back_at)),
        }
    }

    /// The mean wait, in seconds, of calls that were answered at a site since then, and how many tries and answers there
    /// were.
    pub fn waits(&self, site: Site, since: Duration) -> (f64, f64, Option<f64>) {
        let recent = self.seen[site].met.iter().filter(|m| m.at > since);
        let (t, a, w) =
            recent.fold((0.0, 0.0, 0.0), |(t, a, w), m| (t + m.tries, a + m.answered, w + m.waited));
        (t, a, (a > 0.0).then(|| w / a))
    }
}
