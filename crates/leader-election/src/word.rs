//! What members say to each other.

use crate::roster::Roster;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Would you vote for me in this epoch? Asked first, so that a member that alone misses the leader does not raise
    /// epochs without end.
    Canvass {
        epoch: u64,
        roster: (u64, u64),
    },
    Favour {
        epoch: u64,
    },
    /// `yielded`: the leader asked me to take its place, so it is not to be waited for.
    Ask {
        epoch: u64,
        roster: (u64, u64),
        yielded: bool,
    },
    Vote {
        epoch: u64,
    },
    /// The leader is there.
    Beat {
        epoch: u64,
        number: u64,
        roster: (u64, u64),
    },
    Heard {
        epoch: u64,
        number: u64,
        roster: (u64, u64),
    },
    /// An epoch newer than yours has been seen.
    Newer {
        epoch: u64,
    },
    /// The leader's word on who takes part.
    Seats {
        epoch: u64,
        roster: Roster,
    },
    /// The leader of this epoch stands down for you.
    Turn {
        epoch: u64,
    },
}

impl Word {
    /// The epoch that it is about.
    pub fn epoch(&self) -> u64 {
        match self {
            Word::Canvass { epoch, .. }
            | Word::Favour { epoch }
            | Word::Ask { epoch, .. }
            | Word::Vote { epoch }
            | Word::Beat { epoch, .. }
            | Word::Heard { epoch, .. }
            | Word::Newer { epoch }
            | Word::Seats { epoch, .. }
            | Word::Turn { epoch } => *epoch,
        }
    }
}
