//! Authenticated streams between members.
//!
//! Each frame carries a message authentication code over its position in the stream and its body. The key is specific to the
//! direction and the stream, so that no frame can be altered, omitted, replayed or moved to another stream. Frames are not
//! encrypted: they contain no secrets.

mod error;
mod handshake;
mod identity;
mod packet;

pub use error::TransportError;
pub use identity::{Identity, PROTOCOL_VERSION};
pub use packet::Packet;

use crate::keys::Keys;
use grebespool_leader_election::MemberId;
use handshake::{Hello, Side, session_key};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

const CODE_BYTES: usize = 16;
/// Maximum size of a frame, in bytes; snapshots are sent in chunks.
pub const MAX_FRAME_BYTES: usize = 256 << 10;

/// The introduction that the other side of a new stream sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIntroduction {
    /// Name of the other side.
    pub name: String,
    /// Stamp of the other side's election state.
    pub stamp: u64,
}

/// Computes the authentication codes of the frames of one direction.
struct FrameAuthenticator {
    key: [u8; 32],
    count: u64,
}

impl FrameAuthenticator {
    /// Returns the code of the next frame.
    fn next_code(&mut self, body: &[u8]) -> [u8; CODE_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.count.to_be_bytes()).update(body);
        self.count += 1;
        let mut code = [0; CODE_BYTES];
        code.copy_from_slice(&hasher.finalize().as_bytes()[..CODE_BYTES]);
        code
    }
}

/// A stream on which both sides authenticate each frame with a shared key.
pub struct AuthenticatedStream<S> {
    stream: S,
    sending: FrameAuthenticator,
    receiving: FrameAuthenticator,
    /// Id of the member on the other side; 0 for an operator.
    pub peer: MemberId,
}

impl<S: AsyncRead + AsyncWrite + Unpin> AuthenticatedStream<S> {
    /// Exchanges the first bytes on a connection that this side opened.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream fails, or if the other side has another fleet or version or this member's id.
    pub async fn connect(mut stream: S, own: Identity, keys: &Keys) -> Result<Self, TransportError> {
        let key = keys.first();
        let hello = Hello::new(own, key);
        stream.write_all(&hello.encode()).await?;
        let theirs = Hello::read(&mut stream).await?;
        theirs.check(own)?;
        let authenticator =
            |side| FrameAuthenticator { key: session_key(key, side, &hello, &theirs), count: 0 };
        let (sending, receiving) = (authenticator(Side::Connecting), authenticator(Side::Accepting));
        Ok(AuthenticatedStream { stream, sending, receiving, peer: theirs.id })
    }

    /// Exchanges the first bytes on a connection that this side accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream fails, or if the other side has another fleet or version, this member's id, or none of
    /// this member's keys.
    pub async fn accept(mut stream: S, own: Identity, keys: &Keys) -> Result<Self, TransportError> {
        let theirs = Hello::read(&mut stream).await?;
        // Sent before any check: the other side finds the reason for a rejection only in this hello.
        let key = keys.by_id(theirs.key_id);
        let hello = Hello::new(own, key.unwrap_or(keys.first()));
        stream.write_all(&hello.encode()).await?;
        theirs.check(own)?;
        let key = key.ok_or(TransportError::UnknownKey)?;
        let authenticator =
            |side| FrameAuthenticator { key: session_key(key, side, &theirs, &hello), count: 0 };
        let (sending, receiving) = (authenticator(Side::Accepting), authenticator(Side::Connecting));
        Ok(AuthenticatedStream { stream, sending, receiving, peer: theirs.id })
    }

    /// Sends a packet.
    ///
    /// # Errors
    ///
    /// Returns an error if the packet cannot be encoded or the stream fails.
    pub async fn send(&mut self, packet: &Packet) -> Result<(), TransportError> {
        let body = postcard::to_stdvec(packet).map_err(TransportError::Encode)?;
        let code = self.sending.next_code(&body);
        let mut frame = ((body.len() + CODE_BYTES) as u32).to_be_bytes().to_vec();
        frame.extend_from_slice(&body);
        frame.extend_from_slice(&code);
        self.stream.write_all(&frame).await?;
        Ok(())
    }

    /// Receives a packet.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream fails, the frame's code is wrong, or the frame's body cannot be decoded.
    pub async fn receive(&mut self) -> Result<Packet, TransportError> {
        let body = self.receive_body().await?;
        match postcard::take_from_bytes(&body) {
            Ok((packet, [])) => Ok(packet),
            _ => Err(TransportError::UnreadableFrame),
        }
    }

    async fn receive_body(&mut self) -> Result<Vec<u8>, TransportError> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length).await?;
        let length = u32::from_be_bytes(length) as usize;
        if !(CODE_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            return Err(TransportError::FrameLength(length));
        }
        let mut body = Vec::new();
        (&mut self.stream).take(length as u64).read_to_end(&mut body).await?;
        if body.len() < length {
            return Err(TransportError::Io(std::io::ErrorKind::UnexpectedEof.into()));
        }
        let code = body.split_off(length - CODE_BYTES);
        if !equal_in_constant_time(&self.receiving.next_code(&body), &code) {
            return Err(TransportError::WrongCode);
        }
        Ok(body)
    }

    /// Introduces the side that opened the connection, and returns the introduction of the other side.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream fails or the other side rejects this one.
    pub async fn introduce(&mut self, name: &str, stamp: u64) -> Result<PeerIntroduction, TransportError> {
        self.send(&Packet::Introduction { name: name.into(), stamp }).await?;
        self.receive_introduction().await
    }

    /// Receives the introduction of the other side.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream fails or the other side rejects this one.
    pub async fn receive_introduction(&mut self) -> Result<PeerIntroduction, TransportError> {
        match self.receive().await? {
            Packet::Introduction { name, stamp } => Ok(PeerIntroduction { name, stamp }),
            Packet::Rejected(reason) => Err(TransportError::Rejected(reason)),
            _ => Err(TransportError::NoIntroduction),
        }
    }
}

fn equal_in_constant_time(expected: &[u8], found: &[u8]) -> bool {
    let difference = expected.iter().zip(found).fold(0, |difference, (a, b)| difference | (a ^ b));
    expected.len() == found.len() && difference == 0
}
