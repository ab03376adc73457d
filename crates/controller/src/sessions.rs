//! The sessions of the joined proxies.

use crate::stream_id::StreamId;
use grebespool::host::{ProxyId, ZoneId};
use std::collections::BTreeMap;

/// The state of a joined proxy.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Session {
    /// The stream that the proxy joined on.
    pub(crate) stream: StreamId,
    /// The proxy's zone.
    pub(crate) zone: ZoneId,
    /// The sequence number of the last update for the proxy; 0 before the first.
    pub(crate) last_sequence: u64,
    /// The sequence number of the last update that the proxy acknowledged; 0 before the first.
    pub(crate) acknowledged_sequence: u64,
}

/// The sessions of all joined proxies. Invariant: each proxy has one session, on its newest stream, and both maps hold
/// the same sessions.
#[derive(Default)]
pub(crate) struct Sessions {
    by_proxy: BTreeMap<ProxyId, Session>,
    proxy_by_stream: BTreeMap<StreamId, ProxyId>,
}

impl Sessions {
    pub(crate) fn open(&mut self, proxy: ProxyId, stream: StreamId, zone: ZoneId) {
        let session = Session { stream, zone, last_sequence: 0, acknowledged_sequence: 0 };
        self.by_proxy.insert(proxy, session);
        self.proxy_by_stream.insert(stream, proxy);
    }

    /// Ends the session of a stream, and returns its proxy and final state; `None` if the stream has no session.
    pub(crate) fn close(&mut self, stream: StreamId) -> Option<(ProxyId, Session)> {
        let proxy = self.proxy_by_stream.remove(&stream)?;
        self.by_proxy.remove(&proxy).map(|session| (proxy, session))
    }

    pub(crate) fn of_proxy(&self, proxy: ProxyId) -> Option<&Session> {
        self.by_proxy.get(&proxy)
    }

    pub(crate) fn of_proxy_mut(&mut self, proxy: ProxyId) -> Option<&mut Session> {
        self.by_proxy.get_mut(&proxy)
    }

    pub(crate) fn of_stream(&self, stream: StreamId) -> Option<(ProxyId, &Session)> {
        let proxy = *self.proxy_by_stream.get(&stream)?;
        self.by_proxy.get(&proxy).map(|session| (proxy, session))
    }

    pub(crate) fn of_stream_mut(&mut self, stream: StreamId) -> Option<&mut Session> {
        self.by_proxy.get_mut(self.proxy_by_stream.get(&stream)?)
    }

    pub(crate) fn len(&self) -> usize {
        self.proxy_by_stream.len()
    }
}
