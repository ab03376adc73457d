//! What members say of duties, and the journal as the owner of a duty writes it.

use crate::duties::Host;
use crate::register::{Cell, Record};
use crate::token::{Duty, Token};
use grebespool_leader_election::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// What a member owns and which duties rest, as it knows: what a new leader begins with.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    pub duties: Vec<(Duty, Token)>,
    /// Each with the milliseconds that are left.
    pub holds: Vec<(Duty, u64)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// To the leader: this member goes on with what the version of its share says. `names` stands for the duties that
    /// it knows, `busy` are those that were taken from it and whose last step has not ended. `turn` rises with each
    /// start and each time it lost something by itself; with claims until it has a share of this epoch and turn.
    Renew {
        epoch: u64,
        turn: u64,
        number: u64,
        version: u64,
        names: u64,
        busy: Vec<Duty>,
        claims: Option<Claims>,
    },
    /// The lease of that version runs on from when this renewal was sent.
    Renewed {
        epoch: u64,
        number: u64,
        version: u64,
    },
    /// A member's whole share.
    Grants {
        epoch: u64,
        turn: u64,
        version: u64,
        duties: Vec<(Duty, Token)>,
        holds: Vec<(Duty, u64)>,
    },
    /// The duties that it knows are not the leader's.
    OtherNames {
        epoch: u64,
    },
    /// The owner begins: nothing older is taken from here on.
    Open {
        duty: Duty,
        token: Token,
    },
    Opened {
        duty: Duty,
        token: Token,
        record: Option<Record>,
    },
    Write {
        duty: Duty,
        record: Record,
    },
    Written {
        duty: Duty,
        token: Token,
        step: u64,
        ended: bool,
    },
    /// A newer owner has been here.
    Late {
        duty: Duty,
        token: Token,
        seen: Token,
    },
    /// From a member that was added: all that you hold, from this duty on.
    Copy {
        from: Duty,
    },
    Copied {
        from: Duty,
        cells: Vec<(Duty, Cell)>,
        next: Option<Duty>,
    },
    /// What was counted in these periods.
    Count {
        from: u64,
        to: u64,
    },
    Counted {
        periods: Vec<(u64, crate::account::Rows)>,
    },
}

impl Word {
    /// The duty whose journal it is of.
    pub(crate) fn duty(&self) -> Option<Duty> {
        match self {
            Word::Open { duty, .. }
            | Word::Opened { duty, .. }
            | Word::Write { duty, .. }
            | Word::Written { duty, .. }
            | Word::Late { duty, .. } => Some(*duty),
            _ => None,
        }
    }
}

#[derive(Debug, Clone)]
enum Phase {
    Opening(Option<Record>),
    Ready,
    Writing(Record),
}

/// One duty's journal, for its owner. It is kept by all members, and stands with a majority: what one that died had
/// begun is found by the next, since any two majorities meet.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    token: Token,
    phase: Phase,
    answered: BTreeSet<MemberId>,
    last: Option<Record>,
    /// Whether the work was told that it may go on.
    open: bool,
    again_at: Duration,
}

impl Work {
    pub fn new(
        host: &mut impl Host,
        now: Duration,
        duty: Duty,
        token: Token,
        seats: &[MemberId],
        again: Duration,
    ) -> Work {
        let mut work = Work {
            token,
            phase: Phase::Opening(None),
            answered: BTreeSet::new(),
            last: None,
            open: false,
            again_at: now,
        };
        work.say(host, now, duty, seats, again);
        work
    }

    pub fn token(&self) -> Token {
        self.token
    }

    pub fn due(&self) -> Option<Duration> {
        (!matches!(self.phase, Phase::Ready)).then_some(self.again_at)
    }

    /// To those that have not answered.
    pub fn say(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        duty: Duty,
        seats: &[MemberId],
        again: Duration,
    ) {
        let word = match &self.phase {
            Phase::Opening(_) => Word::Open { duty, token: self.token },
            Phase::Writing(record) => Word::Write { duty, record: record.clone() },
            Phase::Ready => return,
        };
        self.again_at = now + again;
        for id in seats.iter().filter(|id| !self.answered.contains(id)) {
            host.say(*id, word.clone());
        }
    }

    /// The next step, or that the one begun has ended. Nothing comes of it while another record is under way.
    pub fn write(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        duty: Duty,
        record: Record,
        seats: &[MemberId],
        again: Duration,
    ) -> bool {
        if !matches!(self.phase, Phase::Ready) {
            return false;
        }
        self.phase = Phase::Writing(record);
        self.answered.clear();
        self.say(host, now, duty, seats, again);
        true
    }

    /// Nothing is under way to the others.
    pub fn rests(&self) -> bool {
        matches!(self.phase, Phase::Ready)
    }

    pub fn last(&self) -> Option<&Record> {
        self.last.as_ref()
    }

    fn majority(&self, seats: &[MemberId]) -> bool {
        seats.iter().filter(|id| self.answered.contains(id)).count() * 2 > seats.len()
    }

    #[expect(clippy::too_many_arguments, reason = "who answered what, and to whom the next is said")]
    pub fn opened(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        duty: Duty,
        from: MemberId,
        record: Option<Record>,
        seats: &[MemberId],
        again: Duration,
    ) {
        let Phase::Opening(best) = &mut self.phase else { return };
        if record.as_ref().map(Record::order) > best.as_ref().map(Record::order) {
            *best = record;
        }
        self.answered.insert(from);
        if !self.majority(seats) {
            return;
        }
        let Phase::Opening(best) = std::mem::replace(&mut self.phase, Phase::Ready) else { return };
        match best {
            // It may stand with a minority only: what is gone on with has to stand with a majority first.
            Some(record) => {
                self.phase = Phase::Writing(Record { token: self.token, ..record });
                self.answered.clear();
                self.say(host, now, duty, seats, again);
            }
            None => {
                self.open = true;
                host.ready(duty, self.token, None);
            }
        }
    }

    pub fn written(
        &mut self,
        host: &mut impl Host,
        duty: Duty,
        from: MemberId,
        (step, ended): (u64, bool),
        seats: &[MemberId],
    ) {
        let Phase::Writing(record) = &self.phase else { return };
        if (record.step, record.ended) != (step, ended) {
            return;
        }
        self.answered.insert(from);
        if !self.majority(seats) {
            return;
        }
        let Phase::Writing(record) = std::mem::replace(&mut self.phase, Phase::Ready) else { return };
        self.last = Some(record.clone());
        if std::mem::replace(&mut self.open, true) {
            host.stands(duty, self.token, &record);
        } else {
            host.ready(duty, self.token, Some(&record));
        }
    }
}
