//! Writes the basic types of a message body, in big-endian order.

use crate::reader::{ADDRESS_V4, ADDRESS_V6};
use std::net::{IpAddr, SocketAddr};

/// Maximum number of bytes of a text, whose length is encoded in one byte.
const MAX_TEXT_BYTES: usize = 255;

/// A writer that appends fields to a frame. Its methods mirror those of [`crate::reader::Reader`].
pub(crate) struct Writer<'a> {
    out: &'a mut Vec<u8>,
}

impl<'a> Writer<'a> {
    pub(crate) fn new(out: &'a mut Vec<u8>) -> Self {
        Writer { out }
    }

    pub(crate) fn array<const N: usize>(&mut self, bytes: &[u8; N]) {
        self.out.extend_from_slice(bytes);
    }

    pub(crate) fn u8(&mut self, value: &u8) {
        self.array(&value.to_be_bytes());
    }

    pub(crate) fn u16(&mut self, value: &u16) {
        self.array(&value.to_be_bytes());
    }

    pub(crate) fn u32(&mut self, value: &u32) {
        self.array(&value.to_be_bytes());
    }

    pub(crate) fn u64(&mut self, value: &u64) {
        self.array(&value.to_be_bytes());
    }

    pub(crate) fn non_negative(&mut self, value: &f32) {
        self.array(&value.to_be_bytes());
    }

    pub(crate) fn flag(&mut self, value: &bool) {
        self.u8(&u8::from(*value));
    }

    /// Writes a text. A text of more than [`MAX_TEXT_BYTES`] bytes is truncated at a character boundary.
    pub(crate) fn text(&mut self, text: &str) {
        let cut = &text[..text.floor_char_boundary(MAX_TEXT_BYTES)];
        self.u8(&(cut.len() as u8));
        self.out.extend_from_slice(cut.as_bytes());
    }

    pub(crate) fn address(&mut self, address: &SocketAddr) {
        match address.ip() {
            IpAddr::V4(ip) => {
                self.u8(&ADDRESS_V4);
                self.array(&ip.octets());
            }
            IpAddr::V6(ip) => {
                self.u8(&ADDRESS_V6);
                self.array(&ip.octets());
            }
        }
        self.u16(&address.port());
    }

    pub(crate) fn optional_u16(&mut self, value: &Option<u16>) {
        self.flag(&value.is_some());
        if let Some(value) = value {
            self.u16(value);
        }
    }

    pub(crate) fn f32_list(&mut self, values: &[f32]) {
        self.u32(&(values.len() as u32));
        for value in values {
            self.array(&value.to_be_bytes());
        }
    }
}
