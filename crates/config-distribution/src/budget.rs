//! How many bytes may be sent: a token bucket with a long-run rate and a burst.

use std::time::Duration;

/// A rate and a burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Bytes a second in the long run.
    pub bytes_per_second: f64,
    /// Bytes that may go at once after a rest.
    pub burst: f64,
}

/// A token bucket. It may be overdrawn by urgent bytes, which the rest then waits for.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    rate: Rate,
    tokens: f64,
    filled_at: Duration,
}

impl TokenBucket {
    /// Full at this time.
    pub fn new(rate: Rate, now: Duration) -> TokenBucket {
        TokenBucket { rate, tokens: rate.burst, filled_at: now }
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate.bytes_per_second).min(self.rate.burst);
        self.filled_at = now;
    }

    /// Whether so many bytes may go now.
    pub fn allows(&mut self, now: Duration, bytes: usize) -> bool {
        self.fill(now);
        self.tokens >= bytes as f64
    }

    /// So many bytes went.
    pub fn spend(&mut self, now: Duration, bytes: usize) {
        self.fill(now);
        self.tokens -= bytes as f64;
    }

    /// When so many bytes may go.
    pub fn ready_at(&mut self, now: Duration, bytes: usize) -> Duration {
        self.fill(now);
        let missing = (bytes as f64).min(self.rate.burst) - self.tokens;
        now + Duration::from_secs_f64((missing / self.rate.bytes_per_second).max(0.0))
    }
}
