//! Encodes and decodes the parts of a message, field by field.
//!
//! `struct_codec!` and `enum_codec!` take one list of a type's fields or values and implement both directions from the
//! list.

use crate::decode_error::DecodeError;
use crate::reader::Reader;
use crate::writer::Writer;

/// A part of a message that is encoded as a sequence of fields.
pub(crate) trait Codec: Sized {
    /// Reads the fields in the order of the encoding.
    fn decode(reader: &mut Reader) -> Result<Self, DecodeError>;

    /// Appends the fields in the order of the encoding.
    fn encode(&self, writer: &mut Writer);
}

/// A part of a message that occurs as an item of lists.
pub(crate) trait ListItem: Codec {
    /// Number of bytes of the shortest encoding. A list whose count times this number exceeds the rest of the body is
    /// rejected before memory is allocated for the list.
    const MIN_BYTES: usize;
}

/// An enum without fields, encoded as one byte.
pub(crate) trait ByteEnum: Copy {
    /// Returns the value for a byte; `None` if no value has this byte.
    fn from_byte(byte: u8) -> Option<Self>;

    /// Returns the byte of this value.
    fn to_byte(self) -> u8;
}

/// Implements [`Codec`] for a struct. Each entry gives the method of [`Reader`] and [`Writer`] for a field, and the words
/// for the field in a [`DecodeError`]. The order of the entries is the order on the wire: do not reorder. Peers receive
/// the words in [`crate::Close`] texts: do not reword.
macro_rules! struct_codec {
    ($name:ident { $($field:ident: $method:ident($($what:literal),*)),* $(,)? }) => {
        impl $crate::codec::Codec for $name {
            fn decode(reader: &mut $crate::reader::Reader) -> Result<Self, $crate::DecodeError> {
                Ok($name { $($field: reader.$method($($what),*)?),* })
            }

            fn encode(&self, writer: &mut $crate::writer::Writer) {
                $(writer.$method(&self.$field);)*
            }
        }
    };
}

/// Implements [`ByteEnum`] for an enum, given the byte of each value on the wire.
macro_rules! enum_codec {
    ($name:ident { $($byte:literal => $variant:ident),* $(,)? }) => {
        impl $crate::codec::ByteEnum for $name {
            fn from_byte(byte: u8) -> Option<Self> {
                match byte {
                    $($byte => Some($name::$variant),)*
                    _ => None,
                }
            }

            fn to_byte(self) -> u8 {
                match self {
                    $($name::$variant => $byte,)*
                }
            }
        }
    };
}

pub(crate) use {enum_codec, struct_codec};

impl Reader<'_> {
    /// Reads a value of an enum.
    pub(crate) fn variant<T: ByteEnum>(&mut self, what: &'static str) -> Result<T, DecodeError> {
        let at = self.position();
        let byte = self.u8(what)?;
        T::from_byte(byte).ok_or(DecodeError::InvalidValue { what, at, value: byte.into() })
    }

    /// Reads the fields of another part.
    pub(crate) fn nested<T: Codec>(&mut self) -> Result<T, DecodeError> {
        T::decode(self)
    }

    /// Reads a flag, and the value if the flag is set.
    pub(crate) fn optional<T: Codec>(&mut self, what: &'static str) -> Result<Option<T>, DecodeError> {
        if self.flag(what)? { T::decode(self).map(Some) } else { Ok(None) }
    }

    /// Reads the count of a list and its items.
    pub(crate) fn list<T: ListItem>(&mut self, what: &'static str) -> Result<Vec<T>, DecodeError> {
        let count = self.count(what, T::MIN_BYTES)?;
        (0..count).map(|_| T::decode(self)).collect()
    }
}

impl Writer<'_> {
    pub(crate) fn variant<T: ByteEnum>(&mut self, value: &T) {
        self.u8(&value.to_byte());
    }

    pub(crate) fn nested<T: Codec>(&mut self, value: &T) {
        value.encode(self);
    }

    /// Writes the byte of a kind, and the fields of that kind.
    pub(crate) fn tagged<T: Codec>(&mut self, kind: u8, value: &T) {
        self.u8(&kind);
        value.encode(self);
    }

    pub(crate) fn optional<T: Codec>(&mut self, value: &Option<T>) {
        self.flag(&value.is_some());
        if let Some(value) = value {
            value.encode(self);
        }
    }

    pub(crate) fn list<T: ListItem>(&mut self, items: &[T]) {
        self.u32(&(items.len() as u32));
        for item in items {
            item.encode(self);
        }
    }
}
