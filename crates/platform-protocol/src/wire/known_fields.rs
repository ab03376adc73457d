//! Reads the known fields of a JSON object and skips all others, so that the memory and the time for an object do not depend
//! on how many fields it has.

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;

/// The number of fields that are read of an object whose field names are not known. More metrics than any deployment has.
const MAX_FIELDS: usize = 256;

/// The form of a field's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FieldForm {
    /// A string, a number, a boolean or null.
    Scalar,
    /// An object of scalars with any names.
    Scalars,
}

/// A field that is read.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownField {
    /// The name of the field.
    pub(super) name: &'static str,
    /// The form of its value. A value of another form is read as an empty array or object.
    pub(super) form: FieldForm,
}

/// Returns a field with a scalar value.
pub(super) const fn scalar(name: &'static str) -> KnownField {
    KnownField { name, form: FieldForm::Scalar }
}

/// Reads a value that should be an object with these fields. A value that is not an object is read as a scalar.
#[derive(Clone, Copy)]
pub(super) struct ObjectSeed(pub(super) &'static [KnownField]);

impl<'de> DeserializeSeed<'de> for ObjectSeed {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(ValueVisitor(Form::Object(self.0)))
    }
}

/// What is read of an object.
#[derive(Clone, Copy)]
enum Form {
    /// Nothing.
    Empty,
    /// The scalars of the first fields, whatever their names.
    AnyScalars,
    /// These fields.
    Object(&'static [KnownField]),
}

impl Form {
    /// Returns the form of a field's value; `None` if the field is skipped.
    fn of_field(self, name: &str, fields_read: usize) -> Option<Form> {
        match self {
            Form::Empty => None,
            Form::AnyScalars => (fields_read < MAX_FIELDS).then_some(Form::Empty),
            Form::Object(known) => {
                let field = known.iter().find(|field| field.name == name)?;
                Some(if field.form == FieldForm::Scalars { Form::AnyScalars } else { Form::Empty })
            }
        }
    }
}

impl<'de> DeserializeSeed<'de> for Form {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(ValueVisitor(self))
    }
}

struct ValueVisitor(Form);

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Value, A::Error> {
        while elements.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Value::Array(vec![]))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = entries.next_key::<String>()? {
            match self.0.of_field(&name, fields.len()) {
                Some(form) => drop(fields.insert(name, entries.next_value_seed(form)?)),
                None => drop(entries.next_value::<IgnoredAny>()?),
            }
        }
        Ok(Value::Object(fields))
    }
}
