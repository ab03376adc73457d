//! This member's side of all its streams: identity, keys, and the count of rejected peers.

use crate::keys::{KeyFile, Keys};
use crate::transport::{AuthenticatedStream, Identity, TransportError};
use grebespool_leader_election::{MemberId, Voter};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::warn;

/// How long opening or accepting a stream may take, introductions included.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// What a stream needs to know of this member.
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

    /// The keys that are in force now.
    pub(crate) fn keys(&self) -> Keys {
        self.keys.borrow_mut().reload()
    }

    /// The stamp of this member's election state.
    pub(crate) fn stamp(&self) -> u64 {
        self.stamp.get()
    }

    /// To be called whenever the election state changes.
    pub(crate) fn set_stamp(&self, stamp: u64) {
        self.stamp.set(stamp);
    }

    /// Peers and frames that were rejected since the start.
    pub(crate) fn rejections(&self) -> u64 {
        self.rejections.get()
    }

    /// Counts and logs a peer that is rejected, or that rejects this member.
    pub(crate) fn log_rejection(&self, peer: &str, error: &TransportError) {
        self.rejections.set(self.rejections.get() + 1);
        warn!(peer, %error, rejections = self.rejections.get(), "rejects a peer, or is rejected by it");
    }

    /// Opens a stream to the member with this id; anybody else at its address is rejected.
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

    /// Opens a stream to whoever listens at an address, and returns the name that it says.
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
