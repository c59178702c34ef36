//! Fields of a line: `name=value` pairs, separated by single spaces.

use std::str::FromStr;

use curlewusher_core::Timestamp;

use crate::error::FieldError;

/// Value of a field that represents an empty sequence of bytes.
const NO_BYTES: &str = "-";

/// Fields of one line. Unknown fields are ignored.
#[derive(Clone, Copy)]
pub struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    /// Creates the fields from the part of a line after the name of the message.
    pub fn new(text: &'a str) -> Self {
        Fields(text)
    }

    /// Returns the parsed value of a required field.
    pub fn required<T: FromStr>(&self, field: &'static str) -> Result<T, FieldError> {
        self.optional(field)?.ok_or(FieldError::Missing { field })
    }

    /// Returns the parsed value of a field, or `None` if the line does not have the field.
    pub fn optional<T: FromStr>(&self, field: &'static str) -> Result<Option<T>, FieldError> {
        let parse = |value: &str| value.parse().map_err(|_| malformed(field, value));
        self.find(field).map(parse).transpose()
    }

    /// Returns the parsed value of a field, or the default if the line does not have the field.
    pub fn value_or<T: FromStr>(&self, field: &'static str, default: T) -> Result<T, FieldError> {
        Ok(self.optional(field)?.unwrap_or(default))
    }

    /// Returns whether the value of a field is 1. A missing field counts as 0.
    pub fn flag(&self, field: &'static str) -> Result<bool, FieldError> {
        Ok(self.value_or(field, 0u8)? == 1)
    }

    /// Returns the time that a required field contains in microseconds.
    pub fn timestamp(&self, field: &'static str) -> Result<Timestamp, FieldError> {
        self.required(field).map(Timestamp::from_micros)
    }

    /// Returns the text of a required field.
    pub fn text(&self, field: &'static str) -> Result<&'a str, FieldError> {
        self.find(field).ok_or(FieldError::Missing { field })
    }

    /// Returns the rest of the line from the value of a required field on, spaces included.
    pub fn rest_of_line(&self, field: &'static str) -> Result<&'a str, FieldError> {
        let start = self.0.find(&format!("{field}=")).ok_or(FieldError::Missing { field })?;
        Ok(&self.0[start + field.len() + 1..])
    }

    /// Returns the bytes of a required field, which the line contains as hexadecimal digits.
    pub fn bytes(&self, field: &'static str) -> Result<Vec<u8>, FieldError> {
        let digits = self.text(field)?;
        if digits == NO_BYTES {
            return Ok(Vec::new());
        }
        let byte_at = |start: usize| {
            let pair = digits.get(start..start + 2)?;
            u8::from_str_radix(pair, 16).ok()
        };
        (0..digits.len())
            .step_by(2)
            .map(|start| byte_at(start).ok_or(FieldError::NotHexadecimal { field }))
            .collect()
    }

    fn find(&self, field: &str) -> Option<&'a str> {
        self.0.split(' ').find_map(|part| part.strip_prefix(field)?.strip_prefix('='))
    }
}

/// Returns the error of an invalid value of a field.
pub fn malformed(field: &'static str, value: &str) -> FieldError {
    FieldError::Malformed { field, value: value.to_owned() }
}
