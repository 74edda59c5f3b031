//! Parser for JSON with comments that reports the line and column of each error.

use std::borrow::Cow;
use std::collections::HashMap;
use std::io::Read;

use json_comments::CommentSettings;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// A document without its comments, kept to locate its fields for error messages.
pub(crate) struct Document<'a> {
    file: &'a str,
    json: String,
}

impl<'a> Document<'a> {
    /// Removes the comments. Errors of this type are complete messages that start with the file,
    /// line and column.
    pub(crate) fn new(file: &'a str, text: &str) -> Result<Self, String> {
        match strip_comments(text) {
            Ok(json) => Ok(Document { file, json }),
            Err(offset) => {
                let json = text.to_owned();
                let message =
                    "a comment or string is not closed, or \"/\" does not start a comment";
                Err(Document { file, json }.error_at(offset, message))
            }
        }
    }

    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, String> {
        let mut reader = serde_json::Deserializer::from_str(&self.json);
        let value = serde_path_to_error::deserialize(&mut reader).map_err(|err| {
            let path = err.path().to_string();
            let err = err.into_inner();
            let offset = self.offset_of(err.line(), err.column());
            let message = message_of(&err);
            if !err.is_data() {
                return self.error_at(offset, &message);
            }
            let offset = match backquoted(&message, "unknown field `") {
                // The deserializer stops at the quote that ends the key.
                Some(key) => self
                    .json
                    .get(..=offset)
                    .and_then(|read| read.rfind(&format!("\"{key}\""))),
                None => locate(&self.json, &path),
            }
            .unwrap_or(offset);
            self.error_at(offset, &with_path(&path, &message))
        })?;
        let end = reader.end();
        end.map_err(|err| {
            let offset = self.offset_of(err.line(), err.column());
            self.error_at(offset, &message_of(&err))
        })?;
        Ok(value)
    }

    /// Error message for the value at a path such as `workloads[2].rate`.
    pub(crate) fn error(&self, path: &str, message: &str) -> String {
        let offset = locate(&self.json, path).unwrap_or(0);
        self.error_at(offset, &with_path(path, message))
    }

    /// Error message for a byte offset.
    fn error_at(&self, offset: usize, message: &str) -> String {
        let mut offset = offset.min(self.json.len());
        while !self.json.is_char_boundary(offset) {
            offset -= 1;
        }
        let before = &self.json[..offset];
        let start = before.rfind('\n').map_or(0, |end| end + 1);
        let line = before.matches('\n').count() + 1;
        let column = before[start..].chars().count() + 1;
        format!("{}:{line}:{column}: {message}", self.file)
    }

    /// Byte offset of a line and a column. Both count from 1; columns count bytes.
    fn offset_of(&self, line: usize, column: usize) -> usize {
        let lines = self.json.split_inclusive('\n').take(line.saturating_sub(1));
        let offset = lines.map(str::len).sum::<usize>() + column.saturating_sub(1);
        offset.min(self.json.len())
    }
}

/// Replaces comments with blanks, so that offsets stay the same. The error is the offset of the
/// byte that could not be read.
#[expect(clippy::unbuffered_bytes, reason = "the source is in memory")]
fn strip_comments(text: &str) -> Result<String, usize> {
    let source = text.as_bytes();
    let mut json = Vec::with_capacity(source.len());
    let stripped = CommentSettings::c_style().strip_comments(source);
    for (offset, byte) in stripped.bytes().enumerate() {
        let byte = byte.map_err(|_| offset)?;
        // json_comments replaces the line breaks of block comments, too, so they are restored.
        json.push(if source[offset] == b'\n' { b'\n' } else { byte });
    }
    // serde_json rejects a byte-order mark.
    if json.starts_with("\u{feff}".as_bytes()) {
        json[..3].fill(b' ');
    }
    String::from_utf8(json).map_err(|err| err.utf8_error().valid_up_to())
}

/// Byte offset of the value at a path.
fn locate(json: &str, path: &str) -> Option<usize> {
    let mut value = json;
    for step in path.split(['.', '[']).filter(|step| !step.is_empty()) {
        value = if let Some(index) = step.strip_suffix(']') {
            let items: Vec<&RawValue> = serde_json::from_str(value).ok()?;
            items.get(index.parse::<usize>().ok()?)?.get()
        } else {
            let fields: HashMap<Cow<'_, str>, &RawValue> = serde_json::from_str(value).ok()?;
            fields.get(step)?.get()
        };
    }
    // `value` is a slice of `json`, so the difference of the addresses is the offset.
    let offset = (value.as_ptr() as usize).checked_sub(json.as_ptr() as usize)?;
    (offset <= json.len()).then_some(offset)
}

/// Message of an error without the position that `serde_json` appends.
fn message_of(err: &serde_json::Error) -> String {
    let text = err.to_string();
    let place = format!(" at line {} column {}", err.line(), err.column());
    text.strip_suffix(&place).unwrap_or(&text).to_owned()
}

/// The text between `before` and the next backquote, if the text starts with `before`.
fn backquoted<'a>(text: &'a str, before: &str) -> Option<&'a str> {
    text.strip_prefix(before)?.split('`').next()
}

/// Puts the path, if it is not the root, before the message.
fn with_path(path: &str, message: &str) -> String {
    match path {
        "" | "." => message.to_owned(),
        path => format!("{path}: {message}"),
    }
}
