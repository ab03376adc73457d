//! Limits on sent bytes: a token bucket with a long-run rate and a burst.

use std::time::Duration;

/// A rate of bytes and a burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Long-run rate, in bytes per second.
    pub bytes_per_second: f64,
    /// Maximum number of bytes that may be sent at once, after a time without sending.
    pub burst: f64,
}

/// A token bucket. Urgent bytes may overdraw it; other bytes then wait until the deficit is refilled.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    rate: Rate,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Returns a bucket that is full at this time.
    pub fn new(rate: Rate, now: Duration) -> TokenBucket {
        TokenBucket { rate, tokens: rate.burst, refilled_at: now }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate.bytes_per_second).min(self.rate.burst);
        self.refilled_at = now;
    }

    /// Returns true if this number of bytes may be sent now.
    pub fn allows(&mut self, now: Duration, bytes: usize) -> bool {
        self.refill(now);
        self.tokens >= bytes as f64
    }

    /// Takes tokens for bytes that were sent, even if that overdraws the bucket.
    pub fn spend(&mut self, now: Duration, bytes: usize) {
        self.refill(now);
        self.tokens -= bytes as f64;
    }

    /// Returns the time at which this number of bytes may be sent.
    pub fn ready_at(&mut self, now: Duration, bytes: usize) -> Duration {
        self.refill(now);
        let missing = (bytes as f64).min(self.rate.burst) - self.tokens;
        now + Duration::from_secs_f64((missing / self.rate.bytes_per_second).max(0.0))
    }
}
