//! Whether a proxy that joins is let in now.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Against a proxy that joins and leaves in a loop: each join costs a whole table of the channel, which all
/// others share. It also holds off two processes that use one name and push each other out. It could do
/// harm where a proxy's streams break often through no fault of its own: it goes on with the tables that it
/// holds, and is let in once the window has passed.
pub struct Admission {
    most: usize,
    window: Duration,
    joins: BTreeMap<u16, VecDeque<Duration>>,
}

impl Admission {
    /// At most `most` joins of one proxy within `window`.
    pub fn new(most: usize, window: Duration) -> Self {
        Admission { most, window, joins: BTreeMap::new() }
    }

    /// Counts a join and lets it in, or says how long the proxy is to stay away.
    ///
    /// # Errors
    ///
    /// The time until the next join would be let in. A join that is turned away is not counted.
    pub fn ask(&mut self, now: Duration, proxy: u16) -> Result<(), Duration> {
        let joins = self.joins.entry(proxy).or_default();
        while joins.front().is_some_and(|t| now.saturating_sub(*t) >= self.window) {
            joins.pop_front();
        }
        match joins.front() {
            Some(first) if joins.len() >= self.most => Err(self.window.saturating_sub(now - *first)),
            _ => {
                joins.push_back(now);
                Ok(())
            }
        }
    }
}
