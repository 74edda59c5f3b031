//! Validation of names, path prefixes and titles.

use crate::lookup::{has_path_prefix, is_normalized};
use crate::{Name, SheetFault};

/// Largest length of a name in bytes. Names are used as metric labels and header values.
const MAX_NAME_LEN: usize = 64;

/// Largest length of a path prefix in bytes.
const MAX_PATH_LEN: usize = 256;

/// Largest length of a title in characters.
const MAX_TITLE_CHARS: usize = 200;

/// Path prefixes of the daemon's own API.
const RESERVED_PATHS: [&str; 3] = ["/v1/entries", "/v1/outcomes", "/v1/streams"];

pub(crate) fn is_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    (1..=MAX_NAME_LEN).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// Returns the text itself if it is a valid name.
pub(crate) fn parse_name(text: &str) -> Result<&str, SheetFault> {
    if is_name(text) {
        Ok(text)
    } else {
        Err(SheetFault::InvalidName(text.to_owned()))
    }
}

pub(crate) fn parse_title(text: &str) -> Result<String, SheetFault> {
    if text.chars().count() > MAX_TITLE_CHARS || text.chars().any(char::is_control) {
        return Err(SheetFault::InvalidTitle);
    }
    Ok(text.to_owned())
}

pub(crate) fn parse_path(text: &str) -> Result<Name, SheetFault> {
    let is_allowed = |b: u8| b.is_ascii_graphic() && !b"%?#\\\"".contains(&b);
    let no_trailing_slash = text == "/" || !text.ends_with('/');
    let fits = text.len() <= MAX_PATH_LEN && text.bytes().all(is_allowed);
    if !fits || !no_trailing_slash || !is_normalized(text.as_bytes()) {
        return Err(SheetFault::InvalidPath(text.to_owned()));
    }
    let is_reserved = |reserved: &&str| has_path_prefix(text.as_bytes(), reserved.as_bytes());
    if RESERVED_PATHS.iter().any(is_reserved) {
        return Err(SheetFault::ReservedPath(text.to_owned()));
    }
    Ok(text.into())
}
