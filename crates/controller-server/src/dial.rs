//! The dialing side of a stream: the handshake with a peer that holds the same key.

use grebespool_wire::{
    Challenge, FleetKey, FrameDecoder, Hello, Join, MAX_BODY_BYTES, Message, Nonce, PROTOCOL_VERSION, Role,
    Transcript, Welcome,
};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Maximum number of bytes that one read takes from a socket.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// The last update that a proxy applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AppliedUpdate {
    /// The incarnation of the update's controller; 0 if no update was applied.
    pub incarnation: u64,
    /// The sequence number of the update; 0 if no update was applied.
    pub sequence: u64,
}

/// The description of the dialing side that is sent in the handshake.
pub struct Dialer<'a> {
    /// The requested role.
    pub role: Role,
    /// The dialer's name.
    pub name: &'a str,
    /// The name of the dialer's zone; empty if it has none.
    pub zone: &'a str,
    /// Requests a second that the dialer usually receives; a rough estimate.
    pub calls_per_s: f32,
    /// True if the dialer still holds only the weight table that it started with.
    pub initial_table_only: bool,
    /// The last update that the dialer applied.
    pub applied: AppliedUpdate,
    /// The newest term of which the dialer has received an update.
    pub newest_term: u64,
}

/// A stream whose handshake succeeded.
pub struct WelcomedStream {
    /// The listening side's incarnation.
    pub incarnation: u64,
    /// The id of the stream.
    pub stream: u32,
    /// The term of all updates on the stream.
    pub term: u64,
    /// The decoder, with any bytes received after the welcome message.
    pub decoder: FrameDecoder,
}

/// Reads the next message.
///
/// # Errors
///
/// Returns the socket's error if reading fails, `UnexpectedEof` if the stream has ended, and `InvalidData` if the bytes
/// are malformed.
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

/// Performs the handshake on a new connection. `nonce` must not have been used before.
///
/// # Errors
///
/// Returns the socket's error if reading or writing fails, and `PermissionDenied` if the listening side rejects the
/// dialer, for example because of a wrong key, sends an unexpected message, or does not prove that it holds the key.
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
        return Err(denied("the listening side has no proof of the fleet's key"));
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
        Message::Challenge(challenge) => Err(denied(format!(
            "the listening side speaks version {}; expected {PROTOCOL_VERSION}",
            challenge.version
        ))),
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
        other => denied(format!("received message {:?}; expected {expected}", other.name())),
    }
}

fn denied(text: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, text.into())
}
