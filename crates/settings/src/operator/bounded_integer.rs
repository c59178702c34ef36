//! Integers with bounds in their types, so that a value out of bounds is an error when the file is parsed.

use std::fmt;
use std::time::Duration;

use serde::de::{self, Deserializer, Visitor};
use serde::{Deserialize, Serialize};

/// Integer from `MIN` to `MAX`, inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct BoundedInteger<const MIN: u64, const MAX: u64>(u64);

impl<const MIN: u64, const MAX: u64> BoundedInteger<MIN, MAX> {
    /// Creates a bounded integer from a value.
    ///
    /// # Panics
    ///
    /// Panics if the value is out of bounds. In a constant, this is a compile error.
    pub const fn new(value: u64) -> Self {
        assert!(MIN <= value && value <= MAX);
        BoundedInteger(value)
    }

    /// Returns the value.
    pub fn get(self) -> u64 {
        self.0
    }
}

/// Duration of `MIN` to `MAX` milliseconds, inclusive. The file contains it as an integer number of
/// milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BoundedMillis<const MIN: u64, const MAX: u64>(BoundedInteger<MIN, MAX>);

impl<const MIN: u64, const MAX: u64> BoundedMillis<MIN, MAX> {
    /// Creates a duration from a number of milliseconds.
    ///
    /// # Panics
    ///
    /// Panics if the number is out of bounds, like [`BoundedInteger::new`].
    pub const fn new(millis: u64) -> Self {
        BoundedMillis(BoundedInteger::new(millis))
    }

    /// Returns the duration.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0.get())
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for BoundedInteger<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_u64(BoundedIntegerVisitor)
    }
}

struct BoundedIntegerVisitor<const MIN: u64, const MAX: u64>;

impl<const MIN: u64, const MAX: u64> Visitor<'_> for BoundedIntegerVisitor<MIN, MAX> {
    type Value = BoundedInteger<MIN, MAX>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "a whole number from {MIN} to {MAX}")
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Self::Value, E> {
        if !(MIN..=MAX).contains(&value) {
            return Err(E::invalid_value(de::Unexpected::Unsigned(value), &self));
        }
        Ok(BoundedInteger(value))
    }

    /// Visits a signed integer, because TOML integers are signed.
    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Self::Value, E> {
        match u64::try_from(value) {
            Ok(value) => self.visit_u64(value),
            Err(_) => Err(E::invalid_value(de::Unexpected::Signed(value), &self)),
        }
    }
}
