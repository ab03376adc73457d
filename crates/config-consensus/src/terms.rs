//! What all members of a fleet state alike, and what an [`crate::Member`] asks of what runs it.

use crate::edition::Kept;
use crate::holder::Acts;
use crate::word::{Ticket, Word};
use grebespool_leader_election::{MemberId, drift_adjusted_wait};
use grebespool_singleton_tasks::Token;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Terms {
    /// A member acts by editions for so long after sending the newest renewal that the convener answered.
    pub lease: Duration,
    /// Between two renewals, and before what was not answered is said again.
    pub renew: Duration,
    /// By how much of the time a clock may be fast or slow.
    pub drift: f64,
    /// The part of the capacity that one edition may withdraw, 0 to 1, unless it is forced.
    pub most_withdrawn: f64,
    /// Names of limits that this program knows.
    pub limits: Vec<&'static str>,
}

impl Terms {
    /// How long the convener waits after the last renewal that it answered: the bound on how long an edition that is
    /// fixed waits for a member that answers nothing (`agree.within`).
    pub fn wait(&self) -> Duration {
        drift_adjusted_wait(self.lease, self.drift)
    }
}

pub trait Host {
    /// To another member. What is lost on the way is said again.
    fn say(&mut self, to: MemberId, word: Word);
    /// Write this; [`crate::Member::kept`] is told once it is on disk.
    fn keep(&mut self, kept: &Kept, stamp: u64);
    /// Begin a step of the convener's journal: [`crate::Member::fixed`] is told once a majority has it, or
    /// [`crate::Member::unfixed`] that it could not be begun.
    fn fix(&mut self, token: Token, content: Vec<u8>);
    /// The step's effect has taken place; [`crate::Member::ended`] is told once a majority knows.
    fn end(&mut self, token: Token);
    /// What this member acts by from now on, as long as its lease runs.
    fn acts(&mut self, acts: Acts);
    fn proposed(&mut self, ticket: Ticket, done: Result<u64, Vec<String>>);
    /// For the log.
    fn note(&mut self, text: &str);
}
