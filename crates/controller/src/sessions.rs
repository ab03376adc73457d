//! The proxies that are joined, by stream.

use crate::stream_id::StreamId;
use grebespool::host::{ProxyId, ZoneId};
use std::collections::BTreeMap;

/// A joined proxy.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Session {
    /// The stream that it joined on.
    pub(crate) stream: StreamId,
    /// Its zone.
    pub(crate) zone: ZoneId,
    /// The sequence number of the last update for it.
    pub(crate) last_sequence: u64,
    /// The sequence number of the last update that it acknowledged; 0 for none.
    pub(crate) acknowledged_sequence: u64,
}

/// All joined proxies. Each has one session, on its newest stream.
#[derive(Default)]
pub(crate) struct Sessions {
    by_proxy: BTreeMap<ProxyId, Session>,
    proxy_of: BTreeMap<StreamId, ProxyId>,
}

impl Sessions {
    pub(crate) fn open(&mut self, proxy: ProxyId, stream: StreamId, zone: ZoneId) {
        let session = Session { stream, zone, last_sequence: 0, acknowledged_sequence: 0 };
        self.by_proxy.insert(proxy, session);
        self.proxy_of.insert(stream, proxy);
    }

    /// Ends the session of a stream, if it has one.
    pub(crate) fn close(&mut self, stream: StreamId) -> Option<(ProxyId, Session)> {
        let proxy = self.proxy_of.remove(&stream)?;
        self.by_proxy.remove(&proxy).map(|session| (proxy, session))
    }

    pub(crate) fn of_proxy(&self, proxy: ProxyId) -> Option<&Session> {
        self.by_proxy.get(&proxy)
    }

    pub(crate) fn of_proxy_mut(&mut self, proxy: ProxyId) -> Option<&mut Session> {
        self.by_proxy.get_mut(&proxy)
    }

    pub(crate) fn of_stream(&self, stream: StreamId) -> Option<(ProxyId, &Session)> {
        let proxy = *self.proxy_of.get(&stream)?;
        self.by_proxy.get(&proxy).map(|session| (proxy, session))
    }

    pub(crate) fn of_stream_mut(&mut self, stream: StreamId) -> Option<&mut Session> {
        self.by_proxy.get_mut(self.proxy_of.get(&stream)?)
    }

    pub(crate) fn len(&self) -> usize {
        self.proxy_of.len()
    }
}
