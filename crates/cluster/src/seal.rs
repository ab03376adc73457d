//! Streams between members: every frame carries a message authentication code over its place in the stream, under a
//! key of that stream alone, so that none can be altered, left out, played again or moved to another stream. What is
//! said can be read by who taps the wire; it has no secrets.

use crate::keys::Keys;
use grebespool_leader_election::{Id, Word};
use rand::RngCore;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

const MAGIC: &[u8; 4] = b"GBMB";
/// The version that members speak. One of another is told so and closed.
pub const VERSION: u16 = 2;
const HELLO: usize = 4 + 2 + 8 + 8 + 8 + 16;
const MAC: usize = 16;
/// The most bytes of a frame; memories come in pieces.
pub const MOST_FRAME: usize = 256 << 10;

/// What is said on a sealed stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// The first of both sides: who it is, and the stamp of what it has on disk.
    Here {
        name: String,
        stamp: u64,
    },
    Word(Word),
    /// A piece of a leader's memory.
    Memory {
        order: (u64, u64),
        part: u32,
        parts: u32,
        bytes: Vec<u8>,
    },
    Question(crate::operator::Question),
    Answer(crate::operator::Answer),
    /// Why the stream is closed.
    Refused(String),
    /// Of duties, on a stream of their own: many at once never wait before a beat.
    Duty(grebespool_singleton_tasks::Word),
    /// Of editions.
    Accord(grebespool_config_consensus::Message),
}

fn denied(text: String) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, text)
}

fn malformed(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// One direction of a sealed stream.
struct Seal {
    key: [u8; 32],
    count: u64,
}

impl Seal {
    fn code(&mut self, body: &[u8]) -> [u8; MAC] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.count.to_be_bytes()).update(body);
        self.count += 1;
        let mut code = [0; MAC];
        code.copy_from_slice(&hasher.finalize().as_bytes()[..MAC]);
        code
    }
}

/// A stream on which both sides have shown that they hold the key.
pub struct Sealed<S> {
    stream: S,
    out: Seal,
    back: Seal,
    /// Who is on the other side; 0 for an operator.
    pub peer: Id,
}

/// Who one is, on either side.
#[derive(Debug, Clone, Copy)]
pub struct Own {
    pub fleet: u64,
    /// 0 for an operator.
    pub id: Id,
}

struct Hello {
    version: u16,
    fleet: u64,
    id: Id,
    hint: [u8; 8],
    nonce: [u8; 16],
}

impl Hello {
    fn bytes(&self) -> [u8; HELLO] {
        let mut bytes = [0; HELLO];
        bytes[..4].copy_from_slice(MAGIC);
        bytes[4..6].copy_from_slice(&self.version.to_be_bytes());
        bytes[6..14].copy_from_slice(&self.fleet.to_be_bytes());
        bytes[14..22].copy_from_slice(&self.id.to_be_bytes());
        bytes[22..30].copy_from_slice(&self.hint);
        bytes[30..].copy_from_slice(&self.nonce);
        bytes
    }

    async fn read(from: &mut (impl AsyncRead + Unpin)) -> io::Result<Hello> {
        let mut bytes = [0; HELLO];
        from.read_exact(&mut bytes).await?;
        if !bytes.starts_with(MAGIC) {
            return Err(malformed("it is no member"));
        }
        let part = |at: usize| bytes[at..at + 8].first_chunk::<8>().copied().unwrap_or_default();
        let mut nonce = [0; 16];
        nonce.copy_from_slice(&bytes[30..]);
        Ok(Hello {
            version: u16::from_be_bytes([bytes[4], bytes[5]]),
            fleet: u64::from_be_bytes(part(6)),
            id: u64::from_be_bytes(part(14)),
            hint: part(22),
            nonce,
        })
    }
}

fn own_hello(own: Own, key: &[u8; 32]) -> Hello {
    let mut nonce = [0; 16];
    rand::rng().fill_bytes(&mut nonce);
    Hello { version: VERSION, fleet: own.fleet, id: own.id, hint: Keys::hint(key), nonce }
}

fn seal(key: &[u8; 32], side: &str, dialler: &Hello, listener: &Hello) -> Seal {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(side.as_bytes()).update(&dialler.bytes()).update(&listener.bytes());
    Seal { key: *hasher.finalize().as_bytes(), count: 0 }
}

fn check(theirs: &Hello, own: Own) -> io::Result<()> {
    if theirs.version != VERSION {
        return Err(denied(format!("it speaks version {}, this member {VERSION}", theirs.version)));
    }
    if theirs.fleet != own.fleet {
        return Err(denied(format!(
            "it is of fleet {:016x}, this member of {:016x}",
            theirs.fleet, own.fleet
        )));
    }
    if theirs.id == own.id {
        return Err(denied("it has this member's own id: its folder was copied".into()));
    }
    Ok(())
}

impl<S: AsyncRead + AsyncWrite + Unpin> Sealed<S> {
    /// Seals a connection that was dialled.
    ///
    /// # Errors
    ///
    /// The stream's; `PermissionDenied` where it is of another fleet, version, or holds none of the keys.
    pub async fn dial(mut stream: S, own: Own, keys: &Keys) -> io::Result<Sealed<S>> {
        let hello = own_hello(own, keys.first());
        stream.write_all(&hello.bytes()).await?;
        let theirs = Hello::read(&mut stream).await?;
        check(&theirs, own)?;
        let key = keys.first();
        let (out, back) = (seal(key, "dialler", &hello, &theirs), seal(key, "listener", &hello, &theirs));
        Ok(Sealed { stream, out, back, peer: theirs.id })
    }

    /// Seals a connection that was accepted.
    ///
    /// # Errors
    ///
    /// As for dialling.
    pub async fn accept(mut stream: S, own: Own, keys: &Keys) -> io::Result<Sealed<S>> {
        let theirs = Hello::read(&mut stream).await?;
        // What is wrong shows the dialler by this side's hello, which is all that it gets.
        let key = keys.by_hint(theirs.hint);
        let hello = own_hello(own, key.unwrap_or(keys.first()));
        stream.write_all(&hello.bytes()).await?;
        check(&theirs, own)?;
        let Some(key) = key else { return Err(denied("it holds none of the keys".into())) };
        let (back, out) = (seal(key, "dialler", &theirs, &hello), seal(key, "listener", &theirs, &hello));
        Ok(Sealed { stream, out, back, peer: theirs.id })
    }

    /// # Errors
    ///
    /// The stream's.
    pub async fn say(&mut self, packet: &Packet) -> io::Result<()> {
        let body = postcard::to_stdvec(packet).map_err(|e| malformed(&e.to_string()))?;
        let code = self.out.code(&body);
        let mut frame = ((body.len() + MAC) as u32).to_be_bytes().to_vec();
        frame.extend_from_slice(&body);
        frame.extend_from_slice(&code);
        self.stream.write_all(&frame).await
    }

    /// # Errors
    ///
    /// The stream's; `PermissionDenied` where a frame's code is wrong, `InvalidData` where it cannot be read.
    pub async fn hear(&mut self) -> io::Result<Packet> {
        let body = self.frame().await?;
        read(&body)
    }

    async fn frame(&mut self) -> io::Result<Vec<u8>> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length).await?;
        let length = u32::from_be_bytes(length) as usize;
        if !(MAC..=MOST_FRAME).contains(&length) {
            return Err(malformed("a frame of no length that may be"));
        }
        let mut body = Vec::new();
        (&mut self.stream).take(length as u64).read_to_end(&mut body).await?;
        if body.len() < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let code = body.split_off(length - MAC);
        // Compared in constant time.
        let (wanted, mut other) = (self.back.code(&body), 0);
        wanted.iter().zip(&code).for_each(|(a, b)| other |= a ^ b);
        if other != 0 {
            return Err(denied(
                "a frame's code is wrong: another key, or it was altered or played again".into(),
            ));
        }
        Ok(body)
    }

    /// Says who one is, and hears who is there: the dialler's first words.
    ///
    /// # Errors
    ///
    /// The stream's; what the other side refuses.
    pub async fn meet(&mut self, name: &str, stamp: u64) -> io::Result<(String, u64)> {
        self.say(&Packet::Here { name: name.into(), stamp }).await?;
        self.met().await
    }

    /// Hears who dialled; it is told who is here, or why it is refused, next.
    ///
    /// # Errors
    ///
    /// The stream's; what the other side refuses.
    pub async fn met(&mut self) -> io::Result<(String, u64)> {
        match self.hear().await? {
            Packet::Here { name, stamp } => Ok((name, stamp)),
            Packet::Refused(why) => Err(denied(why)),
            _ => Err(malformed("it did not say who it is")),
        }
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> io::Result<T> {
    match postcard::take_from_bytes(body) {
        Ok((packet, [])) => Ok(packet),
        _ => Err(malformed("a frame that cannot be read")),
    }
}
