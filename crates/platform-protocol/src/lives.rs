//! Lives of connections: unjoined, a collector, a proxy's stream; when each is let go, and who goes first.

use crate::frames::Frames;
use grebespool::host::{ProxyId, ZoneId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// One connection, from its coming to its end; numbers are not used again.
pub type Conn = u64;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Unjoined,
    Collector(ZoneId),
    Proxy(ProxyId),
}

pub struct Life {
    pub role: Role,
    pub frames: Frames,
    /// Since when part of a message is there without the rest, or the connection without a joining.
    pub since: Duration,
    pub heard_at: Duration,
    /// Messages in a row that could not be read.
    pub unread: u32,
    /// Marks that were sent on this stream and not answered.
    pub marks: VecDeque<u16>,
}

/// All connections. Ids rise, so their order is that of their coming.
pub struct Lives {
    pub of: BTreeMap<Conn, Life>,
    most_unjoined: usize,
}

impl Lives {
    /// The longest message before a joining: a joining has a few short fields.
    pub const MOST_UNJOINED_BODY: usize = 4 << 10;
    /// The longest message after it: reports and usage are a few names and figures. Against memory taken by streams
    /// that go on with what cannot be read, each holding a message as long as the longest that the protocol allows.
    pub const MOST_JOINED_BODY: usize = 64 << 10;
    /// A joining that comes in pieces over a slow way is still let in; who is not done by then is owed a close.
    const JOINS_WITHIN: Duration = Duration::from_millis(1900);
    /// Against a joined connection that stops amid a message: the rest may come in pieces, but not for ever.
    const HALF: Duration = Duration::from_secs(15);
    /// A collector that dials again leaves its old connection open and silent where it was cut off.
    pub const COLLECTORS: usize = 4;

    pub fn new(most_unjoined: usize) -> Self {
        Lives { of: BTreeMap::new(), most_unjoined: most_unjoined.max(8) }
    }

    /// Gives who has to go for it: of those that have not joined, the first that came.
    pub fn opened(&mut self, now: Duration, conn: Conn) -> Option<Conn> {
        let frames = Frames::new(Self::MOST_UNJOINED_BODY);
        let life = Life {
            role: Role::Unjoined,
            frames,
            since: now,
            heard_at: now,
            unread: 0,
            marks: VecDeque::new(),
        };
        let goes = self.next_to_go();
        self.of.insert(conn, life);
        goes
    }

    /// Who has to go for the next one that comes: where as many have not joined as may, the first of them.
    pub fn next_to_go(&self) -> Option<Conn> {
        let unjoined = self.of.values().filter(|l| l.role == Role::Unjoined).count();
        if unjoined >= self.most_unjoined { self.first_unjoined() } else { None }
    }

    pub fn first_unjoined(&self) -> Option<Conn> {
        self.of.iter().find(|(_, l)| l.role == Role::Unjoined).map(|(c, _)| *c)
    }

    /// Collectors of a zone beyond as many as may be: the one that was silent for the longest.
    pub fn spare_collector(&self, zone: ZoneId) -> Option<Conn> {
        let of_zone = || self.of.iter().filter(|(_, l)| l.role == Role::Collector(zone));
        let spare = of_zone().count() > Self::COLLECTORS;
        of_zone().min_by_key(|(_, l)| l.heard_at).map(|(c, _)| *c).filter(|_| spare)
    }

    fn ends_at(life: &Life) -> Option<Duration> {
        match life.role {
            Role::Unjoined => Some(life.since + Self::JOINS_WITHIN),
            _ => life.frames.half().then_some(life.since + Self::HALF),
        }
    }

    pub fn overdue(&self, now: Duration) -> Vec<Conn> {
        let over = |l: &Life| Self::ends_at(l).is_some_and(|at| at <= now);
        self.of.iter().filter(|(_, l)| over(l)).map(|(c, _)| *c).collect()
    }
}
