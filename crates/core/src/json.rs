//! Typed access to JSON values.
//!
//! An absent or null value reads as a default or as `None`; a value of another type than expected is an
//! error.

use simd_json::prelude::*;
use simd_json::BorrowedValue;
use std::time::Duration;
use thiserror::Error;

/// Why JSON text could not be read.
#[derive(Debug, Error)]
pub enum JsonError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    Syntax(#[source] simd_json::Error),
    /// The text is JSON, but not an object.
    #[error("{what}: expected a JSON object")]
    NotAnObject {
        /// What the text describes.
        what: &'static str,
    },
    /// A value has another type than expected.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// The expected type.
        expected: &'static str,
        /// The value found, as JSON.
        found: String,
    },
}

impl JsonError {
    fn wrong_type(expected: &'static str, found: &BorrowedValue) -> Self {
        JsonError::WrongType { expected, found: found.encode() }
    }
}

/// Parses JSON text in place; its bytes are overwritten.
pub fn parse(text: &mut [u8]) -> Result<BorrowedValue<'_>, JsonError> {
    simd_json::to_borrowed_value(text).map_err(JsonError::Syntax)
}

/// A JSON value that may be absent.
#[derive(Clone, Copy)]
pub struct JsonField<'a, 'v> {
    value: Option<&'a BorrowedValue<'v>>,
}

impl<'a, 'v> JsonField<'a, 'v> {
    /// Wraps the value of a whole text, which must be an object. `what` names the text in the error.
    pub fn object(value: &'a BorrowedValue<'v>, what: &'static str) -> Result<Self, JsonError> {
        if value.is_object() {
            Ok(JsonField { value: Some(value) })
        } else {
            Err(JsonError::NotAnObject { what })
        }
    }

    /// Returns the field of that name; absent if it is missing or null.
    pub fn field(self, name: &str) -> Self {
        let value = self.value.and_then(|value| value.get(name));
        JsonField { value: value.filter(|value| !value.is_null()) }
    }

    /// Returns whether there is a value.
    pub fn is_present(self) -> bool {
        self.value.is_some()
    }

    /// Returns the path of the first key that this value has and `other` lacks. In a list of objects, each
    /// entry of `other` must have the keys that all entries of this list have.
    pub fn missing_in(self, other: Self) -> Option<String> {
        let (Some(own), Some(theirs)) = (self.value, other.value) else { return None };
        if let (Some(own), Some(_)) = (own.as_object(), theirs.as_object()) {
            return own.keys().find_map(|key| self.missing_field(key, other));
        }
        let (own, theirs) = (own.as_array()?, theirs.as_array()?);
        let in_all = |key: &str| own.iter().all(|entry| entry.contains_key(key));
        let keys: Vec<_> = own.first()?.as_object()?.keys().filter(|key| in_all(key.as_ref())).collect();
        let lacks = |entry: &BorrowedValue| keys.iter().find(|key| !entry.contains_key(key.as_ref()));
        theirs.iter().find_map(lacks).map(|key| key.to_string())
    }

    fn missing_field(self, key: &str, other: Self) -> Option<String> {
        let (own, theirs) = (self.field(key), other.field(key));
        if own.is_present() && !theirs.is_present() {
            return Some(key.to_owned());
        }
        own.missing_in(theirs).map(|path| format!("{key}.{path}"))
    }

    /// Returns the value as a finite number, `None` if it is absent.
    pub fn optional_number(self) -> Result<Option<f64>, JsonError> {
        let Some(value) = self.value else { return Ok(None) };
        match value.cast_f64() {
            Some(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(JsonError::wrong_type("a number", value)),
        }
    }

    /// Returns the value as a finite number, 0 if it is absent.
    pub fn number(self) -> Result<f64, JsonError> {
        Ok(self.optional_number()?.unwrap_or(0.0))
    }

    /// Returns the value as a whole number, 0 if it is absent. A fraction is truncated.
    pub fn integer(self) -> Result<u64, JsonError> {
        match self.value.and_then(|value| value.as_u64()) {
            Some(number) => Ok(number),
            None => Ok(self.number()? as u64),
        }
    }

    /// Returns the value as a duration given in nanoseconds, zero if it is absent.
    pub fn duration(self) -> Result<Duration, JsonError> {
        self.integer().map(Duration::from_nanos)
    }

    /// Returns the value as a boolean, false if it is absent.
    pub fn boolean(self) -> Result<bool, JsonError> {
        let Some(value) = self.value else { return Ok(false) };
        value.as_bool().ok_or_else(|| JsonError::wrong_type("true or false", value))
    }

    /// Returns the value as text, empty if it is absent.
    pub fn text(self) -> Result<&'a str, JsonError> {
        let Some(value) = self.value else { return Ok("") };
        value.as_str().ok_or_else(|| JsonError::wrong_type("text", value))
    }

    /// Returns the entries of a list, none if it is absent.
    pub fn list(self) -> Result<Vec<JsonField<'a, 'v>>, JsonError> {
        let Some(value) = self.value else { return Ok(Vec::new()) };
        let entries = value.as_array().ok_or_else(|| JsonError::wrong_type("a list", value))?;
        Ok(entries.iter().map(|entry| JsonField { value: Some(entry) }).collect())
    }

    /// Returns the entries of a list of texts, none if it is absent.
    pub fn texts(self) -> Result<Vec<String>, JsonError> {
        self.list()?.into_iter().map(|entry| entry.text().map(String::from)).collect()
    }
}
