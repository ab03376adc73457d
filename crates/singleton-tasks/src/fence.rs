//! What stands before an effect.

use crate::token::Token;

/// Whether an effect may take place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    Take,
    /// It has taken place already, by this owner or one before.
    Done,
    /// Steps before it are missing.
    Gap,
    /// A newer owner has been here.
    Late(Token),
}

/// Kept by whatever a duty touches: the newest owner that came, and the last step that took place. It is to be kept
/// together with the effect, or both are lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fence {
    pub seen: Token,
    pub step: u64,
}

impl Fence {
    /// What becomes of a step that an owner brings; one that may take place is counted as done.
    pub fn offer(&mut self, token: Token, step: u64) -> Offer {
        if token < self.seen {
            return Offer::Late(self.seen);
        }
        self.seen = token;
        match step {
            s if s <= self.step => Offer::Done,
            s if s == self.step + 1 => {
                self.step = s;
                Offer::Take
            }
            _ => Offer::Gap,
        }
    }
}
