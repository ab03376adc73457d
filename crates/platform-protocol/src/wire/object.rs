//! Typed reads from one JSON object, with errors that name the field.

use serde_json::{Map, Value};
use std::fmt;
use thiserror::Error;

/// A field that is missing, has another type or is out of range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{object}: {field} {fault}")]
pub struct FieldError {
    /// What kind of object holds the field, in the sender's words.
    pub object: String,
    /// The name of the field.
    pub field: String,
    /// What is wrong with it.
    pub fault: FieldFault,
}

/// What is wrong with a field. The texts go to the peer in a refusal. On the wire: do not rename.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldFault {
    /// The object does not have it.
    Missing,
    /// It is not a string.
    NotText,
    /// It is not a boolean.
    NotBoolean,
    /// It is not a number.
    NotNumber,
    /// It is a number with a fraction.
    NotWhole,
    /// It is not an object.
    NotObject,
    /// It is below zero or above the limit of the field.
    OutOfRange,
    /// It is zero where that has no meaning.
    Zero,
    /// More failures are counted than there were attempts.
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

/// Reads the fields of one object.
#[derive(Clone, Copy)]
pub(super) struct ObjectReader<'a> {
    /// What kind of object it is, for errors.
    pub kind: &'a str,
    /// The fields.
    pub fields: &'a Map<String, Value>,
}

impl<'a> ObjectReader<'a> {
    /// The error for a field of this object.
    pub(super) fn error(&self, field: &str, fault: FieldFault) -> FieldError {
        FieldError { object: self.kind.into(), field: field.into(), fault }
    }

    /// The field, unless it is left out or null.
    pub(super) fn optional(&self, field: &str) -> Option<&'a Value> {
        self.fields.get(field).filter(|value| !value.is_null())
    }

    /// A string.
    ///
    /// # Errors
    ///
    /// The field is missing or is not a string.
    pub(super) fn text(&self, field: &str) -> Result<&'a str, FieldError> {
        self.required(field)?.as_str().ok_or_else(|| self.error(field, FieldFault::NotText))
    }

    /// A boolean.
    ///
    /// # Errors
    ///
    /// The field is missing or is not a boolean.
    pub(super) fn boolean(&self, field: &str) -> Result<bool, FieldError> {
        self.required(field)?.as_bool().ok_or_else(|| self.error(field, FieldFault::NotBoolean))
    }

    /// A number from 0 to `maximum`.
    ///
    /// # Errors
    ///
    /// The field is missing, is not a number or is out of range.
    pub(super) fn number(&self, field: &str, maximum: f64) -> Result<f64, FieldError> {
        let number = self.required(field)?.as_f64();
        let number = number.ok_or_else(|| self.error(field, FieldFault::NotNumber))?;
        if !(0.0..=maximum).contains(&number) {
            return Err(self.error(field, FieldFault::OutOfRange));
        }
        Ok(number)
    }

    /// A whole number from 0 to `maximum`.
    ///
    /// # Errors
    ///
    /// The field is missing, is not a whole number or is out of range.
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
