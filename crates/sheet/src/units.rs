//! Parsers of durations and sizes with units.

use std::time::Duration;

use bytesize::ByteSize;
use serde::de::Error;
use serde::{Deserialize, Deserializer};

use crate::Name;
use crate::name::is_name;

/// Largest length of a duration or size in bytes.
///
/// humantime 2.4 panics if the seconds are `u64::MAX` and the nanoseconds carry over. The shortest
/// text that causes this is longer than this limit.
const MAX_TEXT_LEN: usize = 16;

/// Largest duration in a sheet or settings file.
pub(crate) const MAX_DURATION: Duration = Duration::from_hours(24);

/// What is wrong with a value, and what to write instead.
pub(crate) type Reason = &'static str;

/// Parses a duration such as `410ms`, `1.5s` or `1h 30m`.
pub(crate) fn parse_duration(text: &str) -> Result<Duration, Reason> {
    const INVALID: Reason = "not a duration; write a number and a unit, for example 410ms or 5s";
    if text.len() > MAX_TEXT_LEN {
        return Err(INVALID);
    }
    let duration = humantime::parse_duration(text).map_err(|_| INVALID)?;
    if duration > MAX_DURATION {
        return Err("longer than 24h; write a shorter duration");
    }
    Ok(duration)
}

/// Parses a size such as `64KiB`.
pub(crate) fn parse_size(text: &str) -> Result<u64, Reason> {
    const INVALID: Reason = "not a size; write a number and a unit, for example 64KiB or 2MB";
    if text.len() > MAX_TEXT_LEN || text.ends_with(|c: char| c.is_ascii_digit()) {
        return Err(INVALID);
    }
    text.parse::<ByteSize>()
        .map(|size| size.as_u64())
        .map_err(|_| INVALID)
}

/// Deserializes a duration with a unit.
pub(crate) fn duration<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(d)?;
    parse_duration(&text).map_err(|reason| D::Error::custom(format!("{text:?} is {reason}")))
}

/// Deserializes a size with a unit.
pub(crate) fn size<'de, D: Deserializer<'de>>(d: D) -> Result<usize, D::Error> {
    let text = String::deserialize(d)?;
    let size = parse_size(&text).and_then(|n| usize::try_from(n).map_err(|_| "too large"));
    size.map_err(|reason| D::Error::custom(format!("{text:?} is {reason}")))
}

/// Deserializes a name.
pub(crate) fn name<'de, D: Deserializer<'de>>(d: D) -> Result<Name, D::Error> {
    let text = String::deserialize(d)?;
    if is_name(&text) {
        return Ok(text.into());
    }
    Err(D::Error::custom(format!(
        "{text:?} is not a name; use up to 64 ASCII letters, digits, \"-\", \"_\" and \".\""
    )))
}
