//! Names, path prefixes and titles.

use crate::lookup::{is_plain, is_under};
use crate::{Name, SheetFault};

/// Longest name. Names are labels of metrics and values of headers.
const MAX_NAME: usize = 64;

/// Longest path prefix.
const MAX_PATH: usize = 256;

/// Longest title in characters.
const MAX_TITLE: usize = 200;

/// Paths that the daemon answers itself.
const RESERVED: [&str; 3] = ["/v1/entries", "/v1/outcomes", "/v1/streams"];

pub(crate) fn is_name(text: &str) -> bool {
    let is_letter = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    (1..=MAX_NAME).contains(&text.len()) && text.bytes().all(is_letter)
}

/// The text itself if it is a name.
pub(crate) fn checked(text: &str) -> Result<&str, SheetFault> {
    if is_name(text) {
        Ok(text)
    } else {
        Err(SheetFault::InvalidName(text.to_owned()))
    }
}

pub(crate) fn title(text: &str) -> Result<String, SheetFault> {
    if text.chars().count() > MAX_TITLE || text.chars().any(char::is_control) {
        return Err(SheetFault::InvalidTitle);
    }
    Ok(text.to_owned())
}

pub(crate) fn path(text: &str) -> Result<Name, SheetFault> {
    let is_letter = |b: u8| b.is_ascii_graphic() && !b"%?#\\\"".contains(&b);
    let ends_well = text == "/" || !text.ends_with('/');
    let fits = text.len() <= MAX_PATH && text.bytes().all(is_letter);
    if !fits || !ends_well || !is_plain(text.as_bytes()) {
        return Err(SheetFault::InvalidPath(text.to_owned()));
    }
    let is_reserved = |reserved: &&str| is_under(text.as_bytes(), reserved.as_bytes());
    if RESERVED.iter().any(is_reserved) {
        return Err(SheetFault::ReservedPath(text.to_owned()));
    }
    Ok(text.into())
}
