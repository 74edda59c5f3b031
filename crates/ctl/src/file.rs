//! Reads files up to a size limit, and writes files.

use std::io::Read;
use std::path::Path;

use crate::output::Error;

/// Reads a file of at most `max_bytes` bytes.
pub(crate) fn read(path: &Path, max_bytes: usize) -> Result<Vec<u8>, Error> {
    let name = path.display();
    let unreadable = |err| Error::rejected(format!("{name}: cannot be read: {err}"));
    let file = std::fs::File::open(path).map_err(unreadable)?;
    let mut bytes = Vec::new();
    // Reading one byte past the limit detects a file that is too large.
    let limit = u64::try_from(max_bytes)
        .unwrap_or(u64::MAX)
        .saturating_add(1);
    let mut reader = file.take(limit);
    reader.read_to_end(&mut bytes).map_err(unreadable)?;
    if bytes.len() > max_bytes {
        return Err(Error::rejected(format!(
            "{name}: is larger than {max_bytes} bytes"
        )));
    }
    Ok(bytes)
}

/// Reads a text file of at most `max_bytes` bytes.
pub(crate) fn read_text(path: &Path, max_bytes: usize) -> Result<String, Error> {
    String::from_utf8(read(path, max_bytes)?)
        .map_err(|_| Error::rejected(format!("{}: is not UTF-8 text", path.display())))
}

pub(crate) fn write(path: &Path, bytes: &[u8]) -> Result<(), Error> {
    std::fs::write(path, bytes)
        .map_err(|err| Error::failed(format!("{}: cannot be written: {err}", path.display())))
}
