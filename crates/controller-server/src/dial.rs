//! The dialing side of a stream: the handshake with whoever holds the same key.

use grebespool_wire::{
    Challenge, FleetKey, FrameDecoder, Hello, Join, MAX_BODY_BYTES, Message, Nonce, PROTOCOL_VERSION, Role,
    Transcript, Welcome,
};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Bytes that are read from a socket at once.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// The update that a proxy applied last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AppliedUpdate {
    /// The incarnation of its controller; 0 for none.
    pub incarnation: u64,
    /// Its sequence number; 0 for none.
    pub sequence: u64,
}

/// Who dials, as it says in the handshake.
pub struct Dialer<'a> {
    /// What it wants to be.
    pub role: Role,
    /// Its name.
    pub name: &'a str,
    /// Its zone, by name; empty where it has none.
    pub zone: &'a str,
    /// Calls a second that it usually gets; rough.
    pub calls_per_s: f32,
    /// Whether it holds only the table that it started with.
    pub initial_table_only: bool,
    /// The update that it applied last.
    pub applied: AppliedUpdate,
    /// The newest term that it has seen.
    pub newest_term: u64,
}

/// A stream that was welcomed.
pub struct WelcomedStream {
    /// The other side's incarnation.
    pub incarnation: u64,
    /// The stream's number.
    pub stream: u32,
    /// The term of all updates on it.
    pub term: u64,
    /// What came with the welcome and is not decoded yet.
    pub decoder: FrameDecoder,
}

/// Reads the next message.
///
/// # Errors
///
/// The socket's error, `UnexpectedEof` where the stream ended, `InvalidData` where what came is malformed.
pub async fn read_message(
    socket: &mut (impl AsyncRead + Unpin),
    decoder: &mut FrameDecoder,
) -> io::Result<Message> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        let message =
            decoder.next_message().map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        if let Some(message) = message {
            return Ok(message);
        }
        match socket.read(&mut buffer).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => decoder.push(&buffer[..read]),
        }
    }
}

/// Shakes hands over a new connection. `nonce` must not have been used before.
///
/// # Errors
///
/// The socket's error; `PermissionDenied` where either side does not show the key or the other side rejects this one.
pub async fn handshake(
    socket: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &FleetKey,
    nonce: Nonce,
    dialer: &Dialer<'_>,
) -> io::Result<WelcomedStream> {
    let mut decoder = FrameDecoder::new(MAX_BODY_BYTES);
    let hello = Hello { version: PROTOCOL_VERSION, role: dialer.role, name: dialer.name.into(), nonce };
    socket.write_all(&Message::Hello(hello).to_frame()).await?;
    let challenge = expect_challenge(read_message(socket, &mut decoder).await?)?;
    let transcript = Transcript {
        dialer_nonce: &nonce,
        listener_nonce: &challenge.nonce,
        incarnation: challenge.incarnation,
        name: dialer.name,
        zone: dialer.zone,
    };
    let join = join(dialer, key, &transcript);
    socket.write_all(&Message::Join(join).to_frame()).await?;
    let welcome = expect_welcome(read_message(socket, &mut decoder).await?)?;
    if !welcome.proof.matches(&key.listener_proof(&transcript)) {
        return Err(denied("it does not show the fleet's key"));
    }
    let Welcome { stream, term, .. } = welcome;
    Ok(WelcomedStream { incarnation: challenge.incarnation, stream, term, decoder })
}

fn join(dialer: &Dialer, key: &FleetKey, transcript: &Transcript) -> Join {
    Join {
        zone: dialer.zone.into(),
        calls_per_s: dialer.calls_per_s,
        initial_table_only: dialer.initial_table_only,
        applied_incarnation: dialer.applied.incarnation,
        applied_sequence: dialer.applied.sequence,
        newest_term: dialer.newest_term,
        proof: key.dialer_proof(transcript),
    }
}

fn expect_challenge(message: Message) -> io::Result<Challenge> {
    match message {
        Message::Challenge(challenge) if challenge.version == PROTOCOL_VERSION => Ok(challenge),
        Message::Challenge(challenge) => Err(denied(format!("it speaks version {}", challenge.version))),
        other => Err(rejected(&other, "a challenge")),
    }
}

fn expect_welcome(message: Message) -> io::Result<Welcome> {
    match message {
        Message::Welcome(welcome) => Ok(welcome),
        other => Err(rejected(&other, "a welcome")),
    }
}

fn rejected(message: &Message, expected: &str) -> io::Error {
    match message {
        Message::Close(close) => denied(format!("{:?}: {}", close.reason, close.text)),
        other => denied(format!("{} in place of {expected}", other.name())),
    }
}

fn denied(text: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, text.into())
}
