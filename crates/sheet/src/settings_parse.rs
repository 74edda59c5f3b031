//! Parser of settings files.

use std::borrow::Cow;
use std::collections::HashMap;
use std::io::Read;

use json_comments::CommentSettings;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use serde_path_to_error::Segment;

use crate::{CheckError, MemberSettings, Settings, SettingsError, SettingsFault};

/// Largest settings file in bytes.
pub const MAX_SETTINGS_BYTES: usize = 1 << 18;

impl Settings {
    /// Parses and checks a settings file: JSON with `//` and `/* */` comments.
    ///
    /// # Errors
    ///
    /// The first error, with its line and column.
    ///
    /// ```
    /// let text = r#"{
    ///     "vm": "riga-a-1", "zone": "riga-a", // a single daemon
    ///     "entry": "127.0.0.1:7100", "admin": "127.0.0.1:7101",
    ///     "sheet": {"file": "sheet.csv"},
    ///     "timing": {"lease": "0s"}
    /// }"#;
    /// let error = sheet::Settings::parse(text, "site.jsonc").unwrap_err();
    /// assert_eq!(
    ///     error.to_string(),
    ///     "site.jsonc:5:25: timing.lease is zero; write a value above 0"
    /// );
    /// ```
    pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = parse_json(text, file)?;
        settings
            .check()
            .map_err(|e| SettingsError::at(text, file, e))?;
        Ok(settings)
    }
}

impl MemberSettings {
    /// Parses and checks the settings file of a member: JSON with `//` and `/* */` comments.
    ///
    /// # Errors
    ///
    /// The first error, with its line and column.
    pub fn parse(text: &str, file: &str) -> Result<MemberSettings, SettingsError> {
        let settings: MemberSettings = parse_json(text, file)?;
        settings
            .check()
            .map_err(|e| SettingsError::at(text, file, e))?;
        Ok(settings)
    }
}

/// Parses JSON with comments, without the checks of [`Settings::check`].
fn parse_json<T: DeserializeOwned>(text: &str, file: &str) -> Result<T, SettingsError> {
    let fail = |offset, fault| Err(error_at(text, file, offset, fault));
    if text.len() > MAX_SETTINGS_BYTES {
        return fail(0, SettingsFault::TooLarge(text.len()));
    }
    let json = match strip_comments(text) {
        Ok(json) => json,
        Err(offset) => return fail(offset, SettingsFault::Comment),
    };
    let mut reader = serde_json::Deserializer::from_str(&json);
    let settings: T = match serde_path_to_error::deserialize(&mut reader) {
        Ok(settings) => settings,
        Err(e) => {
            let offset = offset_of_position(&json, e.inner().line(), e.inner().column());
            let reason = message_without_position(e.inner());
            if !e.inner().is_data() {
                return fail(offset, SettingsFault::Syntax(reason));
            }
            let path = e.path().iter().filter_map(|segment| match segment {
                Segment::Map { key } => Some(key.as_str()),
                _ => None,
            });
            let path: Vec<&str> = path.collect();
            let offset = value_offset(&json, &path).unwrap_or(offset);
            let field = path.join(".");
            return fail(offset, SettingsFault::Field { field, reason });
        }
    };
    if let Err(e) = reader.end() {
        let offset = offset_of_position(&json, e.line(), e.column());
        return fail(offset, SettingsFault::Syntax(message_without_position(&e)));
    }
    Ok(settings)
}

impl SettingsError {
    /// Adds the file name, and the position of the field in `text`, to an error such as one of
    /// [`Settings::check_names`].
    #[must_use]
    pub fn at(text: &str, file: &str, e: CheckError) -> Self {
        let json = strip_comments(text).unwrap_or_default();
        // A field with its default value may be missing in the text; then the position of the
        // other field is used.
        let mut offsets = e.fields().iter().filter_map(|field| {
            let path: Vec<&str> = field.split('.').collect();
            value_offset(&json, &path)
        });
        let offset = offsets.next().unwrap_or(0);
        error_at(text, file, offset, SettingsFault::Check(e))
    }
}

/// Replaces comments by blanks, so that offsets stay the same; returns the offset of an error.
#[expect(clippy::unbuffered_bytes, reason = "the source is in memory")]
fn strip_comments(text: &str) -> Result<String, usize> {
    let source = text.as_bytes();
    let mut json = Vec::with_capacity(source.len());
    for byte in CommentSettings::c_style().strip_comments(source).bytes() {
        let offset = json.len();
        let byte = byte.map_err(|_| offset)?;
        // json_comments also replaces the line breaks in block comments.
        json.push(if source[offset] == b'\n' { b'\n' } else { byte });
    }
    // serde_json rejects a byte-order mark.
    if json.starts_with("\u{feff}".as_bytes()) {
        json[..3].fill(b' ');
    }
    String::from_utf8(json).map_err(|e| e.utf8_error().valid_up_to())
}

/// Byte offset of the value of a field in `json`.
fn value_offset(json: &str, path: &[&str]) -> Option<usize> {
    let mut value = json;
    for &key in path {
        let fields: HashMap<Cow<'_, str>, &RawValue> = serde_json::from_str(value).ok()?;
        value = fields.get(key)?.get();
    }
    // `value` is a slice of `json`.
    let offset = (value.as_ptr() as usize).checked_sub(json.as_ptr() as usize)?;
    (!path.is_empty() && offset <= json.len()).then_some(offset)
}

/// Byte offset of a position; `line` and `column` count from 1, the latter in bytes.
fn offset_of_position(json: &str, line: usize, column: usize) -> usize {
    let lines = json.split_inclusive('\n').take(line.saturating_sub(1));
    lines.map(str::len).sum::<usize>() + column.saturating_sub(1)
}

/// The message of an error without the position that `serde_json` appends.
fn message_without_position(e: &serde_json::Error) -> String {
    let text = e.to_string();
    let position = format!(" at line {} column {}", e.line(), e.column());
    text.strip_suffix(&position).unwrap_or(&text).to_owned()
}

fn error_at(text: &str, file: &str, offset: usize, fault: SettingsFault) -> SettingsError {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let before = &text[..offset];
    let start = before.rfind('\n').map_or(0, |end| end + 1);
    SettingsError {
        file: file.to_owned(),
        line: before.matches('\n').count() + 1,
        column: before[start..].chars().count() + 1,
        fault,
    }
}
