//! Parsers of cell texts.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use crate::SheetFault;
use crate::units::{Reason, parse_duration, parse_size};

/// Largest number of tokens in a cell. Products with a time in nanoseconds fit in `u128`, and sums
/// over all workspaces fit in `u64`.
pub(crate) const MAX_TOKENS: u64 = 1_000_000_000_000;

/// Largest number of requests in a cell.
pub(crate) const MAX_REQUESTS: u64 = 1_000_000;

/// Largest revision. It fits in the signed 64-bit integers of other systems.
pub(crate) const MAX_REVISION: u64 = i64::MAX as u64;

/// Largest request body in bytes.
pub(crate) const MAX_BODY_BYTES: u64 = 1 << 30;

/// Valid speeds. A decimal point that was read as a thousands separator usually gives a speed above
/// this range.
pub(crate) const SPEED_RANGE: std::ops::RangeInclusive<f64> = 0.01..=100.0;

/// Decimal separator of the numbers in a sheet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecimalSeparator {
    /// `1000.5`, in sheets with commas between cells.
    Point,
    /// `1000,5` or `1.000,5`, in sheets with semicolons between cells.
    Comma,
}

type Parsed<T> = Result<T, SheetFault>;

fn invalid_value(text: &str, reason: impl Into<String>) -> SheetFault {
    SheetFault::InvalidValue {
        text: text.to_owned(),
        reason: reason.into(),
    }
}

/// Parses a whole number from 1 to `max`.
pub(crate) fn whole_number(text: &str, decimal: DecimalSeparator, max: u64) -> Parsed<u64> {
    let normalized = normalize_number(text, decimal)?;
    let (digits, fraction) = normalized.split_once('.').unwrap_or((&normalized, "0"));
    let is_digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !is_digits(digits) || fraction.is_empty() || fraction.bytes().any(|b| b != b'0') {
        return Err(invalid_value(text, "not a whole number; write digits only"));
    }
    match digits.parse() {
        Ok(0) => Err(SheetFault::Zero),
        Ok(number) if number <= max => Ok(number),
        _ => Err(invalid_value(
            text,
            format!("above {max}; write a smaller number"),
        )),
    }
}

/// Parses a relative speed.
pub(crate) fn speed(text: &str, decimal: DecimalSeparator) -> Parsed<f64> {
    const INVALID: Reason = "not a number; write for example 1 or 2.5";
    let normalized = normalize_number(text, decimal)?;
    if normalized.bytes().any(|b| !b.is_ascii_digit() && b != b'.') {
        return Err(invalid_value(text, INVALID));
    }
    match normalized.parse::<f64>() {
        Ok(0.0) => Err(SheetFault::Zero),
        Ok(speed) if SPEED_RANGE.contains(&speed) => Ok(speed),
        Ok(_) => {
            let (min, max) = (SPEED_RANGE.start(), SPEED_RANGE.end());
            Err(invalid_value(
                text,
                format!("not from {min} to {max}; correct it"),
            ))
        }
        Err(_) => Err(invalid_value(text, INVALID)),
    }
}

/// Parses a duration of whole milliseconds.
pub(crate) fn deadline(text: &str, decimal: DecimalSeparator) -> Parsed<Duration> {
    let duration =
        parse_duration(&normalize_number(text, decimal)?).map_err(|e| invalid_value(text, e))?;
    if duration.is_zero() {
        return Err(SheetFault::Zero);
    }
    if duration.subsec_nanos() % 1_000_000 != 0 {
        return Err(invalid_value(
            text,
            "finer than 1ms; write whole milliseconds",
        ));
    }
    Ok(duration)
}

/// Parses the size of a request body.
pub(crate) fn body_size(text: &str, decimal: DecimalSeparator) -> Parsed<u64> {
    match parse_size(&normalize_number(text, decimal)?) {
        Ok(0) => Err(SheetFault::Zero),
        Ok(size) if size <= MAX_BODY_BYTES => Ok(size),
        Ok(_) => Err(invalid_value(text, "above 1GiB; write a smaller size")),
        Err(reason) => Err(invalid_value(text, reason)),
    }
}

/// Parses an IP address with a port. Host names are rejected, since daemons don't resolve names.
pub(crate) fn address(text: &str) -> Parsed<SocketAddr> {
    let address = text.parse::<SocketAddr>().ok();
    let usable =
        address.filter(|a| a.port() != 0 && !a.ip().is_unspecified() && !a.ip().is_multicast());
    usable.ok_or_else(|| SheetFault::InvalidAddress(text.to_owned()))
}

/// Parses a SHA-256 written in hex digits.
pub(crate) fn sha256(text: &str) -> Parsed<[u8; 32]> {
    let mut hash = [0; 32];
    match hex::decode_to_slice(text, &mut hash) {
        Ok(()) => Ok(hash),
        Err(_) => Err(SheetFault::InvalidHash),
    }
}

/// Parses one of several words, ignoring case.
pub(crate) fn choice<T: Copy>(text: &str, choices: &[(&str, T)]) -> Parsed<T> {
    let found = choices
        .iter()
        .find(|(word, _)| word.eq_ignore_ascii_case(text));
    found.map(|&(_, value)| value).ok_or_else(|| {
        let words: Vec<_> = choices.iter().map(|&(word, _)| word).collect();
        SheetFault::InvalidChoice {
            text: text.to_owned(),
            choices: words.join(", "),
        }
    })
}

/// Rewrites the number at the start of a text with a decimal point and without thousands
/// separators.
fn normalize_number(text: &str, decimal: DecimalSeparator) -> Parsed<Cow<'_, str>> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.' && c != ',');
    let (number, unit) = text.split_at(end.unwrap_or(text.len()));
    match decimal {
        DecimalSeparator::Point if number.contains(',') => Err(invalid_value(
            text,
            "written with a comma; in sheets with commas between cells write a decimal point and \
             no thousands separator",
        )),
        DecimalSeparator::Comma if number.contains(['.', ',']) => {
            let (whole, fraction) = match number.split_once(',') {
                Some((whole, fraction)) => (whole, Some(fraction)),
                None => (number, None),
            };
            let misplaced = fraction.is_some_and(|fraction| fraction.contains(['.', ',']));
            if misplaced || !has_valid_grouping(whole) {
                return Err(invalid_value(
                    text,
                    "not a number with a decimal comma; in sheets with semicolons between cells \
                     write for example 1,5 or 1.000,5",
                ));
            }
            let mut out = whole.replace('.', "");
            if let Some(fraction) = fraction {
                out.push('.');
                out.push_str(fraction);
            }
            out.push_str(unit);
            Ok(Cow::Owned(out))
        }
        _ => Ok(Cow::Borrowed(text)),
    }
}

/// Whether points, if any, separate the digits into groups of three, of which the first may be
/// shorter.
fn has_valid_grouping(whole: &str) -> bool {
    match whole.split_once('.') {
        None => true,
        Some((first, rest)) => {
            (1..=3).contains(&first.len()) && rest.split('.').all(|group| group.len() == 3)
        }
    }
}
