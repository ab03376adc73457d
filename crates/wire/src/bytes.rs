//! Fields of a body, big-endian.

use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// Why bytes are no message. `at` counts from the first byte of the frame's body.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Malformed {
    #[error("a frame of {length} bytes is over the limit of {limit}")]
    Oversized { length: usize, limit: usize },
    #[error("an empty frame")]
    Empty,
    #[error("unknown message kind {0}")]
    UnknownKind(u8),
    #[error("{what} at byte {at} is cut short")]
    Short { what: &'static str, at: usize },
    #[error("{what} at byte {at} cannot be {value}")]
    Value { what: &'static str, at: usize, value: u64 },
    #[error("{what} at byte {at} is not text")]
    Text { what: &'static str, at: usize },
    #[error("{count} {what} at byte {at} are more than the frame holds")]
    Count { what: &'static str, at: usize, count: usize },
    #[error("{left} bytes are left over after the message")]
    Rest { left: usize },
}

pub(crate) struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Fields { bytes, at: 0 }
    }

    pub fn at(&self) -> usize {
        self.at
    }

    pub fn take<const N: usize>(&mut self, what: &'static str) -> Result<[u8; N], Malformed> {
        match self.bytes[self.at..].first_chunk::<N>() {
            Some(chunk) => {
                self.at += N;
                Ok(*chunk)
            }
            None => Err(Malformed::Short { what, at: self.at }),
        }
    }

    pub fn u8(&mut self, what: &'static str) -> Result<u8, Malformed> {
        Ok(self.take::<1>(what)?[0])
    }
    pub fn u16(&mut self, what: &'static str) -> Result<u16, Malformed> {
        self.take(what).map(u16::from_be_bytes)
    }
    pub fn u32(&mut self, what: &'static str) -> Result<u32, Malformed> {
        self.take(what).map(u32::from_be_bytes)
    }
    pub fn u64(&mut self, what: &'static str) -> Result<u64, Malformed> {
        self.take(what).map(u64::from_be_bytes)
    }
    pub fn f32(&mut self, what: &'static str) -> Result<f32, Malformed> {
        self.take(what).map(f32::from_be_bytes)
    }

    pub fn flag(&mut self, what: &'static str) -> Result<bool, Malformed> {
        self.one_of(what, &[false, true])
    }

    /// One of a few values, by its place among them.
    pub fn one_of<T: Copy>(&mut self, what: &'static str, values: &[T]) -> Result<T, Malformed> {
        let at = self.at;
        let value = self.u8(what)?;
        values.get(usize::from(value)).copied().ok_or(Malformed::Value { what, at, value: value.into() })
    }

    /// A weight or share: finite and not below nought.
    pub fn share(&mut self, what: &'static str) -> Result<f32, Malformed> {
        let at = self.at;
        let value = self.f32(what)?;
        match value.is_finite() && value >= 0.0 {
            true => Ok(value),
            false => Err(Malformed::Value { what, at, value: value.to_bits().into() }),
        }
    }

    pub fn text(&mut self, what: &'static str) -> Result<String, Malformed> {
        let at = self.at;
        let length = usize::from(self.u8(what)?);
        let Some(bytes) = self.bytes.get(self.at..self.at + length) else {
            return Err(Malformed::Short { what, at });
        };
        self.at += length;
        match std::str::from_utf8(bytes) {
            Ok(text) => Ok(text.into()),
            Err(_) => Err(Malformed::Text { what, at }),
        }
    }

    pub fn addr(&mut self, what: &'static str) -> Result<SocketAddr, Malformed> {
        let at = self.at;
        let ip: IpAddr = match self.u8(what)? {
            4 => self.take::<4>(what)?.into(),
            6 => self.take::<16>(what)?.into(),
            value => return Err(Malformed::Value { what, at, value: value.into() }),
        };
        Ok(SocketAddr::new(ip, self.u16(what)?))
    }

    /// As many of something as stated, each of at least `least` bytes: a false count claims no memory.
    pub fn many<T>(
        &mut self,
        what: &'static str,
        least: usize,
        mut one: impl FnMut(&mut Self) -> Result<T, Malformed>,
    ) -> Result<Vec<T>, Malformed> {
        let at = self.at;
        let count = self.u32(what)? as usize;
        if count.saturating_mul(least) > self.bytes.len() - self.at {
            return Err(Malformed::Count { what, at, count });
        }
        (0..count).map(|_| one(self)).collect()
    }

    pub fn end(self) -> Result<(), Malformed> {
        match self.bytes.len() - self.at {
            0 => Ok(()),
            left => Err(Malformed::Rest { left }),
        }
    }
}

/// Appends fields to a frame that is being written.
pub(crate) struct Pen<'a>(pub &'a mut Vec<u8>);

impl Pen<'_> {
    pub fn put(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }
    pub fn u8(&mut self, v: u8) {
        self.0.push(v);
    }
    pub fn u16(&mut self, v: u16) {
        self.put(&v.to_be_bytes());
    }
    pub fn u32(&mut self, v: u32) {
        self.put(&v.to_be_bytes());
    }
    pub fn u64(&mut self, v: u64) {
        self.put(&v.to_be_bytes());
    }
    pub fn f32(&mut self, v: f32) {
        self.put(&v.to_be_bytes());
    }

    /// Text of at most 255 bytes; what is longer is cut at a character.
    pub fn text(&mut self, text: &str) {
        let mut length = text.len().min(255);
        while !text.is_char_boundary(length) {
            length -= 1;
        }
        self.u8(length as u8);
        self.put(&text.as_bytes()[..length]);
    }

    pub fn addr(&mut self, addr: SocketAddr) {
        match addr.ip() {
            IpAddr::V4(ip) => {
                self.u8(4);
                self.put(&ip.octets());
            }
            IpAddr::V6(ip) => {
                self.u8(6);
                self.put(&ip.octets());
            }
        }
        self.u16(addr.port());
    }

    pub fn many<T>(&mut self, items: &[T], mut one: impl FnMut(&mut Self, &T)) {
        self.u32(items.len() as u32);
        items.iter().for_each(|i| one(self, i));
    }
}
