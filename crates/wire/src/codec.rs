//! How the parts of a message are made of fields.
//!
//! `struct_codec!` and `enum_codec!` list the fields and values of a type once, in their order on the wire, and derive
//! both directions from the list.

use crate::decode_error::DecodeError;
use crate::reader::Reader;
use crate::writer::Writer;

/// A part of a message that is encoded as a sequence of fields.
pub(crate) trait Codec: Sized {
    /// Reads the fields in their order.
    fn decode(reader: &mut Reader) -> Result<Self, DecodeError>;

    /// Appends the fields in the same order.
    fn encode(&self, writer: &mut Writer);
}

/// An item of a list.
pub(crate) trait ListItem: Codec {
    /// Bytes of the shortest encoding. A list whose count times this exceeds the rest of the body is refused before
    /// memory is allocated for it.
    const MIN_BYTES: usize;
}

/// An enum without fields, encoded as one byte.
pub(crate) trait ByteEnum: Copy {
    /// The value of a byte, if it has one.
    fn from_byte(byte: u8) -> Option<Self>;

    /// The byte of this value.
    fn to_byte(self) -> u8;
}

/// Implements [`Codec`] for a struct. Each field names the method of [`Reader`] and of [`Writer`] that transfers it,
/// with the words by which a [`DecodeError`] calls the field. The order of the list is the order on the wire.
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

/// Implements [`ByteEnum`] for an enum from a table of its bytes on the wire.
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
    pub(crate) fn variant<T: ByteEnum>(&mut self, what: &'static str) -> Result<T, DecodeError> {
        let at = self.position();
        let byte = self.u8(what)?;
        T::from_byte(byte).ok_or(DecodeError::InvalidValue { what, at, value: byte.into() })
    }

    pub(crate) fn nested<T: Codec>(&mut self) -> Result<T, DecodeError> {
        T::decode(self)
    }

    /// A flag, and the value if the flag is set.
    pub(crate) fn optional<T: Codec>(&mut self, what: &'static str) -> Result<Option<T>, DecodeError> {
        if self.flag(what)? { T::decode(self).map(Some) } else { Ok(None) }
    }

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

    /// A kind, and the fields of that kind.
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
