//! API keys of callers, read from a file or the environment. A key is never printed.

use std::path::Path;

use http::HeaderValue;

use crate::file;
use crate::output::Error;

/// Environment variable that holds the key.
pub(crate) const KEY_VARIABLE: &str = "PRIMROSECTL_KEY";
/// Largest key file.
const MAX_KEY_BYTES: usize = 4096;

/// Reads the key from the file, or from the environment if no file is given.
pub(crate) fn read(path: Option<&Path>) -> Result<Option<HeaderValue>, Error> {
    if let Some(path) = path {
        let text = file::read_text(path, MAX_KEY_BYTES)?;
        let name = path.display().to_string();
        return authorization(text.trim(), &name).map(Some);
    }
    match std::env::var(KEY_VARIABLE) {
        Ok(text) if !text.is_empty() => authorization(text.trim(), KEY_VARIABLE).map(Some),
        _ => Ok(None),
    }
}

/// Value of the authorization header for a key. The error names the source of the key, never the
/// key itself.
pub(crate) fn authorization(key: &str, source: &str) -> Result<HeaderValue, Error> {
    let reject = |message: &str| Error::rejected(format!("{source}: {message}"));
    if key.is_empty() {
        return Err(reject("contains no key"));
    }
    if !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(reject(
            "the key has other characters than visible ASCII; write one key on one line",
        ));
    }
    let mut value = HeaderValue::from_str(&format!("Bearer {key}"))
        .map_err(|_| reject("the key is not a valid header value"))?;
    value.set_sensitive(true);
    Ok(value)
}
