//! The requests that proxies have received, by report.

use super::load::evict_expired;
use crate::host::ProxyId;
use crate::policy::history_limit::HistoryLimit;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The requests of a route that a proxy received within a report interval.
#[derive(Clone, Copy)]
pub(crate) struct RequestCount {
    /// The time at which the report arrived.
    pub(crate) at: Duration,
    /// The number of requests.
    pub(crate) requests: f64,
    /// The proxy that received the requests.
    pub(crate) proxy: ProxyId,
}

/// The recent reports on the requests of one route.
#[derive(Default)]
pub(crate) struct RequestHistory {
    /// By proxy: its reports, oldest first.
    by_proxy: BTreeMap<ProxyId, VecDeque<RequestCount>>,
}

impl RequestHistory {
    /// Adds a report and removes those of the proxy that are older than `retention`. A report in quick succession is added to
    /// the proxy's newest one, and beyond the limit the two oldest ones are merged.
    pub(crate) fn add(&mut self, count: RequestCount, retention: Duration, limit: HistoryLimit) {
        let counts = self.by_proxy.entry(count.proxy).or_default();
        evict_expired(counts, count.at, retention, |count| count.at);
        let stored = counts.len();
        match counts.back_mut() {
            Some(newest) if limit.merges(stored, newest.at, count.at) => newest.requests += count.requests,
            _ => {
                if limit.is_reached(stored)
                    && let Some(oldest) = counts.pop_front()
                    && let Some(next) = counts.front_mut()
                {
                    next.requests += oldest.requests;
                }
                counts.push_back(count);
            }
        }
    }

    /// Returns the number of stored reports.
    pub(crate) fn len(&self) -> usize {
        self.by_proxy.values().map(VecDeque::len).sum()
    }

    /// Returns the reports from after `from`, by proxy and then by time.
    pub(crate) fn since(&self, from: Duration) -> impl Iterator<Item = &RequestCount> {
        self.by_proxy.values().flatten().filter(move |count| count.at > from)
    }
}
