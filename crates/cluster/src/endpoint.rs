//! The data that all streams of this member use: identity, keys, and the count of rejections.

use crate::keys::{KeyFile, Keys};
use crate::transport::{AuthenticatedStream, Identity, TransportError};
use grebespool_leader_election::{MemberId, Voter};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::warn;

/// Maximum time for opening or accepting a stream, introductions included.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The data of this member that its streams use.
pub(crate) struct LocalEndpoint {
    pub identity: Identity,
    pub name: String,
    keys: RefCell<KeyFile>,
    /// The stamp of this member's election state.
    stamp: Cell<u64>,
    rejections: Cell<u64>,
}

impl LocalEndpoint {
    pub(crate) fn new(identity: Identity, name: &str, keys: KeyFile, stamp: u64) -> LocalEndpoint {
        let (keys, stamp, rejections) = (RefCell::new(keys), Cell::new(stamp), Cell::new(0));
        LocalEndpoint { identity, name: name.into(), keys, stamp, rejections }
    }

    /// Reads the key file again, and returns the current keys.
    pub(crate) fn keys(&self) -> Keys {
        self.keys.borrow_mut().reload()
    }

    /// Returns the stamp of this member's election state.
    pub(crate) fn stamp(&self) -> u64 {
        self.stamp.get()
    }

    /// Sets the stamp; must be called whenever the election state changes.
    pub(crate) fn set_stamp(&self, stamp: u64) {
        self.stamp.set(stamp);
    }

    /// Returns the number of rejections since the start: peers, frames, and peers that rejected this member.
    pub(crate) fn rejections(&self) -> u64 {
        self.rejections.get()
    }

    /// Counts and logs that a peer is rejected, or that the peer rejects this member.
    pub(crate) fn log_rejection(&self, peer: &str, error: &TransportError) {
        self.rejections.set(self.rejections.get() + 1);
        let rejections = self.rejections.get();
        warn!(peer, %error, rejections, "closing a stream after a rejection by this member or its peer");
    }

    /// Opens a stream to the member with this id; rejects any other member at that address.
    pub(crate) async fn connect_to(
        &self,
        id: MemberId,
        voter: &Voter,
    ) -> Result<AuthenticatedStream<TcpStream>, TransportError> {
        let (stream, name) = self.connect(&voter.address).await?;
        if stream.peer != id {
            return Err(TransportError::OtherMember { name, found: stream.peer, expected: id });
        }
        Ok(stream)
    }

    /// Opens a stream to the member that listens at an address, and also returns the name that the member sends.
    pub(crate) async fn connect(
        &self,
        address: &str,
    ) -> Result<(AuthenticatedStream<TcpStream>, String), TransportError> {
        let connecting = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let keys = self.keys();
            let mut stream = AuthenticatedStream::connect(stream, self.identity, &keys).await?;
            let peer = stream.introduce(&self.name, self.stamp()).await?;
            Ok((stream, peer.name))
        };
        timeout(CONNECT_TIMEOUT, connecting).await?
    }
}
