//! Typed reads of the fields of one JSON object, with errors that name the field.

use serde_json::{Map, Value};
use std::fmt;
use thiserror::Error;

/// A field that is missing, has another type or is out of range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{object}: {field} {fault}")]
pub struct FieldError {
    /// The kind of the object, by its name in the sender's protocol.
    pub object: String,
    /// The name of the field.
    pub field: String,
    /// The fault of the field.
    pub fault: FieldFault,
}

/// The fault of a field. The texts are sent to the peer in a NACK. On the wire: do not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldFault {
    /// The object lacks the field.
    Missing,
    /// The field is not a string.
    NotText,
    /// The field is not a boolean.
    NotBoolean,
    /// The field is not a number.
    NotNumber,
    /// The field is a number with a fraction.
    NotWhole,
    /// The field is not an object.
    NotObject,
    /// The field is below zero or above its limit.
    OutOfRange,
    /// The field is zero but must be positive.
    Zero,
    /// The field counts more failures than attempts.
    AboveTotal,
}

impl fmt::Display for FieldFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            FieldFault::Missing => "is missing",
            FieldFault::NotText => "is no text",
            FieldFault::NotBoolean => "is neither true nor false",
            FieldFault::NotNumber => "is no figure",
            FieldFault::NotWhole => "is no whole number",
            FieldFault::NotObject => "is no object",
            FieldFault::OutOfRange => "is out of range",
            FieldFault::Zero => "is nought",
            FieldFault::AboveTotal => "is above the total",
        })
    }
}

/// A reader of the fields of one object.
#[derive(Clone, Copy)]
pub(super) struct ObjectReader<'a> {
    /// The kind of the object, for errors.
    pub kind: &'a str,
    /// The fields of the object.
    pub fields: &'a Map<String, Value>,
}

impl<'a> ObjectReader<'a> {
    /// Creates the error for a field of this object.
    pub(super) fn error(&self, field: &str, fault: FieldFault) -> FieldError {
        FieldError { object: self.kind.into(), field: field.into(), fault }
    }

    /// Returns the field, or `None` if it is missing or null.
    pub(super) fn optional(&self, field: &str) -> Option<&'a Value> {
        self.fields.get(field).filter(|value| !value.is_null())
    }

    /// Reads a string.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing or is not a string.
    pub(super) fn text(&self, field: &str) -> Result<&'a str, FieldError> {
        self.required(field)?.as_str().ok_or_else(|| self.error(field, FieldFault::NotText))
    }

    /// Reads a boolean.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing or is not a boolean.
    pub(super) fn boolean(&self, field: &str) -> Result<bool, FieldError> {
        self.required(field)?.as_bool().ok_or_else(|| self.error(field, FieldFault::NotBoolean))
    }

    /// Reads a number from 0 to `maximum`.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing, is not a number or is out of range.
    pub(super) fn number(&self, field: &str, maximum: f64) -> Result<f64, FieldError> {
        let number = self.required(field)?.as_f64();
        let number = number.ok_or_else(|| self.error(field, FieldFault::NotNumber))?;
        if !(0.0..=maximum).contains(&number) {
            return Err(self.error(field, FieldFault::OutOfRange));
        }
        Ok(number)
    }

    /// Reads a whole number from 0 to `maximum`.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing, is not a whole number or is out of range.
    pub(super) fn integer(&self, field: &str, maximum: u32) -> Result<u32, FieldError> {
        let number = self.number(field, f64::from(maximum))?;
        if number.fract() != 0.0 {
            return Err(self.error(field, FieldFault::NotWhole));
        }
        Ok(number as u32)
    }

    fn required(&self, field: &str) -> Result<&'a Value, FieldError> {
        self.fields.get(field).ok_or_else(|| self.error(field, FieldFault::Missing))
    }
}
