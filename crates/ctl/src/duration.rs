//! Parsing of durations with units, in arguments and mix files.

use std::time::Duration;

use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// Longest accepted text of a duration. humantime 2.4 panics on some numbers of 20 digits.
const MAX_TEXT_BYTES: usize = 16;
/// Longest accepted duration.
const MAX_DURATION: Duration = Duration::from_hours(24);

/// Parses a duration such as `410ms` or `1h 30m`.
pub(crate) fn parse(text: &str) -> Result<Duration, String> {
    let parsed = (text.len() <= MAX_TEXT_BYTES).then(|| humantime::parse_duration(text).ok());
    match parsed.flatten() {
        Some(duration) if duration <= MAX_DURATION => Ok(duration),
        Some(_) => Err("longer than 24h".into()),
        None => Err("not a duration; write a number and a unit, for example 410ms or 5s".into()),
    }
}

/// Deserializes a duration.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(d)?;
    parse(&text).map_err(|message| D::Error::custom(format!("{text:?} is {message}")))
}

/// Deserializes a duration for an optional field that is present.
pub(crate) fn deserialize_some<'de, D: Deserializer<'de>>(
    d: D,
) -> Result<Option<Duration>, D::Error> {
    deserialize(d).map(Some)
}
