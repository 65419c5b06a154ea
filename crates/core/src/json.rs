//! A walk over JSON in which what is absent or null reads as nothing and what has another type is a fault.

use simd_json::prelude::*;
use simd_json::BorrowedValue;
use std::time::Duration;

/// Why a text could not be read, in one line.
pub type Fault = String;

/// Reads a text; simd-json uses it as its workplace.
pub fn parse(text: &mut [u8]) -> Result<BorrowedValue<'_>, Fault> {
    simd_json::to_borrowed_value(text).map_err(|e| format!("not JSON: {e}"))
}

/// A value, or the lack of one.
#[derive(Clone, Copy)]
pub struct Look<'a, 'v>(Option<&'a BorrowedValue<'v>>);

impl<'a, 'v> Look<'a, 'v> {
    /// A whole text's value, which has to be an object.
    pub fn object(value: &'a BorrowedValue<'v>, what: &str) -> Result<Self, Fault> {
        if value.is_object() {
            Ok(Look(Some(value)))
        } else {
            Err(format!("{what} is not a JSON object"))
        }
    }

    /// The member of that name.
    pub fn at(self, name: &str) -> Self {
        Look(self.0.and_then(|v| v.get(name)).filter(|v| !v.is_null()))
    }

    /// The first key, by its path, that this value has and another lacks. Of a list of objects what all of them
    /// have is asked of each of the other's.
    pub fn missing_in(self, other: Self) -> Option<String> {
        let (Some(own), Some(theirs)) = (self.0, other.0) else { return None };
        if let (Some(own), Some(_)) = (own.as_object(), theirs.as_object()) {
            return own.keys().find_map(|key| {
                let (mine, other) = (self.at(key), other.at(key));
                match (mine.is_there(), other.is_there()) {
                    (true, false) => Some(key.to_string()),
                    _ => mine.missing_in(other).map(|path| format!("{key}.{path}")),
                }
            });
        }
        let (own, theirs) = (own.as_array()?, theirs.as_array()?);
        let keys =
            own.first()?.as_object()?.keys().filter(|key| own.iter().all(|o| o.contains_key(key.as_ref())));
        let keys: Vec<_> = keys.collect();
        let lacks = |entry: &BorrowedValue| {
            keys.iter().find(|k| !entry.contains_key(k.as_ref())).map(|k| k.to_string())
        };
        theirs.iter().find_map(lacks)
    }

    /// Whether there is a value.
    pub fn is_there(self) -> bool {
        self.0.is_some()
    }

    /// A finite number, where there is one.
    pub fn number(self) -> Result<Option<f64>, Fault> {
        match self.0 {
            None => Ok(None),
            Some(v) => match v.cast_f64() {
                Some(n) if n.is_finite() => Ok(Some(n)),
                _ => Err(format!("a setting should be a number: {}", v.encode())),
            },
        }
    }

    /// A number, 0 where there is none.
    pub fn real(self) -> Result<f64, Fault> {
        Ok(self.number()?.unwrap_or(0.0))
    }

    /// A whole number, 0 where there is none.
    pub fn whole(self) -> Result<u64, Fault> {
        match self.0.and_then(|v| v.as_u64()) {
            Some(n) => Ok(n),
            None => Ok(self.real()? as u64),
        }
    }

    /// A span, given in nanoseconds.
    pub fn span(self) -> Result<Duration, Fault> {
        self.whole().map(Duration::from_nanos)
    }

    /// True or false; false where there is nothing.
    pub fn yes(self) -> Result<bool, Fault> {
        match self.0 {
            None => Ok(false),
            Some(v) => {
                v.as_bool().ok_or_else(|| format!("a setting should be true or false: {}", v.encode()))
            }
        }
    }

    /// A text, empty where there is none.
    pub fn text(self) -> Result<&'a str, Fault> {
        match self.0 {
            None => Ok(""),
            Some(v) => v.as_str().ok_or_else(|| format!("a setting should be text: {}", v.encode())),
        }
    }

    /// A list, empty where there is none.
    pub fn list(self) -> Result<Vec<Look<'a, 'v>>, Fault> {
        match self.0 {
            None => Ok(Vec::new()),
            Some(v) => match v.as_array() {
                Some(a) => Ok(a.iter().map(|v| Look(Some(v))).collect()),
                None => Err(format!("a setting should be a list: {}", v.encode())),
            },
        }
    }

    /// A list of texts.
    pub fn texts(self) -> Result<Vec<String>, Fault> {
        self.list()?.into_iter().map(|t| t.text().map(String::from)).collect()
    }
}
