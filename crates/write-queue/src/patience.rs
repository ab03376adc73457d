//! When a stream that does not take its bytes is cut off.

use std::time::Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Keep,
    /// It has not taken its bytes in time.
    Stalled,
    /// More waits for it than may.
    Full,
}

/// What waits for one stream. A reader that takes a byte now and then never stalls entirely, so what counts
/// is when the oldest waiting byte was handed in, not when one was last taken. Harm: a short stall of the
/// network cuts streams that would have gone on; they keep their tables and join anew.
pub struct Patience {
    longest: Duration,
    most: usize,
    /// When messages were handed in, and how many bytes had been by their end.
    waiting: std::collections::VecDeque<(Duration, u64)>,
    handed: u64,
    taken: u64,
}

impl Patience {
    /// A byte may wait for `longest`, and `most` bytes may wait.
    pub fn new(longest: Duration, most: usize) -> Self {
        Patience { longest, most, waiting: Default::default(), handed: 0, taken: 0 }
    }

    pub fn handed(&mut self, now: Duration, bytes: usize) {
        self.handed += bytes as u64;
        self.waiting.push_back((now, self.handed));
    }

    pub fn taken(&mut self, bytes: usize) {
        self.taken += bytes as u64;
        while self.waiting.front().is_some_and(|w| w.1 <= self.taken) {
            self.waiting.pop_front();
        }
    }

    /// When the oldest waiting message has waited for as long as it may.
    pub fn due(&self) -> Option<Duration> {
        self.waiting.front().map(|w| w.0 + self.longest)
    }

    /// More waits than may.
    pub fn full(&self) -> bool {
        self.handed - self.taken > self.most as u64
    }

    pub fn judge(&self, now: Duration) -> Verdict {
        match self.due() {
            Some(due) if now >= due => Verdict::Stalled,
            _ if self.full() => Verdict::Full,
            _ => Verdict::Keep,
        }
    }
}
