//! The dialling side of a stream: shaking hands with what holds the same key.

use grebespool_wire::{Inbox, Join, Key, MOST_BODY, Message, Proof, Role, VERSION};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Who dials.
pub struct Peer<'a> {
    pub role: Role,
    pub name: &'a str,
    pub zone: &'a str,
    /// What it tells when it joins, but for the proof.
    pub rate: f32,
    pub bare: bool,
    pub held: (u64, u64),
    /// The newest epoch that it has seen.
    pub epoch: u64,
}

/// A stream that was welcomed.
pub struct Dialled {
    /// The other side's start.
    pub start: u64,
    pub stream: u32,
    pub epoch: u64,
    pub inbox: Inbox,
}

/// Reads the next message.
///
/// # Errors
///
/// The stream's, `UnexpectedEof` where it ended, `InvalidData` where what came is malformed.
pub async fn next(from: &mut (impl AsyncRead + Unpin), inbox: &mut Inbox) -> io::Result<Message> {
    let mut buffer = [0; 4 << 10];
    loop {
        let message = inbox.message().map_err(|m| io::Error::new(io::ErrorKind::InvalidData, m))?;
        if let Some(message) = message {
            return Ok(message);
        }
        match from.read(&mut buffer).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => inbox.take(&buffer[..n]),
        }
    }
}

/// Shakes hands over a new connection. `nonce` must not have been used before.
///
/// # Errors
///
/// The stream's; `PermissionDenied` where either side does not show the key or the other says no.
pub async fn shake_hands(
    socket: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &Key,
    nonce: [u8; 16],
    peer: &Peer<'_>,
) -> io::Result<Dialled> {
    let mut inbox = Inbox::new(MOST_BODY);
    let denied = |text: String| Err(io::Error::new(io::ErrorKind::PermissionDenied, text));
    let hello = Message::Hello { version: VERSION, role: peer.role, name: peer.name.into(), nonce };
    socket.write_all(&hello.frame()).await?;
    let (start, theirs) = match next(socket, &mut inbox).await? {
        Message::Challenge { version: VERSION, start, nonce } => (start, nonce),
        Message::Challenge { version, .. } => return denied(format!("it speaks version {version}")),
        Message::Bye { reason, text } => return denied(format!("{reason:?}: {text}")),
        other => return denied(format!("{} in place of a challenge", other.name())),
    };
    let proof: Proof = key.peer([&nonce, &theirs], start, peer.name, peer.zone);
    let (held_start, held_seq) = peer.held;
    let join = Join {
        zone: peer.zone.into(),
        rate: peer.rate,
        bare: peer.bare,
        held_start,
        held_seq,
        epoch: peer.epoch,
        proof,
    };
    socket.write_all(&Message::Join(join).frame()).await?;
    match next(socket, &mut inbox).await? {
        Message::Welcome { stream, epoch, proof } => {
            if proof.holds(&key.planner([&nonce, &theirs], start, peer.name, peer.zone)) {
                Ok(Dialled { start, stream, epoch, inbox })
            } else {
                denied("it does not show the fleet's key".into())
            }
        }
        Message::Bye { reason, text } => denied(format!("{reason:?}: {text}")),
        other => denied(format!("{} in place of a welcome", other.name())),
    }
}
