//! Typed reading of JSON in which a value that is absent or null reads as nothing, and one of another type is an error.

use simd_json::prelude::*;
use simd_json::BorrowedValue;
use std::time::Duration;
use thiserror::Error;

/// Why a text could not be read.
#[derive(Debug, Error)]
pub enum JsonError {
    /// The text is no JSON.
    #[error("not JSON: {0}")]
    Syntax(#[source] simd_json::Error),
    /// The text is JSON, and not an object.
    #[error("{what} is not a JSON object")]
    NotAnObject {
        /// What the text is.
        what: &'static str,
    },
    /// A value has another type than it should.
    #[error("a setting should be {expected}: {found}")]
    WrongType {
        /// The type it should have.
        expected: &'static str,
        /// The value, as JSON.
        found: String,
    },
}

impl JsonError {
    fn wrong_type(expected: &'static str, found: &BorrowedValue) -> Self {
        JsonError::WrongType { expected, found: found.encode() }
    }
}

/// Parses a text; its bytes are overwritten.
pub fn parse(text: &mut [u8]) -> Result<BorrowedValue<'_>, JsonError> {
    simd_json::to_borrowed_value(text).map_err(JsonError::Syntax)
}

/// A value, or the lack of one.
#[derive(Clone, Copy)]
pub struct JsonField<'a, 'v> {
    value: Option<&'a BorrowedValue<'v>>,
}

impl<'a, 'v> JsonField<'a, 'v> {
    /// The value of a whole text, `what`, which has to be an object.
    pub fn object(value: &'a BorrowedValue<'v>, what: &'static str) -> Result<Self, JsonError> {
        if value.is_object() {
            Ok(JsonField { value: Some(value) })
        } else {
            Err(JsonError::NotAnObject { what })
        }
    }

    /// The field of that name.
    pub fn field(self, name: &str) -> Self {
        let value = self.value.and_then(|value| value.get(name));
        JsonField { value: value.filter(|value| !value.is_null()) }
    }

    /// Whether there is a value.
    pub fn is_present(self) -> bool {
        self.value.is_some()
    }

    /// The path of the first key that this value has and another one lacks. Of a list of objects, each of the other's
    /// entries has to have the keys that all entries of this one have.
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

    /// A finite number, where there is one.
    pub fn optional_number(self) -> Result<Option<f64>, JsonError> {
        let Some(value) = self.value else { return Ok(None) };
        match value.cast_f64() {
            Some(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(JsonError::wrong_type("a number", value)),
        }
    }

    /// A finite number, 0 where there is none.
    pub fn number(self) -> Result<f64, JsonError> {
        Ok(self.optional_number()?.unwrap_or(0.0))
    }

    /// A whole number, 0 where there is none. A fraction is cut off.
    pub fn integer(self) -> Result<u64, JsonError> {
        match self.value.and_then(|value| value.as_u64()) {
            Some(number) => Ok(number),
            None => Ok(self.number()? as u64),
        }
    }

    /// A duration, given in nanoseconds; 0 where there is none.
    pub fn duration(self) -> Result<Duration, JsonError> {
        self.integer().map(Duration::from_nanos)
    }

    /// True or false; false where there is nothing.
    pub fn boolean(self) -> Result<bool, JsonError> {
        let Some(value) = self.value else { return Ok(false) };
        value.as_bool().ok_or_else(|| JsonError::wrong_type("true or false", value))
    }

    /// A text, empty where there is none.
    pub fn text(self) -> Result<&'a str, JsonError> {
        let Some(value) = self.value else { return Ok("") };
        value.as_str().ok_or_else(|| JsonError::wrong_type("text", value))
    }

    /// A list, empty where there is none.
    pub fn list(self) -> Result<Vec<JsonField<'a, 'v>>, JsonError> {
        let Some(value) = self.value else { return Ok(Vec::new()) };
        let entries = value.as_array().ok_or_else(|| JsonError::wrong_type("a list", value))?;
        Ok(entries.iter().map(|entry| JsonField { value: Some(entry) }).collect())
    }

    /// A list of texts, empty where there is none.
    pub fn texts(self) -> Result<Vec<String>, JsonError> {
        self.list()?.into_iter().map(|entry| entry.text().map(String::from)).collect()
    }
}
