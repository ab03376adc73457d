//! Reads the basic types of a message body, in big-endian order.

use crate::decode_error::DecodeError;
use std::net::{IpAddr, SocketAddr};

/// The byte that precedes an IPv4 address.
pub(crate) const ADDRESS_V4: u8 = 4;

/// The byte that precedes an IPv6 address.
pub(crate) const ADDRESS_V6: u8 = 6;

/// A reader of the fields of a message body. The parameter `what` of the methods has the words for the field in an error.
pub(crate) struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Reader { bytes, position: 0 }
    }

    pub(crate) fn position(&self) -> usize {
        self.position
    }

    fn remaining(&self) -> usize {
        self.bytes.len() - self.position
    }

    pub(crate) fn array<const N: usize>(&mut self, what: &'static str) -> Result<[u8; N], DecodeError> {
        match self.bytes[self.position..].first_chunk::<N>() {
            Some(chunk) => {
                self.position += N;
                Ok(*chunk)
            }
            None => Err(DecodeError::Truncated { what, at: self.position }),
        }
    }

    pub(crate) fn u8(&mut self, what: &'static str) -> Result<u8, DecodeError> {
        self.array(what).map(u8::from_be_bytes)
    }

    pub(crate) fn u16(&mut self, what: &'static str) -> Result<u16, DecodeError> {
        self.array(what).map(u16::from_be_bytes)
    }

    pub(crate) fn u32(&mut self, what: &'static str) -> Result<u32, DecodeError> {
        self.array(what).map(u32::from_be_bytes)
    }

    pub(crate) fn u64(&mut self, what: &'static str) -> Result<u64, DecodeError> {
        self.array(what).map(u64::from_be_bytes)
    }

    fn f32(&mut self, what: &'static str) -> Result<f32, DecodeError> {
        self.array(what).map(f32::from_be_bytes)
    }

    /// Reads a finite number that is not negative, such as a weight, a rate or a fraction.
    pub(crate) fn non_negative(&mut self, what: &'static str) -> Result<f32, DecodeError> {
        let at = self.position;
        let value = self.f32(what)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(DecodeError::InvalidValue { what, at, value: value.to_bits().into() })
        }
    }

    pub(crate) fn flag(&mut self, what: &'static str) -> Result<bool, DecodeError> {
        let at = self.position;
        match self.u8(what)? {
            0 => Ok(false),
            1 => Ok(true),
            value => Err(DecodeError::InvalidValue { what, at, value: value.into() }),
        }
    }

    pub(crate) fn text(&mut self, what: &'static str) -> Result<String, DecodeError> {
        let at = self.position;
        let length = usize::from(self.u8(what)?);
        let Some(bytes) = self.bytes.get(self.position..self.position + length) else {
            return Err(DecodeError::Truncated { what, at });
        };
        self.position += length;
        match std::str::from_utf8(bytes) {
            Ok(text) => Ok(text.into()),
            Err(_) => Err(DecodeError::InvalidUtf8 { what, at }),
        }
    }

    pub(crate) fn address(&mut self, what: &'static str) -> Result<SocketAddr, DecodeError> {
        let at = self.position;
        let ip: IpAddr = match self.u8(what)? {
            ADDRESS_V4 => self.array::<4>(what)?.into(),
            ADDRESS_V6 => self.array::<16>(what)?.into(),
            value => return Err(DecodeError::InvalidValue { what, at, value: value.into() }),
        };
        Ok(SocketAddr::new(ip, self.u16(what)?))
    }

    /// Reads a flag, and the number if the flag is set.
    pub(crate) fn optional_u16(
        &mut self,
        what_flag: &'static str,
        what: &'static str,
    ) -> Result<Option<u16>, DecodeError> {
        if self.flag(what_flag)? { self.u16(what).map(Some) } else { Ok(None) }
    }

    /// Reads the count of a list whose items have at least `min_bytes` each.
    pub(crate) fn count(&mut self, what: &'static str, min_bytes: usize) -> Result<usize, DecodeError> {
        let at = self.position;
        let count = self.u32(what)? as usize;
        if count.saturating_mul(min_bytes) > self.remaining() {
            return Err(DecodeError::CountTooLarge { what, at, count });
        }
        Ok(count)
    }

    /// Reads a list of numbers of any value, including NaN and infinity. The receiver has to validate them.
    pub(crate) fn f32_list(
        &mut self,
        what: &'static str,
        what_item: &'static str,
    ) -> Result<Vec<f32>, DecodeError> {
        let count = self.count(what, size_of::<f32>())?;
        (0..count).map(|_| self.f32(what_item)).collect()
    }

    /// Returns an error if any bytes are left.
    pub(crate) fn finish(self) -> Result<(), DecodeError> {
        match self.remaining() {
            0 => Ok(()),
            left => Err(DecodeError::TrailingBytes { left }),
        }
    }
}
